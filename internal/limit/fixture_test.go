package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/replica"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture drives a pool with a simulated clock.
type fixture struct {
	t        testing.TB
	p        *Pool
	now      time.Time
	requests int
}

func newFixture(t testing.TB, cfg Config, reps ...replica.Replica) *fixture {
	f := &fixture{t: t, now: epoch, p: New(Identity{Pool: "p", Home: "h", Term: "1"}, cfg)}
	f.p.SetReplicas(f.now, reps)
	return f
}

// servingReplica returns a serving replica.
func servingReplica(id, domain string) replica.Replica {
	return replica.Replica{ID: id, Incarnation: "i1", FailureDomain: domain, Status: replica.Serving, ReportedAt: epoch}
}

// warmUp raises the level of the named replicas to the pool's limit.
func (f *fixture) warmUp(ids ...string) *fixture {
	for _, id := range ids {
		f.p.replica(id).ramp.level = f.p.cfg.Limit
	}
	return f
}

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.p.Tick(f.now)
}

// request returns a request from holder d1 with a new id.
func (f *fixture) request(edit ...func(*Request)) Request {
	f.requests++
	r := Request{ID: fmt.Sprint("q", f.requests), Pool: "p", Workspace: "w", Holder: "d1", BootID: "b1", Seq: uint64(f.requests), Deadline: f.now.Add(time.Minute)}
	for _, e := range edit {
		e(&r)
	}
	return r
}

// mustGrant acquires a grant; the test fails if the request is queued or refused.
func (f *fixture) mustGrant(edit ...func(*Request)) Grant {
	f.t.Helper()
	g, err := f.p.Acquire(f.now, f.request(edit...))
	must.NoError(f.t, err)
	must.NotNil(f.t, g)
	return *g
}

// mustQueue sends a request; the test fails unless it is queued.
func (f *fixture) mustQueue(edit ...func(*Request)) Request {
	f.t.Helper()
	r := f.request(edit...)
	g, err := f.p.Acquire(f.now, r)
	must.NoError(f.t, err)
	must.Nil(f.t, g)
	must.MapContainsKey(f.t, f.p.queue.byID, requestKey(r.Holder, r.ID))
	return r
}

// fill acquires grants until the pool has no free capacity and returns them.
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

// runRounds fills the pool and releases all grants with the result, n times.
func (f *fixture) runRounds(n int, res Result) {
	f.t.Helper()
	for range n {
		for _, g := range f.fill() {
			f.release(g, res)
		}
	}
}

func fastResult() Result { return Result{FirstToken: 50 * time.Millisecond, Duration: time.Second} }

func withPriority(n int) func(*Request) { return func(r *Request) { r.Priority = n } }
func fromWorkspace(workspace string) func(*Request) {
	return func(r *Request) { r.Workspace = workspace }
}

func withTimeout(d time.Duration) func(*Request) {
	return func(r *Request) { r.Deadline = r.Deadline.Add(d - time.Minute) }
}
func excluding(ids ...string) func(*Request) { return func(r *Request) { r.Exclude = ids } }
func withPrefix(h uint64) func(*Request)     { return func(r *Request) { r.Prefix = h } }
func exclusive(r *Request)                   { r.Exclusive = true }
