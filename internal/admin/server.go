// Package admin is the operators' HTTP server: edits, tables, status, audit,
// metrics, health and readiness. It authenticates and encodes; what operators
// may do is in package operate.
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

// Bounds of the server.
const (
	maxBodyBytes   = 8 << 20
	maxHeaderBytes = 16 << 10
	maxConnections = 256
	idleTimeout    = time.Minute
	readTimeout    = 10 * time.Second
	// requestTimeout bounds one request, its wait included.
	requestTimeout = 90 * time.Second
)

// Authenticator finds the operator of a bearer token. It compares in constant
// time.
type Authenticator interface {
	Operator(token string) (string, bool)
}

// Options are the parts of a Server. All but Metrics are required.
type Options struct {
	Listener net.Listener
	Auth     Authenticator
	Service  *operate.Service
	// Metrics answers with the metrics page.
	Metrics fasthttp.RequestHandler
}

// Server is the operators' HTTP server.
type Server struct {
	opts   Options
	http   *fasthttp.Server
	base   context.Context //nolint:containedctx // ends with Run: the parent of all requests
	cancel context.CancelFunc
}

// New returns a server on opts.Listener.
func New(opts Options) *Server {
	s := &Server{opts: opts}
	s.base, s.cancel = context.WithCancel(context.Background())
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

// Run serves until ctx ends.
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

// handler answers one request of an authenticated operator.
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
		s.serve(r, fasthttp.MethodPost, s.apply)
	case "/v1/tables":
		s.serve(r, fasthttp.MethodGet, s.tables)
	case "/v1/status":
		s.serve(r, fasthttp.MethodGet, s.status)
	case "/v1/audit":
		s.serve(r, fasthttp.MethodGet, s.audit)
	default:
		fail(r, fault.Refuse(fault.NotFound, "see docs/OPERATIONS.md for the paths", "no such path: %s", r.Path()))
	}
}

func (s *Server) serve(r *fasthttp.RequestCtx, method string, h handler) {
	if string(r.Method()) != method {
		fail(r, fault.Invalid("method", "use "+method, "method %s is not allowed here", r.Method()))
		return
	}
	operator, err := s.authenticate(r)
	if err != nil {
		fail(r, err)
		return
	}
	ctx, cancel := context.WithTimeout(s.base, requestTimeout)
	defer cancel()
	if err := h(ctx, r, operator); err != nil {
		fail(r, err)
	}
}

var bearer = []byte("Bearer ")

func (s *Server) authenticate(r *fasthttp.RequestCtx) (string, error) {
	token, ok := bytes.CutPrefix(r.Request.Header.Peek(fasthttp.HeaderAuthorization), bearer)
	if !ok || len(token) == 0 {
		return "", fault.Refuse(fault.Unauthorized, "send Authorization: Bearer TOKEN", "request carries no token")
	}
	operator, ok := s.opts.Auth.Operator(string(token))
	if !ok {
		return "", fault.Refuse(fault.Unauthorized, "use an operator's token from the tokens file", "token is unknown")
	}
	return operator, nil
}

func (s *Server) ready(r *fasthttp.RequestCtx) {
	if err := s.opts.Service.Ready(); err != nil {
		fail(r, err)
		return
	}
	r.SetBodyString("ready\n")
}

func (s *Server) metrics(r *fasthttp.RequestCtx) {
	if s.opts.Metrics == nil {
		fail(r, fault.Refuse(fault.NotFound, "", "this daemon keeps no metrics"))
		return
	}
	s.opts.Metrics(r)
}
