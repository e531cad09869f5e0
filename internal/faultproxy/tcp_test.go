package faultproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// noDataWait is how long a test waits to check that no data arrives.
const noDataWait = 50 * time.Millisecond

// echoServer sends each line back and passes it to the test through received.
type echoServer struct {
	ln       net.Listener
	received chan string
}

func newEchoServer(t *testing.T) *echoServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	e := &echoServer{ln: ln, received: make(chan string, 100)}
	t.Cleanup(func() { _ = ln.Close() })
	go e.accept()
	return e
}

func (e *echoServer) accept() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *echoServer) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			_ = c.Close()
			return
		}
		e.received <- strings.TrimSpace(line)
		_, _ = c.Write([]byte(line))
	}
}

func newTCPLink(t *testing.T, e *echoServer) *Link {
	t.Helper()
	l, err := NewLink(LinkOptions{Name: "l", Network: TCP, Listen: "127.0.0.1:0", Target: e.ln.Addr().String()})
	must.NoError(t, err)
	t.Cleanup(l.Close)
	return l
}

// client is a test connection through a link.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, l *Link) *client {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &client{Conn: c, r: bufio.NewReader(c)}
}

func (c *client) sendLine(t *testing.T, line string) {
	t.Helper()
	_, err := c.Write([]byte(line + "\n"))
	must.NoError(t, err)
}

// expectLine fails unless the next line is want.
func (c *client) expectLine(t *testing.T, want string) {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	got, err := c.r.ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, want, strings.TrimSpace(got))
}

// expectNoData fails if data arrives within noDataWait.
func (c *client) expectNoData(t *testing.T) {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(noDataWait)))
	_, err := c.r.ReadByte()
	var timeout net.Error
	must.True(t, errors.As(err, &timeout) && timeout.Timeout(), must.Sprintf("%v", err))
}

// expectReset fails unless the connection ends with a reset.
func (c *client) expectReset(t *testing.T) {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := io.Copy(io.Discard, c.r)
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestForwardsBothDirections(t *testing.T) {
	e := newEchoServer(t)
	c := dial(t, newTCPLink(t, e))
	for _, line := range []string{"a", "b", strings.Repeat("x", 3*chunkBytes)} {
		c.sendLine(t, line)
		c.expectLine(t, line)
		must.Eq(t, line, <-e.received)
	}
}

func TestHeldBytesArriveAfterHeal(t *testing.T) {
	tests := []struct {
		name          string
		faults        Faults
		reachesTarget bool // the data reaches the target during the fault
	}{
		{"to target", Faults{HoldToTarget: true}, false},
		{"to client", Faults{HoldToClient: true}, true},
		{"black hole from the start", Faults{BlackHole: true}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			e := newEchoServer(t)
			l := newTCPLink(t, e)
			c := dial(t, l)
			must.NoError(t, l.SetFaults(tc.faults))
			c.sendLine(t, "hello")
			if tc.reachesTarget {
				must.Eq(t, "hello", <-e.received)
			}
			c.expectNoData(t)
			must.Eq(t, 0, len(e.received))
			must.NoError(t, l.Heal())
			c.expectLine(t, "hello")
		})
	}
}

func TestBlackHoleForwardsConfiguredBytes(t *testing.T) {
	e := newEchoServer(t)
	l := newTCPLink(t, e)
	must.NoError(t, l.SetFaults(Faults{BlackHole: true, BlackHoleAfter: 6}))
	c := dial(t, l)
	c.sendLine(t, "hello")
	c.expectLine(t, "hello")
	c.sendLine(t, "again")
	c.expectNoData(t)
	must.Eq(t, "hello", <-e.received)
	must.Eq(t, 0, len(e.received))
}

func TestResetConnections(t *testing.T) {
	l := newTCPLink(t, newEchoServer(t))
	c := dial(t, l)
	c.sendLine(t, "a")
	c.expectLine(t, "a")
	l.ResetConnections()
	c.expectReset(t)
	again := dial(t, l)
	again.sendLine(t, "b")
	again.expectLine(t, "b")
}

func TestRefuseClosesTheListener(t *testing.T) {
	l := newTCPLink(t, newEchoServer(t))
	must.NoError(t, l.SetFaults(Faults{Refuse: true}))
	_, err := net.Dial("tcp", l.Addr())
	must.ErrorIs(t, err, syscall.ECONNREFUSED)
	must.NoError(t, l.Heal())
	c := dial(t, l)
	c.sendLine(t, "a")
	c.expectLine(t, "a")
}

func TestDroppedResponseStillDeliversRequest(t *testing.T) {
	tests := []struct {
		name  string
		first bool // the dropped response is the connection's first
	}{{"first response", true}, {"later response", false}}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			e := newEchoServer(t)
			l := newTCPLink(t, e)
			c := dial(t, l)
			if !tc.first {
				c.sendLine(t, "before")
				c.expectLine(t, "before")
				must.Eq(t, "before", <-e.received)
			}
			must.NoError(t, l.SetFaults(Faults{DropResponses: 1}))
			c.sendLine(t, "lost")
			must.Eq(t, "lost", <-e.received)
			c.expectReset(t)
			next := dial(t, l)
			next.sendLine(t, "kept")
			next.expectLine(t, "kept")
		})
	}
}

func TestBlackHoledConnectionsOutlastHeal(t *testing.T) {
	l := newTCPLink(t, newEchoServer(t))
	blackHoled := dial(t, l)
	blackHoled.sendLine(t, "a")
	blackHoled.expectLine(t, "a")
	l.BlackHoleConnections()
	must.NoError(t, l.Heal())
	blackHoled.sendLine(t, "b")
	blackHoled.expectNoData(t)
	next := dial(t, l)
	next.sendLine(t, "c")
	next.expectLine(t, "c")
}

func TestDelayPreservesOrder(t *testing.T) {
	const delay = 100 * time.Millisecond
	l := newTCPLink(t, newEchoServer(t))
	must.NoError(t, l.SetFaults(Faults{DelayMS: int(delay / time.Millisecond)}))
	c := dial(t, l)
	start := time.Now()
	c.sendLine(t, "a")
	c.sendLine(t, "b")
	c.expectLine(t, "a")
	// Only a lower bound is checked: a slow machine can lengthen the round trip.
	must.GreaterEq(t, 2*delay, time.Since(start))
	c.expectLine(t, "b")
}

func TestUnreachableTargetResets(t *testing.T) {
	e := newEchoServer(t)
	l := newTCPLink(t, e)
	must.NoError(t, e.ln.Close())
	c, err := net.Dial("tcp", l.Addr())
	if err == nil {
		_, err = io.Copy(io.Discard, c)
		must.NoError(t, c.Close())
	}
	// The reset may arrive before or after Dial returns.
	must.ErrorIs(t, err, syscall.ECONNRESET)
}
