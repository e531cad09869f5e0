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

// blackholeProxy forwards connections to a server. After a call of blackhole, the
// connections made before it stay open but forward nothing.
type blackholeProxy struct {
	ln      net.Listener
	target  string
	mu      sync.Mutex
	dropped chan struct{} // closed when the connections made so far stop forwarding
}

func newBlackholeProxy(t *testing.T, target string) *blackholeProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &blackholeProxy{ln: ln, target: target, dropped: make(chan struct{})}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			p.forward(t, in)
		}
	}()
	return p
}

func (p *blackholeProxy) forward(t *testing.T, in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	t.Cleanup(func() { _ = in.Close(); _ = out.Close() })
	p.mu.Lock()
	dropped := p.dropped
	p.mu.Unlock()
	go copyUntil(in, out, dropped)
	go copyUntil(out, in, dropped)
}

// copyUntil copies from src to dst until dropped is closed, and discards what
// src sends after that.
func copyUntil(dst, src net.Conn, dropped <-chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		select {
		case <-dropped:
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

func (p *blackholeProxy) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dropped)
	p.dropped = make(chan struct{})
}

func TestUnresponsiveConnectionIsReplacedAfterPingTimeout(t *testing.T) {
	s := newTestServer(t, nil)
	p := newBlackholeProxy(t, s.addr)
	c := newTestClient(t, func(o *ClientOptions) { o.PingAfter, o.PingTimeout = 20*time.Millisecond, 20*time.Millisecond })
	addr := p.ln.Addr().String()
	must.NoError(t, c.Call(context.Background(), addr, echoMessage("before"), echoMessage("")))
	p.blackhole()
	err := c.Call(context.Background(), addr, echoMessage("lost"), echoMessage(""))
	must.Error(t, err)
	test.Eq(t, fault.Unknown, fault.As(err).Outcome)
	must.NoError(t, c.Call(context.Background(), addr, echoMessage("after"), echoMessage("")))
	test.Eq(t, 2, c.Counters().Conns)
	test.Eq(t, 1, c.Counters().PingTimeouts)
}

// TestCallTimeoutMovesNewCallsToNewConnection checks that a call that times out
// before the ping time-out is enough to stop the use of a broken connection.
func TestCallTimeoutMovesNewCallsToNewConnection(t *testing.T) {
	s := newTestServer(t, nil)
	p := newBlackholeProxy(t, s.addr)
	c := newTestClient(t, func(o *ClientOptions) { o.PingAfter, o.PingTimeout = time.Hour, time.Hour })
	addr := p.ln.Addr().String()
	must.NoError(t, c.Call(context.Background(), addr, echoMessage("before"), echoMessage("")))
	p.blackhole()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	err := c.Call(ctx, addr, echoMessage("lost"), echoMessage(""))
	test.Eq(t, fault.Timeout, fault.KindOf(err))
	test.Eq(t, fault.Unknown, fault.As(err).Outcome)
	must.NoError(t, c.Call(context.Background(), addr, echoMessage("after"), echoMessage("")))
	test.Eq(t, 2, c.Counters().Conns)
}

func TestSlowResponseKeepsConnection(t *testing.T) {
	s := newTestServer(t, nil)
	c := newTestClient(t, func(o *ClientOptions) { o.PingAfter, o.PingTimeout = 5*time.Millisecond, time.Second })
	done := make(chan error, 1)
	go func() { done <- c.Call(context.Background(), s.addr, &testMessage{Kind: typeBlock}, echoMessage("")) }()
	<-s.blocked
	before := s.server.Counters().BytesIn
	for s.server.Counters().BytesIn < before+100 { // several pings
		time.Sleep(5 * time.Millisecond)
	}
	close(s.release)
	must.NoError(t, <-done)
	test.Eq(t, 0, c.Counters().PingTimeouts)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	s := newTestServer(t, nil)
	c := newTestClient(t, func(o *ClientOptions) { o.IdleTimeout = 10 * time.Millisecond })
	must.NoError(t, c.Call(context.Background(), s.addr, echoMessage("x"), echoMessage("")))
	a := c.addrConn(s.addr)
	closed := func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.conn == nil
	}
	for !closed() {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, c.Call(context.Background(), s.addr, echoMessage("x"), echoMessage("")))
}
