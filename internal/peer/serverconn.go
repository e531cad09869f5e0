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

// serverConn is one client's connection: one goroutine reads, one writes, and
// at most MaxCalls answer.
type serverConn struct {
	server  *Server
	conn    net.Conn
	from    string
	out     *writer
	slots   chan struct{}
	calls   sync.WaitGroup
	stopped atomic.Bool
}

func newServerConn(s *Server, conn net.Conn, from string) *serverConn {
	return &serverConn{
		server: s,
		conn:   conn,
		from:   from,
		out:    newWriter(conn, s.opts.WriteTimeout),
		slots:  make(chan struct{}, s.opts.MaxCalls),
	}
}

// run reads until the client leaves, is idle for too long or breaks the
// protocol. The context of its calls ends with the connection, except in a
// drain, when calls in flight are answered first.
func (c *serverConn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.out.run()
		cancel()
	}()
	err := c.read(ctx)
	if c.stopped.Load() {
		c.calls.Wait()
		c.out.finish()
	} else {
		klog.V(2).InfoS("Peer connection ended", "peer", c.from, "err", err)
		cancel()
		c.out.close()
	}
	<-written
	c.calls.Wait()
}

// stopReading ends the connection's read loop; answers still go out.
func (c *serverConn) stopReading() {
	c.stopped.Store(true)
	_ = c.conn.SetReadDeadline(time.Now())
}

func (c *serverConn) read(ctx context.Context) error {
	in := bufio.NewReader(c.conn)
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.server.opts.IdleTimeout))
		if c.stopped.Load() {
			return nil
		}
		f, err := wire.ReadFrameLimit(in, c.server.opts.MaxFrameBytes)
		if err != nil {
			return err
		}
		c.dispatch(ctx, f)
	}
}

func (c *serverConn) dispatch(ctx context.Context, f wire.Frame) {
	if f.Type == wire.TypePing {
		c.reply(f, &wire.Ping{}, nil)
		return
	}
	h, ok := c.server.handlers.Get(typeKey(f.Type))
	if !ok {
		c.reply(f, nil, fault.Refuse(fault.BadInput, "run the same release on all daemons", "no handler for message type %d", f.Type))
		return
	}
	select {
	case c.slots <- struct{}{}:
	default:
		c.reply(f, nil, fault.Refuse(fault.Overload, "send fewer calls at once", "more than %d calls in flight", cap(c.slots)))
		return
	}
	c.calls.Add(1)
	go func() {
		defer c.calls.Done()
		defer func() { <-c.slots }()
		m, err := c.handle(ctx, h, f)
		c.reply(f, m, err)
	}()
}

// handle runs h; a panic in it costs the one call, not the daemon.
func (c *serverConn) handle(ctx context.Context, h wire.Handler, f wire.Frame) (m wire.Message, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fault.New(fault.Internal, "report this with the daemon's log", "handler of message type %d: %v", f.Type, r)
			klog.ErrorS(err, "Peer handler panicked", "peer", c.from, "panic", fmt.Sprint(r))
		}
	}()
	return h(ctx, c.from, f.Body)
}

// reply answers question q with m, or with err if that is set.
func (c *serverConn) reply(q wire.Frame, m wire.Message, err error) {
	a, err := answer(q, m, err)
	if err != nil {
		a, err = answer(q, nil, err)
	}
	if err != nil {
		klog.ErrorS(err, "Failed to encode an answer", "peer", c.from)
		return
	}
	c.out.post(outgoing{frame: a}, nil)
}

func answer(q wire.Frame, m wire.Message, failure error) (wire.Frame, error) {
	a := wire.Frame{Flags: wire.FlagResponse, Type: q.Type, CallID: q.CallID}
	if failure != nil {
		a.Flags |= wire.FlagError
		m = wire.FromFault(failure)
	}
	if m == nil {
		return a, nil
	}
	body, err := wire.Marshal(m)
	if err != nil {
		return a, err
	}
	if len(body) > wire.MaxFrameBytes {
		return a, fault.New(fault.TooLarge, "ask for less in one call", "answer of %d bytes exceeds %d", len(body), wire.MaxFrameBytes)
	}
	a.Type, a.Body = m.WireType(), body
	return a, nil
}
