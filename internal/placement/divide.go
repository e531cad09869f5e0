package placement

import (
	"maps"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// formAndStage forms groups of free engines, domain by domain, and stages models on
// what is left over. A domain that is kept for a model forms no other group.
func (s *Snapshot) formAndStage(d *allocation, kept *domainClaim) []Step {
	var steps []Step
	loads := s.LoadBudget
	domains := slices.Sorted(maps.Keys(d.free))
	for _, domain := range domains {
		left := d.free[domain]
		for kept == nil || domain != kept.domain {
			f, ok := s.bestForm(left, d.counts, s.Starting)
			if !ok {
				break
			}
			d.counts[f.Model.Name]++
			left = without(left, f.Members)
			steps = append(steps, Step{Form: &f})
		}
		steps = append(steps, s.stageFree(left, d.counts, &loads)...)
	}
	return append(steps, s.stageSecondModels(&loads)...)
}

// bestForm returns the most useful group that the engines can form. After the
// start, members that would have to load are not taken: they are staged first,
// and can be put to another use meanwhile. Nor is a group formed whose engines,
// once staged, could form a much more useful one.
func (s *Snapshot) bestForm(engines []*catalog.Engine, counts map[string]int, loading bool) (Form, bool) {
	ready, readyGain, found := s.highestGain(engines, counts, loading)
	if loading || !found {
		return ready, found
	}
	_, possible, _ := s.highestGain(engines, counts, true)
	return ready, readyGain*waitGainFactor >= possible
}

// highestGain returns the group with the highest gain, and that gain.
func (s *Snapshot) highestGain(engines []*catalog.Engine, counts map[string]int, loading bool) (best Form, bestGain float64, found bool) {
	for _, m := range s.Service.Engine.Models {
		if len(engines) < m.Size || m.Size <= 0 {
			continue
		}
		f := s.chooseMembers(m, engines)
		if !loading && s.loadDistance(m, f.Members[slowestMember(s, f)]) > staged {
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

// slowestMember returns the member that takes longest to serve the model.
func slowestMember(s *Snapshot, f Form) int {
	at := 0
	for i, e := range f.Members {
		if s.loadDistance(f.Model, e) > s.loadDistance(f.Model, f.Members[at]) {
			at = i
		}
	}
	return at
}

const (
	// loadCost makes a group that must load weights less useful, for each load:
	// it serves later and the load has its price.
	loadCost = 0.2
	// waitGainFactor is how many times more useful a group must be to wait for its
	// weights, which takes ten times as long as a staged join.
	waitGainFactor = 2.5
	// minDemand is assumed of a model that nobody asks for.
	minDemand = 1e-3
	// firstGroupGain is the gain of a model's first group: above any other.
	firstGroupGain = 1e6
)

// marginalGain returns what one more group of a model is worth beside n others. By the
// highest averages, groups come to be divided as the work is.
func (s *Snapshot) marginalGain(m catalog.Model, n int) float64 {
	need := max(s.Demand[m.Name], minDemand)
	if n == 0 {
		return firstGroupGain * need
	}
	return need / float64(n+1)
}

// chooseMembers takes the engines that are soonest ready for the model. The head is
// the one that has been up longest, since a head's loss costs most.
func (s *Snapshot) chooseMembers(m catalog.Model, engines []*catalog.Engine) Form {
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b *catalog.Engine) int { return s.loadDistance(m, a) - s.loadDistance(m, b) })
	f := Form{Model: m, Members: sorted[:m.Size]}
	slices.SortStableFunc(f.Members, func(a, b *catalog.Engine) int { return int(min(max(a.Born-b.Born, -1), 1)) })
	for _, e := range f.Members {
		if s.loadDistance(m, e) == unstaged {
			f.Loads++
		}
	}
	return f
}

// Distances of an engine from serving a model, nearest first.
const (
	loaded   = 0
	staged   = 1
	staging  = 2
	unstaged = 3
)

func (s *Snapshot) loadDistance(m catalog.Model, e *catalog.Engine) int {
	switch {
	case e.Model == m.Name:
		return loaded
	case e.HasStaged(m.Name):
		return staged
	case s.Staging[e.ID] == m.Name:
		return staging
	default:
		return unstaged
	}
}

func without(engines, taken []*catalog.Engine) []*catalog.Engine {
	return slices.DeleteFunc(slices.Clone(engines), func(e *catalog.Engine) bool { return slices.Contains(taken, e) })
}
