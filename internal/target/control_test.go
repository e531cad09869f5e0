package target

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// serveControl serves handler on a loopback port and returns its address.
func serveControl(t *testing.T, handler fasthttp.RequestHandler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

func TestControlReport(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	cases := []struct {
		name    string
		handler fasthttp.RequestHandler
		want    fault.Kind
	}{
		{"not JSON", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("<html>") }, fault.BadInput},
		{"an error status", func(ctx *fasthttp.RequestCtx) { ctx.Error("no", 500) }, fault.Unavailable},
		{"too large", func(ctx *fasthttp.RequestCtx) { ctx.SetBody(make([]byte, MaxReportBytes+1)) }, fault.TooLarge},
		{"silence", func(*fasthttp.RequestCtx) { <-hold }, fault.Timeout},
		{"a closed connection", func(ctx *fasthttp.RequestCtx) { ctx.Conn().Close() }, fault.Unavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			control := NewControlClient()
			defer control.Close()
			_, err := control.Report(t.Context(), serveControl(t, c.handler))
			must.Eq(t, c.want, fault.KindOf(err), must.Sprint(err))
			must.NotEq(t, fault.NotRun, fault.As(err).Outcome)
		})
	}
}

func TestControlReportDecodes(t *testing.T) {
	addr := serveControl(t, func(ctx *fasthttp.RequestCtx) {
		must.Eq(t, "/v1/report", string(ctx.Path()))
		ctx.SetBodyString(`{"vm":"v1","boot_id":"b","state":"ready","group":7,"fence":7,"step_ms":1.5,"cached":["m@1"]}`)
	})
	got, err := NewControlClient().Report(t.Context(), addr)
	must.NoError(t, err)
	must.Eq(t, Report{VM: "v1", BootID: "b", State: EngineReady, Group: 7, Fence: 7, StepMs: 1.5, Cached: []string{"m@1"}}, got)
}

func TestControlClosedPortIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, ln.Close())
	_, err = NewControlClient().Report(t.Context(), ln.Addr().String())
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

func TestControlSendOrderMakesOneAttempt(t *testing.T) {
	cases := []struct {
		name   string
		status int
		want   fault.Kind
	}{
		{"taken", fasthttp.StatusAccepted, 0},
		{"old fence", fasthttp.StatusConflict, fault.Conflict},
		{"failing", fasthttp.StatusInternalServerError, fault.Unavailable},
		{"cut", 0, fault.Unavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			calls := make(chan string, 8)
			addr := serveControl(t, func(ctx *fasthttp.RequestCtx) {
				calls <- string(ctx.PostBody())
				if c.status == 0 {
					ctx.Conn().Close()
					return
				}
				ctx.SetStatusCode(c.status)
			})
			err := NewControlClient().SendOrder(t.Context(), addr, Order{ID: "o", Kind: OrderLoad, Fence: 9})
			must.Eq(t, c.want == 0, err == nil)
			if err != nil {
				must.Eq(t, c.want, fault.KindOf(err))
			}
			must.Eq(t, 1, len(calls))
			must.StrContains(t, <-calls, `"fence":9`)
		})
	}
}

func TestControlKeepsToTheContext(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	addr := serveControl(t, func(*fasthttp.RequestCtx) { <-hold })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := NewControlClient().Report(ctx, addr)
	must.Eq(t, fault.Timeout, fault.KindOf(err))
	_, err = NewControlClient().Report(ctx, addr)
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

// lateContext is a context whose deadline has passed and whose timer has not
// fired yet.
type lateContext struct{ context.Context }

func (lateContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }
func (lateContext) Err() error                  { return nil }

// TestControlSendsNothingPastTheDeadline is the cause of a failure of
// TestControlKeepsToTheContext: the connection's deadline fired before the
// context's timer, and the next call was said to have an unknown outcome.
func TestControlSendsNothingPastTheDeadline(t *testing.T) {
	addr := serveControl(t, func(*fasthttp.RequestCtx) { t.Error("a request was sent") })
	_, err := NewControlClient().Report(lateContext{t.Context()}, addr)
	must.Eq(t, fault.Timeout, fault.KindOf(err))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
}
