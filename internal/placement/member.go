package placement

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// MemberQuestion asks whether a member of a group without a listed head may join another
// group.
type MemberQuestion struct {
	Group catalog.GroupID
	// StartUnixMS is the start of the incarnation that announces the group, in Unix
	// milliseconds, and AnnouncedAt is when the announcement was read.
	StartUnixMS int64
	AnnouncedAt time.Time
	// Head is the verdict on the head of the group.
	Head HeadVerdict
}

// MemberVerdict is the answer to a MemberQuestion.
type MemberVerdict uint8

// The verdicts.
const (
	// MemberBound means that the head may serve, so the member stays.
	MemberBound MemberVerdict = iota
	// MemberMustLeave means that the group is of no use but may be open. The member may
	// be ordered to leave it, and may join another group once it has left.
	MemberMustLeave
	// MemberLeft means that the member is not in the group any more.
	MemberLeft
	// MemberFree means that the group has ended, and a join may replace the membership.
	MemberFree
)

var memberVerdictNames = [...]string{"bound", "must leave", "left", "free"}

// String returns the name of the verdict.
func (v MemberVerdict) String() string { return memberVerdictNames[v] }

// JudgeMember decides whether a member may join another group. Only the member itself can
// prove that it has left a group whose head cannot be asked: an order to leave takes effect
// at once, and the engine names no group after it.
func JudgeMember(q *MemberQuestion, evidence []Evidence) MemberVerdict {
	switch {
	case q.left(evidence):
		return MemberLeft
	case q.Head.IsFinal():
		return MemberFree
	case q.Head == HeadMayServe:
		return MemberBound
	default:
		return MemberMustLeave
	}
}

// left reports whether the member has answered an order to leave, or has reported no group
// after it announced this one, and has not reported the group since. It may be a member
// again: a join that was sent before may be executed after the leave.
func (q *MemberQuestion) left(evidence []Evidence) bool {
	var leftAt, memberAt time.Time
	for _, e := range evidence {
		if e.StartUnixMS != q.StartUnixMS {
			continue
		}
		inGroup := e.Membership.Group == q.Group && e.Membership.State != catalog.NoGroup
		switch {
		case e.Kind == LeaveAccepted && e.Membership.Group == q.Group:
			leftAt = latest(leftAt, e.At)
		case e.Kind == Reported && inGroup:
			memberAt = latest(memberAt, e.At)
		case e.Kind == Reported && e.Membership.State == catalog.NoGroup && e.At.After(q.AnnouncedAt):
			leftAt = latest(leftAt, e.At)
		}
	}
	return !leftAt.IsZero() && !memberAt.After(leftAt)
}

// OrderQuestion asks whether an engine is still in the state in which an order was planned
// for it. It addresses orders of this and earlier planners that are executed late, after the
// announcement on which the plan rests.
type OrderQuestion struct {
	// Target is the group that the order names.
	Target catalog.GroupID
	// From is the group that a joining engine may be a member of, since that has ended. It
	// is zero if the engine must not be in any group.
	From catalog.GroupID
	// StartUnixMS is the start of the incarnation that the plan uses, in Unix milliseconds.
	StartUnixMS int64
}

// OrderVerdict is the answer to an OrderQuestion.
type OrderVerdict uint8

// The verdicts.
const (
	// OrderRefused means that the engine has started again, or is in another group.
	OrderRefused OrderVerdict = iota
	// OrderAllowed means that the order may be executed in the reported state.
	OrderAllowed
	// OrderDone means that the engine is in the ordered state.
	OrderDone
)

// JudgeJoin decides from a report of the engine, which was requested for this order,
// whether the engine may join the target group.
func JudgeJoin(q *OrderQuestion, startUnixMS int64, m catalog.Membership) OrderVerdict {
	switch {
	case startUnixMS != q.StartUnixMS:
		return OrderRefused
	case m.State == catalog.NoGroup:
		return OrderAllowed
	case m.Group == q.Target:
		return OrderDone
	case m.Group == q.From:
		return OrderAllowed
	default:
		return OrderRefused
	}
}

// JudgeLeave decides from a report of the engine, which was requested for this order,
// whether the engine has to leave the target group.
func JudgeLeave(q *OrderQuestion, startUnixMS int64, m catalog.Membership) OrderVerdict {
	switch {
	case startUnixMS != q.StartUnixMS:
		return OrderRefused
	case m.Group == q.Target && m.State != catalog.NoGroup:
		return OrderAllowed
	default:
		return OrderDone
	}
}
