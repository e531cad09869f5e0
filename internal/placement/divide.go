package placement

import (
	"maps"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// fill forms groups of free engines, domain by domain, and stages models on
// what is left over. A domain that is kept for a model forms no other group.
func (s *Snapshot) fill(d *division, kept *claim) []Step {
	var steps []Step
	loads := s.LoadBudget
	domains := slices.Sorted(maps.Keys(d.free))
	for _, domain := range domains {
		left := d.free[domain]
		for kept == nil || domain != kept.domain {
			f, ok := s.best(left, d.counts, s.Starting)
			if !ok {
				break
			}
			d.counts[f.Model.Name]++
			left = without(left, f.Members)
			steps = append(steps, Step{Form: &f})
		}
		steps = append(steps, s.prepare(left, d.counts, &loads)...)
	}
	return append(steps, s.cover(&loads)...)
}

// best returns the most useful group that the engines can form. After the
// start, members that would have to load are not taken: they are staged first,
// and can be put to another use meanwhile. Nor is a group formed whose engines,
// once staged, could form a much more useful one.
func (s *Snapshot) best(engines []*catalog.Engine, counts map[string]int, loading bool) (Form, bool) {
	ready, readyGain, found := s.top(engines, counts, loading)
	if loading || !found {
		return ready, found
	}
	_, possible, _ := s.top(engines, counts, true)
	return ready, readyGain*worthWaiting >= possible
}

// top returns the group with the highest gain, and that gain.
func (s *Snapshot) top(engines []*catalog.Engine, counts map[string]int, loading bool) (best Form, bestGain float64, found bool) {
	for _, m := range s.Service.Engine.Models {
		if len(engines) < m.GroupSize || m.GroupSize <= 0 {
			continue
		}
		f := s.choose(m, engines)
		if !loading && s.distance(m, f.Members[farthestMember(s, f)]) > staged {
			continue
		}
		gain := s.gain(m, counts[m.Name])
		if !s.Starting {
			gain /= 1 + loadCost*float64(f.Loads)
		}
		if !found || gain > bestGain {
			best, bestGain, found = f, gain, true
		}
	}
	return best, bestGain, found
}

// farthestMember returns the member that takes longest to serve the model.
func farthestMember(s *Snapshot, f Form) int {
	at := 0
	for i, e := range f.Members {
		if s.distance(f.Model, e) > s.distance(f.Model, f.Members[at]) {
			at = i
		}
	}
	return at
}

const (
	// loadCost makes a group that must load weights less useful, for each load:
	// it serves later and the load has its price.
	loadCost = 0.2
	// worthWaiting is how many times more useful a group must be to wait for its
	// weights, which takes ten times as long as a staged join.
	worthWaiting = 2.5
	// leastNeed is assumed of a model that nobody asks for.
	leastNeed = 1e-3
	// nothingServed is the gain of a model's first group: above any other.
	nothingServed = 1e6
)

// gain returns what one more group of a model is worth beside n others. By the
// highest averages, groups come to be divided as the work is.
func (s *Snapshot) gain(m catalog.Model, n int) float64 {
	need := max(s.Demand[m.Name], leastNeed)
	if n == 0 {
		return nothingServed * need
	}
	return need / float64(n+1)
}

// choose takes the engines that are soonest ready for the model. The head is
// the one that has been up longest, since a head's loss costs most.
func (s *Snapshot) choose(m catalog.Model, engines []*catalog.Engine) Form {
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b *catalog.Engine) int { return s.distance(m, a) - s.distance(m, b) })
	f := Form{Model: m, Members: sorted[:m.GroupSize]}
	slices.SortStableFunc(f.Members, func(a, b *catalog.Engine) int { return int(min(max(a.StartUnixMS-b.StartUnixMS, -1), 1)) })
	for _, e := range f.Members {
		if s.distance(m, e) == farthest {
			f.Loads++
		}
	}
	return f
}

// Distances of an engine from serving a model, nearest first.
const (
	loaded   = 0
	staged   = 1
	coming   = 2
	farthest = 3
)

func (s *Snapshot) distance(m catalog.Model, e *catalog.Engine) int {
	switch {
	case e.Model == m.Name:
		return loaded
	case e.HasStaged(m.Name):
		return staged
	case s.Staging[e.ID] == m.Name:
		return coming
	default:
		return farthest
	}
}

func without(engines, taken []*catalog.Engine) []*catalog.Engine {
	return slices.DeleteFunc(slices.Clone(engines), func(e *catalog.Engine) bool { return slices.Contains(taken, e) })
}
