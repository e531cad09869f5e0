// Package admin serves the operators' API over HTTP: edits, tables, status, audit
// trail, metrics, health and readiness. It authenticates requests and encodes
// responses; package operate implements the operations.
package admin

import (
	"bytes"
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/logging"
	"github.com/ragwortquay/ragwortquay/internal/operate"
)

// Limits of the server.
const (
	maxBodyBytes   = 8 << 20
	maxHeaderBytes = 16 << 10
	maxConnections = 256
	idleTimeout    = time.Minute
	readTimeout    = 10 * time.Second
	// requestTimeout bounds one request, including the wait time that it asks for.
	requestTimeout = 90 * time.Second
)

// Authenticator identifies operators by their bearer tokens.
type Authenticator interface {
	// Operator returns the operator's name and whether the token is known. It
	// compares tokens in constant time.
	Operator(token string) (string, bool)
}

// Options are the dependencies of a Server. All but Metrics are required.
type Options struct {
	Listener net.Listener
	Auth     Authenticator
	Service  *operate.Service
	// Metrics serves the metrics page; nil means that there is none.
	Metrics fasthttp.RequestHandler
}

// Server is the operators' HTTP server.
type Server struct {
	opts    Options
	http    *fasthttp.Server
	baseCtx context.Context //nolint:containedctx // parent of all requests' contexts; canceled when Run ends
	cancel  context.CancelFunc
}

// New returns a server that accepts connections from opts.Listener once it runs.
func New(opts Options) *Server {
	s := &Server{opts: opts}
	s.baseCtx, s.cancel = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		Name:                         "ragwortquay",
		ReadBufferSize:               maxHeaderBytes,
		MaxRequestBodySize:           maxBodyBytes,
		Concurrency:                  maxConnections,
		IdleTimeout:                  idleTimeout,
		ReadTimeout:                  readTimeout,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		Logger:                       logging.DiscardHTTPLogger{},
	}
	return s
}

// Run serves requests until ctx is done and then closes the listener.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		err := s.http.Serve(s.opts.Listener)
		if ctx.Err() != nil {
			return nil
		}
		return err
	})
	g.Go(func() error {
		<-ctx.Done()
		s.cancel()
		return s.opts.Listener.Close()
	})
	if err := g.Wait(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// handler responds to a request of an authenticated operator, or returns the error
// to respond with.
type handler func(ctx context.Context, r *fasthttp.RequestCtx, operator string) error

func (s *Server) handle(r *fasthttp.RequestCtx) {
	switch string(r.Path()) {
	case "/healthz":
		r.SetBodyString("alive\n")
	case "/readyz":
		s.ready(r)
	case "/metrics":
		s.metrics(r)
	case "/v1/apply":
		s.serveOperator(r, fasthttp.MethodPost, s.apply)
	case "/v1/tables":
		s.serveOperator(r, fasthttp.MethodGet, s.tables)
	case "/v1/status":
		s.serveOperator(r, fasthttp.MethodGet, s.status)
	case "/v1/audit":
		s.serveOperator(r, fasthttp.MethodGet, s.audit)
	default:
		writeError(r, fault.Refuse(fault.NotFound, "see docs/OPERATIONS.md for the paths", "no such path: %s", r.Path()))
	}
}

// serveOperator checks the method and the operator's token and calls h.
func (s *Server) serveOperator(r *fasthttp.RequestCtx, method string, h handler) {
	if string(r.Method()) != method {
		writeError(r, fault.Invalid("method", "use "+method, "method %s is not allowed for %s", r.Method(), r.Path()))
		return
	}
	operator, err := s.authenticate(r)
	if err != nil {
		writeError(r, err)
		return
	}
	ctx, cancel := context.WithTimeout(s.baseCtx, requestTimeout)
	defer cancel()
	if err := h(ctx, r, operator); err != nil {
		writeError(r, err)
	}
}

var bearerPrefix = []byte("Bearer ")

func (s *Server) authenticate(r *fasthttp.RequestCtx) (string, error) {
	token, ok := bytes.CutPrefix(r.Request.Header.Peek(fasthttp.HeaderAuthorization), bearerPrefix)
	if !ok || len(token) == 0 {
		return "", fault.Refuse(fault.Unauthorized, "send Authorization: Bearer TOKEN", "request carries no token")
	}
	operator, ok := s.opts.Auth.Operator(string(token))
	if !ok {
		return "", fault.Refuse(fault.Unauthorized, "use an operator's token from the tokens file", "bearer token is unknown")
	}
	return operator, nil
}

func (s *Server) ready(r *fasthttp.RequestCtx) {
	if err := s.opts.Service.Ready(); err != nil {
		writeError(r, err)
		return
	}
	r.SetBodyString("ready\n")
}

func (s *Server) metrics(r *fasthttp.RequestCtx) {
	if s.opts.Metrics == nil {
		writeError(r, fault.Refuse(fault.NotFound, "", "this daemon serves no metrics"))
		return
	}
	s.opts.Metrics(r)
}
