package admin

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/audit"
	"github.com/ragwortquay/ragwortquay/internal/control"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/logsvc"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
	"github.com/ragwortquay/ragwortquay/internal/tablefile"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
	"github.com/ragwortquay/ragwortquay/internal/view"
)

const (
	testTimeout = 30 * time.Second
	awaToken    = "0123456789abcdef-awa"
)

// staticTokens maps tokens to operators' names.
type staticTokens map[string]string

func (o staticTokens) Operator(token string) (string, bool) {
	name, ok := o[token]
	return name, ok
}

// runInBackground runs the server until the end of the test and checks that it
// then returns no error.
func runInBackground(t *testing.T, server func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
}

// startServer starts a log stand-in, a control manager and an operators' server,
// and returns the server's URL once it is ready.
func startServer(t *testing.T) string {
	t.Helper()
	svc, err := logsvc.New(logsvc.Options{Addr: "127.0.0.1:0"})
	must.NoError(t, err)
	runInBackground(t, svc.Run)
	log, err := platform.NewLog(platform.Options{URL: svc.URL()})
	must.NoError(t, err)
	v := view.New()
	m := control.New(control.Options{Self: "d1", Addr: "127.0.0.1:1", Log: log, View: v, ReadInterval: 10 * time.Millisecond})
	runInBackground(t, m.Run)

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := New(Options{
		Listener: ln, Auth: staticTokens{awaToken: "awa", "t2": "binta"},
		Service: operate.New(operate.Options{Self: "d1", View: v, Control: m}),
		Metrics: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("requests 1\n") },
	})
	runInBackground(t, s.Run)
	base := "http://" + ln.Addr().String()
	ready := func() bool { return getStatus(t, base+"/readyz") == fasthttp.StatusOK }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(ready), wait.Timeout(testTimeout), wait.Gap(time.Millisecond)))
	return base
}

func getStatus(t *testing.T, url string) int {
	t.Helper()
	status, _, err := fasthttp.Get(nil, url)
	must.NoError(t, err)
	return status
}

func newClient(t *testing.T, base, token string) *Client {
	t.Helper()
	c, err := NewClient(base, token)
	must.NoError(t, err)
	return c
}

func setPool(base string, limit int) operate.Change {
	return operate.Change{Base: base, SetPool: &tablefile.Pool{
		Name: "orders", Kind: table.KindService, VMs: []string{"s1"}, Limit: limit,
	}}
}

func TestApplyTablesStatusAndAudit(t *testing.T) {
	base := startServer(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	awa, binta := newClient(t, base, awaToken), newClient(t, base, "t2")

	first, err := awa.Apply(ctx, operate.ApplyRequest{
		RecordID: "r1", Note: "open", Changes: []operate.Change{setPool("0", 8)}, Wait: tomlfile.Duration(testTimeout),
	})
	must.NoError(t, err)
	must.True(t, first.Accepted)
	must.Eq(t, []operate.RowRevision{{Row: "pool/orders", Revision: 1}}, first.Rows)
	must.Eq(t, first.Propagation.Daemons, first.Propagation.Applied)

	again, err := awa.Apply(ctx, operate.ApplyRequest{RecordID: "r1", Changes: []operate.Change{setPool("0", 8)}})
	must.NoError(t, err)
	must.Eq(t, first.Position, again.Position, must.Sprint("a repeated record id must take effect once"))

	lost, err := binta.Apply(ctx, operate.ApplyRequest{Changes: []operate.Change{setPool("0", 9)}})
	must.NoError(t, err)
	must.False(t, lost.Accepted)
	must.Eq(t, "awa", lost.Winner.Author)
	must.Eq(t, 1, lost.Winner.Revision)

	won, err := binta.Apply(ctx, operate.ApplyRequest{Changes: []operate.Change{setPool(operate.BaseCurrent, 9)}})
	must.NoError(t, err)
	must.True(t, won.Accepted)

	tables, err := awa.Tables(ctx)
	must.NoError(t, err)
	must.Eq(t, 9, tables.Pools[0].Pool.Limit)
	must.Eq(t, "binta", tables.Pools[0].Stamp.Author)

	status, err := awa.Status(ctx)
	must.NoError(t, err)
	must.Eq(t, "serve", status.ServingStatus.Mode)
	must.Eq(t, "d1", status.Pools[0].Home)

	header, entries, err := awa.Audit(ctx, operate.AuditRequest{Filter: audit.Filter{Subject: "pool/orders"}})
	must.NoError(t, err)
	must.True(t, header.Complete)
	must.SliceContainsFunc(t, entries, audit.Refused, func(e audit.Entry, r audit.Result) bool { return e.Result == r })
	last := entries[len(entries)-1]
	must.Eq(t, []audit.RowChange{{
		Name: "pool/orders", Base: 1, Revision: 2, Fields: []table.FieldChange{{Field: "limit", Old: "8", New: "9"}},
	}}, last.Rows)

	end, err := state.ParsePosition(header.End)
	must.NoError(t, err)
	_, entries, err = awa.Audit(ctx, operate.AuditRequest{Filter: audit.Filter{After: &end}, Wait: time.Millisecond})
	must.NoError(t, err)
	must.SliceEmpty(t, entries)
}

func TestRequestErrors(t *testing.T) {
	base := startServer(t)
	ctx := t.Context()
	_, err := newClient(t, base, "wrong").Status(ctx)
	must.True(t, fault.Is(err, fault.Unauthorized))

	awa := newClient(t, base, awaToken)
	invalid := []operate.Change{
		{Base: "0"},
		{Base: "soon", DropPool: "x"},
		{Base: "0", SetPool: &tablefile.Pool{Name: "p", Kind: "fish", Limit: 1}},
	}
	_, err = awa.Apply(ctx, operate.ApplyRequest{Changes: invalid})
	must.True(t, fault.Is(err, fault.BadInput))
	for _, want := range []string{"exactly one", "not a revision", "unknown pool kind"} {
		must.ErrorContains(t, err, want)
	}
	_, err = awa.Apply(ctx, operate.ApplyRequest{})
	must.ErrorContains(t, err, "0 rows")

	unknown := &tablefile.Route{Name: "r", Workspaces: []string{"*"}, Kinds: []string{"*"}, Pools: []string{"none"}}
	resp, err := awa.Apply(ctx, operate.ApplyRequest{Changes: []operate.Change{{Base: "0", SetRoute: unknown}}})
	must.NoError(t, err)
	must.StrContains(t, resp.Reason, `pool "none", which does not exist`)

	must.Eq(t, fasthttp.StatusOK, getStatus(t, base+"/healthz"))
	must.Eq(t, fasthttp.StatusOK, getStatus(t, base+"/metrics"))
	must.Eq(t, fasthttp.StatusNotFound, getStatus(t, base+"/nowhere"))
	must.Eq(t, fasthttp.StatusUnauthorized, getStatus(t, base+"/v1/tables"))
	must.Eq(t, fasthttp.StatusBadRequest, getStatus(t, base+"/v1/apply"))
}
