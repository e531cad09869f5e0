// Package front is the callers' HTTP server. It authenticates, bounds and
// parses requests, hands them to package dispatch and encodes the answers. It
// takes no decisions about routing.
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

// Dispatcher serves parsed requests.
type Dispatcher interface {
	Serve(ctx context.Context, r *dispatch.Request) (*dispatch.Response, error)
}

// Authenticator finds the workspace of a bearer token.
type Authenticator interface {
	Workspace(token string) (string, bool)
}

// Readiness tells the balancer whether to send work here.
type Readiness interface {
	// Ready returns nil, or why the daemon wants no new work.
	Ready() error
}

// Options are the settings and parts of a Server.
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
	// writeStall bounds how long one caller may keep a write waiting.
	writeStall = 30 * time.Second
	// lingerTime and lingerBytes bound what is read of a request that was refused unread.
	lingerTime  = time.Second
	lingerBytes = 4 << 20
)

// Server is the callers' HTTP server.
type Server struct {
	opts     Options
	http     *fasthttp.Server
	base     context.Context //nolint:containedctx // ends with Run: the parent of all requests
	cancel   context.CancelFunc
	inflight atomic.Int64
	idle     chan struct{} // receives a token when inflight falls to zero
	leaving  atomic.Bool
}

// New returns a server on opts.Listener.
func New(opts Options) *Server {
	s := &Server{opts: opts, idle: make(chan struct{}, 1)}
	s.base, s.cancel = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.protocolError,
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

// Run serves until ctx ends, then closes the connections at once; call Drain
// first for a graceful end.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		err := s.http.Serve(stallListener{s.opts.Listener})
		if ctx.Err() != nil || s.leaving.Load() || errors.Is(err, net.ErrClosed) {
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

// DisableKeepAlives makes each answer end its connection, so that callers move on while
// this daemon still serves what arrives.
func (s *Server) DisableKeepAlives() { s.leaving.Store(true) }

// Drain stops accepting connections and waits for the requests in flight. The
// error says how many were left when ctx ended.
func (s *Server) Drain(ctx context.Context) error {
	s.leaving.Store(true)
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

func (s *Server) begin() { s.inflight.Add(1) }

func (s *Server) end() {
	if s.inflight.Add(-1) > 0 {
		return
	}
	select {
	case s.idle <- struct{}{}:
	default:
	}
}

// stallListener bounds each single write, so that a caller that stops reading
// cannot hold a replica's slot for ever; a whole-answer write timeout would
// cut long streams.
type stallListener struct{ net.Listener }

// Accept wraps the next connection.
func (l stallListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallConn{Conn: c}, nil
}

// stallConn is one caller's connection. One goroutine uses it at a time.
type stallConn struct {
	net.Conn
	linger bool
}

// Write writes within writeStall.
func (c *stallConn) Write(b []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeStall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection. After an answer to a request that was not read
// to its end it first reads on for a while: closing with unread bytes resets
// the connection, and the caller would lose the answer.
func (c *stallConn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.linger {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
	}
	return c.Conn.Close()
}
