package planner

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/placement"
)

const (
	// maxSeqConflicts is the number of attempts of an order that the engine may refuse
	// because it has begun another order since its report.
	maxSeqConflicts = 4
	// seqConflictDelay is the delay before such an order is sent again. The order count of
	// a report is some hundred milliseconds old.
	seqConflictDelay = 250 * time.Millisecond
)

// orderGuard makes an order depend on the engine's state. An earlier order that is executed
// late, after that state was observed, makes the engine refuse the order.
type orderGuard struct {
	judge    func(q *placement.OrderQuestion, startUnixMS int64, m catalog.Membership) placement.OrderVerdict
	question placement.OrderQuestion
	// knownSeq, unless nil, is the engine's OrderSeq in a state that is known already. The
	// first attempt uses it in place of a report.
	knownSeq *int64
	// sentSeq is the OrderSeq on which the last attempt depends, or nil if a report showed
	// that the engine is in the ordered state.
	sentSeq   *int64
	conflicts int
}

// check queries the engine's state, unless it is known, and makes the order depend on it. It reports done if the engine is in
// the ordered state already. It fails with kind Timeout if the engine does not report its
// state, and with Conflict if that does not allow the order.
func (g *orderGuard) check(engines EngineClient, e *catalog.Engine, o *Order) (done bool, err error) {
	if g.knownSeq != nil {
		g.sentSeq, g.knownSeq = g.knownSeq, nil
		o.IfSeq = g.sentSeq
		return false, nil
	}
	g.sentSeq = nil
	r, err := engines.Report(e)
	if err != nil {
		if fault.Is(err, fault.NotFound) || fault.Is(err, fault.Unavailable) {
			return false, err
		}
		return false, fault.Wrap(fault.Timeout, err, "plan again", "state of engine %s before the order to %s group %s", e.ID, o.Op, o.Group.Name)
	}
	switch g.judge(&g.question, r.StartUnixMS, r.Membership) {
	case placement.OrderDone:
		return true, nil
	case placement.OrderAllowed:
		g.sentSeq = &r.OrderSeq
		o.IfSeq = g.sentSeq
		return false, nil
	default:
		return false, fault.Refuse(fault.Conflict, "plan again", "engine %s is not in the state in which it was ordered to %s group %s: it reports group %q, state %s",
			e.ID, o.Op, o.Group.Name, r.Membership.Group.Name, r.Membership.State)
	}
}

// retries reports whether an order that the engine refused is to be sent again on its new
// state. g may be nil.
func (g *orderGuard) retries(err error) bool {
	if g == nil || !fault.Is(err, fault.Conflict) {
		return false
	}
	g.conflicts++
	return g.conflicts <= maxSeqConflicts
}
