package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// relay forwards connections to a server; connections made before silence was
// called pass nothing on from then, without being closed.
type relay struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	silent chan struct{}
}

func newRelay(t *testing.T, target string) *relay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &relay{ln: ln, target: target, silent: make(chan struct{})}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			r.forward(t, in)
		}
	}()
	return r
}

func (r *relay) forward(t *testing.T, in net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	t.Cleanup(func() { _ = in.Close(); _ = out.Close() })
	r.mu.Lock()
	silent := r.silent
	r.mu.Unlock()
	go pump(in, out, silent)
	go pump(out, in, silent)
}

func pump(dst, src net.Conn, silent <-chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		select {
		case <-silent:
			_, _ = io.Copy(io.Discard, src)
			return
		default:
		}
		if err != nil {
			_ = dst.Close()
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silent)
	r.silent = make(chan struct{})
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	b := newBench(t, nil)
	r := newRelay(t, b.addr)
	c := newTestClient(t, func(o *ClientOptions) { o.PingAfter, o.PingTimeout = 20*time.Millisecond, 20*time.Millisecond })
	addr := r.ln.Addr().String()
	must.NoError(t, c.Call(context.Background(), addr, echo("before"), echo("")))
	r.silence()
	err := c.Call(context.Background(), addr, echo("lost"), echo(""))
	must.Error(t, err)
	test.Eq(t, fault.Unknown, fault.As(err).Outcome)
	must.NoError(t, c.Call(context.Background(), addr, echo("after"), echo("")))
	test.Eq(t, 2, c.Counters().Conns)
	test.Eq(t, 1, c.Counters().PingTimeouts)
}

func TestShortDeadlineMovesNewCallsToANewConnection(t *testing.T) {
	b := newBench(t, nil)
	r := newRelay(t, b.addr)
	c := newTestClient(t, func(o *ClientOptions) { o.PingAfter, o.PingTimeout = time.Hour, time.Hour })
	addr := r.ln.Addr().String()
	must.NoError(t, c.Call(context.Background(), addr, echo("before"), echo("")))
	r.silence()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	err := c.Call(ctx, addr, echo("lost"), echo(""))
	test.Eq(t, fault.Timeout, fault.KindOf(err))
	test.Eq(t, fault.Unknown, fault.As(err).Outcome)
	must.NoError(t, c.Call(context.Background(), addr, echo("after"), echo("")))
	test.Eq(t, 2, c.Counters().Conns)
}

func TestSlowAnswerIsNotSilence(t *testing.T) {
	b := newBench(t, nil)
	c := newTestClient(t, func(o *ClientOptions) { o.PingAfter, o.PingTimeout = 5*time.Millisecond, time.Second })
	done := make(chan error, 1)
	go func() { done <- c.Call(context.Background(), b.addr, &note{Kind: typeHang}, echo("")) }()
	<-b.hanging
	before := b.server.Counters().BytesIn
	for b.server.Counters().BytesIn < before+100 { // several pings
		time.Sleep(5 * time.Millisecond)
	}
	close(b.release)
	must.NoError(t, <-done)
	test.Eq(t, 0, c.Counters().PingTimeouts)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	b := newBench(t, nil)
	c := newTestClient(t, func(o *ClientOptions) { o.IdleTimeout = 10 * time.Millisecond })
	must.NoError(t, c.Call(context.Background(), b.addr, echo("x"), echo("")))
	l := c.link(b.addr)
	gone := func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.conn == nil
	}
	for !gone() {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, c.Call(context.Background(), b.addr, echo("x"), echo("")))
}
