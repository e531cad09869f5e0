package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/replica"
)

func (f *fixture) renew(g Grant) {
	f.p.Renew(f.now, g.Holder, Renewal{BootID: g.BootID, Grants: []string{g.ID}, Seq: g.Seq})
}

// report delivers a report of n running requests on replica a.
func (f *fixture) report(n int) {
	r := servingReplica("a", "f1")
	r.Inflight, r.ReportedAt = n, f.now
	f.p.SetReplicas(f.now, []replica.Replica{r})
}

// reportReplica delivers a report of n running requests on one replica; the
// others stay unchanged.
func (f *fixture) reportReplica(id string, n int) {
	reps := make([]replica.Replica, 0, len(f.p.replicas))
	for _, rs := range f.p.replicas {
		r := rs.replica
		if r.ID == id {
			r.Inflight, r.ReportedAt = n, f.now
		}
		reps = append(reps, r)
	}
	f.p.SetReplicas(f.now, reps)
}

func TestUsedCount(t *testing.T) {
	cases := []struct {
		name string
		do   func(f *fixture, g Grant)
		want int
	}{
		{"held grant", func(*fixture, Grant) {}, 1},
		{"released grant", func(f *fixture, g Grant) { f.release(g, fastResult()) }, 0},
		{"grant of a cancelled request", func(f *fixture, g Grant) { f.p.Cancel(f.now, g.Holder, g.Request) }, 0},
		{"aborted attempt on a cold replica, within abandonedWorkTime", func(f *fixture, g Grant) {
			f.p.Configure(f.now, Config{Limit: 8, ColdLimit: 4})
			f.release(g, Result{Outcome: Cancelled, Duration: time.Second})
			f.p.Renew(f.now, g.Holder, Renewal{BootID: g.BootID, Seq: g.Seq})
		}, 1},
		{"aborted attempt on a cold replica, after abandonedWorkTime", func(f *fixture, g Grant) {
			f.p.Configure(f.now, Config{Limit: 8, ColdLimit: 4})
			f.release(g, Result{Outcome: Cancelled, Duration: time.Second})
			f.advance(abandonedWorkTime)
		}, 0},
		{"expired grant before the deadline", func(f *fixture, _ Grant) { f.advance(59 * time.Second) }, 1},
		{"expired grant after the deadline", func(f *fixture, _ Grant) { f.advance(GrantTTL); f.advance(time.Minute) }, 0},
		{"renewed grant past its deadline", func(f *fixture, g Grant) {
			for range 70 {
				f.advance(time.Second)
				f.renew(g)
			}
		}, 1},
		{"expired grant, later report of no work", func(f *fixture, _ Grant) {
			f.advance(GrantTTL)
			f.advance(2 * MaxReportLag)
			f.report(0)
		}, 0},
		{"expired grant, report of no work that is too early", func(f *fixture, _ Grant) {
			f.advance(GrantTTL)
			f.report(0)
		}, 1},
		{"lost grant that a renewal does not list", func(f *fixture, g Grant) {
			f.p.Renew(f.now, g.Holder, Renewal{BootID: g.BootID, Seq: g.Seq})
		}, 0},
		{"grant in transit, request listed as pending", func(f *fixture, g Grant) {
			f.p.Renew(f.now, g.Holder, Renewal{BootID: g.BootID, Pending: []string{g.Request}, Seq: g.Seq})
		}, 1},
		{"grant made after the renewal was written", func(f *fixture, g Grant) {
			f.p.Renew(f.now, g.Holder, Renewal{BootID: g.BootID, Seq: g.Seq - 1})
		}, 1},
		{"grant of the holder's earlier process", func(f *fixture, g Grant) {
			f.p.Renew(f.now, g.Holder, Renewal{BootID: "b2"})
			f.advance(GrantTTL)
		}, 1},
		{"grant of the earlier process, later report of no work", func(f *fixture, g Grant) {
			f.p.Renew(f.now, g.Holder, Renewal{BootID: "b2"})
			f.advance(GrantTTL + 2*MaxReportLag)
			f.report(0)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Limit: 4, ColdLimit: 4}, servingReplica("a", "f1"))
			c.do(f, f.mustGrant())
			must.Eq(t, c.want, f.p.replicas["a"].used())
		})
	}
}

func TestRepeatedRequestReturnsSameGrant(t *testing.T) {
	f := newFixture(t, Config{Limit: 4, ColdLimit: 4}, servingReplica("a", "f1"))
	r := f.request()
	first, err := f.p.Acquire(f.now, r)
	must.NoError(t, err)
	again, err := f.p.Acquire(f.now, r)
	must.NoError(t, err)
	must.Eq(t, first, again)
	must.Eq(t, 1, f.p.replicas["a"].used())
}

func TestUsable(t *testing.T) {
	f := newFixture(t, Config{Limit: 4, ColdLimit: 4}, servingReplica("a", "f1"))
	g := f.mustGrant()
	must.True(t, g.Usable(f.now))
	must.False(t, g.Usable(f.now.Add(GrantTTL-MaxClockSkew)))
}
