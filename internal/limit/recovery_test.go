package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// unreachablePeers returns n daemons that cannot be reached, each in a failure
// domain of its own.
func unreachablePeers(n int) []Peer {
	var ps []Peer
	for i := range n {
		ps = append(ps, Peer{ID: fmt.Sprint("g", i), Domain: fmt.Sprint("z", i)})
	}
	return ps
}

// recoveringFixture returns a fixture whose pool recovers from the holders d1 and
// d2 and from daemons that are unreachable.
func recoveringFixture(t *testing.T, unreachable int) *fixture {
	f := newFixture(t, Config{Limit: 4, ColdLimit: 2}, servingReplica("warm", "f1"), servingReplica("cold", "f2"))
	f.warmUp("warm")
	f.p.StartRecovery(f.now, []Peer{{ID: "d1", Domain: "x"}, {ID: "d2", Domain: "y"}}, unreachablePeers(unreachable))
	return f
}

func countOn(gs []Grant, id string) int {
	n := 0
	for _, g := range gs {
		if g.Replica == id {
			n++
		}
	}
	return n
}

func TestRecovery(t *testing.T) {
	holdings := func(holder string, ids ...string) Holdings {
		h := Holdings{Holder: holder, BootID: "b1", LastHome: "d1", LastTerm: "0"}
		for _, id := range ids {
			h.Grants = append(h.Grants, Grant{ID: id, Request: id, Replica: id[:len(id)-1], Holder: holder, BootID: "b1", Term: "0", Deadline: epoch.Add(time.Hour)})
		}
		return h
	}
	cases := []struct {
		name        string
		unreachable int
		do          func(f *fixture)
		warm, cold  int
	}{
		{"no grants before the holders answered", 0, func(f *fixture) { f.p.ApplyHoldings(f.now, holdings("d1")) }, 0, 0},
		{"full limits once all holders answered", 0, func(f *fixture) {
			f.p.ApplyHoldings(f.now, holdings("d1"))
			f.p.ApplyHoldings(f.now, holdings("d2"))
		}, 4, 2},
		{"reported grants count as used", 0, func(f *fixture) {
			f.p.ApplyHoldings(f.now, holdings("d1", "warm1", "cold1"))
			f.p.ApplyHoldings(f.now, holdings("d2", "warm2"))
		}, 2, 1},
		{"unresponsive holder: its share is reserved, cold replicas are unused", 0, func(f *fixture) {
			f.p.ApplyHoldings(f.now, holdings("d1"))
			f.p.MarkUnresponsive(f.now, "d2")
		}, 2, 0},
		{"unreachable holders: their share is reserved, cold replicas are unused", 2, func(f *fixture) {
			f.p.ApplyHoldings(f.now, holdings("d1"))
			f.p.ApplyHoldings(f.now, holdings("d2"))
		}, 2, 0},
		{"after ColdHoldoff a report bounds the untracked work", 2, func(f *fixture) {
			f.p.ApplyHoldings(f.now, holdings("d1"))
			f.p.ApplyHoldings(f.now, holdings("d2"))
			f.advance(ColdHoldoff)
			f.reportReplica("cold", 0)
		}, 4, 2},
		{"a report before ColdHoldoff has passed is no bound", 2, func(f *fixture) {
			f.p.ApplyHoldings(f.now, holdings("d1"))
			f.p.ApplyHoldings(f.now, holdings("d2"))
			f.advance(ColdHoldoff - time.Second)
			f.reportReplica("cold", 0)
			f.advance(time.Second)
		}, 4, 0},
		{"work in the report counts as untracked", 2, func(f *fixture) {
			f.p.ApplyHoldings(f.now, holdings("d1"))
			f.p.ApplyHoldings(f.now, holdings("d2"))
			f.advance(ColdHoldoff)
			f.reportReplica("cold", 1)
		}, 4, 1},
		{"grants after HoldingsTimeout although a holder did not answer", 0, func(f *fixture) {
			f.p.ApplyHoldings(f.now, holdings("d1"))
			f.advance(HoldingsTimeout)
		}, 2, 0},
		{"home and holder lost in one failure domain: nothing is unresolved", 0, func(f *fixture) {
			h := holdings("d1")
			h.LastHome = "d2"
			f.p.ApplyHoldings(f.now, h)
			f.p.MarkUnresponsive(f.now, "d2")
		}, 4, 2},
		{"witnessed grants of an unresponsive holder count as used", 0, func(f *fixture) {
			h := holdings("d1")
			h.LastHome, h.Witnessed = "d2", holdings("d2", "cold1", "warm1").Grants
			f.p.ApplyHoldings(f.now, h)
			f.p.MarkUnresponsive(f.now, "d2")
		}, 3, 1},
		{"a holder's own list overrides witnessed grants", 0, func(f *fixture) {
			h := holdings("d1")
			h.Witnessed = holdings("d2", "cold1", "warm1").Grants
			f.p.ApplyHoldings(f.now, h)
			f.p.ApplyHoldings(f.now, holdings("d2", "warm1"))
		}, 3, 2},
		{"a complete snapshot covers unresponsive holders", 0, func(f *fixture) {
			f.p.ApplySnapshot(f.now, Snapshot{Complete: true, Grants: holdings("d2", "cold1").Grants})
			f.p.ApplyHoldings(f.now, holdings("d1"))
			f.p.MarkUnresponsive(f.now, "d2")
		}, 4, 1},
		{"a holder's own list overrides the snapshot", 0, func(f *fixture) {
			f.p.ApplySnapshot(f.now, Snapshot{Complete: true, Grants: holdings("d2", "cold1", "cold2").Grants})
			f.p.ApplyHoldings(f.now, holdings("d1"))
			f.p.ApplyHoldings(f.now, holdings("d2", "cold2"))
		}, 4, 1},
		{"new holder after a partition: cold replicas are unused until it answers", 0, func(f *fixture) {
			f.p.ApplyHoldings(f.now, holdings("d1"))
			f.p.ApplyHoldings(f.now, holdings("d2"))
			f.p.AddHolders(f.now, []Peer{{"d1", "x"}, {"d2", "y"}, {"d3", "x"}}, []string{"d3"})
		}, 3, 0},
		{"new holder after a partition: its grants count as used", 0, func(f *fixture) {
			f.p.ApplyHoldings(f.now, holdings("d1"))
			f.p.ApplyHoldings(f.now, holdings("d2"))
			f.p.AddHolders(f.now, []Peer{{"d1", "x"}, {"d2", "y"}, {"d3", "x"}}, []string{"d3"})
			f.p.ApplyHoldings(f.now, holdings("d3", "cold1"))
		}, 4, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := recoveringFixture(t, c.unreachable)
			c.do(f)
			gs := f.fill()
			must.Eq(t, c.warm, countOn(gs, "warm"))
			must.Eq(t, c.cold, countOn(gs, "cold"))
		})
	}
}

