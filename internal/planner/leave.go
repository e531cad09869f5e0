package planner

import (
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/placement"
)

// acceptedLeave is an order to leave a group that an incarnation of an engine has answered,
// and when.
type acceptedLeave struct {
	group       catalog.GroupID
	startUnixMS int64
	at          time.Time
	// seqAfter is the engine's OrderSeq after the order, for the next order; nil if it is
	// unknown or was used.
	seqAfter *int64
}

// leave orders members of abandoned groups to leave them. All engines of the planned group
// are reserved until the members have answered, so that no smaller group takes some.
func (p *Planner) leave(l *placement.Leave) {
	until := time.Now().Add(orderInterval)
	reserved := slices.Concat(l.Members, l.Partners)
	for _, e := range reserved {
		p.reserve(e, until)
	}
	var sending sync.WaitGroup
	for _, e := range l.Members {
		klog.InfoS("member leaves an abandoned group", "engine", e.ID, "group", e.Membership.Group.Name)
		sending.Go(func() { p.sendLeave(e) })
	}
	go func() {
		sending.Wait()
		for _, e := range reserved {
			p.endReservation(e.ID, until)
		}
		select {
		case p.replan <- struct{}{}:
		default: // a round is due already
		}
	}()
}

// sendLeave orders a member to leave its group and records that it has.
func (p *Planner) sendLeave(e *catalog.Engine) {
	group := e.Membership.Group
	guard := &orderGuard{judge: placement.JudgeLeave, question: placement.OrderQuestion{Target: group, StartUnixMS: e.StartUnixMS}}
	if err := p.sendGuarded(e, Order{Op: Leave, Group: group}, guard); err != nil {
		return // the next planning round decides again
	}
	left := acceptedLeave{group: group, startUnixMS: e.StartUnixMS, at: time.Now()}
	if guard.sentSeq != nil {
		next := *guard.sentSeq + 1
		left.seqAfter = &next
	}
	p.acceptedLeaves.Set(e.ID, left)
	p.membersLeft.Add(1)
}

// MembersLeft returns the number of engines that have left a group by this planner's order,
// since the start of the process.
func (p *Planner) MembersLeft() int64 { return p.membersLeft.Load() }

// judgeMembers adds the verdicts on the members of a group to the snapshot, which has the
// verdict on its head.
func (p *Planner) judgeMembers(g *catalog.Group, s *placement.Snapshot) {
	for _, e := range g.PresentMembers() {
		q := placement.MemberQuestion{Group: g.ID, StartUnixMS: e.StartUnixMS, AnnouncedAt: e.SeenAt, Head: s.HeadVerdicts[g.ID]}
		if v := placement.JudgeMember(&q, p.memberEvidence(e.ID)); v != placement.MemberBound {
			s.MemberVerdicts[e.ID] = v
		}
	}
}

// memberEvidence lists what is known of an engine as a member.
func (p *Planner) memberEvidence(id string) []placement.Evidence {
	var out []placement.Evidence
	if l, ok := p.acceptedLeaves.Get(id); ok {
		out = append(out, placement.Evidence{Kind: placement.LeaveAccepted, StartUnixMS: l.startUnixMS, Membership: catalog.Membership{Group: l.group}, At: l.at})
	}
	if es, ok := p.engines.Get(id); ok {
		es.mu.Lock()
		defer es.mu.Unlock()
		if !es.reportedAt.IsZero() {
			out = append(out, placement.Evidence{Kind: placement.Reported, StartUnixMS: es.reported.StartUnixMS, Membership: es.reported.Membership, At: es.reportedAt})
		}
	}
	return out
}
