package peer

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// ServerOptions configure a Server. Listener, ID and Keys are required; zero
// values elsewhere take defaults.
type ServerOptions struct {
	// Listener is closed by Run.
	Listener net.Listener
	// ID is this daemon's identity.
	ID   string
	Keys Keys
	// HandshakeTimeout bounds the handshake, IdleTimeout the time between two
	// frames of a client, WriteTimeout one write, DrainTimeout the calls in
	// flight at the end of Run.
	HandshakeTimeout time.Duration
	IdleTimeout      time.Duration
	WriteTimeout     time.Duration
	DrainTimeout     time.Duration
	// MaxFrameBytes bounds a question, MaxCalls the calls in flight on one
	// connection, MaxConns the connections.
	MaxFrameBytes int
	MaxCalls      int
	MaxConns      int
}

// Server accepts connections of other daemons and answers their calls.
type Server struct {
	opts     ServerOptions
	handlers *shard.Map[wire.Handler]
	conns    *shard.Map[*serverConn]
	active   sync.WaitGroup
	open     chan struct{} // one slot per connection
	next     atomic.Uint64
	meter    meter
}

// NewServer returns a server that Run starts.
func NewServer(o ServerOptions) *Server {
	o.HandshakeTimeout = orDefault(o.HandshakeTimeout, defaultHandshakeTimeout)
	o.IdleTimeout = orDefault(o.IdleTimeout, defaultServerIdle)
	o.WriteTimeout = orDefault(o.WriteTimeout, defaultWriteTimeout)
	o.DrainTimeout = orDefault(o.DrainTimeout, defaultDrainTimeout)
	o.MaxFrameBytes = orDefault(o.MaxFrameBytes, wire.MaxFrameBytes)
	o.MaxCalls = orDefault(o.MaxCalls, defaultMaxCalls)
	o.MaxConns = orDefault(o.MaxConns, defaultMaxConns)
	return &Server{
		opts:     o,
		handlers: shard.NewMap[wire.Handler](),
		conns:    shard.NewMap[*serverConn](),
		open:     make(chan struct{}, o.MaxConns),
	}
}

// Handle sets the handler of a message type. It may be called at any time.
func (s *Server) Handle(t wire.Type, h wire.Handler) { s.handlers.Set(typeKey(t), h) }

// HandleAll registers the handlers of one concern.
func (s *Server) HandleAll(hs wire.Handlers) {
	for t, h := range hs {
		s.Handle(t, h)
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.opts.Listener.Addr().String() }

// Counters returns the bytes and connections so far.
func (s *Server) Counters() Counters { return s.meter.snapshot() }

func typeKey(t wire.Type) string { return strconv.Itoa(int(t)) }

// Run serves until ctx ends. Calls in flight then get DrainTimeout to finish
// before their connections are closed.
func (s *Server) Run(ctx context.Context) error {
	serving, cut := context.WithCancel(context.WithoutCancel(ctx))
	defer cut()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.accept(gctx, serving) })
	g.Go(func() error {
		<-gctx.Done()
		return s.opts.Listener.Close()
	})
	err := g.Wait()
	s.drain()
	cut()
	s.active.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) accept(ctx, serving context.Context) error {
	for {
		conn, err := s.opts.Listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fault.Wrap(fault.Internal, err, "restart the daemon", "peer listener closed")
		}
		if err != nil {
			klog.ErrorS(err, "Failed to accept a peer connection")
			if !pause.For(ctx, defaultDialTimeout) {
				return nil
			}
			continue
		}
		s.admit(serving, conn)
	}
}

func (s *Server) admit(ctx context.Context, conn net.Conn) {
	select {
	case s.open <- struct{}{}:
	default:
		klog.InfoS("Refused a peer connection", "remote", conn.RemoteAddr().String(), "limit", s.opts.MaxConns)
		_ = conn.Close()
		return
	}
	s.active.Add(1)
	go func() {
		defer s.active.Done()
		defer func() { <-s.open }()
		s.serve(ctx, countedConn{Conn: conn, meter: &s.meter})
	}()
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close() //nolint:errcheck // nothing can be done about it
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(s.opts.HandshakeTimeout))
	from, err := acceptHandshake(conn, s.opts.ID, s.opts.Keys)
	if err != nil {
		klog.V(1).InfoS("Peer handshake failed", "remote", conn.RemoteAddr().String(), "err", err)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	s.meter.conns.Add(1)
	key := strconv.FormatUint(s.next.Add(1), 10)
	c := newServerConn(s, conn, from)
	s.conns.Set(key, c)
	defer s.conns.Delete(key)
	c.run(ctx)
}

// drain stops the reading of new calls and waits for those in flight.
func (s *Server) drain() {
	done := make(chan struct{})
	s.conns.Range(func(_ string, c *serverConn) bool {
		c.stopReading()
		return true
	})
	go func() {
		defer close(done)
		s.active.Wait()
	}()
	t := time.NewTimer(s.opts.DrainTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}
