package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/replica"
)

func (f *fixture) renew(g Grant) {
	f.p.Renew(f.now, g.Holder, Renewal{Boot: g.Boot, Grants: []string{g.ID}, Seq: g.Seq})
}

// reported brings a report of so much work.
func (f *fixture) reported(n int) {
	r := rep("a", "f1")
	r.Inflight, r.ReportedAt = n, f.now
	f.p.SetReplicas(f.now, []replica.Replica{r})
}

// reportedAt brings a report of one replica's work and leaves the others.
func (f *fixture) reportedAt(id string, n int) {
	reps := make([]replica.Replica, 0, len(f.p.units))
	for _, u := range f.p.units {
		r := u.rep
		if r.ID == id {
			r.Inflight, r.ReportedAt = n, f.now
		}
		reps = append(reps, r)
	}
	f.p.SetReplicas(f.now, reps)
}

func TestWhatCountsAsUsed(t *testing.T) {
	cases := []struct {
		name string
		do   func(f *fixture, g Grant)
		want int
	}{
		{"a held grant", func(*fixture, Grant) {}, 1},
		{"a released one no more", func(f *fixture, g Grant) { f.release(g, quick()) }, 0},
		{"a cancelled request no more", func(f *fixture, g Grant) { f.p.Cancel(f.now, g.Holder, g.Request) }, 0},
		{"one whose caller left a cold replica, for a while", func(f *fixture, g Grant) {
			f.p.Configure(f.now, Config{Limit: 8, ColdLimit: 4})
			f.release(g, Result{Outcome: Cancelled, Duration: time.Second})
			f.p.Renew(f.now, g.Holder, Renewal{Boot: g.Boot, Seq: g.Seq})
		}, 1},
		{"and then no more", func(f *fixture, g Grant) {
			f.p.Configure(f.now, Config{Limit: 8, ColdLimit: 4})
			f.release(g, Result{Outcome: Cancelled, Duration: time.Second})
			f.pass(lingerTime)
		}, 0},
		{"an expired one until the request's deadline", func(f *fixture, _ Grant) { f.pass(59 * time.Second) }, 1},
		{"an expired one after the deadline no more", func(f *fixture, _ Grant) { f.pass(GrantTTL); f.pass(time.Minute) }, 0},
		{"a renewed one past its deadline", func(f *fixture, g Grant) {
			for range 70 {
				f.pass(time.Second)
				f.renew(g)
			}
		}, 1},
		{"an expired one that a report disproves no more", func(f *fixture, _ Grant) {
			f.pass(GrantTTL)
			f.pass(2 * MaxReportLag)
			f.reported(0)
		}, 0},
		{"an expired one that an early report misses", func(f *fixture, _ Grant) {
			f.pass(GrantTTL)
			f.reported(0)
		}, 1},
		{"a lost one no more after a renewal without it", func(f *fixture, g Grant) {
			f.p.Renew(f.now, g.Holder, Renewal{Boot: g.Boot, Seq: g.Seq})
		}, 0},
		{"one whose answer is under way", func(f *fixture, g Grant) {
			f.p.Renew(f.now, g.Holder, Renewal{Boot: g.Boot, Pending: []string{g.Request}, Seq: g.Seq})
		}, 1},
		{"one granted after the renewal was written", func(f *fixture, g Grant) {
			f.p.Renew(f.now, g.Holder, Renewal{Boot: g.Boot, Seq: g.Seq - 1})
		}, 1},
		{"one of the holder's old process", func(f *fixture, g Grant) {
			f.p.Renew(f.now, g.Holder, Renewal{Boot: "b2"})
			f.pass(GrantTTL)
		}, 1},
		{"one of the old process, disproved, no more", func(f *fixture, g Grant) {
			f.p.Renew(f.now, g.Holder, Renewal{Boot: "b2"})
			f.pass(GrantTTL + 2*MaxReportLag)
			f.reported(0)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Limit: 4, ColdLimit: 4}, rep("a", "f1"))
			c.do(f, f.granted())
			must.Eq(t, c.want, f.p.units["a"].used())
		})
	}
}

func TestRepeatedRequestGetsItsGrant(t *testing.T) {
	f := newFixture(t, Config{Limit: 4, ColdLimit: 4}, rep("a", "f1"))
	r := f.request()
	first, err := f.p.Acquire(f.now, r)
	must.NoError(t, err)
	again, err := f.p.Acquire(f.now, r)
	must.NoError(t, err)
	must.Eq(t, first, again)
	must.Eq(t, 1, f.p.units["a"].used())
}

func TestUsable(t *testing.T) {
	f := newFixture(t, Config{Limit: 4, ColdLimit: 4}, rep("a", "f1"))
	g := f.granted()
	must.True(t, g.Usable(f.now))
	must.False(t, g.Usable(f.now.Add(GrantTTL-MaxClockSkew)))
}
