package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
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
			f.pass(2 * ReportLag)
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
			f.pass(GrantTTL + 2*ReportLag)
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
	must.False(t, g.Usable(f.now.Add(GrantTTL-ClockSkew)))
}

// gone lists daemons that can't be asked, each in a failure domain of its own.
func gone(n int) []Peer {
	var ps []Peer
	for i := range n {
		ps = append(ps, Peer{ID: fmt.Sprint("g", i), Domain: fmt.Sprint("z", i)})
	}
	return ps
}

// takenOver returns a fixture whose pool recovers from d1, d2 and daemons that
// can't be asked.
func takenOver(t *testing.T, unreachable int) *fixture {
	f := newFixture(t, Config{Limit: 4, ColdLimit: 2}, rep("warm", "f1"), rep("cold", "f2"))
	f.warmed("warm")
	f.p.Recover(f.now, []Peer{{ID: "d1", Domain: "x"}, {ID: "d2", Domain: "y"}}, gone(unreachable))
	return f
}

func count(gs []Grant, id string) int {
	n := 0
	for _, g := range gs {
		if g.Replica == id {
			n++
		}
	}
	return n
}

func TestRecovery(t *testing.T) {
	held := func(holder string, ids ...string) Holdings {
		h := Holdings{Holder: holder, Boot: "b1", LastHome: "d1", LastTerm: "0"}
		for _, id := range ids {
			h.Grants = append(h.Grants, Grant{ID: id, Request: id, Replica: id[:len(id)-1], Holder: holder, Boot: "b1", Term: "0", Deadline: epoch.Add(time.Hour)})
		}
		return h
	}
	cases := []struct {
		name        string
		unreachable int
		do          func(f *fixture)
		warm, cold  int
	}{
		{"nothing before the holders answered", 0, func(f *fixture) { f.p.Held(f.now, held("d1")) }, 0, 0},
		{"everything once all answered", 0, func(f *fixture) {
			f.p.Held(f.now, held("d1"))
			f.p.Held(f.now, held("d2"))
		}, 4, 2},
		{"what they hold is used", 0, func(f *fixture) {
			f.p.Held(f.now, held("d1", "warm1", "cold1"))
			f.p.Held(f.now, held("d2", "warm2"))
		}, 2, 1},
		{"a silent holder's part stays free, cold replicas rest", 0, func(f *fixture) {
			f.p.Held(f.now, held("d1"))
			f.p.Silent(f.now, "d2")
		}, 2, 0},
		{"a holder that can't be asked likewise", 2, func(f *fixture) {
			f.p.Held(f.now, held("d1"))
			f.p.Held(f.now, held("d2"))
		}, 2, 0},
		{"until its grants must have expired and a report bounds its work", 2, func(f *fixture) {
			f.p.Held(f.now, held("d1"))
			f.p.Held(f.now, held("d2"))
			f.pass(ColdQuiet)
			f.reportedAt("cold", 0)
		}, 4, 2},
		{"a report from before that bounds nothing", 2, func(f *fixture) {
			f.p.Held(f.now, held("d1"))
			f.p.Held(f.now, held("d2"))
			f.pass(ColdQuiet - time.Second)
			f.reportedAt("cold", 0)
			f.pass(time.Second)
		}, 4, 0},
		{"the work that the report shows is taken for its own", 2, func(f *fixture) {
			f.p.Held(f.now, held("d1"))
			f.p.Held(f.now, held("d2"))
			f.pass(ColdQuiet)
			f.reportedAt("cold", 1)
		}, 4, 1},
		{"the wait for answers is short", 0, func(f *fixture) {
			f.p.Held(f.now, held("d1"))
			f.pass(AnswerWait)
		}, 2, 0},
		{"a home lost with its holder leaves no doubt", 0, func(f *fixture) {
			h := held("d1")
			h.LastHome = "d2"
			f.p.Held(f.now, h)
			f.p.Silent(f.now, "d2")
		}, 4, 2},
		{"what others were told to remember of it is used", 0, func(f *fixture) {
			h := held("d1")
			h.LastHome, h.Notes = "d2", held("d2", "cold1", "warm1").Grants
			f.p.Held(f.now, h)
			f.p.Silent(f.now, "d2")
		}, 3, 1},
		{"a holder's own list overrules that too", 0, func(f *fixture) {
			h := held("d1")
			h.Notes = held("d2", "cold1", "warm1").Grants
			f.p.Held(f.now, h)
			f.p.Held(f.now, held("d2", "warm1"))
		}, 3, 2},
		{"a complete table speaks for the silent", 0, func(f *fixture) {
			f.p.HandedOver(f.now, Table{Complete: true, Grants: held("d2", "cold1").Grants})
			f.p.Held(f.now, held("d1"))
			f.p.Silent(f.now, "d2")
		}, 4, 1},
		{"a holder's own list overrules the table", 0, func(f *fixture) {
			f.p.HandedOver(f.now, Table{Complete: true, Grants: held("d2", "cold1", "cold2").Grants})
			f.p.Held(f.now, held("d1"))
			f.p.Held(f.now, held("d2", "cold2"))
		}, 4, 1},
		{"a daemon from behind a partition: cold rests until it answers", 0, func(f *fixture) {
			f.p.Held(f.now, held("d1"))
			f.p.Held(f.now, held("d2"))
			f.p.Ask(f.now, []Peer{{"d1", "x"}, {"d2", "y"}, {"d3", "x"}}, []string{"d3"})
		}, 3, 0},
		{"and its grants count", 0, func(f *fixture) {
			f.p.Held(f.now, held("d1"))
			f.p.Held(f.now, held("d2"))
			f.p.Ask(f.now, []Peer{{"d1", "x"}, {"d2", "y"}, {"d3", "x"}}, []string{"d3"})
			f.p.Held(f.now, held("d3", "cold1"))
		}, 4, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := takenOver(t, c.unreachable)
			c.do(f)
			gs := f.fill()
			must.Eq(t, c.warm, count(gs, "warm"))
			must.Eq(t, c.cold, count(gs, "cold"))
		})
	}
}

