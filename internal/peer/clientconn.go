package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/sockpeek"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

var (
	errClosed      = errors.New("connection closed by this daemon")
	errIdle        = errors.New("connection closed after its idle time-out")
	errPingTimeout = errors.New("peer sent nothing within the ping time-out")
)

// States of a call's request frame. The writer changes requestQueued to
// requestWritten, the caller to requestCancelled; whichever swap succeeds first
// decides whether the request was sent.
const (
	requestQueued int32 = iota
	requestWritten
	requestCancelled
)

// pendingCall is a call that has not yet received its response.
type pendingCall struct {
	state    atomic.Int32
	response chan wire.Frame // buffered for the one response
}

func (p *pendingCall) markWritten() bool {
	return p.state.CompareAndSwap(requestQueued, requestWritten)
}

// cancelIfUnsent withdraws the request frame and reports whether it succeeded,
// that is, whether the frame was never written.
func (p *pendingCall) cancelIfUnsent() bool {
	return p.state.CompareAndSwap(requestQueued, requestCancelled)
}

// clientConn is a connection and its pending calls. While calls are pending, its
// timer checks that the peer still responds; otherwise it enforces IdleTimeout.
type clientConn struct {
	addrConn *addrConn
	conn     net.Conn
	out      *writer

	mu         sync.Mutex
	calls      map[uint64]*pendingCall
	lastCallID uint64
	lastRead   time.Time
	// waitingSince is the time at which calls last became non-empty.
	waitingSince time.Time
	pingSentAt   time.Time // zero unless a ping is outstanding
	detached     bool      // replaced by a new connection; closed once no calls are pending
	closeErr     error
	timer        *time.Timer
}

func newClientConn(a *addrConn, conn net.Conn) *clientConn {
	c := &clientConn{
		addrConn: a,
		conn:     conn,
		out:      newWriter(conn, a.client.opts.WriteTimeout),
		calls:    make(map[uint64]*pendingCall),
	}
	c.lastRead = time.Now()
	return c
}

func (c *clientConn) start() {
	go c.out.run()
	go c.readLoop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(c.addrConn.client.opts.IdleTimeout, c.onTimer)
}

// closedByPeer reports whether the peer has closed the connection, which readLoop may
// not have noticed yet. A call on it would not be answered.
func (c *clientConn) closedByPeer() bool {
	counted, ok := c.conn.(countedConn)
	return ok && sockpeek.Peek(counted.Conn) == sockpeek.Closed
}

// close closes the connection. Pending calls fail with err, or with the error of
// an earlier close.
func (c *clientConn) close(err error) {
	c.addrConn.detach(c)
	c.mu.Lock()
	if c.closeErr == nil {
		c.closeErr = err
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	c.out.close()
}

func (c *clientConn) readLoop() {
	in := bufio.NewReader(c.conn)
	for {
		f, err := wire.ReadFrame(in)
		if err != nil {
			c.close(err)
			return
		}
		c.deliver(f)
	}
}

// deliver passes a response to its pending call. It discards a response whose
// caller has given up; call IDs are never reused on a connection, so a late
// response cannot reach another call.
func (c *clientConn) deliver(f wire.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRead = time.Now()
	if !c.pingSentAt.IsZero() {
		c.pingSentAt = time.Time{}
		c.resetTimer(c.addrConn.client.opts.PingAfter)
	}
	p := c.calls[f.CallID]
	if p == nil || f.Flags&wire.FlagResponse == 0 {
		return
	}
	delete(c.calls, f.CallID)
	p.response <- f
}

// call sends f and waits for the response.
func (c *clientConn) call(ctx context.Context, f wire.Frame) (wire.Frame, error) {
	p := &pendingCall{response: make(chan wire.Frame, 1)}
	f.CallID = c.register(p)
	defer c.unregister(f.CallID)
	start := time.Now()
	c.out.enqueue(queuedFrame{frame: f, beforeWrite: p.markWritten}, ctx.Done())
	select {
	case response := <-p.response:
		return response, nil
	case <-c.out.closed:
		return c.closedResult(p)
	case <-ctx.Done():
		c.onCallTimeout(start)
		return wire.Frame{}, callError(p, fault.Timeout, context.Cause(ctx), c.addrConn.addr)
	}
}

// closedResult returns the result of a call whose connection was closed: the
// response if it arrived before that, else an error.
func (c *clientConn) closedResult(p *pendingCall) (wire.Frame, error) {
	select {
	case response := <-p.response:
		return response, nil
	default:
	}
	c.mu.Lock()
	cause := c.closeErr
	c.mu.Unlock()
	if cause == nil {
		cause = net.ErrClosed
	}
	return wire.Frame{}, callError(p, fault.Unavailable, cause, c.addrConn.addr)
}

// callError returns the error of a failed call, with outcome NotRun if its
// request was not sent.
func callError(p *pendingCall, kind fault.Kind, cause error, addr string) error {
	outcome := fault.Unknown
	if p.cancelIfUnsent() {
		outcome = fault.NotRun
	}
	return fault.Wrap(kind, cause, "retry the call or check the peer's log", "call %s", addr).WithOutcome(outcome)
}

// register adds p to the pending calls and returns its call ID.
func (c *clientConn) register(p *pendingCall) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 {
		c.waitingSince = time.Now()
		c.resetTimer(c.addrConn.client.opts.PingAfter)
	}
	c.lastCallID++
	c.calls[c.lastCallID] = p
	return c.lastCallID
}

func (c *clientConn) unregister(callID uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, callID)
}

// resetTimer sets the timer unless the connection is closed. The caller holds mu.
func (c *clientConn) resetTimer(d time.Duration) {
	if c.timer != nil && c.closeErr == nil {
		c.timer.Reset(d)
	}
}
