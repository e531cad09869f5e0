package placement

import (
	"maps"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// stageFree stages models on the free engines of all domains: first on engines that
// could form a group if they had its model, the groups with the highest gain per
// load first, then on engines without any model. Loads are scarce, so their order
// must not depend on the order of the domains.
func (s *Snapshot) stageFree(free map[string][]*catalog.Engine, counts map[string]int, loads *int) []Step {
	var steps []Step
	stage := func(e *catalog.Engine, m catalog.Model) {
		if *loads > 0 && s.Staging[e.ID] == "" {
			*loads--
			steps = append(steps, Step{Stage: &Stage{Engine: e, Model: m}})
		}
	}
	left := maps.Clone(free)
	planned := maps.Clone(counts)
	for *loads > 0 {
		f, domain, ok := s.bestGainPerLoad(left, planned)
		if !ok {
			break
		}
		planned[f.Model.Name]++
		left[domain] = without(left[domain], f.Members)
		for _, e := range f.Members {
			if s.loadDistance(f.Model, e) == unstaged {
				stage(e, f.Model)
			}
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(left)) {
		for i, e := range left[domain] {
			if !s.canServeAny(e) {
				stage(e, s.Service.Engine.Models[i%len(s.Service.Engine.Models)])
			}
		}
	}
	return steps
}

// bestGainPerLoad returns, of the best group of each domain, the one with the
// highest gain per load that has still to start, and its domain.
func (s *Snapshot) bestGainPerLoad(free map[string][]*catalog.Engine, counts map[string]int) (best Form, bestDomain string, found bool) {
	bestGain := 0.0
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		f, gain, ok := s.highestGain(free[domain], counts, true)
		if !ok {
			continue
		}
		if f.Loads == 0 {
			return f, domain, true
		}
		if gain /= float64(f.Loads); !found || gain > bestGain {
			best, bestDomain, bestGain, found = f, domain, gain, true
		}
	}
	return best, bestDomain, found
}

// canServeAny reports whether the engine has a model loaded, staged or being staged.
func (s *Snapshot) canServeAny(e *catalog.Engine) bool {
	return slices.ContainsFunc(s.Service.Engine.Models, func(m catalog.Model) bool { return s.loadDistance(m, e) < unstaged })
}

// stageSecondModels gives each engine two models, one loaded and another one on its
// host, so that the remaining members of a broken group can at once form a group of
// another size, and a spare can join any group. Spares without a loaded model are
// preloaded at any time. Second models are staged only before the first request,
// because later each load slows down the loads that repairs need. Engines that this plan
// uses for a group are not preloaded: the later join would make them leave the group.
func (s *Snapshot) stageSecondModels(used map[string]bool, loads *int) []Step {
	var steps []Step
	for _, e := range s.Engines {
		unavailable := e.Membership.State == catalog.Joining || s.Reserved[e.ID] || s.Unresponsive[e.ID] || e.Draining
		if unavailable || s.Staging[e.ID] != "" || len(e.StagedModels) == 0 {
			continue
		}
		if s.lastModel(e) == "" && e.Membership.State == catalog.NoGroup {
			if m, ok := s.Service.Engine.Model(e.StagedModels[0]); ok && !used[e.ID] {
				steps = append(steps, Step{Preload: &Preload{Engine: e, Model: m}})
			}
			continue
		}
		i := slices.IndexFunc(s.Service.Engine.Models, func(m catalog.Model) bool { return s.loadDistance(m, e) == unstaged })
		if i >= 0 && !s.hasOtherStaged(e) && s.Starting && *loads > 0 {
			*loads--
			steps = append(steps, Step{Stage: &Stage{Engine: e, Model: s.Service.Engine.Models[i]}})
		}
	}
	return steps
}

// hasOtherStaged reports whether the engine's host has a model other than the
// loaded one.
func (s *Snapshot) hasOtherStaged(e *catalog.Engine) bool {
	return slices.ContainsFunc(e.StagedModels, func(name string) bool { return name != e.Model })
}