func TestLevelsAreRemembered(t *testing.T) {
	cases := []struct {
		name   string
		levels []Memory
		want   int
	}{
		{"same incarnation", []Memory{{Replica: "cold", Incarnation: "i1", Level: 3, At: epoch}}, 3},
		{"another incarnation", []Memory{{Replica: "cold", Incarnation: "i0", Level: 3, At: epoch}}, 2},
		{"the newest wins", []Memory{
			{Replica: "cold", Incarnation: "i1", Level: 4, At: epoch},
			{Replica: "cold", Incarnation: "i1", Level: 2, At: epoch.Add(time.Second)},
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := takenOver(t, 0)
			f.p.Remember(c.levels)
			must.Eq(t, c.want, f.p.units["cold"].ramp.level)
		})
	}
}

func TestPartition(t *testing.T) {
	cases := []struct {
		name       string
		standing   Standing
		warm, cold int
	}{
		{"all seen", Standing{MayUseCold: true, Seen: 15, Total: 15}, 10, 2},
		{"majority", Standing{MayUseCold: true, Seen: 8, Total: 15}, 6, 2},
		{"minority", Standing{Seen: 7, Total: 15}, 4, 0},
		{"alone", Standing{Seen: 1, Total: 15}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Limit: 10, ColdLimit: 2}, rep("warm", "f1"), rep("cold", "f2"))
			f.warmed("warm")
			f.p.SetStanding(f.now, c.standing)
			gs := f.fill()
			must.Eq(t, c.warm, count(gs, "warm"))
			must.Eq(t, c.cold, count(gs, "cold"))
		})
	}
}

func TestBarredSideRefusesSoon(t *testing.T) {
	f := newFixture(t, Config{Limit: 10, ColdLimit: 2}, rep("cold", "f2"))
	f.p.SetStanding(f.now, Standing{Seen: 1, Total: 3})
	f.queued()
	f.pass(barredWait)
	as := f.p.Answers()
	must.SliceLen(t, 1, as)
	must.True(t, fault.Is(as[0].Err, fault.Unavailable))
}
