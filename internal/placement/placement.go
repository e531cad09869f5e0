// Package placement decides how a service's engines form groups: which models
// get how many, which engines repair which group, and in which order. It is
// pure: a typed snapshot in, steps out. The order of steps keeps two
// invariants: no engine is taken from a group whose head may still serve, and
// no group is opened before all its members have joined it.
package placement

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// Snapshot is what the planner knows of one service at one moment.
type Snapshot struct {
	Service *catalog.Service
	Engines []*catalog.Engine
	Groups  []catalog.Group
	Now     time.Time
	// Lost engines announce themselves but answer nothing.
	Lost map[string]bool
	// Reserved engines have an order under way.
	Reserved map[string]bool
	// Unanswered engines have an order under way that they have not answered; they
	// are among the reserved ones.
	Unanswered map[string]bool
	// Opening groups were ordered to open just now.
	Opening map[string]bool
	// Staging are the models on their way to engines' hosts, by engine.
	Staging map[string]string
	// Own are the formations begun by this planner, with the time until which
	// their members may take to join.
	Own map[catalog.GroupID]time.Time
	// Closed are groups whose head has answered this planner's order to close. An
	// order to open that an earlier planner sent is refused from then on.
	Closed map[catalog.GroupID]bool
	// Released are groups whose absent head certainly serves no more.
	Released map[catalog.GroupID]bool
	// ZoneOut reports whether operators have taken a zone out of service.
	ZoneOut func(zone string) bool
	// Needs are the models' parts of the service's work.
	Needs map[string]float64
	// Loads is the number of loads from the weight store that may start now.
	Loads int
	// Starting is set before the first request, while loads are short and free.
	Starting bool
}

// Step is one thing to do; one of the fields is set.
type Step struct {
	Form  *Form
	Open  *catalog.Group
	Close *Close
	Stage *Stage
	// Preload loads what the host has into a spare's memory.
	Preload *Preload
}

// Form makes a group of the members, the head first.
type Form struct {
	Model   catalog.Model
	Members []*catalog.Engine
	// Loads is the number of members that load from the weight store.
	Loads int
}

// Close ends a group's service.
type Close struct {
	Group catalog.Group
	// Abort ends it at once; requests under way are lost or can't proceed.
	Abort bool
}

// Stage loads a model onto an engine's host ahead of need.
type Stage struct {
	Engine *catalog.Engine
	Model  catalog.Model
}

// PreloadPrefix begins the names of groups that are never opened.
const PreloadPrefix = "p"

// Preload makes a spare the only member of a group that is never opened, so that
// it has the model of its host loaded and its host may hold another one.
type Preload struct {
	Engine *catalog.Engine
	Model  catalog.Model
}

// Condition is what a group needs.
type Condition uint8

// The conditions of a group.
const (
	// Healthy groups serve, or are about to.
	Healthy Condition = iota
	// Forming groups wait for members.
	Forming
	// Openable groups are complete and wait for the order to open.
	Openable
	// Draining groups have a member that leaves in an orderly way.
	Draining
	// Failed groups have lost a member while the head may still serve.
	Failed
	// Ending groups are on their way out of service.
	Ending
	// Unfenced groups do not serve, but an order to open may be on its way.
	Unfenced
	// Over groups serve no more: their members may be taken.
	Over
)

// Judge returns the condition of a group.
func Judge(s *Snapshot, g *catalog.Group) Condition {
	head := g.Head()
	until, own := s.Own[g.ID]
	joining := own && !s.Now.After(until)
	if head == nil && joining {
		// It still announces its previous group; its join is on its way.
		return Forming
	}
	if head == nil || s.Lost[head.ID] {
		if s.Released[g.ID] {
			return Over
		}
		return Ending
	}
	missing, leaving := false, false
	for _, e := range g.Members {
		missing = missing || e == nil || s.Lost[e.ID]
		leaving = leaving || (e != nil && s.Lost[e.ID] && head.Member.State != catalog.Open)
		leaving = leaving || (e != nil && e.Draining)
	}
	switch head.Member.State {
	case catalog.Closing:
		return Ending
	case catalog.Open:
		switch {
		case missing:
			return Failed
		case leaving:
			return Draining
		default:
			return Healthy
		}
	case catalog.Broken:
		return Over
	}
	if strings.HasPrefix(g.ID.Name, PreloadPrefix) {
		return Over
	}
	switch {
	case s.Closed[g.ID]:
		return Over
	case !joining || leaving:
		return Unfenced
	case g.Complete() && !missing:
		return Openable
	default:
		return Forming
	}
}

// Plan returns the steps to take now.
func Plan(s *Snapshot) []Step {
	var steps []Step
	counts := map[string]int{}
	free := map[string][]*catalog.Engine{}
	for _, e := range s.Engines {
		if e.Member.State == catalog.NoGroup {
			s.release(free, e)
		}
	}
	for i := range s.Groups {
		g := &s.Groups[i]
		condition := Judge(s, g)
		switch condition {
		case Healthy, Forming:
			counts[g.Model]++
		case Openable:
			counts[g.Model]++
			if !s.Opening[g.ID.Name] && !s.awaits(g) {
				steps = append(steps, Step{Open: g})
			}
		case Failed, Draining, Unfenced:
			if !s.Reserved[g.Head().ID] {
				steps = append(steps, Step{Close: &Close{Group: *g, Abort: condition != Draining}})
			}
		case Over:
			for _, e := range g.Present() {
				s.release(free, e)
			}
		case Ending:
		}
	}
	return append(steps, s.fill(free, counts)...)
}

// awaits reports whether a member has not answered an order: it may yet be
// joined to another group.
func (s *Snapshot) awaits(g *catalog.Group) bool {
	return slices.ContainsFunc(g.Present(), func(e *catalog.Engine) bool { return s.Unanswered[e.ID] })
}

// release adds an engine to those that may be taken, by domain.
func (s *Snapshot) release(free map[string][]*catalog.Engine, e *catalog.Engine) {
	if e.Draining || s.Lost[e.ID] || s.Reserved[e.ID] || s.ZoneOut(e.Zone) {
		return
	}
	free[e.Domain] = append(free[e.Domain], e)
}

// fill forms groups of free engines, domain by domain, and stages models on
// what is left over.
func (s *Snapshot) fill(free map[string][]*catalog.Engine, counts map[string]int) []Step {
	var steps []Step
	loads := s.Loads
	domains := make([]string, 0, len(free))
	for d := range free {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	for _, d := range domains {
		left := free[d]
		for {
			f, ok := s.best(left, counts, s.Starting)
			if !ok {
				break
			}
			counts[f.Model.Name]++
			left = without(left, f.Members)
			steps = append(steps, Step{Form: &f})
		}
		steps = append(steps, s.prepare(left, counts, &loads)...)
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
		if len(engines) < m.Size || m.Size <= 0 {
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
		busy := e.Member.State == catalog.Joining || s.Reserved[e.ID] || s.Lost[e.ID] || e.Draining
		if busy || s.Staging[e.ID] != "" || len(e.Staged) == 0 {
			continue
		}
		if e.Model == "" && e.Member.State == catalog.NoGroup {
			if m, ok := s.Service.Engine.Model(e.Staged[0]); ok {
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
	return slices.ContainsFunc(e.Staged, func(name string) bool { return name != e.Model })
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
	need := max(s.Needs[m.Name], leastNeed)
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
	f := Form{Model: m, Members: sorted[:m.Size]}
	slices.SortStableFunc(f.Members, func(a, b *catalog.Engine) int { return int(min(max(a.Born-b.Born, -1), 1)) })
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
