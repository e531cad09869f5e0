// Package placement decides how a service's engines form groups: how many groups
// each model gets, and which engines each group consists of. All members of a group
// are in one fabric domain, which is called a domain in this package. Plan is a
// pure function from a snapshot to steps; it does no I/O. The steps keep two
// invariants: no engine is taken from a group that may still be open, unless it has left
// the group, and no group is opened before all its members have joined it.
package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// Snapshot is the planner's view of one service at one moment.
type Snapshot struct {
	Service *catalog.Service
	Engines []*catalog.Engine
	Groups  []catalog.Group
	Now     time.Time
	// Unresponsive holds the engines that are announced but do not answer.
	Unresponsive map[string]bool
	// Reserved holds the engines with an order in progress.
	Reserved map[string]bool
	// Unanswered holds the engines that have not answered their last order; they
	// are also in Reserved.
	Unanswered map[string]bool
	// Opening holds the names of the groups whose head was recently ordered to open
	// them.
	Opening map[string]bool
	// LastModels is the model of an engine's last group, by engine id. An engine that has
	// left the group announces no model, but joins another group of that model as fast as
	// if it had it loaded.
	LastModels map[string]string
	// Staging is the model that is being staged on an engine's host, by engine id.
	Staging map[string]string
	// JoinDeadlines holds the groups formed by this planner, and the time by which
	// their members must have joined.
	JoinDeadlines map[catalog.GroupID]time.Time
	// CloseAcked holds the groups whose head has answered this planner's order to
	// close. Such a head refuses orders to open that an earlier planner sent.
	CloseAcked map[catalog.GroupID]bool
	// HeadVerdicts holds the verdicts on heads that are not listed. A head without one
	// may serve.
	HeadVerdicts map[catalog.GroupID]HeadVerdict
	// MemberVerdicts holds, by engine id, the verdicts on members that have left the group
	// they announce, or whose head has a verdict.
	MemberVerdicts map[string]MemberVerdict
	// ZoneOutOfService reports whether operators have taken a zone out of service.
	ZoneOutOfService func(zone string) bool
	// Demand is the relative demand for each model.
	Demand map[string]float64
	// LoadBudget is the number of loads from the weight store that may start now.
	LoadBudget int
	// Starting is set before the first request, while loads are short and delay no
	// requests.
	Starting bool
}

// Step is one step of a plan; exactly one of the fields is set.
type Step struct {
	Form  *Form
	Open  *catalog.Group
	Close *Close
	Leave *Leave
	Stage *Stage
	// Preload loads the model on the host into the memory of a spare.
	Preload *Preload
}

// Form forms a group of the members, of which the first becomes its head.
type Form struct {
	Model   catalog.Model
	Members []*catalog.Engine
	// Loads is the number of members that must load from the weight store.
	Loads int
}

// Close orders the head of a group to stop serving.
type Close struct {
	Group catalog.Group
	// Abort stops it without a drain: requests in flight are lost, or cannot
	// proceed because a member has failed.
	Abort bool
}

// Leave orders members of groups that nobody can use to leave them, so that they can form
// a group with other engines.
type Leave struct {
	Members []*catalog.Engine
	// Partners are the engines that are free for the group already. They get no other
	// order until the members have answered.
	Partners []*catalog.Engine
}

// Stage loads a model onto an engine's host, so that the engine can join a group of
// the model sooner.
type Stage struct {
	Engine *catalog.Engine
	Model  catalog.Model
}

// PreloadGroupPrefix is the name prefix of the groups of Preload steps, which are
// never opened.
const PreloadGroupPrefix = "p"

// Preload makes a spare the only member of a group that is never opened. The spare
// thereby loads the model on its host, and the host can hold another one.
type Preload struct {
	Engine *catalog.Engine
	Model  catalog.Model
}

// Condition is the condition of a group, which determines the step it needs.
type Condition uint8

// The conditions of a group.
const (
	// Healthy groups serve with all their members.
	Healthy Condition = iota
	// Forming groups wait for members to join.
	Forming
	// Openable groups are complete and can be ordered to open.
	Openable
	// Draining groups have a member that drains.
	Draining
	// Failed groups have lost a member, and their head may still serve.
	Failed
	// Ending groups are closing, or their head does not answer and is not known to
	// have stopped.
	Ending
	// Abandoned groups have a head that nobody can use, but may be open. Their members can
	// be reused once they have left.
	Abandoned
	// Unfenced groups do not serve, but an order to open may still reach the head.
	Unfenced
	// Ended groups do not serve any more, and their members can be reused.
	Ended
)

