// Package placement decides how a service's engines form groups: which models
// get how many, which engines repair which group, and in which order. It is
// pure: a typed snapshot in, steps out. The order of steps keeps two
// invariants: no engine is taken from a group whose head may still serve, and
// no group is opened before all its members have joined it.
package placement

import (
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
	// Unresponsive engines announce themselves but answer nothing.
	Unresponsive map[string]bool
	// Reserved engines have an order under way.
	Reserved map[string]bool
	// Unanswered engines have an order under way that they have not answered; they
	// are among the reserved ones.
	Unanswered map[string]bool
	// Opening groups were ordered to open just now.
	Opening map[string]bool
	// Staging are the models on their way to engines' hosts, by engine.
	Staging map[string]string
	// JoinDeadlines are the formations begun by this planner, with the time until which
	// their members may take to join.
	JoinDeadlines map[catalog.GroupID]time.Time
	// CloseAcked are groups whose head has answered this planner's order to close. An
	// order to open that an earlier planner sent is refused from then on.
	CloseAcked map[catalog.GroupID]bool
	// HeadStopped are groups whose absent head certainly serves no more.
	HeadStopped map[catalog.GroupID]bool
	// ZoneOutOfService reports whether operators have taken a zone out of service.
	ZoneOutOfService func(zone string) bool
	// Demand are the models' parts of the service's work.
	Demand map[string]float64
	// LoadBudget is the number of loads from the weight store that may start now.
	LoadBudget int
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

// PreloadGroupPrefix begins the names of groups that are never opened.
const PreloadGroupPrefix = "p"

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
	// Ended groups serve no more: their members may be taken.
	Ended
)

// Classify returns the condition of a group.
func Classify(s *Snapshot, g *catalog.Group) Condition {
	head := g.Head()
	until, own := s.JoinDeadlines[g.ID]
	joining := own && !s.Now.After(until)
	if head == nil && joining {
		// It still announces its previous group; its join is on its way.
		return Forming
	}
	if head == nil || s.Unresponsive[head.ID] {
		if s.HeadStopped[g.ID] {
			return Ended
		}
		return Ending
	}
	missing, leaving := false, false
	for _, e := range g.Members {
		missing = missing || e == nil || s.Unresponsive[e.ID]
		leaving = leaving || (e != nil && s.Unresponsive[e.ID] && head.Membership.State != catalog.Open)
		leaving = leaving || (e != nil && e.Draining)
	}
	switch head.Membership.State {
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
		return Ended
	}
	if strings.HasPrefix(g.ID.Name, PreloadGroupPrefix) {
		return Ended
	}
	switch {
	case s.CloseAcked[g.ID]:
		return Ended
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
	steps, d := s.tend()
	kept := s.revise(d)
	if kept != nil && len(d.closing) == 0 {
		for _, g := range kept.close {
			steps = append(steps, Step{Close: &Close{Group: *g}})
		}
	}
	return append(steps, s.fill(d, kept)...)
}

// tend returns the steps that single groups need, and the engines' division.
func (s *Snapshot) tend() ([]Step, *division) {
	var steps []Step
	d := &division{
		counts: map[string]int{}, free: map[string][]*catalog.Engine{},
		closing: map[string]int{}, healthy: map[string][]*catalog.Group{}, ending: map[string]int{},
	}
	for _, e := range s.Engines {
		if e.Membership.State == catalog.NoGroup {
			s.release(d.free, e)
		}
	}
	for i := range s.Groups {
		g := &s.Groups[i]
		condition := Classify(s, g)
		if condition <= Openable && g.AnyMemberInZone(s.ZoneOutOfService) {
			// Its engines come back with their zone; nobody is served by it meanwhile.
			continue
		}
		switch condition {
		case Healthy:
			d.counts[g.Model]++
			if s.Reserved[g.Head().ID] {
				// It may have been ordered to close just now.
				d.closing[g.Head().FabricDomain] += len(g.Members)
				continue
			}
			d.healthy[g.Head().FabricDomain] = append(d.healthy[g.Head().FabricDomain], g)
		case Forming:
			d.counts[g.Model]++
		case Openable:
			d.counts[g.Model]++
			if !s.Opening[g.ID.Name] && !s.awaits(g) {
				steps = append(steps, Step{Open: g})
			}
		case Failed, Draining, Unfenced:
			d.ending[g.Model]++
			if !s.Reserved[g.Head().ID] {
				steps = append(steps, Step{Close: &Close{Group: *g, Abort: condition != Draining}})
			}
		case Ended:
			for _, e := range g.PresentMembers() {
				s.release(d.free, e)
			}
		case Ending:
			d.ending[g.Model]++
			if h := g.Head(); h != nil && h.Membership.State == catalog.Closing && !s.Unresponsive[h.ID] {
				d.closing[h.FabricDomain] += len(g.PresentMembers())
			}
		}
	}
	return steps, d
}

// awaits reports whether a member has not answered an order: it may yet be
// joined to another group.
func (s *Snapshot) awaits(g *catalog.Group) bool {
	return slices.ContainsFunc(g.PresentMembers(), func(e *catalog.Engine) bool { return s.Unanswered[e.ID] })
}

// release adds an engine to those that may be taken, by domain.
func (s *Snapshot) release(free map[string][]*catalog.Engine, e *catalog.Engine) {
	if e.Draining || s.Unresponsive[e.ID] || s.Reserved[e.ID] || s.ZoneOutOfService(e.Zone) {
		return
	}
	free[e.FabricDomain] = append(free[e.FabricDomain], e)
}
