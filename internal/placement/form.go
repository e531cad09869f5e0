package placement

import (
	"maps"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// formAndStage forms groups of free engines, domain by domain, then orders members of
// abandoned groups to leave where that allows a further group, and stages models on the
// engines that remain. The claimed domain, if any, forms no groups here.
func (s *Snapshot) formAndStage(alloc *allocation, claim *domainClaim) []Step {
	var steps []Step
	left := maps.Clone(alloc.free)
	if s.Starting {
		steps = s.formPacked(left, alloc.counts)
	}
	for _, domain := range slices.Sorted(maps.Keys(left)) {
		for claim == nil || domain != claim.domain {
			f, ok := s.bestForm(left[domain], alloc.counts, s.Starting)
			if !ok {
				break
			}
			alloc.counts[f.Model.Name]++
			left[domain] = without(left[domain], f.Members)
			steps = append(steps, Step{Form: &f})
		}
	}
	steps = append(steps, s.leaveAbandoned(left, alloc, claim)...)
	loads := s.LoadBudget
	used := usedEngines(steps)
	steps = append(steps, s.stageFree(left, alloc.counts, &loads)...)
	return append(steps, s.stageSecondModels(used, &loads)...)
}

// usedEngines returns the ids of the engines that the steps assign to a group.
func usedEngines(steps []Step) map[string]bool {
	used := map[string]bool{}
	add := func(engines []*catalog.Engine) {
		for _, e := range engines {
			used[e.ID] = true
		}
	}
	for _, step := range steps {
		if step.Form != nil {
			add(step.Form.Members)
		}
		if step.Leave != nil {
			add(step.Leave.Members)
			add(step.Leave.Partners)
		}
	}
	return used
}

// leaveAbandoned returns the orders to leave by which more groups can be formed. It adds
// the members of abandoned groups to the free engines, without those of the groups that it
// plans. A member that no group needs stays: its group is whole again if the head returns.
func (s *Snapshot) leaveAbandoned(free map[string][]*catalog.Engine, alloc *allocation, claim *domainClaim) []Step {
	var steps []Step
	for _, domain := range slices.Sorted(maps.Keys(alloc.leavable)) {
		leavable := alloc.leavable[domain]
		free[domain] = slices.Concat(free[domain], leavable)
		for claim == nil || domain != claim.domain {
			f, ok := s.bestForm(free[domain], alloc.counts, s.Starting)
			leaving := slices.DeleteFunc(slices.Clone(f.Members), func(e *catalog.Engine) bool { return !slices.Contains(leavable, e) })
			if !ok || len(leaving) == 0 {
				break
			}
			alloc.counts[f.Model.Name]++
			free[domain] = without(free[domain], f.Members)
			steps = append(steps, Step{Leave: &Leave{Members: leaving, Partners: without(f.Members, leaving)}})
		}
	}
	return steps
}

// formPacked forms groups of engines without weights as pack divides them, and
// removes their members from free.
func (s *Snapshot) formPacked(free map[string][]*catalog.Engine, counts map[string]int) []Step {
	var steps []Step
	groups := s.pack(free, counts)
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		for _, m := range s.Service.Engine.Models {
			for range groups[domain][m.Name] {
				f := s.chooseMembers(m, free[domain])
				counts[m.Name]++
				free[domain] = without(free[domain], f.Members)
				steps = append(steps, Step{Form: &f})
			}
		}
	}
	return steps
}

// bestForm returns the group with the highest gain that the engines can form.
// Unless allowLoads is set, it uses only engines that have the model loaded or
// staged: other engines get it staged first, and remain available for other groups
// meanwhile. It then also returns no group if the engines could form one with a
// much higher gain after staging; see waitGainFactor.
func (s *Snapshot) bestForm(engines []*catalog.Engine, counts map[string]int, allowLoads bool) (Form, bool) {
	form, gain, found := s.highestGain(engines, counts, allowLoads)
	if allowLoads || !found {
		return form, found
	}
	_, stagedGain, _ := s.highestGain(engines, counts, true)
	return form, gain*waitGainFactor >= stagedGain
}

