package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// worthRevising is how many times more work must fall on each group of the model
// that gains, after the change, than on each of those that lose groups: a change
// costs seconds of drains and joins, and none may be undone by the next one. A
// choice above 1; trials with other values were not made.
const worthRevising = 1.3

// division is what is known of the engines' division when a plan is made.
type division struct {
	// counts are the groups of each model that serve or are about to.
	counts map[string]int
	// free are the engines that may be taken, by domain.
	free map[string][]*catalog.Engine
	// closing are the engines of groups that end in an orderly way, by domain.
	closing map[string]int
	// ending are the groups of each model that are on their way out of service:
	// their engines soon form others.
	ending map[string]int
	// healthy are the groups that serve, by domain.
	healthy map[string][]*catalog.Group
}

// claim says that a domain's engines are kept for a group of one model, and
// which healthy groups close for it.
type claim struct {
	domain string
	model  catalog.Model
	close  []*catalog.Group
}

// revise returns the claim that is worth most, or nil: a model's groups are not
// made of healthy ones while a domain can form one, or where those lose too much.
// Without it a large model that has lost its groups would never get the engines
// back that small ones have taken one after the other.
func (s *Snapshot) revise(d *division) *claim {
	if s.Starting {
		return nil
	}
	var best *claim
	bestLoad := 0.0
	for _, m := range s.Service.Engine.Models {
		if m.GroupSize <= 0 || s.Demand[m.Name] <= 0 || d.forms(m) {
			continue
		}
		if c, load := s.cheapest(m, d); c != nil && load > bestLoad {
			best, bestLoad = c, load
		}
	}
	return best
}

// expected returns how many groups a model will have soon: those that end form
// anew, but a model without any group that serves can't wait for that.
func (d *division) expected(model string) int {
	if d.counts[model] == 0 {
		return 0
	}
	return d.counts[model] + d.ending[model]
}

// forms reports whether a domain has free engines for a group of the model.
func (d *division) forms(m catalog.Model) bool {
	for _, engines := range d.free {
		if len(engines) >= m.GroupSize {
			return true
		}
	}
	return false
}

// cheapest returns the claim on the domain where the groups that lose engines for
// the model are least loaded afterwards, and the load of each of the model's
// groups then; nil where no domain is worth it.
func (s *Snapshot) cheapest(m catalog.Model, d *division) (*claim, float64) {
	var best *claim
	bestLoad, leastLost := 0.0, 0.0
	for _, domain := range d.domains() {
		have := len(d.free[domain]) + d.closing[domain]
		closes, lost, ok := s.sacrifice(m, m.GroupSize-have, d.healthy[domain], d.counts)
		if !ok || (best != nil && lost >= leastLost) {
			continue
		}
		for _, g := range closes {
			have += len(g.Members)
		}
		n := d.expected(m.Name)
		load := s.load(m.Name, n+have/m.GroupSize)
		if n > 0 && load < worthRevising*lost {
			continue
		}
		best, bestLoad, leastLost = &claim{domain, m, closes}, load, lost
	}
	return best, bestLoad
}

// load returns the work that falls on each of n groups of a model.
func (s *Snapshot) load(model string, n int) float64 {
	return max(s.Demand[model], leastNeed) / float64(max(1, n))
}

// domains returns the domains that have engines, in order.
func (d *division) domains() []string {
	names := slices.Collect(maps.Keys(d.free))
	names = slices.AppendSeq(names, maps.Keys(d.closing))
	names = slices.AppendSeq(names, maps.Keys(d.healthy))
	slices.Sort(names)
	return slices.Compact(names)
}

// sacrifice chooses groups of other models with as many engines as are missing,
// those of the least loaded models first, and returns the highest load that it
// leaves on a group of theirs. A model's last group is never chosen.
func (s *Snapshot) sacrifice(m catalog.Model, missing int, groups []*catalog.Group, counts map[string]int) ([]*catalog.Group, float64, bool) {
	var out []*catalog.Group
	highest := 0.0
	// Engines that must load the model serve nothing for as long as that takes.
	loads := 0
	if counts[m.Name] == 0 {
		loads = s.LoadBudget
	}
	left := maps.Clone(counts)
	sorted := slices.SortedStableFunc(slices.Values(groups), func(a, b *catalog.Group) int {
		return cmp.Compare(s.load(a.Model, counts[a.Model]), s.load(b.Model, counts[b.Model]))
	})
	for _, g := range sorted {
		if missing <= 0 {
			break
		}
		if g.Model == m.Name || left[g.Model] <= 1 || s.loadsOf(m, g) > loads {
			continue
		}
		loads -= s.loadsOf(m, g)
		left[g.Model]--
		highest = max(highest, s.load(g.Model, left[g.Model]))
		missing -= len(g.Members)
		out = append(out, g)
	}
	return out, highest, missing <= 0
}

// loadsOf returns how many of a group's engines would have to load the model.
func (s *Snapshot) loadsOf(m catalog.Model, g *catalog.Group) int {
	n := 0
	for _, e := range g.PresentMembers() {
		if s.distance(m, e) == farthest {
			n++
		}
	}
	return n
}
