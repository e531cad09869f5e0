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
	// HandshakeTimeout limits the handshake, IdleTimeout the time between two
	// frames of a client, WriteTimeout a single write, and DrainTimeout the wait
	// for calls in flight when Run ends.
	HandshakeTimeout time.Duration
	IdleTimeout      time.Duration
	WriteTimeout     time.Duration
	DrainTimeout     time.Duration
	// MaxFrameBytes limits the body of a request frame, MaxCalls the calls in
	// flight per connection, and MaxConns the open connections.
	MaxFrameBytes int
	MaxCalls      int
	MaxConns      int
}

// Server accepts connections from other daemons and serves their calls.
type Server struct {
	opts       ServerOptions
	handlers   *shard.Map[wire.Handler]
	conns      *shard.Map[*serverConn]
	openConns  sync.WaitGroup
	connSlots  chan struct{} // holds one element per open connection
	lastConnID atomic.Uint64
	counters   connCounters
}

// NewServer returns a Server. It serves no calls until Run is called.
func NewServer(o ServerOptions) *Server {
	o.HandshakeTimeout = orDefault(o.HandshakeTimeout, defaultHandshakeTimeout)
	o.IdleTimeout = orDefault(o.IdleTimeout, defaultServerIdleTimeout)
	o.WriteTimeout = orDefault(o.WriteTimeout, defaultWriteTimeout)
	o.DrainTimeout = orDefault(o.DrainTimeout, defaultDrainTimeout)
	o.MaxFrameBytes = orDefault(o.MaxFrameBytes, wire.MaxFrameBytes)
	o.MaxCalls = orDefault(o.MaxCalls, defaultMaxCalls)
	o.MaxConns = orDefault(o.MaxConns, defaultMaxConns)
	return &Server{
		opts:      o,
		handlers:  shard.NewMap[wire.Handler](),
		conns:     shard.NewMap[*serverConn](),
		connSlots: make(chan struct{}, o.MaxConns),
	}
}

// Handle sets the handler of a message type. It is safe to call while the server
// runs.
func (s *Server) Handle(t wire.Type, h wire.Handler) { s.handlers.Set(typeKey(t), h) }

// HandleAll sets the handlers of several message types.
func (s *Server) HandleAll(hs wire.Handlers) {
	for t, h := range hs {
		s.Handle(t, h)
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.opts.Listener.Addr().String() }

// Counters returns the server's traffic and connection counts.
func (s *Server) Counters() Counters { return s.counters.snapshot() }

func typeKey(t wire.Type) string { return strconv.Itoa(int(t)) }

// Run serves calls until ctx is cancelled. It then waits up to DrainTimeout for
// calls in flight before it closes their connections.
func (s *Server) Run(ctx context.Context) error {
	connCtx, closeConns := context.WithCancel(context.WithoutCancel(ctx))
	defer closeConns()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.acceptLoop(gctx, connCtx) })
	g.Go(func() error {
		<-gctx.Done()
		return s.opts.Listener.Close()
	})
	err := g.Wait()
	s.drain()
	closeConns()
	s.openConns.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// acceptLoop accepts connections until ctx is cancelled. The connections
// themselves end with connCtx.
func (s *Server) acceptLoop(ctx, connCtx context.Context) error {
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
			klog.ErrorS(err, "failed to accept a peer connection")
			if !pause.For(ctx, defaultDialTimeout) {
				return nil
			}
			continue
		}
		s.admit(connCtx, conn)
	}
}

// admit serves conn in a new goroutine, or closes it if MaxConns is reached.
func (s *Server) admit(ctx context.Context, conn net.Conn) {
	select {
	case s.connSlots <- struct{}{}:
	default:
		klog.InfoS("refused a peer connection: too many connections are open", "remote", conn.RemoteAddr().String(), "limit", s.opts.MaxConns)
		_ = conn.Close()
		return
	}
	s.openConns.Add(1)
	go func() {
		defer s.openConns.Done()
		defer func() { <-s.connSlots }()
		s.serveConn(ctx, countedConn{Conn: conn, counters: &s.counters})
	}()
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the connection is no longer used
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(s.opts.HandshakeTimeout))
	clientID, err := serverHandshake(conn, s.opts.ID, s.opts.Keys)
	if err != nil {
		klog.V(1).InfoS("peer handshake failed", "remote", conn.RemoteAddr().String(), "err", err)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	s.counters.conns.Add(1)
	key := strconv.FormatUint(s.lastConnID.Add(1), 10)
	c := newServerConn(s, conn, clientID)
	s.conns.Set(key, c)
	defer s.conns.Delete(key)
	c.run(ctx)
}

// drain stops reading requests on all connections and waits up to DrainTimeout
// for the connections to finish their calls.
func (s *Server) drain() {
	done := make(chan struct{})
	s.conns.Range(func(_ string, c *serverConn) bool {
		c.startDrain()
		return true
	})
	go func() {
		defer close(done)
		s.openConns.Wait()
	}()
	t := time.NewTimer(s.opts.DrainTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}
