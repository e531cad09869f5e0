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
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

var (
	errClosed = errors.New("connection closed by this daemon")
	errIdle   = errors.New("connection idle")
	errSilent = errors.New("peer did not answer a ping")
)

// The stages of a call's frame. Only the one who moves it on from stageQueued
// decides: the writer to stageWritten, the caller to stageDropped.
const (
	stageQueued int32 = iota
	stageWritten
	stageDropped
)

type pending struct {
	stage  atomic.Int32
	answer chan wire.Frame // holds one
}

func (p *pending) claim() bool { return p.stage.CompareAndSwap(stageQueued, stageWritten) }

// drop takes the frame back and reports whether it was never written.
func (p *pending) drop() bool { return p.stage.CompareAndSwap(stageQueued, stageDropped) }

// clientConn is one connection with its calls. Its timer only runs while there
// is something to watch: the peer's silence while answers are awaited, and
// idleness otherwise.
type clientConn struct {
	link *link
	conn net.Conn
	out  *writer

	mu       sync.Mutex
	calls    map[uint64]*pending
	lastCall uint64
	lastRead time.Time
	// waitFrom is when the first call of the present wait began.
	waitFrom time.Time
	pinged   time.Time // zero unless a ping is under way
	detached bool
	failure  error
	timer    *time.Timer
}

func newClientConn(l *link, conn net.Conn) *clientConn {
	c := &clientConn{
		link:  l,
		conn:  conn,
		out:   newWriter(conn, l.client.opts.WriteTimeout),
		calls: make(map[uint64]*pending),
	}
	c.lastRead = time.Now()
	return c
}

func (c *clientConn) start() {
	go c.out.run()
	go c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(c.link.client.opts.IdleTimeout, c.check)
}

// close gives the connection up; calls without an answer fail with err.
func (c *clientConn) close(err error) {
	c.link.detach(c)
	c.mu.Lock()
	if c.failure == nil {
		c.failure = err
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	c.out.close()
}

func (c *clientConn) read() {
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

// deliver hands an answer to its caller. An answer that nobody awaits any more
// is dropped here: its call number is never used again on this connection.
func (c *clientConn) deliver(f wire.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRead = time.Now()
	if !c.pinged.IsZero() {
		c.pinged = time.Time{}
		c.rearm(c.link.client.opts.PingAfter)
	}
	p := c.calls[f.CallID]
	if p == nil || f.Flags&wire.FlagResponse == 0 {
		return
	}
	delete(c.calls, f.CallID)
	p.answer <- f
}

// call sends f and waits for its answer.
func (c *clientConn) call(ctx context.Context, f wire.Frame) (wire.Frame, error) {
	p := &pending{answer: make(chan wire.Frame, 1)}
	f.CallID = c.register(p)
	defer c.forget(f.CallID)
	begin := time.Now()
	c.out.post(outgoing{frame: f, claim: p.claim}, ctx.Done())
	select {
	case a := <-p.answer:
		return a, nil
	case <-c.out.done:
		return c.broken(p)
	case <-ctx.Done():
		c.suspect(begin)
		return wire.Frame{}, failed(p, fault.Timeout, context.Cause(ctx), c.link.addr)
	}
}

// broken ends a call whose connection ended; the answer may have come first.
func (c *clientConn) broken(p *pending) (wire.Frame, error) {
	select {
	case a := <-p.answer:
		return a, nil
	default:
	}
	c.mu.Lock()
	cause := c.failure
	c.mu.Unlock()
	if cause == nil {
		cause = net.ErrClosed
	}
	return wire.Frame{}, failed(p, fault.Unavailable, cause, c.link.addr)
}

func failed(p *pending, kind fault.Kind, cause error, addr string) error {
	outcome := fault.Unknown
	if p.drop() {
		outcome = fault.NotRun
	}
	return fault.Wrap(kind, cause, "try again or look at the peer's log", "call %s", addr).WithOutcome(outcome)
}

func (c *clientConn) register(p *pending) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 {
		c.waitFrom = time.Now()
		c.rearm(c.link.client.opts.PingAfter)
	}
	c.lastCall++
	c.calls[c.lastCall] = p
	return c.lastCall
}

func (c *clientConn) forget(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, call)
}

func (c *clientConn) rearm(d time.Duration) {
	if c.timer != nil && c.failure == nil {
		c.timer.Reset(d)
	}
}