// highestGain returns the group with the highest gain, and that gain. Members that
// must load the model are used only if allowLoads is set.
func (s *Snapshot) highestGain(engines []*catalog.Engine, counts map[string]int, allowLoads bool) (best Form, bestGain float64, found bool) {
	for _, m := range s.Service.Engine.Models {
		if len(engines) < m.GroupSize || m.GroupSize <= 0 {
			continue
		}
		f := s.chooseMembers(m, engines)
		if !allowLoads && s.loadDistance(m, f.Members[slowestMember(s, f)]) > staged {
			continue
		}
		gain := s.marginalGain(m, counts[m.Name])
		if !s.Starting {
			gain /= 1 + loadCost*float64(f.Loads)
		}
		if !found || gain > bestGain {
			best, bestGain, found = f, gain, true
		}
	}
	return best, bestGain, found
}

// slowestMember returns the index of the member that needs longest to load the
// model.
func slowestMember(s *Snapshot, f Form) int {
	slowest := 0
	for i, e := range f.Members {
		if s.loadDistance(f.Model, e) > s.loadDistance(f.Model, f.Members[slowest]) {
			slowest = i
		}
	}
	return slowest
}

const (
	// loadCost reduces a group's gain for each member that must load weights, since
	// the group serves later and uses up the load budget.
	loadCost = 0.2
	// waitGainFactor is how many times higher the gain of a group must be to wait
	// for its weights, which takes ten times as long as a join of staged engines.
	waitGainFactor = 2.5
	// minDemand is the demand assumed for a model without requests.
	minDemand = 1e-3
	// firstGroupGain scales the gain of a model's first group, so that it exceeds
	// the gain of any further group.
	firstGroupGain = 1e6
)

// marginalGain returns the gain of one more group of a model beside n others. It
// follows the highest-averages method, so the groups of the models become
// proportional to their demand.
func (s *Snapshot) marginalGain(m catalog.Model, n int) float64 {
	demand := max(s.Demand[m.Name], minDemand)
	if n == 0 {
		return firstGroupGain * demand
	}
	return demand / float64(n+1)
}

// chooseMembers returns a group of the engines that can serve the model soonest.
// Its head is the engine with the longest uptime, because the failure of a head
// costs most.
func (s *Snapshot) chooseMembers(m catalog.Model, engines []*catalog.Engine) Form {
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b *catalog.Engine) int { return s.loadDistance(m, a) - s.loadDistance(m, b) })
	f := Form{Model: m, Members: sorted[:m.GroupSize]}
	slices.SortStableFunc(f.Members, func(a, b *catalog.Engine) int { return int(min(max(a.StartUnixMS-b.StartUnixMS, -1), 1)) })
	for _, e := range f.Members {
		if s.loadDistance(m, e) == unstaged {
			f.Loads++
		}
	}
	return f
}

// Load distances: how far an engine is from serving a model.
const (
	loaded   = 0 // in the engine's memory, or the model of its last group
	staged   = 1 // on the engine's host
	staging  = 2 // being loaded onto the engine's host
	unstaged = 3 // in the weight store only
)

// loadDistance returns the engine's load distance for the model.
func (s *Snapshot) loadDistance(m catalog.Model, e *catalog.Engine) int {
	switch {
	case s.lastModel(e) == m.Name:
		return loaded
	case e.HasStaged(m.Name):
		return staged
	case s.Staging[e.ID] == m.Name:
		return staging
	default:
		return unstaged
	}
}

// lastModel returns the model of the engine's group or last group, or an empty name.
func (s *Snapshot) lastModel(e *catalog.Engine) string {
	if e.Model != "" {
		return e.Model
	}
	return s.LastModels[e.ID]
}

// without returns the engines that are not in taken.
func without(engines, taken []*catalog.Engine) []*catalog.Engine {
	return slices.DeleteFunc(slices.Clone(engines), func(e *catalog.Engine) bool { return slices.Contains(taken, e) })
}