func TestMergeLevels(t *testing.T) {
	cases := []struct {
		name   string
		levels []ReplicaLevel
		want   int
	}{
		{"level of the same incarnation is used", []ReplicaLevel{{Replica: "cold", Incarnation: "i1", Level: 3, ObservedAt: epoch}}, 3},
		{"level of another incarnation is ignored", []ReplicaLevel{{Replica: "cold", Incarnation: "i0", Level: 3, ObservedAt: epoch}}, 2},
		{"newest level is used", []ReplicaLevel{
			{Replica: "cold", Incarnation: "i1", Level: 4, ObservedAt: epoch},
			{Replica: "cold", Incarnation: "i1", Level: 2, ObservedAt: epoch.Add(time.Second)},
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := recoveringFixture(t, 0)
			f.p.MergeLevels(c.levels)
			must.Eq(t, c.want, f.p.replicas["cold"].ramp.level)
		})
	}
}

func TestPartitionLimits(t *testing.T) {
	cases := []struct {
		name       string
		visibility Visibility
		warm, cold int
	}{
		{"all daemons visible", Visibility{MayUseCold: true, Seen: 15, Total: 15}, 10, 2},
		{"majority", Visibility{MayUseCold: true, Seen: 8, Total: 15}, 6, 2},
		{"minority", Visibility{Seen: 7, Total: 15}, 4, 0},
		{"one daemon", Visibility{Seen: 1, Total: 15}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Limit: 10, ColdLimit: 2}, servingReplica("warm", "f1"), servingReplica("cold", "f2"))
			f.warmUp("warm")
			f.p.SetVisibility(f.now, c.visibility)
			gs := f.fill()
			must.Eq(t, c.warm, countOn(gs, "warm"))
			must.Eq(t, c.cold, countOn(gs, "cold"))
		})
	}
}

func TestBlockedPartitionSideRefusesEarly(t *testing.T) {
	f := newFixture(t, Config{Limit: 10, ColdLimit: 2}, servingReplica("cold", "f2"))
	f.p.SetVisibility(f.now, Visibility{Seen: 1, Total: 3})
	f.mustQueue()
	f.advance(partitionWait)
	decisions := f.p.TakeDecisions()
	must.SliceLen(t, 1, decisions)
	must.True(t, fault.Is(decisions[0].Err, fault.Unavailable))
}
