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
	typeHang
	typeFail
	typePanic
)

type note struct {
	Kind wire.Type `msgpack:"-"`
	Text string    `msgpack:"t"`
}

func (n *note) WireType() wire.Type { return n.Kind }

func echo(text string) *note { return &note{Kind: typeEcho, Text: text} }

var testKeys = StaticKeys{[]byte("0123456789abcdef")}

// bench is a server with the test's handlers; hang blocks until release closes.
type bench struct {
	server  *Server
	addr    string
	hanging chan struct{}
	release chan struct{}
	stop    context.CancelFunc
	ended   chan error
}

func newBench(t *testing.T, change func(*ServerOptions)) *bench {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	o := ServerOptions{Listener: ln, ID: "server", Keys: testKeys}
	if change != nil {
		change(&o)
	}
	b := &bench{
		server: NewServer(o), addr: ln.Addr().String(),
		hanging: make(chan struct{}, 100), release: make(chan struct{}), ended: make(chan error, 1),
	}
	b.handlers()
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go func() { b.ended <- b.server.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		b.ended <- <-b.ended
	})
	return b
}

func (b *bench) handlers() {
	b.server.Handle(typeEcho, func(_ context.Context, from string, body []byte) (wire.Message, error) {
		in := echo("")
		err := wire.Unmarshal(body, in)
		return echo(from + ":" + in.Text), err
	})
	b.server.Handle(typeHang, func(ctx context.Context, _ string, _ []byte) (wire.Message, error) {
		b.hanging <- struct{}{}
		select {
		case <-b.release:
			return echo("released"), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	b.server.Handle(typeFail, func(context.Context, string, []byte) (wire.Message, error) {
		return nil, fault.Invalid("pool", "name an existing pool", "no such pool")
	})
	b.server.Handle(typePanic, func(context.Context, string, []byte) (wire.Message, error) { panic("defect") })
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

func TestCallsArePairedWithTheirAnswers(t *testing.T) {
	b := newBench(t, nil)
	c := newTestClient(t, nil)
	var g errgroup.Group
	for i := range 500 {
		g.Go(func() error {
			text := fmt.Sprint(i)
			got := echo("")
			if err := c.Call(context.Background(), b.addr, echo(text), got); err != nil {
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
	test.Positive(t, b.server.Counters().BytesIn)
}

func TestAnsweredErrorsKeepTheirKind(t *testing.T) {
	b := newBench(t, func(o *ServerOptions) { o.MaxFrameBytes = 1 << 10 })
	c := newTestClient(t, nil)
	cases := []struct {
		name    string
		req     *note
		kind    fault.Kind
		outcome fault.Outcome
	}{
		{"handler's refusal", &note{Kind: typeFail}, fault.BadInput, fault.NotRun},
		{"unknown type", &note{Kind: 999}, fault.BadInput, fault.NotRun},
		{"panic", &note{Kind: typePanic}, fault.Internal, fault.Unknown},
		{"frame over the server's limit", echo(string(make([]byte, 2<<10))), fault.Unavailable, fault.Unknown},
		{"frame over the protocol's limit", echo(string(make([]byte, wire.MaxFrameBytes))), fault.TooLarge, fault.NotRun},
	}
	for _, tc := range cases {
		err := c.Call(context.Background(), b.addr, tc.req, echo(""))
		must.Error(t, err, must.Sprint(tc.name))
		test.Eq(t, tc.kind, fault.KindOf(err), test.Sprint(tc.name))
		test.Eq(t, tc.outcome, fault.As(err).Outcome, test.Sprint(tc.name))
	}
	must.NoError(t, c.Call(context.Background(), b.addr, echo("still served"), echo("")))
}

func TestHandshakeKeys(t *testing.T) {
	a, b, other := []byte("key-a-key-a-key-a"), []byte("key-b-key-b-key-b"), []byte("another")
	cases := []struct {
		name           string
		server, client StaticKeys
		ok             bool
	}{
		{"same key", StaticKeys{a}, StaticKeys{a}, true},
		{"server rotated first", StaticKeys{b, a}, StaticKeys{a, b}, true},
		{"client still without the new key", StaticKeys{a, b}, StaticKeys{a}, true},
		{"wrong key", StaticKeys{a, b}, StaticKeys{other}, false},
		{"no key at the client", StaticKeys{a}, nil, false},
		{"no key at the server", nil, StaticKeys{a}, false},
		{"empty keys", StaticKeys{{}}, StaticKeys{{}}, false},
	}
	for _, tc := range cases {
		s := newBench(t, func(o *ServerOptions) { o.Keys = tc.server })
		c := newTestClient(t, func(o *ClientOptions) { o.Keys = tc.client })
		err := c.Call(context.Background(), s.addr, echo("x"), echo(""))
		if tc.ok {
			test.NoError(t, err, test.Sprint(tc.name))
			continue
		}
		test.Eq(t, fault.Unauthorized, fault.KindOf(err), test.Sprint(tc.name))
		test.Eq(t, fault.NotRun, fault.As(err).Outcome, test.Sprint(tc.name))
	}
}

func TestStrangersAreCutOff(t *testing.T) {
	b := newBench(t, func(o *ServerOptions) { o.HandshakeTimeout = 50 * time.Millisecond })
	for _, sent := range []string{"", "GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\x01\x00\x00\x03AAAAAAAA"} {
		conn, err := net.Dial("tcp", b.addr)
		must.NoError(t, err)
		_, err = conn.Write([]byte(sent))
		must.NoError(t, err)
		for err == nil {
			_, err = conn.Read(make([]byte, 1024))
		}
		must.NoError(t, conn.Close())
	}
	c := newTestClient(t, nil)
	must.NoError(t, c.Call(context.Background(), b.addr, echo("x"), echo("")))
	test.Eq(t, 1, b.server.Counters().Conns)
}

func TestCallLimitRefusesWithNotRun(t *testing.T) {
	b := newBench(t, func(o *ServerOptions) { o.MaxCalls = 1 })
	c := newTestClient(t, nil)
	first := make(chan error, 1)
	go func() { first <- c.Call(context.Background(), b.addr, &note{Kind: typeHang}, echo("")) }()
	<-b.hanging
	err := c.Call(context.Background(), b.addr, echo("x"), echo(""))
	test.Eq(t, fault.Overload, fault.KindOf(err))
	test.Eq(t, fault.NotRun, fault.As(err).Outcome)
	close(b.release)
	must.NoError(t, <-first)
}

func TestNothingListens(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, ln.Close())
	err = newTestClient(t, nil).Call(context.Background(), ln.Addr().String(), echo("x"), echo(""))
	test.Eq(t, fault.Unavailable, fault.KindOf(err))
	test.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

func TestStopFinishesCallsInFlight(t *testing.T) {
	b := newBench(t, nil)
	c := newTestClient(t, nil)
	var answered atomic.Int32
	var g errgroup.Group
	for range 20 {
		g.Go(func() error {
			got := echo("")
			err := c.Call(context.Background(), b.addr, &note{Kind: typeHang}, got)
			if got.Text == "released" {
				answered.Add(1)
			}
			return err
		})
	}
	for range 20 {
		<-b.hanging
	}
	b.stop()
	close(b.release)
	must.NoError(t, g.Wait())
	test.Eq(t, 20, answered.Load())
	must.NoError(t, <-b.ended)
	b.ended <- nil
	err := c.Call(context.Background(), b.addr, echo("x"), echo(""))
	test.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

func TestStopCutsCallsAfterTheDrain(t *testing.T) {
	b := newBench(t, func(o *ServerOptions) { o.DrainTimeout = 10 * time.Millisecond })
	c := newTestClient(t, nil)
	failed := make(chan error, 1)
	go func() { failed <- c.Call(context.Background(), b.addr, &note{Kind: typeHang}, echo("")) }()
	<-b.hanging
	b.stop()
	err := <-failed
	test.Error(t, err)
	test.Eq(t, fault.Unknown, fault.As(err).Outcome)
}
