package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// overhead is the time that detection, agreement and orders may add to a load.
const overhead = 1500 * time.Millisecond

func (s *session) member(rank int) string { return s.group().Members[rank].VM }

func (s *session) group() state.Group {
	groups := s.w.Groups("p")
	must.SliceNotEmpty(s.t, groups)
	return groups[0]
}

func TestFormsGroupsAndServes(t *testing.T) {
	play(t, testPool(2, 5), func(s *session) {
		must.Less(t, fetchTime+overhead, s.served(2))
		for _, r := range s.serving() {
			must.Eq(t, replica.GroupID(r.Group), r.ID)
			must.Eq(t, r.Leader, r.Addr)
		}
		must.Eq(t, 1, s.m.Stats()[0].Spares)
	})
}

func TestSpareReplacesKilledMember(t *testing.T) {
	play(t, testPool(3, 4), func(s *session) {
		s.served(1)
		lost := s.member(1)
		s.w.with(func() { s.w.engines[lost].dead = true })
		s.served(0)
		must.Less(t, fetchTime+overhead, s.served(1))
		must.False(t, slices.ContainsFunc(s.group().Members, func(m state.Member) bool { return m.VM == lost }))
	})
}

func TestPausedMemberReturnsWithoutLoad(t *testing.T) {
	play(t, testPool(3, 3), func(s *session) {
		s.served(1)
		id, paused := s.group().ID, s.member(2)
		s.w.with(func() { s.w.engines[paused].paused = true })
		s.served(0)
		time.Sleep(20 * time.Second)
		s.w.with(func() { s.w.engines[paused].paused = false })
		must.LessEq(t, time.Second, s.served(1))
		must.Eq(t, id, s.group().ID)
	})
}

func TestRebootedMemberFormsNewGroup(t *testing.T) {
	play(t, testPool(3, 3), func(s *session) {
		s.served(1)
		id, vm := s.group().ID, s.member(0)
		s.w.with(func() { s.w.boot(vm) })
		s.served(0)
		must.Less(t, fetchTime+overhead, s.served(1))
		must.Greater(t, id, s.group().ID)
	})
}

func TestLateOrderTakesGroupOutUntilMended(t *testing.T) {
	play(t, testPool(2, 2), func(s *session) {
		s.served(1)
		id, vm := s.group().ID, s.member(1)
		s.w.with(func() {
			s.w.engines[vm].take(target.Order{Kind: target.OrderLoad, Fence: 1, Model: "m", Version: "1"})
		})
		s.served(0)
		must.Less(t, cacheTime+overhead, s.served(1))
		must.Eq(t, id, s.group().ID)
	})
}

func TestTwoBrokenGroupsMakeOne(t *testing.T) {
	play(t, testPool(3, 6), func(s *session) {
		s.served(2)
		groups := s.w.Groups("p")
		s.w.with(func() {
			s.w.engines[groups[0].Members[0].VM].dead = true
			s.w.engines[groups[1].Members[2].VM].dead = true
		})
		s.served(0)
		must.Less(t, cacheTime+overhead, s.served(1))
		s.until(time.Minute, "the VM left over is free", func() bool { return s.m.Stats()[0].Spares == 1 })
		s.w.with(func() {
			s.w.boot(groups[0].Members[0].VM)
			s.w.boot(groups[1].Members[2].VM)
		})
		s.served(2)
	})
}

func TestNewVersionKeepsServing(t *testing.T) {
	play(t, testPool(2, 8), func(s *session) {
		s.served(4)
		p := testPool(2, 8)
		p.Version = "2"
		s.w.with(func() { s.w.edit(p) })
		fewest := 4
		s.until(5*time.Minute, "all groups run version 2", func() bool {
			fewest = min(fewest, len(s.serving()))
			return len(s.serving()) == 4 && !slices.ContainsFunc(s.w.Groups("p"), func(g state.Group) bool { return g.Version != "2" })
		})
		must.Eq(t, 3, fewest)
	})
}

func TestTakeoverKeepsHealthyGroups(t *testing.T) {
	play(t, testPool(2, 4), func(s *session) {
		s.served(2)
		before := s.w.offset
		next := s.daemon("d2")
		s.w.with(func() { s.w.owner = "d2" })
		s.until(time.Second, "the old home withdraws", func() bool { return len(s.m.Replicas("p")) == 0 })
		s.m = next
		must.Less(t, 2*time.Second, s.served(2))
		time.Sleep(time.Minute)
		must.Eq(t, before, s.w.offset)
	})
}
