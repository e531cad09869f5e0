package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/limit"
)

func TestServeWholeStream(t *testing.T) {
	e := startEngine(t, -1)
	r := newRig(e.addr)
	a, err := r.d.Serve(t.Context(), generate(3))
	must.NoError(t, err)
	text, err := collect(a.Stream)
	must.NoError(t, err)
	must.Eq(t, "t1 t2 t3 ", text)
	must.NoError(t, a.Stream.Close())
	must.Eq(t, []limit.Outcome{limit.OK}, r.grants.outcomes)
}

func TestServeResumesACutStream(t *testing.T) {
	tests := []struct {
		name     string
		cutAfter int
		resume   int
		reboots  bool
		blame    limit.Outcome
	}{
		{"after some tokens", 2, 2, false, limit.Cancelled},
		{"before the first token", 0, 0, false, limit.Cancelled},
		{"by a crash", 2, 2, true, limit.Crashed},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			cut, good := startEngine(t, tc.cutAfter), startEngine(t, -1)
			cut.reboots = tc.reboots
			r := newRig(cut.addr, good.addr)
			a, err := r.d.Serve(t.Context(), generate(5))
			must.NoError(t, err)
			text, err := collect(a.Stream)
			must.NoError(t, err)
			must.Eq(t, "t1 t2 t3 t4 t5 ", text)
			must.Eq(t, []int{tc.resume}, good.seen())
			must.Eq(t, []limit.Outcome{tc.blame, limit.OK}, r.grants.outcomes)
		})
	}
}

func TestServeNeverEndsACutStreamAsWhole(t *testing.T) {
	cut := startEngine(t, 2)
	r := newRig(cut.addr)
	r.tables.route.Retries = 0
	a, err := r.d.Serve(t.Context(), generate(5))
	must.NoError(t, err)
	text, err := collect(a.Stream)
	must.Error(t, err)
	must.Eq(t, "t1 t2 ", text)
	must.Eq(t, fault.Interrupted, fault.KindOf(err))
	must.Eq(t, fault.Ran, fault.As(err).Outcome) // tokens were delivered
	_, again := a.Stream.Next()
	must.Error(t, again)
}

func TestServeRejectsTokensOutOfOrder(t *testing.T) {
	skipping, good := startEngine(t, -1), startEngine(t, -1)
	skipping.skip = true
	r := newRig(skipping.addr, good.addr)
	a, err := r.d.Serve(t.Context(), generate(4))
	must.NoError(t, err)
	text, err := collect(a.Stream)
	must.NoError(t, err)
	must.Eq(t, "t1 t2 t3 t4 ", text)
	must.Eq(t, []int{1}, good.seen())
}

func TestServeChecksAgainBeforeSending(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(r *rig)
	}{
		{"domain withdrawn after the grant", func(r *rig) { r.grants.onGrant = func() { r.tables.withdraw("d1") } }},
		{"grant expired", func(r *rig) { r.grants.life = -time.Second }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			e := startEngine(t, -1)
			r := newRig(e.addr)
			r.tables.route.Retries = 0
			tc.setUp(r)
			_, err := r.d.Serve(t.Context(), generate(2))
			must.Error(t, err)
			must.Eq(t, fault.NotRun, fault.As(err).Outcome)
			must.Len(t, 0, e.seen())
			must.Eq(t, []limit.Outcome{limit.Cancelled}, r.grants.outcomes)
		})
	}
}

func TestServeRefusals(t *testing.T) {
	tests := []struct {
		name string
		edit func(r *rig, q *Request)
		kind fault.Kind
	}{
		{"no route", func(_ *rig, q *Request) { q.Kind = "other" }, fault.NotFound},
		{"wrong path", func(_ *rig, q *Request) { q.Path = "/x" }, fault.BadInput},
		{"bad body", func(_ *rig, q *Request) { q.Body = []byte("{") }, fault.BadInput},
		{"no tokens", func(_ *rig, q *Request) { q.Body = []byte(`{"prompt":"p"}`) }, fault.BadInput},
		{"deadline passed", func(_ *rig, q *Request) { q.Received = time.Now().Add(-time.Hour) }, fault.Timeout},
		{"no replica", func(r *rig, _ *Request) { r.grants.addrs = nil }, fault.Unavailable},
		{"not in standing", func(r *rig, _ *Request) {
			r.d.opts.ServingStatus = fakeStanding{fault.Refuse(fault.Isolated, "", "alone")}
		}, fault.Isolated},
		{"no key", func(r *rig, _ *Request) { r.tables.route.Idempotent = false }, fault.BadInput},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			e := startEngine(t, -1)
			r := newRig(e.addr)
			q := generate(2)
			tc.edit(r, q)
			_, err := r.d.Serve(t.Context(), q)
			must.Error(t, err)
			must.Eq(t, tc.kind, fault.KindOf(err))
			must.Eq(t, fault.NotRun, fault.As(err).Outcome)
			must.Len(t, 0, e.seen())
		})
	}
}

func TestCloseCancelsTheAttempt(t *testing.T) {
	e := startEngine(t, -1)
	r := newRig(e.addr)
	a, err := r.d.Serve(t.Context(), generate(1000))
	must.NoError(t, err)
	_, err = a.Stream.Next()
	must.NoError(t, err)
	must.NoError(t, a.Stream.Close())
	must.Eq(t, []limit.Outcome{limit.Cancelled}, r.grants.outcomes)
}

// Once every replica has failed a request, any of them may try again.
func TestServeGoesBackToAReplicaThatFailed(t *testing.T) {
	cut := startEngine(t, 2)
	r := newRig(cut.addr)
	a, err := r.d.Serve(t.Context(), generate(5))
	must.NoError(t, err)
	text, err := collect(a.Stream)
	must.NoError(t, err)
	must.Eq(t, "t1 t2 t3 t4 t5 ", text)
	must.Eq(t, []int{0, 2, 4}, cut.seen())
}
