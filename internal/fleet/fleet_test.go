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

// maxOverhead bounds the time that detection, agreement and orders add to a
// load.
const maxOverhead = 1500 * time.Millisecond

func (s *scenario) memberVM(rank int) string { return s.group().Members[rank].VM }

func (s *scenario) group() state.Group {
	groups := s.env.Groups("p")
	must.SliceNotEmpty(s.t, groups)
	return groups[0]
}

func TestFormsGroupsThatServe(t *testing.T) {
	runScenario(t, testPool(2, 5), func(s *scenario) {
		must.Less(t, fetchDuration+maxOverhead, s.waitServing(2))
		for _, r := range s.serving() {
			must.Eq(t, replica.GroupID(r.Group), r.ID)
			must.Eq(t, r.Leader, r.Addr)
		}
		must.Eq(t, 1, s.manager.Stats()[0].Spares)
	})
}

func TestSpareReplacesKilledMember(t *testing.T) {
	runScenario(t, testPool(3, 4), func(s *scenario) {
		s.waitServing(1)
		killed := s.memberVM(1)
		s.env.update(func() { s.env.engines[killed].dead = true })
		s.waitServing(0)
		must.Less(t, fetchDuration+maxOverhead, s.waitServing(1))
		must.False(t, slices.ContainsFunc(s.group().Members, func(m state.Member) bool { return m.VM == killed }))
	})
}

func TestResumedMemberNeedsNoLoad(t *testing.T) {
	runScenario(t, testPool(3, 3), func(s *scenario) {
		s.waitServing(1)
		id, paused := s.group().ID, s.memberVM(2)
		s.env.update(func() { s.env.engines[paused].paused = true })
		s.waitServing(0)
		time.Sleep(20 * time.Second)
		s.env.update(func() { s.env.engines[paused].paused = false })
		must.LessEq(t, time.Second, s.waitServing(1))
		must.Eq(t, id, s.group().ID)
	})
}

func TestRebootedMemberFormsNewGroup(t *testing.T) {
	runScenario(t, testPool(3, 3), func(s *scenario) {
		s.waitServing(1)
		id, vm := s.group().ID, s.memberVM(0)
		s.env.update(func() { s.env.bootVM(vm) })
		s.waitServing(0)
		must.Less(t, fetchDuration+maxOverhead, s.waitServing(1))
		must.Greater(t, id, s.group().ID)
	})
}

func TestStaleOrderBreaksGroupUntilRepaired(t *testing.T) {
	runScenario(t, testPool(2, 2), func(s *scenario) {
		s.waitServing(1)
		id, vm := s.group().ID, s.memberVM(1)
		s.env.update(func() {
			s.env.engines[vm].applyOrder(target.Order{Kind: target.OrderLoad, Fence: 1, Model: "m", Version: "1"})
		})
		s.waitServing(0)
		must.Less(t, cachedLoadDuration+maxOverhead, s.waitServing(1))
		must.Eq(t, id, s.group().ID)
	})
}

func TestTwoBrokenGroupsFormOne(t *testing.T) {
	runScenario(t, testPool(3, 6), func(s *scenario) {
		s.waitServing(2)
		groups := s.env.Groups("p")
		s.env.update(func() {
			s.env.engines[groups[0].Members[0].VM].dead = true
			s.env.engines[groups[1].Members[2].VM].dead = true
		})
		s.waitServing(0)
		must.Less(t, cachedLoadDuration+maxOverhead, s.waitServing(1))
		s.waitUntil(time.Minute, "the remaining VM is a spare", func() bool { return s.manager.Stats()[0].Spares == 1 })
		s.env.update(func() {
			s.env.bootVM(groups[0].Members[0].VM)
			s.env.bootVM(groups[1].Members[2].VM)
		})
		s.waitServing(2)
	})
}

func TestVersionChangeReplacesOneGroupAtATime(t *testing.T) {
	runScenario(t, testPool(2, 8), func(s *scenario) {
		s.waitServing(4)
		p := testPool(2, 8)
		p.Version = "2"
		s.env.update(func() { s.env.editPool(p) })
		fewest := 4
		s.waitUntil(5*time.Minute, "all groups run version 2", func() bool {
			fewest = min(fewest, len(s.serving()))
			return len(s.serving()) == 4 && !slices.ContainsFunc(s.env.Groups("p"), func(g state.Group) bool { return g.Version != "2" })
		})
		must.Eq(t, 3, fewest)
	})
}

func TestTakeoverKeepsHealthyGroups(t *testing.T) {
	runScenario(t, testPool(2, 4), func(s *scenario) {
		s.waitServing(2)
		before := s.env.offset
		next := s.startManager("d2")
		s.env.update(func() { s.env.owner = "d2" })
		s.waitUntil(time.Second, "the previous home publishes no replicas", func() bool { return len(s.manager.Replicas("p")) == 0 })
		s.manager = next
		must.Less(t, 2*time.Second, s.waitServing(2))
		time.Sleep(time.Minute)
		must.Eq(t, before, s.env.offset)
	})
}