// Classify returns the condition of a group.
func Classify(s *Snapshot, g *catalog.Group) Condition {
	head := g.Head()
	deadline, own := s.JoinDeadlines[g.ID]
	joining := own && !s.Now.After(deadline)
	if head == nil && joining {
		// The head has not joined yet and still announces its previous group.
		return Forming
	}
	if head == nil || s.Unresponsive[head.ID] {
		switch v := s.HeadVerdicts[g.ID]; {
		case v.IsFinal():
			return Ended
		case v != HeadMayServe:
			return Abandoned
		default:
			return Ending
		}
	}
	missing, leaving := false, false
	for _, e := range g.Members {
		missing = missing || e == nil || s.Unresponsive[e.ID] || s.MemberVerdicts[e.ID] == MemberLeft
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
	steps, alloc := s.groupSteps()
	claim := s.bestClaim(alloc)
	if claim != nil && len(alloc.closing) == 0 {
		for _, g := range claim.toClose {
			steps = append(steps, Step{Close: &Close{Group: *g}})
		}
	}
	return append(steps, s.formAndStage(alloc, claim)...)
}

// groupSteps returns the steps that follow from the condition of each group by
// itself, and the current allocation of the engines.
func (s *Snapshot) groupSteps() ([]Step, *allocation) {
	var steps []Step
	alloc := &allocation{
		counts: map[string]int{}, free: map[string][]*catalog.Engine{}, leavable: map[string][]*catalog.Engine{},
		closing: map[string]int{}, healthy: map[string][]*catalog.Group{}, ending: map[string]int{},
	}
	for _, e := range s.Engines {
		if e.Membership.State == catalog.NoGroup {
			s.addFree(alloc.free, e)
		}
	}
	for i := range s.Groups {
		g := &s.Groups[i]
		condition := Classify(s, g)
		if condition != Ended {
			s.addLeaving(alloc, g, condition)
		}
		if condition <= Openable && g.AnyMemberInZone(s.ZoneOutOfService) {
			// The group receives no requests, so it does not count. Its engines
			// return to service together with their zone.
			continue
		}
		switch condition {
		case Healthy:
			alloc.counts[g.Model]++
			if s.Reserved[g.Head().ID] {
				// The order in progress may be an order to close.
				alloc.closing[g.Head().FabricDomain] += len(g.Members)
				continue
			}
			alloc.healthy[g.Head().FabricDomain] = append(alloc.healthy[g.Head().FabricDomain], g)
		case Forming:
			alloc.counts[g.Model]++
		case Openable:
			alloc.counts[g.Model]++
			if !s.Opening[g.ID.Name] && !s.hasUnansweredMember(g) {
				steps = append(steps, Step{Open: g})
			}
		case Failed, Draining, Unfenced:
			alloc.ending[g.Model]++
			if !s.Reserved[g.Head().ID] {
				steps = append(steps, Step{Close: &Close{Group: *g, Abort: condition != Draining}})
			}
		case Ended:
			for _, e := range g.PresentMembers() {
				s.addFree(alloc.free, e)
			}
		case Abandoned: // addLeaving has added its members
		case Ending:
			alloc.ending[g.Model]++
			if h := g.Head(); h != nil && h.Membership.State == catalog.Closing && !s.Unresponsive[h.ID] {
				alloc.closing[h.FabricDomain] += len(g.PresentMembers())
			}
		}
	}
	return steps, alloc
}

// addLeaving adds the members that have left the group to the free engines, and those that
// may be ordered to leave it to the leavable ones.
func (s *Snapshot) addLeaving(alloc *allocation, g *catalog.Group, condition Condition) {
	for _, e := range g.PresentMembers() {
		switch v := s.MemberVerdicts[e.ID]; {
		case v == MemberLeft:
			s.addFree(alloc.free, e)
		case v == MemberMustLeave && condition == Abandoned:
			s.addFree(alloc.leavable, e)
		}
	}
}

// hasUnansweredMember reports whether a member has not answered its last order,
// which may still make it join another group.
func (s *Snapshot) hasUnansweredMember(g *catalog.Group) bool {
	return slices.ContainsFunc(g.PresentMembers(), func(e *catalog.Engine) bool { return s.Unanswered[e.ID] })
}

// addFree adds the engine to those of its domain that can be used, unless it drains, does
// not answer, is reserved, or is in a zone out of service.
func (s *Snapshot) addFree(free map[string][]*catalog.Engine, e *catalog.Engine) {
	if e.Draining || s.Unresponsive[e.ID] || s.Reserved[e.ID] || s.ZoneOutOfService(e.Zone) {
		return
	}
	free[e.FabricDomain] = append(free[e.FabricDomain], e)
}
