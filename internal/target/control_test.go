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

func TestControlReportErrors(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	cases := []struct {
		name    string
		handler fasthttp.RequestHandler
		want    fault.Kind
	}{
		{"not JSON", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("<html>") }, fault.BadInput},
		{"an error status", func(ctx *fasthttp.RequestCtx) { ctx.Error("no", 500) }, fault.Unavailable},
		{"too large", func(ctx *fasthttp.RequestCtx) { ctx.SetBody(make([]byte, MaxReportBytes+1)) }, fault.TooLarge},
		{"no response", func(*fasthttp.RequestCtx) { <-release }, fault.Timeout},
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
		{"accepted", fasthttp.StatusAccepted, 0},
		{"stale fencing token", fasthttp.StatusConflict, fault.Conflict},
		{"server error", fasthttp.StatusInternalServerError, fault.Unavailable},
		{"closed connection", 0, fault.Unavailable},
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

func TestControlHonoursContextDeadline(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	addr := serveControl(t, func(*fasthttp.RequestCtx) { <-release })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := NewControlClient().Report(ctx, addr)
	must.Eq(t, fault.Timeout, fault.KindOf(err))
	_, err = NewControlClient().Report(ctx, addr)
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

// expiredContext is a context whose deadline has passed but whose timer has
// not fired yet.
type expiredContext struct{ context.Context }

func (expiredContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }
func (expiredContext) Err() error                  { return nil }

// TestControlSendsNothingAfterDeadline guards against a call that is sent
// after the deadline of its context. The deadline of a connection can fire
// before the timer of the context; the next call then saw no context error,
// was sent, and failed with an unknown outcome instead of NotRun, which made
// TestControlHonoursContextDeadline fail.
func TestControlSendsNothingAfterDeadline(t *testing.T) {
	addr := serveControl(t, func(*fasthttp.RequestCtx) { t.Error("a request was sent") })
	_, err := NewControlClient().Report(expiredContext{t.Context()}, addr)
	must.Eq(t, fault.Timeout, fault.KindOf(err))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
}
