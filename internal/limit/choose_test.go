package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/replica"
)

func TestReplicaChoice(t *testing.T) {
	withStatus := func(r replica.Replica, s replica.Status) replica.Replica { r.Status = s; return r }
	cases := []struct {
		name string
		reps []replica.Replica
		cfg  Config
		do   func(f *fixture) Grant
		want string
	}{
		{
			"lowest relative load",
			[]replica.Replica{servingReplica("a", "f1"), servingReplica("b", "f1")},
			Config{Limit: 8, ColdLimit: 2},
			func(f *fixture) Grant {
				f.warmUp("a")
				f.mustGrant(excluding("a"))
				f.mustGrant(excluding("b"))
				f.mustGrant(excluding("b"))
				return f.mustGrant()
			}, "a",
		},
		{
			"equal load: least loaded failure domain",
			[]replica.Replica{servingReplica("a", "f1"), servingReplica("b", "f1"), servingReplica("c", "f2")},
			Config{Limit: 8, ColdLimit: 8},
			func(f *fixture) Grant { f.mustGrant(excluding("b", "c")); return f.mustGrant() }, "c",
		},
		{
			"draining replica is skipped",
			[]replica.Replica{withStatus(servingReplica("a", "f1"), replica.Draining), servingReplica("b", "f1")},
			Config{Limit: 8, ColdLimit: 8},
			func(f *fixture) Grant { f.mustGrant(); return f.mustGrant() }, "b",
		},
		{
			"broken and loading replicas are skipped",
			[]replica.Replica{withStatus(servingReplica("a", "f1"), replica.Broken), withStatus(servingReplica("b", "f1"), replica.Loading), servingReplica("c", "f1")},
			Config{Limit: 8, ColdLimit: 8},
			func(f *fixture) Grant { f.mustGrant(); return f.mustGrant() }, "c",
		},
		{
			"replica in a withdrawn domain is skipped",
			[]replica.Replica{servingReplica("a", "f1"), servingReplica("b", "f2")},
			Config{Limit: 8, ColdLimit: 8, Withdrawn: []string{"f1"}},
			func(f *fixture) Grant { f.mustGrant(); return f.mustGrant() }, "b",
		},
		{
			"excluded replica is skipped",
			[]replica.Replica{servingReplica("a", "f1"), servingReplica("b", "f1")},
			Config{Limit: 8, ColdLimit: 8},
			func(f *fixture) Grant { return f.mustGrant(excluding("a")) }, "b",
		},
		{
			"replica with a recent report if required",
			[]replica.Replica{servingReplica("a", "f1"), {ID: "b", Incarnation: "i1", Status: replica.Serving, ReportedAt: epoch.Add(time.Hour)}},
			Config{Limit: 8, ColdLimit: 8},
			func(f *fixture) Grant {
				f.now = epoch.Add(time.Hour)
				return f.mustGrant(func(r *Request) { r.NeedFresh = true })
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

func servingReplicas(n int) []replica.Replica {
	var reps []replica.Replica
	for i := range n {
		reps = append(reps, servingReplica(fmt.Sprint("r", i), fmt.Sprint("f", i%3)))
	}
	return reps
}

func TestPrefixSticksToReplica(t *testing.T) {
	f := newFixture(t, Config{Limit: 16, ColdLimit: 16}, servingReplicas(12)...)
	for h := uint64(1); h <= 200; h++ {
		a := f.mustGrant(withPrefix(h))
		b := f.mustGrant(withPrefix(h))
		must.Eq(t, a.Replica, b.Replica)
		f.release(a, fastResult())
		f.release(b, fastResult())
	}
}

func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	f := newFixture(t, Config{Limit: 16, ColdLimit: 16}, servingReplicas(12)...)
	maxUsed := 0
	for range 96 {
		f.mustGrant(withPrefix(7))
	}
	for _, rs := range f.p.replicas {
		maxUsed = max(maxUsed, rs.used())
	}
	// The mean load is 8 of 16; prefix affinity fills a replica to 1.25 times that.
	must.LessEq(t, 10, maxUsed)
}

func TestExclusiveRequestGetsIdleReplicaUnderLoad(t *testing.T) {
	f := newFixture(t, Config{Limit: 2, ColdLimit: 2}, servingReplica("a", "f1"), servingReplica("b", "f1"))
	grants := f.fill()
	r := f.mustQueue(exclusive)
	f.mustQueue()
	reserved := f.p.reserved
	for _, g := range grants {
		if g.Replica == reserved {
			f.release(g, fastResult())
		}
	}
	decisions := f.p.TakeDecisions()
	must.SliceLen(t, 1, decisions)
	must.Eq(t, r.ID, decisions[0].Request.ID)
	must.Eq(t, reserved, decisions[0].Grant.Replica)
	f.release(*decisions[0].Grant, fastResult())
	must.SliceLen(t, 1, f.p.TakeDecisions())
}

func TestAllReplicasExcluded(t *testing.T) {
	f := newFixture(t, Config{Limit: 2, ColdLimit: 2}, servingReplica("a", "f1"), servingReplica("b", "f1"))
	_, err := f.p.Acquire(f.now, f.request(excluding("a", "b")))
	must.True(t, fault.Is(err, fault.Unavailable))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

// TestCrashedReplicaUnusedUntilNextReport checks that a replica on which an attempt
// crashed gets no new work until its next report.
func TestCrashedReplicaUnusedUntilNextReport(t *testing.T) {
	f := newFixture(t, Config{Limit: 4, ColdLimit: 4}, servingReplica("a", "f1"), servingReplica("b", "f1"))
	g := f.mustGrant(excluding("b"))
	f.release(g, Result{Outcome: Crashed, Duration: time.Second})
	for range 4 {
		must.Eq(t, "b", f.mustGrant().Replica)
	}
	later := servingReplica("a", "f1")
	later.ReportedAt = f.now.Add(time.Second)
	f.now = later.ReportedAt
	f.p.SetReplicas(f.now, []replica.Replica{later, servingReplica("b", "f1")})
	must.Eq(t, "a", f.mustGrant().Replica)
}

// TestAvoidDomains checks that a request whose target failed goes to another failure
// domain while one is available, and waits for it if it is only full.
func TestAvoidDomains(t *testing.T) {
	avoiding := func(r *Request) { r.AvoidDomains = []string{"f1"} }
	f := newFixture(t, Config{Limit: 1, ColdLimit: 1}, servingReplica("a", "f1"), servingReplica("b", "f1"), servingReplica("c", "f2"))
	first := f.mustGrant(avoiding)
	must.Eq(t, "c", first.Replica)

	g, err := f.p.Acquire(f.now, f.request(avoiding))
	must.NoError(t, err)
	must.Nil(t, g) // the other domain is available but full, so the request is queued
	f.release(first, fastResult())
	must.Eq(t, "c", f.p.TakeDecisions()[0].Grant.Replica)

	f = newFixture(t, Config{Limit: 1, ColdLimit: 1}, servingReplica("a", "f1"), servingReplica("b", "f1"))
	must.Eq(t, "f1", f.mustGrant(avoiding).FailureDomain)
}
