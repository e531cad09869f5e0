package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// minWorkRatio is the least ratio, after a change, of the work per group of the
// model that gains a group to the work per group of a model that loses one. A
// change costs seconds of drains and joins; a ratio above 1 ensures that the next
// plan does not undo it.
const minWorkRatio = 1.3

// allocation is the current allocation of a service's engines to groups.
type allocation struct {
	// counts is the number of groups of each model that serve or are about to.
	counts map[string]int
	// free holds the engines that can be used for new groups, by domain.
	free map[string][]*catalog.Engine
	// leavable holds the engines that can be used once they have left their group, by
	// domain.
	leavable map[string][]*catalog.Engine
	// closing is the number of engines, by domain, in groups that are closing or may
	// have been ordered to close.
	closing map[string]int
	// ending is the number of groups of each model that are being closed or
	// replaced. Their engines will soon be free.
	ending map[string]int
	// healthy holds the Healthy groups without an order in progress, by domain.
	healthy map[string][]*catalog.Group
}

// domainClaim reserves a domain's engines for a group of one model. toClose holds
// the healthy groups that must close for it.
type domainClaim struct {
	domain  string
	model   catalog.Model
	toClose []*catalog.Group
}

// bestClaim returns the claim for the model with the most work per group, or nil if
// no claim is justified. There is no claim for a model of which some domain can
// form a group from free engines, nor one that costs other models too much.
// Without claims, a large model that has lost its groups would never get enough
// engines again, because small models take them a few at a time.
func (s *Snapshot) bestClaim(alloc *allocation) *domainClaim {
	if s.Starting {
		return nil
	}
	var best *domainClaim
	bestWork := 0.0
	for _, m := range s.Service.Engine.Models {
		if m.GroupSize <= 0 || s.Demand[m.Name] <= 0 || alloc.canForm(m) {
			continue
		}
		if c, work := s.cheapestClaim(m, alloc); c != nil && work > bestWork {
			best, bestWork = c, work
		}
	}
	return best
}

// expectedGroups returns how many groups a model will soon have, on the assumption
// that groups that end are formed again. The assumption is not made for a model
// without any serving group, which cannot wait for that.
func (alloc *allocation) expectedGroups(model string) int {
	if alloc.counts[model] == 0 {
		return 0
	}
	return alloc.counts[model] + alloc.ending[model]
}

// canForm reports whether some domain has enough engines for a group of the model that
// are free or can leave their groups.
func (alloc *allocation) canForm(m catalog.Model) bool {
	return slices.ContainsFunc(alloc.domains(), func(domain string) bool { return alloc.usable(domain) >= m.GroupSize })
}

// usable returns the number of engines of a domain that are free or can leave their groups.
func (alloc *allocation) usable(domain string) int {
	return len(alloc.free[domain]) + len(alloc.leavable[domain])
}

// cheapestClaim returns the claim on the domain in which the models that lose groups
// have the least work per group afterwards, and the resulting work per group of the
// model m. The claim is nil if no domain satisfies minWorkRatio.
func (s *Snapshot) cheapestClaim(m catalog.Model, alloc *allocation) (*domainClaim, float64) {
	var best *domainClaim
	bestWork, leastLoserWork := 0.0, 0.0
	for _, domain := range alloc.domains() {
		have := alloc.usable(domain) + alloc.closing[domain]
		toClose, loserWork, ok := s.groupsToClose(m, m.GroupSize-have, alloc.healthy[domain], alloc.counts)
		if !ok || (best != nil && loserWork >= leastLoserWork) {
			continue
		}
		for _, g := range toClose {
			have += len(g.Members)
		}
		n := alloc.expectedGroups(m.Name)
		work := s.workPerGroup(m.Name, n+have/m.GroupSize)
		if n > 0 && work < minWorkRatio*loserWork {
			continue
		}
		best, bestWork, leastLoserWork = &domainClaim{domain, m, toClose}, work, loserWork
	}
	return best, bestWork
}

// workPerGroup returns the demand for a model divided among n groups.
func (s *Snapshot) workPerGroup(model string, n int) float64 {
	return max(s.Demand[model], minDemand) / float64(max(1, n))
}

// domains returns the names of the domains with usable engines, closing groups or
// healthy groups, sorted.
func (alloc *allocation) domains() []string {
	names := slices.Collect(maps.Keys(alloc.free))
	names = slices.AppendSeq(names, maps.Keys(alloc.leavable))
	names = slices.AppendSeq(names, maps.Keys(alloc.closing))
	names = slices.AppendSeq(names, maps.Keys(alloc.healthy))
	slices.Sort(names)
	return slices.Compact(names)
}

// groupsToClose selects groups of other models that together have the missing
// number of engines, starting with the models with the least work per group. It
// returns them with the highest work per group that remains for a model that loses
// a group, and whether there are enough. The last group of a model is never
// selected.
func (s *Snapshot) groupsToClose(m catalog.Model, missing int, groups []*catalog.Group, counts map[string]int) ([]*catalog.Group, float64, bool) {
	var out []*catalog.Group
	highest := 0.0
	// Engines that must load the model serve nothing meanwhile, so they are used
	// only for a model without a group.
	loads := 0
	if counts[m.Name] == 0 {
		loads = s.LoadBudget
	}
	left := maps.Clone(counts)
	sorted := slices.SortedStableFunc(slices.Values(groups), func(a, b *catalog.Group) int {
		return cmp.Compare(s.workPerGroup(a.Model, counts[a.Model]), s.workPerGroup(b.Model, counts[b.Model]))
	})
	for _, g := range sorted {
		if missing <= 0 {
			break
		}
		if g.Model == m.Name || left[g.Model] <= 1 || s.loadsNeeded(m, g) > loads {
			continue
		}
		loads -= s.loadsNeeded(m, g)
		left[g.Model]--
		highest = max(highest, s.workPerGroup(g.Model, left[g.Model]))
		missing -= len(g.Members)
		out = append(out, g)
	}
	return out, highest, missing <= 0
}

// loadsNeeded returns how many of the group's engines would have to load the model
// from the weight store.
func (s *Snapshot) loadsNeeded(m catalog.Model, g *catalog.Group) int {
	n := 0
	for _, e := range g.PresentMembers() {
		if s.loadDistance(m, e) == unstaged {
			n++
		}
	}
	return n
}
