// Package front is the HTTP server for callers. It authenticates, limits and parses
// requests, passes them to package dispatch and encodes the responses. It makes no
// routing decisions.
package front

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/dispatch"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/logging"
)

// Dispatcher executes parsed requests.
type Dispatcher interface {
	Serve(ctx context.Context, r *dispatch.Request) (*dispatch.Response, error)
}

// Authenticator finds the workspace of a bearer token.
type Authenticator interface {
	Workspace(token string) (string, bool)
}

// Readiness reports whether the load balancer may send requests to this daemon.
type Readiness interface {
	// Ready returns nil, or the reason why the daemon is not ready.
	Ready() error
}

// Options are the settings and dependencies of a Server.
type Options struct {
	Listener       net.Listener
	Dispatcher     Dispatcher
	Auth           Authenticator
	Readiness      Readiness
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxConnections int
	IdleTimeout    time.Duration
	ReadTimeout    time.Duration
}

const (
	// writeTimeout bounds a single write to a caller.
	writeTimeout = 30 * time.Second
	// lingerTimeout and lingerBytes bound what is read and discarded of a request
	// that was refused before it was read to its end.
	lingerTimeout = time.Second
	lingerBytes   = 4 << 20
)

// Server is the HTTP server for callers.
type Server struct {
	opts       Options
	http       *fasthttp.Server
	baseCtx    context.Context //nolint:containedctx // parent context of all requests; cancelled when Run ends
	cancel     context.CancelFunc
	inflight   atomic.Int64
	idle       chan struct{} // receives a value when inflight falls to zero
	closeConns atomic.Bool
}

// New returns a Server on opts.Listener; Run starts it.
func New(opts Options) *Server {
	s := &Server{opts: opts, idle: make(chan struct{}, 1)}
	s.baseCtx, s.cancel = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.writeProtocolError,
		Name:                         "ragwortquay",
		ReadBufferSize:               opts.MaxHeaderBytes,
		MaxRequestBodySize:           opts.MaxBodyBytes,
		Concurrency:                  opts.MaxConnections,
		IdleTimeout:                  opts.IdleTimeout,
		ReadTimeout:                  opts.ReadTimeout,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		Logger:                       logging.DiscardHTTPLogger{},
	}
	return s
}

// Run serves until ctx ends, then closes all connections at once. Call Drain first
// for a graceful shutdown.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		err := s.http.Serve(writeTimeoutListener{s.opts.Listener})
		if ctx.Err() != nil || s.closeConns.Load() || errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	})
	g.Go(func() error {
		<-ctx.Done()
		s.cancel()
		return s.opts.Listener.Close()
	})
	return ignoreClosed(g.Wait())
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// DisableKeepAlives closes each connection after its next response, so that callers
// move to other daemons while this one still serves requests that arrive.
func (s *Server) DisableKeepAlives() { s.closeConns.Store(true) }

// Drain stops accepting connections and waits for the requests in flight. If ctx
// ends first, the error states how many requests are left.
func (s *Server) Drain(ctx context.Context) error {
	s.closeConns.Store(true)
	done := make(chan error, 1)
	go func() { done <- s.http.ShutdownWithContext(ctx) }()
	for s.inflight.Load() > 0 {
		select {
		case <-s.idle:
		case <-ctx.Done():
			return fault.New(fault.Timeout, "raise shutdown.drain", "%d requests were still in flight", s.inflight.Load())
		}
	}
	return <-done
}

// Inflight returns the number of requests being served.
func (s *Server) Inflight() int { return int(s.inflight.Load()) }

func (s *Server) beginRequest() { s.inflight.Add(1) }

func (s *Server) endRequest() {
	if s.inflight.Add(-1) > 0 {
		return
	}
	select {
	case s.idle <- struct{}{}:
	default:
	}
}

// writeTimeoutListener bounds each single write to its connections, so that a
// caller that stops reading cannot occupy a slot of a replica indefinitely. A
// timeout on the whole response would cut off long streams.
type writeTimeoutListener struct{ net.Listener }

// Accept returns the next connection as a writeTimeoutConn.
func (l writeTimeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &writeTimeoutConn{Conn: c}, nil
}

// writeTimeoutConn is a connection from a caller. It is for use by one goroutine at
// a time.
type writeTimeoutConn struct {
	net.Conn
	linger bool
}

// Write writes b within writeTimeout.
func (c *writeTimeoutConn) Write(b []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection. If linger is set, because the request was refused
// before it was read to its end, Close first reads for up to lingerTimeout: closing
// a socket with unread data resets the connection, and the caller could lose the
// response.
func (c *writeTimeoutConn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.linger {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
	}
	return c.Conn.Close()
}
