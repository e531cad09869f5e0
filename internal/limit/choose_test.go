package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/replica"
)

func TestChoice(t *testing.T) {
	with := func(r replica.Replica, s replica.Status) replica.Replica { r.Status = s; return r }
	cases := []struct {
		name string
		reps []replica.Replica
		cfg  Config
		do   func(f *fixture) Grant
		want string
	}{
		{
			"the least relative load",
			[]replica.Replica{rep("a", "f1"), rep("b", "f1")},
			Config{Limit: 8, ColdLimit: 2},
			func(f *fixture) Grant {
				f.warmed("a")
				f.granted(without("a"))
				f.granted(without("b"))
				f.granted(without("b"))
				return f.granted()
			}, "a",
		},
		{
			"between equals the least loaded domain",
			[]replica.Replica{rep("a", "f1"), rep("b", "f1"), rep("c", "f2")},
			Config{Limit: 8, ColdLimit: 8},
			func(f *fixture) Grant { f.granted(without("b", "c")); return f.granted() }, "c",
		},
		{
			"not a draining one",
			[]replica.Replica{with(rep("a", "f1"), replica.Draining), rep("b", "f1")},
			Config{Limit: 8, ColdLimit: 8},
			func(f *fixture) Grant { f.granted(); return f.granted() }, "b",
		},
		{
			"not a broken or loading one",
			[]replica.Replica{with(rep("a", "f1"), replica.Broken), with(rep("b", "f1"), replica.Loading), rep("c", "f1")},
			Config{Limit: 8, ColdLimit: 8},
			func(f *fixture) Grant { f.granted(); return f.granted() }, "c",
		},
		{
			"not one in a withdrawn domain",
			[]replica.Replica{rep("a", "f1"), rep("b", "f2")},
			Config{Limit: 8, ColdLimit: 8, Withdrawn: []string{"f1"}},
			func(f *fixture) Grant { f.granted(); return f.granted() }, "b",
		},
		{
			"not an excluded one",
			[]replica.Replica{rep("a", "f1"), rep("b", "f1")},
			Config{Limit: 8, ColdLimit: 8},
			func(f *fixture) Grant { return f.granted(without("a")) }, "b",
		},
		{
			"only a freshly reported one if asked",
			[]replica.Replica{rep("a", "f1"), {ID: "b", Incarnation: "i1", Status: replica.Serving, ReportedAt: epoch.Add(time.Hour)}},
			Config{Limit: 8, ColdLimit: 8},
			func(f *fixture) Grant {
				f.now = epoch.Add(time.Hour)
				return f.granted(func(r *Request) { r.NeedFresh = true })
			}, "b",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.cfg, c.reps...)
			must.Eq(t, c.want, c.do(f).Replica)
		})
	}
}

func fleet(n int) []replica.Replica {
	var reps []replica.Replica
	for i := range n {
		reps = append(reps, rep(fmt.Sprint("r", i), fmt.Sprint("f", i%3)))
	}
	return reps
}

func TestPrefixStays(t *testing.T) {
	f := newFixture(t, Config{Limit: 16, ColdLimit: 16}, fleet(12)...)
	for h := uint64(1); h <= 200; h++ {
		a := f.granted(prefix(h))
		b := f.granted(prefix(h))
		must.Eq(t, a.Replica, b.Replica)
		f.release(a, quick())
		f.release(b, quick())
	}
}

func TestPrefixIsBoundedByLoad(t *testing.T) {
	f := newFixture(t, Config{Limit: 16, ColdLimit: 16}, fleet(12)...)
	most := 0
	for range 96 {
		f.granted(prefix(7))
	}
	for _, u := range f.p.units {
		most = max(most, u.used())
	}
	// The mean is 8 of 16; a popular prefix fills its replica to 1.25 of that.
	must.LessEq(t, 10, most)
}

func TestAloneGetsAnIdleReplicaUnderLoad(t *testing.T) {
	f := newFixture(t, Config{Limit: 2, ColdLimit: 2}, rep("a", "f1"), rep("b", "f1"))
	busy := f.fill()
	r := f.queued(alone)
	f.queued()
	reserved := f.p.reserved
	for _, g := range busy {
		if g.Replica == reserved {
			f.release(g, quick())
		}
	}
	as := f.p.TakeDecisions()
	must.SliceLen(t, 1, as)
	must.Eq(t, r.ID, as[0].Request.ID)
	must.Eq(t, reserved, as[0].Grant.Replica)
	f.release(*as[0].Grant, quick())
	must.SliceLen(t, 1, f.p.TakeDecisions())
}

func TestEveryReplicaTried(t *testing.T) {
	f := newFixture(t, Config{Limit: 2, ColdLimit: 2}, rep("a", "f1"), rep("b", "f1"))
	_, err := f.p.Acquire(f.now, f.request(without("a", "b")))
	must.True(t, fault.Is(err, fault.Unavailable))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

// A replica that a holder found dead gets nothing new until a later report.
func TestCrashedReplicaRestsUntilItReports(t *testing.T) {
	f := newFixture(t, Config{Limit: 4, ColdLimit: 4}, rep("a", "f1"), rep("b", "f1"))
	g := f.granted(without("b"))
	f.release(g, Result{Outcome: Crashed, Duration: time.Second})
	for range 4 {
		must.Eq(t, "b", f.granted().Replica)
	}
	later := rep("a", "f1")
	later.ReportedAt = f.now.Add(time.Second)
	f.now = later.ReportedAt
	f.p.SetReplicas(f.now, []replica.Replica{later, rep("b", "f1")})
	must.Eq(t, "a", f.granted().Replica)
}

// A request whose target died goes to another failure domain while one is open.
func TestAvoidedDomain(t *testing.T) {
	avoiding := func(r *Request) { r.AvoidDomains = []string{"f1"} }
	f := newFixture(t, Config{Limit: 1, ColdLimit: 1}, rep("a", "f1"), rep("b", "f1"), rep("c", "f2"))
	first := f.granted(avoiding)
	must.Eq(t, "c", first.Replica)

	g, err := f.p.Acquire(f.now, f.request(avoiding))
	must.NoError(t, err)
	must.Nil(t, g) // the other domain is only full: the request waits for it
	f.release(first, quick())
	must.Eq(t, "c", f.p.TakeDecisions()[0].Grant.Replica)

	f = newFixture(t, Config{Limit: 1, ColdLimit: 1}, rep("a", "f1"), rep("b", "f1"))
	must.Eq(t, "f1", f.granted(avoiding).FailureDomain)
}
