package faultproxy

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newUDPEchoServer starts a server that sends each datagram back and passes it to
// the returned channel. It returns the server's address.
func newUDPEchoServer(t *testing.T) (string, chan string) {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	received := make(chan string, 100)
	go func() {
		buf := make([]byte, maxDatagramBytes)
		for {
			n, from, err := conn.ReadFrom(buf)
			if err != nil {
				return
			}
			received <- string(buf[:n])
			_, _ = conn.WriteTo(buf[:n], from)
		}
	}()
	return conn.LocalAddr().String(), received
}

func expectDatagram(t *testing.T, c net.Conn, want string) {
	t.Helper()
	buf := make([]byte, maxDatagramBytes)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	n, err := c.Read(buf)
	must.NoError(t, err)
	must.Eq(t, want, string(buf[:n]))
}

func TestUDPFaults(t *testing.T) {
	tests := []struct {
		name          string
		faults        Faults
		reachesTarget bool // the datagram reaches the target during the fault
	}{
		{"refuse", Faults{Refuse: true}, false},
		{"hold to target", Faults{HoldToTarget: true}, false},
		{"hold to client", Faults{HoldToClient: true}, true},
		{"black hole", Faults{BlackHole: true, BlackHoleAfter: 3}, false},
		{"drop response", Faults{DropResponses: 1}, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			target, got := newUDPEchoServer(t)
			l, err := NewLink(LinkOptions{Name: "u", Network: UDP, Listen: "127.0.0.1:0", Target: target})
			must.NoError(t, err)
			t.Cleanup(l.Close)
			c, err := net.Dial("udp", l.Addr())
			must.NoError(t, err)
			t.Cleanup(func() { _ = c.Close() })

			must.NoError(t, l.SetFaults(tc.faults))
			_, err = c.Write([]byte("lost"))
			must.NoError(t, err)
			if tc.reachesTarget {
				must.Eq(t, "lost", <-got)
			}
			buf := make([]byte, maxDatagramBytes)
			must.NoError(t, c.SetReadDeadline(time.Now().Add(noDataWait)))
			_, err = c.Read(buf)
			must.Error(t, err)
			must.Eq(t, 0, len(got))

			must.NoError(t, l.SetFaults(Faults{DelayMS: 20}))
			_, err = c.Write([]byte("kept"))
			must.NoError(t, err)
			expectDatagram(t, c, "kept")
		})
	}
}

func TestControlServer(t *testing.T) {
	p, err := New("127.0.0.1:0")
	must.NoError(t, err)
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = p.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })

	e := newEchoServer(t)
	post(t, p, "/v1/links", LinkOptions{Name: "a", Network: TCP, Listen: "127.0.0.1:0", Target: e.ln.Addr().String()}, 200)
	post(t, p, "/v1/links", LinkOptions{Name: "a", Network: TCP, Listen: "127.0.0.1:0", Target: e.ln.Addr().String()}, 400)
	l, ok := p.Link("a")
	must.True(t, ok)
	c := dial(t, l)
	post(t, p, "/v1/faults", FaultRequest{Links: []string{"a"}, Faults: &Faults{HoldToClient: true}}, 200)
	must.True(t, l.Faults().HoldToClient)
	c.sendLine(t, "x")
	c.expectNoData(t)
	post(t, p, "/v1/faults", FaultRequest{Action: ActionHeal}, 200)
	c.expectLine(t, "x")
	post(t, p, "/v1/faults", FaultRequest{Action: ActionReset}, 200)
	c.expectReset(t)
	post(t, p, "/v1/faults", FaultRequest{Action: "nonsense"}, 400)
}

func post(t *testing.T, p *Proxy, path string, body any, want int) {
	t.Helper()
	data, err := json.Marshal(body)
	must.NoError(t, err)
	resp, err := http.Post("http://"+p.Addr()+path, "application/json", bytes.NewReader(data))
	must.NoError(t, err)
	_ = resp.Body.Close()
	must.Eq(t, want, resp.StatusCode)
}

func TestFaultsLimitedToClientIPs(t *testing.T) {
	target, got := newUDPEchoServer(t)
	l, err := NewLink(LinkOptions{Name: "u", Network: UDP, Listen: "127.0.0.1:0", Target: target})
	must.NoError(t, err)
	defer l.Close()
	must.NoError(t, l.SetFaults(Faults{HoldToTarget: true, ClientIPs: []string{"127.0.1.9"}}))
	dial := func(ip string) net.Conn {
		c, err := (&net.Dialer{LocalAddr: &net.UDPAddr{IP: net.ParseIP(ip)}}).Dial("udp", l.Addr())
		must.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	held, free := dial("127.0.1.9"), dial("127.0.1.8")
	_, err = held.Write([]byte("held"))
	must.NoError(t, err)
	_, err = free.Write([]byte("free"))
	must.NoError(t, err)
	expectDatagram(t, free, "free")
	must.Eq(t, "free", <-got)
}
