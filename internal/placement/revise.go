package placement

import (
	"cmp"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// worthRevising is how many times more useful a new group must be than the
// healthy ones that are closed for it: they answer nothing while they drain and
// their engines join anew, which takes seconds.
const worthRevising = 3

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

// revise returns the claim of the model that is shortest of groups, or nil if a
// domain can form one of it now or none could at a worthwhile price. Without it a large
// model that has lost its groups would never get the engines back that small
// ones have taken one after the other.
func (s *Snapshot) revise(d *division) *claim {
	if s.Starting {
		return nil
	}
	var best *claim
	bestGain := 0.0
	for _, m := range s.Service.Engine.Models {
		gain := s.gain(m, d.expected(m.Name))
		if m.Size <= 0 || s.Needs[m.Name] <= 0 || d.forms(m) || gain <= bestGain {
			continue
		}
		if c := s.cheapest(m, gain, d); c != nil {
			best, bestGain = c, gain
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
		if len(engines) >= m.Size {
			return true
		}
	}
	return false
}

// cheapest returns the claim on the domain where the least is lost for a group
// of the model.
func (s *Snapshot) cheapest(m catalog.Model, gain float64, d *division) *claim {
	var best *claim
	bestLoss := 0.0
	for _, domain := range d.domains() {
		have := len(d.free[domain]) + d.closing[domain]
		closes, loss, ok := s.sacrifice(m, m.Size-have, d.healthy[domain], d.counts)
		if !ok || loss*worthRevising > gain || (best != nil && loss >= bestLoss) {
			continue
		}
		best, bestLoss = &claim{domain, m, closes}, loss
	}
	return best
}

// domains returns the domains that have engines, in order.
func (d *division) domains() []string {
	var out []string
	for name := range d.free {
		out = append(out, name)
	}
	for name := range d.closing {
		out = append(out, name)
	}
	for name := range d.healthy {
		out = append(out, name)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// sacrifice chooses groups of other models with as many engines as are missing,
// those of the models that lose least first, and returns what is lost. A model's
// last group is never chosen.
func (s *Snapshot) sacrifice(m catalog.Model, missing int, groups []*catalog.Group, counts map[string]int) ([]*catalog.Group, float64, bool) {
	var out []*catalog.Group
	lost := 0.0
	// Engines that must load the model serve nothing for as long as that takes.
	loads := 0
	if counts[m.Name] == 0 {
		loads = s.Loads
	}
	left := map[string]int{}
	value := func(g *catalog.Group) float64 {
		return max(s.Needs[g.Model], leastNeed) / float64(max(1, counts[g.Model]))
	}
	sorted := slices.SortedStableFunc(slices.Values(groups), func(a, b *catalog.Group) int {
		return cmp.Compare(value(a)/float64(len(a.Members)), value(b)/float64(len(b.Members)))
	})
	for _, g := range sorted {
		if missing <= 0 {
			break
		}
		if g.Model == m.Name || counts[g.Model]-left[g.Model] <= 1 || s.loadsOf(m, g) > loads {
			continue
		}
		loads -= s.loadsOf(m, g)
		left[g.Model]++
		lost += max(s.Needs[g.Model], leastNeed) / float64(counts[g.Model]-left[g.Model]+1)
		missing -= len(g.Members)
		out = append(out, g)
	}
	return out, lost, missing <= 0
}

// loadsOf returns how many of a group's engines would have to load the model.
func (s *Snapshot) loadsOf(m catalog.Model, g *catalog.Group) int {
	n := 0
	for _, e := range g.Present() {
		if s.distance(m, e) == farthest {
			n++
		}
	}
	return n
}
