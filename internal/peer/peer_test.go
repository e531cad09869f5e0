package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	typeEcho wire.Type = 900 + iota
	typeBlock
	typeFail
	typePanic
)

type testMessage struct {
	Kind wire.Type `msgpack:"-"`
	Text string    `msgpack:"t"`
}

func (m *testMessage) WireType() wire.Type { return m.Kind }

func echoMessage(text string) *testMessage { return &testMessage{Kind: typeEcho, Text: text} }

var testKeys = StaticKeys{[]byte("0123456789abcdef")}

// testServer is a running Server with handlers for the test message types. The
// handler of typeBlock sends to blocked and then blocks until release is closed.
type testServer struct {
	server  *Server
	addr    string
	blocked chan struct{}
	release chan struct{}
	stop    context.CancelFunc
	runErr  chan error
}

func newTestServer(t *testing.T, change func(*ServerOptions)) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	o := ServerOptions{Listener: ln, ID: "server", Keys: testKeys}
	if change != nil {
		change(&o)
	}
	s := &testServer{
		server: NewServer(o), addr: ln.Addr().String(),
		blocked: make(chan struct{}, 100), release: make(chan struct{}), runErr: make(chan error, 1),
	}
	s.registerHandlers()
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() { s.runErr <- s.server.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		s.runErr <- <-s.runErr
	})
	return s
}

