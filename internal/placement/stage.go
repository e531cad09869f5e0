package placement

import (
	"maps"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// prepare stages models on the free engines of a domain: first on those that
// could form groups if they had them, then on those that have none.
func (s *Snapshot) prepare(left []*catalog.Engine, counts map[string]int, loads *int) []Step {
	var steps []Step
	stage := func(e *catalog.Engine, m catalog.Model) {
		if *loads > 0 && s.Staging[e.ID] == "" {
			*loads--
			steps = append(steps, Step{Stage: &Stage{Engine: e, Model: m}})
		}
	}
	possible := maps.Clone(counts)
	for {
		f, ok := s.best(left, possible, true)
		if !ok {
			break
		}
		possible[f.Model.Name]++
		left = without(left, f.Members)
		for _, e := range f.Members {
			if s.distance(f.Model, e) == farthest {
				stage(e, f.Model)
			}
		}
	}
	for i, e := range left {
		if !s.hasAny(e) {
			stage(e, s.Service.Engine.Models[i%len(s.Service.Engine.Models)])
		}
	}
	return steps
}

// hasAny reports whether the engine can serve some model without a load.
func (s *Snapshot) hasAny(e *catalog.Engine) bool {
	return slices.ContainsFunc(s.Service.Engine.Models, func(m catalog.Model) bool { return s.distance(m, e) < farthest })
}

// cover gives each engine a second model: one loaded, another on its host. What
// is left of a broken group can then form one of another size at once, and a
// spare can join any group. Second models are staged only before the first
// request: later each load slows those that repairs need.
func (s *Snapshot) cover(loads *int) []Step {
	var steps []Step
	for _, e := range s.Engines {
		busy := e.Membership.State == catalog.Joining || s.Reserved[e.ID] || s.Unresponsive[e.ID] || e.Draining
		if busy || s.Staging[e.ID] != "" || len(e.StagedModels) == 0 {
			continue
		}
		if e.Model == "" && e.Membership.State == catalog.NoGroup {
			if m, ok := s.Service.Engine.Model(e.StagedModels[0]); ok {
				steps = append(steps, Step{Preload: &Preload{Engine: e, Model: m}})
			}
			continue
		}
		i := slices.IndexFunc(s.Service.Engine.Models, func(m catalog.Model) bool { return s.distance(m, e) == farthest })
		if i >= 0 && !s.stagedOther(e) && s.Starting && *loads > 0 {
			*loads--
			steps = append(steps, Step{Stage: &Stage{Engine: e, Model: s.Service.Engine.Models[i]}})
		}
	}
	return steps
}

// stagedOther reports whether the host has a model besides the loaded one.
func (s *Snapshot) stagedOther(e *catalog.Engine) bool {
	return slices.ContainsFunc(e.StagedModels, func(name string) bool { return name != e.Model })
}
