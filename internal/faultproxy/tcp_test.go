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

// silenceTime is how long a test watches that nothing arrives.
const silenceTime = 50 * time.Millisecond

// echo answers each line with the same line and hands it to the test.
type echo struct {
	ln  net.Listener
	got chan string
}

func newEcho(t *testing.T) *echo {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	e := &echo{ln: ln, got: make(chan string, 100)}
	t.Cleanup(func() { _ = ln.Close() })
	go e.accept()
	return e
}

func (e *echo) accept() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *echo) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			_ = c.Close()
			return
		}
		e.got <- strings.TrimSpace(line)
		_, _ = c.Write([]byte(line))
	}
}

func newTCPLink(t *testing.T, e *echo) *Link {
	t.Helper()
	l, err := NewLink(LinkOptions{Name: "l", Network: TCP, Listen: "127.0.0.1:0", Target: e.ln.Addr().String()})
	must.NoError(t, err)
	t.Cleanup(l.Close)
	return l
}

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

func (c *client) say(t *testing.T, line string) {
	t.Helper()
	_, err := c.Write([]byte(line + "\n"))
	must.NoError(t, err)
}

func (c *client) hear(t *testing.T, want string) {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	got, err := c.r.ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, want, strings.TrimSpace(got))
}

// hearNothing checks that nothing arrives while the test watches.
func (c *client) hearNothing(t *testing.T) {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(silenceTime)))
	_, err := c.r.ReadByte()
	var timeout net.Error
	must.True(t, errors.As(err, &timeout) && timeout.Timeout(), must.Sprintf("%v", err))
}

func (c *client) hearReset(t *testing.T) {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := io.Copy(io.Discard, c.r)
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestForwardsBothWays(t *testing.T) {
	e := newEcho(t)
	c := dial(t, newTCPLink(t, e))
	for _, line := range []string{"a", "b", strings.Repeat("x", 3*chunkBytes)} {
		c.say(t, line)
		c.hear(t, line)
		must.Eq(t, line, <-e.got)
	}
}

func TestHoldIsOneWayAndHeals(t *testing.T) {
	tests := []struct {
		name    string
		faults  Faults
		arrives bool
	}{
		{"to target", Faults{HoldToTarget: true}, false},
		{"to client", Faults{HoldToClient: true}, true},
		{"black hole from the start", Faults{BlackHole: true}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			e := newEcho(t)
			l := newTCPLink(t, e)
			c := dial(t, l)
			must.NoError(t, l.SetFaults(tc.faults))
			c.say(t, "hello")
			if tc.arrives {
				must.Eq(t, "hello", <-e.got)
			}
			c.hearNothing(t)
			must.Eq(t, 0, len(e.got))
			must.NoError(t, l.Heal())
			c.hear(t, "hello")
		})
	}
}

func TestBlackHolePassesExactlyItsBytes(t *testing.T) {
	e := newEcho(t)
	l := newTCPLink(t, e)
	must.NoError(t, l.SetFaults(Faults{BlackHole: true, BlackHoleAfter: 6}))
	c := dial(t, l)
	c.say(t, "hello")
	c.hear(t, "hello")
	c.say(t, "again")
	c.hearNothing(t)
	must.Eq(t, "hello", <-e.got)
	must.Eq(t, 0, len(e.got))
}

func TestCutResetsOpenConnections(t *testing.T) {
	l := newTCPLink(t, newEcho(t))
	c := dial(t, l)
	c.say(t, "a")
	c.hear(t, "a")
	l.ResetConnections()
	c.hearReset(t)
	again := dial(t, l)
	again.say(t, "b")
	again.hear(t, "b")
}

func TestRefuseClosesTheListener(t *testing.T) {
	l := newTCPLink(t, newEcho(t))
	must.NoError(t, l.SetFaults(Faults{Refuse: true}))
	_, err := net.Dial("tcp", l.Addr())
	must.ErrorIs(t, err, syscall.ECONNREFUSED)
	must.NoError(t, l.Heal())
	c := dial(t, l)
	c.say(t, "a")
	c.hear(t, "a")
}

func TestDropAnswerLetsTheRequestThrough(t *testing.T) {
	tests := []struct {
		name  string
		fresh bool // the lost answer is the connection's first
	}{{"first answer", true}, {"later answer", false}}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			e := newEcho(t)
			l := newTCPLink(t, e)
			c := dial(t, l)
			if !tc.fresh {
				c.say(t, "before")
				c.hear(t, "before")
				must.Eq(t, "before", <-e.got)
			}
			must.NoError(t, l.SetFaults(Faults{DropResponses: 1}))
			c.say(t, "lost")
			must.Eq(t, "lost", <-e.got)
			c.hearReset(t)
			next := dial(t, l)
			next.say(t, "kept")
			next.hear(t, "kept")
		})
	}
}

func TestSilenceIsForGood(t *testing.T) {
	l := newTCPLink(t, newEcho(t))
	old := dial(t, l)
	old.say(t, "a")
	old.hear(t, "a")
	l.BlackHoleConnections()
	must.NoError(t, l.Heal())
	old.say(t, "b")
	old.hearNothing(t)
	fresh := dial(t, l)
	fresh.say(t, "c")
	fresh.hear(t, "c")
}

func TestDelayHoldsBackAndKeepsOrder(t *testing.T) {
	const delay = 100 * time.Millisecond
	l := newTCPLink(t, newEcho(t))
	must.NoError(t, l.SetFaults(Faults{DelayMS: int(delay / time.Millisecond)}))
	c := dial(t, l)
	start := time.Now()
	c.say(t, "a")
	c.say(t, "b")
	c.hear(t, "a")
	// A lower bound only: a slow machine can but lengthen the time.
	must.GreaterEq(t, 2*delay, time.Since(start))
	c.hear(t, "b")
}

func TestUnreachableTargetResets(t *testing.T) {
	e := newEcho(t)
	l := newTCPLink(t, e)
	must.NoError(t, e.ln.Close())
	c, err := net.Dial("tcp", l.Addr())
	if err == nil {
		_, err = io.Copy(io.Discard, c)
		must.NoError(t, c.Close())
	}
	// The reset may arrive before the dial has returned or after it.
	must.ErrorIs(t, err, syscall.ECONNRESET)
}
