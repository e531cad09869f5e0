package placement

import (
	"maps"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// packing is the number of groups of each model, by domain.
type packing map[string]map[string]int

// packer divides the free engines of all domains into groups. All engines of a domain
// count as equal, so it serves only for engines without weights.
type packer struct {
	s *Snapshot
	// free is the number of free engines by domain, and domains its sorted keys.
	free    map[string]int
	domains []string
	groups  packing
	// counts is the number of groups of each model, existing ones included.
	counts map[string]int
}

// pack returns the division of the free engines into groups that has the lowest
// cost, as far as changes of maxPackChanges domains at a time reach it. Groups that
// are chosen domain by domain leave engines over in each domain that another
// division of the models over the domains would use.
func (s *Snapshot) pack(free map[string][]*catalog.Engine, counts map[string]int) packing {
	p := &packer{s: s, free: map[string]int{}, groups: packing{}, counts: maps.Clone(counts)}
	for domain, engines := range free {
		p.free[domain] = len(engines)
		p.domains = append(p.domains, domain)
		p.groups[domain] = map[string]int{}
	}
	slices.Sort(p.domains)
	for _, domain := range p.domains {
		p.fill(domain)
	}
	for p.improve(maxPackChanges, p.cost()-minPackGain) {
		continue
	}
	return p.groups
}

// add adds n groups of a model, or removes them if n is negative.
func (p *packer) add(domain string, m catalog.Model, n int) {
	p.groups[domain][m.Name] += n
	p.counts[m.Name] += n
	p.free[domain] -= n * m.GroupSize
}

// fill adds the group with the highest gain to a domain until none fits.
func (p *packer) fill(domain string) {
	for {
		var best *catalog.Model
		bestGain := 0.0
		for i := range p.s.Service.Engine.Models {
			m := &p.s.Service.Engine.Models[i]
			if m.GroupSize <= 0 || m.GroupSize > p.free[domain] {
				continue
			}
			if gain := p.s.marginalGain(*m, p.counts[m.Name]); best == nil || gain > bestGain {
				best, bestGain = m, gain
			}
		}
		if best == nil {
			return
		}
		p.add(domain, *best, 1)
	}
}

// cost returns the work per group that the requested work meets on average: the more
// a model's groups have to carry, the more of the requests are for it.
func (p *packer) cost() float64 {
	sum := 0.0
	for _, m := range p.s.Service.Engine.Models {
		demand := max(p.s.Demand[m.Name], minDemand)
		if n := p.counts[m.Name]; n > 0 {
			sum += demand * demand / float64(n)
		} else {
			sum += firstGroupGain * demand
		}
	}
	return sum
}

// improve makes up to maxChanges changes that together bring the cost below a limit,
// each in one domain: it replaces a group by one of another model, or drops it, and
// fills the domain again. It reports whether it found such changes; if not, it
// leaves the division as it is.
func (p *packer) improve(maxChanges int, limit float64) bool {
	for _, domain := range p.distinctDomains() {
		for _, old := range p.s.Service.Engine.Models {
			for _, m := range p.s.Service.Engine.Models {
				if m.Name == old.Name || m.GroupSize <= 0 || p.groups[domain][old.Name] == 0 {
					continue
				}
				groups, counts, free := maps.Clone(p.groups[domain]), maps.Clone(p.counts), p.free[domain]
				p.add(domain, old, -1)
				if m.GroupSize <= p.free[domain] {
					p.add(domain, m, 1)
				}
				p.fill(domain)
				if p.cost() < limit || maxChanges > 1 && p.improve(maxChanges-1, limit) {
					return true
				}
				p.groups[domain], p.counts, p.free[domain] = groups, counts, free
			}
		}
	}
	return false
}

// distinctDomains returns one domain of all those that have the same groups and the
// same number of free engines, since the same changes are possible in all of them.
func (p *packer) distinctDomains() []string {
	var out []string
	for _, domain := range p.domains {
		same := func(other string) bool {
			return p.free[domain] == p.free[other] && maps.Equal(p.groups[domain], p.groups[other])
		}
		if !slices.ContainsFunc(out, same) {
			out = append(out, domain)
		}
	}
	return out
}

const (
	// maxPackChanges is the number of domains that are changed at once. Some
	// improvements need two: one domain gives up a group of a model and another one
	// takes it.
	maxPackChanges = 2
	// minPackGain is the least decrease of the cost for which a division is changed.
	// It exceeds rounding errors, which could make two divisions replace each other
	// for ever.
	minPackGain = 1e-9
)
