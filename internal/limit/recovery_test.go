package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

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
	f.p.StartRecovery(f.now, []Peer{{ID: "d1", Domain: "x"}, {ID: "d2", Domain: "y"}}, gone(unreachable))
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
		{"nothing before the holders answered", 0, func(f *fixture) { f.p.ApplyHoldings(f.now, held("d1")) }, 0, 0},
		{"everything once all answered", 0, func(f *fixture) {
			f.p.ApplyHoldings(f.now, held("d1"))
			f.p.ApplyHoldings(f.now, held("d2"))
		}, 4, 2},
		{"what they hold is used", 0, func(f *fixture) {
			f.p.ApplyHoldings(f.now, held("d1", "warm1", "cold1"))
			f.p.ApplyHoldings(f.now, held("d2", "warm2"))
		}, 2, 1},
		{"a silent holder's part stays free, cold replicas rest", 0, func(f *fixture) {
			f.p.ApplyHoldings(f.now, held("d1"))
			f.p.MarkUnresponsive(f.now, "d2")
		}, 2, 0},
		{"a holder that can't be asked likewise", 2, func(f *fixture) {
			f.p.ApplyHoldings(f.now, held("d1"))
			f.p.ApplyHoldings(f.now, held("d2"))
		}, 2, 0},
		{"until its grants must have expired and a report bounds its work", 2, func(f *fixture) {
			f.p.ApplyHoldings(f.now, held("d1"))
			f.p.ApplyHoldings(f.now, held("d2"))
			f.pass(ColdHoldoff)
			f.reportedAt("cold", 0)
		}, 4, 2},
		{"a report from before that bounds nothing", 2, func(f *fixture) {
			f.p.ApplyHoldings(f.now, held("d1"))
			f.p.ApplyHoldings(f.now, held("d2"))
			f.pass(ColdHoldoff - time.Second)
			f.reportedAt("cold", 0)
			f.pass(time.Second)
		}, 4, 0},
		{"the work that the report shows is taken for its own", 2, func(f *fixture) {
			f.p.ApplyHoldings(f.now, held("d1"))
			f.p.ApplyHoldings(f.now, held("d2"))
			f.pass(ColdHoldoff)
			f.reportedAt("cold", 1)
		}, 4, 1},
		{"the wait for answers is short", 0, func(f *fixture) {
			f.p.ApplyHoldings(f.now, held("d1"))
			f.pass(HoldingsTimeout)
		}, 2, 0},
		{"a home lost with its holder leaves no doubt", 0, func(f *fixture) {
			h := held("d1")
			h.LastHome = "d2"
			f.p.ApplyHoldings(f.now, h)
			f.p.MarkUnresponsive(f.now, "d2")
		}, 4, 2},
		{"what others were told to remember of it is used", 0, func(f *fixture) {
			h := held("d1")
			h.LastHome, h.Witnessed = "d2", held("d2", "cold1", "warm1").Grants
			f.p.ApplyHoldings(f.now, h)
			f.p.MarkUnresponsive(f.now, "d2")
		}, 3, 1},
		{"a holder's own list overrules that too", 0, func(f *fixture) {
			h := held("d1")
			h.Witnessed = held("d2", "cold1", "warm1").Grants
			f.p.ApplyHoldings(f.now, h)
			f.p.ApplyHoldings(f.now, held("d2", "warm1"))
		}, 3, 2},
		{"a complete table speaks for the silent", 0, func(f *fixture) {
			f.p.ApplySnapshot(f.now, Snapshot{Complete: true, Grants: held("d2", "cold1").Grants})
			f.p.ApplyHoldings(f.now, held("d1"))
			f.p.MarkUnresponsive(f.now, "d2")
		}, 4, 1},
		{"a holder's own list overrules the table", 0, func(f *fixture) {
			f.p.ApplySnapshot(f.now, Snapshot{Complete: true, Grants: held("d2", "cold1", "cold2").Grants})
			f.p.ApplyHoldings(f.now, held("d1"))
			f.p.ApplyHoldings(f.now, held("d2", "cold2"))
		}, 4, 1},
		{"a daemon from behind a partition: cold rests until it answers", 0, func(f *fixture) {
			f.p.ApplyHoldings(f.now, held("d1"))
			f.p.ApplyHoldings(f.now, held("d2"))
			f.p.AddHolders(f.now, []Peer{{"d1", "x"}, {"d2", "y"}, {"d3", "x"}}, []string{"d3"})
		}, 3, 0},
		{"and its grants count", 0, func(f *fixture) {
			f.p.ApplyHoldings(f.now, held("d1"))
			f.p.ApplyHoldings(f.now, held("d2"))
			f.p.AddHolders(f.now, []Peer{{"d1", "x"}, {"d2", "y"}, {"d3", "x"}}, []string{"d3"})
			f.p.ApplyHoldings(f.now, held("d3", "cold1"))
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
		levels []ReplicaLevel
		want   int
	}{
		{"same incarnation", []ReplicaLevel{{Replica: "cold", Incarnation: "i1", Level: 3, ObservedAt: epoch}}, 3},
		{"another incarnation", []ReplicaLevel{{Replica: "cold", Incarnation: "i0", Level: 3, ObservedAt: epoch}}, 2},
		{"the newest wins", []ReplicaLevel{
			{Replica: "cold", Incarnation: "i1", Level: 4, ObservedAt: epoch},
			{Replica: "cold", Incarnation: "i1", Level: 2, ObservedAt: epoch.Add(time.Second)},
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := takenOver(t, 0)
			f.p.MergeLevels(c.levels)
			must.Eq(t, c.want, f.p.units["cold"].ramp.level)
		})
	}
}

func TestPartition(t *testing.T) {
	cases := []struct {
		name       string
		standing   Visibility
		warm, cold int
	}{
		{"all seen", Visibility{MayUseCold: true, Seen: 15, Total: 15}, 10, 2},
		{"majority", Visibility{MayUseCold: true, Seen: 8, Total: 15}, 6, 2},
		{"minority", Visibility{Seen: 7, Total: 15}, 4, 0},
		{"alone", Visibility{Seen: 1, Total: 15}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Limit: 10, ColdLimit: 2}, rep("warm", "f1"), rep("cold", "f2"))
			f.warmed("warm")
			f.p.SetVisibility(f.now, c.standing)
			gs := f.fill()
			must.Eq(t, c.warm, count(gs, "warm"))
			must.Eq(t, c.cold, count(gs, "cold"))
		})
	}
}

func TestBarredSideRefusesSoon(t *testing.T) {
	f := newFixture(t, Config{Limit: 10, ColdLimit: 2}, rep("cold", "f2"))
	f.p.SetVisibility(f.now, Visibility{Seen: 1, Total: 3})
	f.queued()
	f.pass(barredWait)
	as := f.p.TakeDecisions()
	must.SliceLen(t, 1, as)
	must.True(t, fault.Is(as[0].Err, fault.Unavailable))
}
