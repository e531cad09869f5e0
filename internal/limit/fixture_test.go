package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/replica"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture drives a pool by a clock of its own.
type fixture struct {
	t   testing.TB
	p   *Pool
	now time.Time
	n   int
}

func newFixture(t testing.TB, cfg Config, reps ...replica.Replica) *fixture {
	f := &fixture{t: t, now: epoch, p: New(Identity{Pool: "p", Home: "h", Term: "1"}, cfg)}
	f.p.SetReplicas(f.now, reps)
	return f
}

// rep returns a serving replica.
func rep(id, domain string) replica.Replica {
	return replica.Replica{ID: id, Incarnation: "i1", FailureDomain: domain, Status: replica.Serving, ReportedAt: epoch}
}

// warmed raises the named replicas to the pool's limit.
func (f *fixture) warmed(ids ...string) *fixture {
	for _, id := range ids {
		f.p.unit(id).ramp.level = f.p.cfg.Limit
	}
	return f
}

func (f *fixture) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.p.Tick(f.now)
}

// request returns a request from holder d1 with a new id.
func (f *fixture) request(edit ...func(*Request)) Request {
	f.n++
	r := Request{ID: fmt.Sprint("q", f.n), Pool: "p", Workspace: "w", Holder: "d1", Boot: "b1", Seq: uint64(f.n), Deadline: f.now.Add(time.Minute)}
	for _, e := range edit {
		e(&r)
	}
	return r
}

// granted acquires and demands a grant.
func (f *fixture) granted(edit ...func(*Request)) Grant {
	f.t.Helper()
	g, err := f.p.Acquire(f.now, f.request(edit...))
	must.NoError(f.t, err)
	must.NotNil(f.t, g)
	return *g
}

// queued acquires and demands a place in the queue.
func (f *fixture) queued(edit ...func(*Request)) Request {
	f.t.Helper()
	r := f.request(edit...)
	g, err := f.p.Acquire(f.now, r)
	must.NoError(f.t, err)
	must.Nil(f.t, g)
	must.MapContainsKey(f.t, f.p.queue.byID, requestKey(r.Holder, r.ID))
	return r
}

// fill takes grants until none is left and returns them.
func (f *fixture) fill(edit ...func(*Request)) []Grant {
	f.t.Helper()
	var gs []Grant
	for {
		r := f.request(edit...)
		g, err := f.p.Acquire(f.now, r)
		must.NoError(f.t, err)
		if g == nil {
			f.p.Cancel(f.now, r.Holder, r.ID)
			return gs
		}
		gs = append(gs, *g)
	}
}

func (f *fixture) release(g Grant, res Result) {
	f.p.Release(f.now, Release{Grant: g.ID, Result: res})
}

// rounds fills the pool and completes everything, n times over.
func (f *fixture) rounds(n int, res Result) {
	f.t.Helper()
	for range n {
		for _, g := range f.fill() {
			f.release(g, res)
		}
	}
}

func quick() Result { return Result{FirstToken: 50 * time.Millisecond, Duration: time.Second} }

func withPriority(n int) func(*Request)    { return func(r *Request) { r.Priority = n } }
func from(workspace string) func(*Request) { return func(r *Request) { r.Workspace = workspace } }
func within(d time.Duration) func(*Request) {
	return func(r *Request) { r.Deadline = r.Deadline.Add(d - time.Minute) }
}
func without(ids ...string) func(*Request) { return func(r *Request) { r.Exclude = ids } }
func prefix(h uint64) func(*Request)       { return func(r *Request) { r.Prefix = h } }
func alone(r *Request)                     { r.Exclusive = true }
