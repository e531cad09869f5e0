package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/dispatch"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

type dispatchFunc func(ctx context.Context, r *dispatch.Request) (*dispatch.Response, error)

func (f dispatchFunc) Serve(ctx context.Context, r *dispatch.Request) (*dispatch.Response, error) {
	return f(ctx, r)
}

type fakeAuth struct{}

func (fakeAuth) Workspace(token string) (string, bool) { return "ws", token == "secret" }

type alwaysReady struct{}

func (alwaysReady) Ready() error { return nil }

// fakeStream yields tokens and then the end event, or err if set. If gate is set,
// each event waits for a value on it.
type fakeStream struct {
	tokens []string
	next   int
	err    error
	gate   chan struct{}
}

func (s *fakeStream) Next() (target.Event, error) {
	if s.gate != nil {
		<-s.gate
	}
	if s.next < len(s.tokens) {
		s.next++
		return target.Event{Index: s.next, Token: target.Token{Text: s.tokens[s.next-1]}}, nil
	}
	if s.err != nil {
		return target.Event{}, s.err
	}
	return target.Event{End: &target.End{RequestID: "r1", Tokens: s.next}}, nil
}

func (s *fakeStream) Close() error { return nil }

func startServer(t *testing.T, d dispatchFunc) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := New(Options{
		Listener: l, Dispatcher: d, Auth: fakeAuth{}, Readiness: alwaysReady{},
		MaxBodyBytes: 1024, MaxHeaderBytes: 1024, MaxConnections: 100,
		IdleTimeout: time.Minute, ReadTimeout: time.Minute,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return s
}

// exchange sends one raw request and returns all bytes until the server closes the
// connection.
func exchange(t *testing.T, s *Server, raw string) string {
	t.Helper()
	c, err := net.Dial("tcp", s.opts.Listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, raw)
	must.NoError(t, err)
	out, err := io.ReadAll(c)
	must.NoError(t, err)
	return string(out)
}

var date = regexp.MustCompile(`Date: [^\r]+`)

func normalise(raw string) []byte {
	out := date.ReplaceAllString(raw, "Date: *")
	return []byte(strings.ReplaceAll(out, "\r\n", "\n"))
}

func rawPost(headers, body string) string {
	return fmt.Sprintf("POST /v1/generate HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer secret\r\nX-Request-Id: r1\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(body), body)
}

func TestResponses(t *testing.T) {
	stream := func(err error, tokens ...string) dispatchFunc {
		return func(context.Context, *dispatch.Request) (*dispatch.Response, error) {
			return &dispatch.Response{RequestID: "r1", Outcome: fault.Ran, Replica: "group-7", Stream: &fakeStream{tokens: tokens, err: err}}, nil
		}
	}
	tests := []struct {
		name, raw string
		d         dispatchFunc
	}{
		{"stream", rawPost("", "{}"), stream(nil, "Two ", "rolls.")},
		{"stream-cut", rawPost("", "{}"), stream(fault.New(fault.Interrupted, "send the request again", "replica was lost"), "Two ")},
		{"buffered", rawPost("", "{}"), func(context.Context, *dispatch.Request) (*dispatch.Response, error) {
			return &dispatch.Response{Outcome: fault.Ran, Replica: "vm-b1", Status: 201, ContentType: "text/plain", Body: []byte("posted"), Replayed: true}, nil
		}},
		{"refused", rawPost("", "{}"), func(context.Context, *dispatch.Request) (*dispatch.Response, error) {
			return nil, fault.Refuse(fault.Overload, "send less", "queue is full").WithRetryAfter(1500 * time.Millisecond)
		}},
		{"unknown", rawPost("", "{}"), func(context.Context, *dispatch.Request) (*dispatch.Response, error) {
			return nil, fault.New(fault.Interrupted, "look the order up before you repeat it", "connection was lost")
		}},
		{"bad-timeout", rawPost("X-Timeout-Ms: soon\r\n", "{}"), nil},
		{"no-token", "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Request-Id: r1\r\n\r\n", nil},
		{"wrong-token", strings.Replace(rawPost("", ""), "secret", "guess", 1), nil},
		{"large-header", rawPost("X-Big: "+strings.Repeat("a", 2000)+"\r\n", ""), nil},
		{"large-body", rawPost("", strings.Repeat("b", 2000)), nil},
		{"not-http", "hello\r\n\r\n", nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := startServer(t, tc.d)
			got := exchange(t, s, tc.raw)
			goldie.New(t).Assert(t, tc.name, normalise(got))
		})
	}
}

// TestDrainFinishesStreams checks that Drain lets a stream in progress reach its end.
func TestDrainFinishesStreams(t *testing.T) {
	gate := make(chan struct{})
	s := startServer(t, func(context.Context, *dispatch.Request) (*dispatch.Response, error) {
		return &dispatch.Response{Outcome: fault.Ran, Stream: &fakeStream{tokens: []string{"a"}, gate: gate}}, nil
	})
	c, err := net.Dial("tcp", s.opts.Listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, rawPost("", "{}"))
	must.NoError(t, err)
	gate <- struct{}{}
	r := bufio.NewReader(c)
	_, err = r.ReadString('\n')
	must.NoError(t, err)

	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	gate <- struct{}{}
	rest, err := io.ReadAll(r)
	must.NoError(t, err)
	must.StrContains(t, string(rest), "event: end")
	must.StrHasSuffix(t, "0\r\n\r\n", string(rest))
	must.NoError(t, <-drained)
	must.Eq(t, 0, s.Inflight())
}

// TestDrainReportsRequestsInFlight checks that a drain whose context has ended
// reports the requests that it leaves unfinished.
func TestDrainReportsRequestsInFlight(t *testing.T) {
	gate := make(chan struct{})
	defer close(gate)
	s := startServer(t, func(context.Context, *dispatch.Request) (*dispatch.Response, error) {
		<-gate
		return nil, fault.Refuse(fault.Unavailable, "", "late")
	})
	c, err := net.Dial("tcp", s.opts.Listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, rawPost("", "{}"))
	must.NoError(t, err)
	for s.Inflight() == 0 { // wait until the server has read the request
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	must.ErrorContains(t, s.Drain(ctx), "1 requests were still in flight")
}