func (s *testServer) registerHandlers() {
	s.server.Handle(typeEcho, func(_ context.Context, from string, body []byte) (wire.Message, error) {
		in := echoMessage("")
		err := wire.Unmarshal(body, in)
		return echoMessage(from + ":" + in.Text), err
	})
	s.server.Handle(typeBlock, func(ctx context.Context, _ string, _ []byte) (wire.Message, error) {
		s.blocked <- struct{}{}
		select {
		case <-s.release:
			return echoMessage("released"), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	s.server.Handle(typeFail, func(context.Context, string, []byte) (wire.Message, error) {
		return nil, fault.Invalid("pool", "name an existing pool", "no such pool")
	})
	s.server.Handle(typePanic, func(context.Context, string, []byte) (wire.Message, error) { panic("defect") })
}

func newTestClient(t *testing.T, change func(*ClientOptions)) *Client {
	t.Helper()
	o := ClientOptions{ID: "client", Keys: testKeys}
	if change != nil {
		change(&o)
	}
	c := NewClient(o)
	t.Cleanup(c.Close)
	return c
}

func TestConcurrentCallsGetTheirOwnResponses(t *testing.T) {
	s := newTestServer(t, nil)
	c := newTestClient(t, nil)
	var g errgroup.Group
	for i := range 500 {
		g.Go(func() error {
			text := fmt.Sprint(i)
			got := echoMessage("")
			if err := c.Call(context.Background(), s.addr, echoMessage(text), got); err != nil {
				return err
			}
			if want := "client:" + text; got.Text != want {
				return fmt.Errorf("got %q, want %q", got.Text, want)
			}
			return nil
		})
	}
	must.NoError(t, g.Wait())
	test.Eq(t, 1, c.Counters().Conns)
	test.Positive(t, s.server.Counters().BytesIn)
}

func TestErrorResponsesKeepKindAndOutcome(t *testing.T) {
	s := newTestServer(t, func(o *ServerOptions) { o.MaxFrameBytes = 1 << 10 })
	c := newTestClient(t, nil)
	cases := []struct {
		name    string
		req     *testMessage
		kind    fault.Kind
		outcome fault.Outcome
	}{
		{"handler error", &testMessage{Kind: typeFail}, fault.BadInput, fault.NotRun},
		{"unknown message type", &testMessage{Kind: 999}, fault.BadInput, fault.NotRun},
		{"panic", &testMessage{Kind: typePanic}, fault.Internal, fault.Unknown},
		{"frame above the server's limit", echoMessage(string(make([]byte, 2<<10))), fault.Unavailable, fault.Unknown},
		{"frame above the protocol's limit", echoMessage(string(make([]byte, wire.MaxFrameBytes))), fault.TooLarge, fault.NotRun},
	}
	for _, tc := range cases {
		err := c.Call(context.Background(), s.addr, tc.req, echoMessage(""))
		must.Error(t, err, must.Sprint(tc.name))
		test.Eq(t, tc.kind, fault.KindOf(err), test.Sprint(tc.name))
		test.Eq(t, tc.outcome, fault.As(err).Outcome, test.Sprint(tc.name))
	}
	must.NoError(t, c.Call(context.Background(), s.addr, echoMessage("still served"), echoMessage("")))
}

func TestHandshakeKeys(t *testing.T) {
	a, b, other := []byte("key-a-key-a-key-a"), []byte("key-b-key-b-key-b"), []byte("another")
	cases := []struct {
		name           string
		server, client StaticKeys
		ok             bool
	}{
		{"same key", StaticKeys{a}, StaticKeys{a}, true},
		{"server signs with the new key, client with the old one", StaticKeys{b, a}, StaticKeys{a, b}, true},
		{"client does not have the new key yet", StaticKeys{a, b}, StaticKeys{a}, true},
		{"wrong key", StaticKeys{a, b}, StaticKeys{other}, false},
		{"client without a key", StaticKeys{a}, nil, false},
		{"server without a key", nil, StaticKeys{a}, false},
		{"empty keys", StaticKeys{{}}, StaticKeys{{}}, false},
	}
	for _, tc := range cases {
		s := newTestServer(t, func(o *ServerOptions) { o.Keys = tc.server })
		c := newTestClient(t, func(o *ClientOptions) { o.Keys = tc.client })
		err := c.Call(context.Background(), s.addr, echoMessage("x"), echoMessage(""))
		if tc.ok {
			test.NoError(t, err, test.Sprint(tc.name))
			continue
		}
		test.Eq(t, fault.Unauthorized, fault.KindOf(err), test.Sprint(tc.name))
		test.Eq(t, fault.NotRun, fault.As(err).Outcome, test.Sprint(tc.name))
	}
}

// TestUnauthenticatedConnectionsAreClosed covers a peer that sends nothing, one
// that speaks HTTP, and one that announces a frame above the handshake limit.
func TestUnauthenticatedConnectionsAreClosed(t *testing.T) {
	s := newTestServer(t, func(o *ServerOptions) { o.HandshakeTimeout = 50 * time.Millisecond })
	for _, sent := range []string{"", "GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\x01\x00\x00\x03AAAAAAAA"} {
		conn, err := net.Dial("tcp", s.addr)
		must.NoError(t, err)
		_, err = conn.Write([]byte(sent))
		must.NoError(t, err)
		for err == nil {
			_, err = conn.Read(make([]byte, 1024))
		}
		must.NoError(t, conn.Close())
	}
	c := newTestClient(t, nil)
	must.NoError(t, c.Call(context.Background(), s.addr, echoMessage("x"), echoMessage("")))
	test.Eq(t, 1, s.server.Counters().Conns)
}

func TestCallsAboveLimitAreRefusedAsNotRun(t *testing.T) {
	s := newTestServer(t, func(o *ServerOptions) { o.MaxCalls = 1 })
	c := newTestClient(t, nil)
	first := make(chan error, 1)
	go func() { first <- c.Call(context.Background(), s.addr, &testMessage{Kind: typeBlock}, echoMessage("")) }()
	<-s.blocked
	err := c.Call(context.Background(), s.addr, echoMessage("x"), echoMessage(""))
	test.Eq(t, fault.Overload, fault.KindOf(err))
	test.Eq(t, fault.NotRun, fault.As(err).Outcome)
	close(s.release)
	must.NoError(t, <-first)
}

func TestConnectionRefusedIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, ln.Close())
	err = newTestClient(t, nil).Call(context.Background(), ln.Addr().String(), echoMessage("x"), echoMessage(""))
	test.Eq(t, fault.Unavailable, fault.KindOf(err))
	test.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

func TestStopFinishesCallsInFlight(t *testing.T) {
	s := newTestServer(t, nil)
	c := newTestClient(t, nil)
	var answered atomic.Int32
	var g errgroup.Group
	for range 20 {
		g.Go(func() error {
			got := echoMessage("")
			err := c.Call(context.Background(), s.addr, &testMessage{Kind: typeBlock}, got)
			if got.Text == "released" {
				answered.Add(1)
			}
			return err
		})
	}
	for range 20 {
		<-s.blocked
	}
	s.stop()
	close(s.release)
	must.NoError(t, g.Wait())
	test.Eq(t, 20, answered.Load())
	must.NoError(t, <-s.runErr)
	s.runErr <- nil
	err := c.Call(context.Background(), s.addr, echoMessage("x"), echoMessage(""))
	test.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

func TestStopCancelsCallsAfterDrainTimeout(t *testing.T) {
	s := newTestServer(t, func(o *ServerOptions) { o.DrainTimeout = 10 * time.Millisecond })
	c := newTestClient(t, nil)
	failed := make(chan error, 1)
	go func() { failed <- c.Call(context.Background(), s.addr, &testMessage{Kind: typeBlock}, echoMessage("")) }()
	<-s.blocked
	s.stop()
	err := <-failed
	test.Error(t, err)
	test.Eq(t, fault.Unknown, fault.As(err).Outcome)
}
