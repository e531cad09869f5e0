package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// serverConn is a client's connection. One goroutine reads requests, one writes
// responses, and at most MaxCalls run handlers.
type serverConn struct {
	server    *Server
	conn      net.Conn
	clientID  string
	out       *writer
	callSlots chan struct{} // holds one element per call in flight
	calls     sync.WaitGroup
	draining  atomic.Bool
}

func newServerConn(s *Server, conn net.Conn, clientID string) *serverConn {
	return &serverConn{
		server:    s,
		conn:      conn,
		clientID:  clientID,
		out:       newWriter(conn, s.opts.WriteTimeout),
		callSlots: make(chan struct{}, s.opts.MaxCalls),
	}
}

// run serves requests until the client disconnects, exceeds IdleTimeout or
// violates the protocol. It then cancels the calls in flight, except during a
// drain, when it first waits for them and sends their responses.
func (c *serverConn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.out.run()
		cancel()
	}()
	err := c.readLoop(ctx)
	if c.draining.Load() {
		c.calls.Wait()
		c.out.finish()
	} else {
		klog.V(2).InfoS("peer connection ended", "peer", c.clientID, "err", err)
		cancel()
		c.out.close()
	}
	<-written
	c.calls.Wait()
}

// startDrain stops reading requests; responses are still sent.
func (c *serverConn) startDrain() {
	c.draining.Store(true)
	_ = c.conn.SetReadDeadline(time.Now())
}

func (c *serverConn) readLoop(ctx context.Context) error {
	in := bufio.NewReader(c.conn)
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.server.opts.IdleTimeout))
		if c.draining.Load() {
			return nil
		}
		f, err := wire.ReadFrameLimit(in, c.server.opts.MaxFrameBytes)
		if err != nil {
			return err
		}
		c.dispatch(ctx, f)
	}
}

// dispatch runs the handler for request f in a new goroutine. It answers pings
// itself and refuses unknown message types and calls above MaxCalls.
func (c *serverConn) dispatch(ctx context.Context, f wire.Frame) {
	if f.Type == wire.TypePing {
		c.respond(f, &wire.Ping{}, nil)
		return
	}
	h, ok := c.server.handlers.Get(typeKey(f.Type))
	if !ok {
		c.respond(f, nil, fault.Refuse(fault.BadInput, "run the same release on all daemons", "no handler for message type %d", f.Type))
		return
	}
	select {
	case c.callSlots <- struct{}{}:
	default:
		c.respond(f, nil, fault.Refuse(fault.Overload, "send fewer calls at once", "more than %d calls in flight", cap(c.callSlots)))
		return
	}
	c.calls.Add(1)
	go func() {
		defer c.calls.Done()
		defer func() { <-c.callSlots }()
		m, err := c.runHandler(ctx, h, f)
		c.respond(f, m, err)
	}()
}

// runHandler calls h and turns a panic into an error, so that it fails only this
// call and not the daemon.
func (c *serverConn) runHandler(ctx context.Context, h wire.Handler, f wire.Frame) (m wire.Message, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fault.New(fault.Internal, "report this with the daemon's log", "handler of message type %d: %v", f.Type, r)
			klog.ErrorS(err, "peer handler panicked", "peer", c.clientID, "panic", fmt.Sprint(r))
		}
	}()
	return h(ctx, c.clientID, f.Body)
}

// respond sends the response to request req: m, or an error response if err is
// set or m cannot be encoded.
func (c *serverConn) respond(req wire.Frame, m wire.Message, err error) {
	f, err := responseFrame(req, m, err)
	if err != nil {
		f, err = responseFrame(req, nil, err)
	}
	if err != nil {
		klog.ErrorS(err, "failed to encode a response", "peer", c.clientID)
		return
	}
	c.out.enqueue(queuedFrame{frame: f}, nil)
}

// responseFrame encodes the response to req: m, or callErr if that is set.
func responseFrame(req wire.Frame, m wire.Message, callErr error) (wire.Frame, error) {
	f := wire.Frame{Flags: wire.FlagResponse, Type: req.Type, CallID: req.CallID}
	if callErr != nil {
		f.Flags |= wire.FlagError
		m = wire.FromFault(callErr)
	}
	if m == nil {
		return f, nil
	}
	body, err := wire.Marshal(m)
	if err != nil {
		return f, err
	}
	if len(body) > wire.MaxFrameBytes {
		return f, fault.New(fault.TooLarge, "request less in one call", "response of %d bytes exceeds the limit of %d", len(body), wire.MaxFrameBytes)
	}
	f.Type, f.Body = m.WireType(), body
	return f, nil
}
