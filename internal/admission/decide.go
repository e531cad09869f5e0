package admission

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/balance"
)

const (
	// ShortestRetryAfter is the shortest time after which a client is told to come back
	// for lack of capacity.
	ShortestRetryAfter = SlotLength
	// returnShare is the share of the remaining time within which a client is told to
	// come back. Clients wait for a third at most; the rest is for the transit.
	returnShare = 0.32
	// returnFloor is the share of a model's capacity that is expected for returning
	// requests when new demand takes all of it. It spreads them over the slots.
	returnFloor = 0.1
	// beyondBound is the part of the bound on the backlog up to which requests beyond
	// their share are admitted, and partBound that of requests within the share of a
	// tenant that demands more. The rest is for the tenants that demand no more than their
	// shares: with the full bound for both, these got 0.89 to 0.93 of their shares in
	// time in trials of a simulation of twice the capacity of 8 groups.
	beyondBound = 0.25
	partBound   = 0.75
	// lateDeadlineShare is the share of the time left within which the first event of a
	// late request must be predicted, as if no new requests came. The rest is for those,
	// which go before it at the engine. It bounds the late work of a group. In plays of a
	// burst, 0.2 to 0.6 gave the same worth within 3 in 100, and the requests that waited
	// in vain rose from 2 to 124 of 1,850.
	lateDeadlineShare = 0.3
	// latePatienceShare is the share of the client's patience within which it must be
	// predicted too. Predictions of late work are too short while new requests come.
	latePatienceShare = 0.5
	// latePriorityStep is added to the priority of late requests towards engines.
	// Routes use 0 to 2, so that all new requests go before all late ones.
	latePriorityStep = 3
	// maxPriority is the least urgent priority of engines.
	maxPriority = 9
)

// Reasons of verdicts, for logs and answers.
const (
	reasonInTime   = "within the bound for new requests"
	reasonSent     = "sent before"
	reasonLate     = "late, and predicted well within the time left"
	reasonDeadline = "predicted wait exceeds the time left"
	reasonBusy     = "all engines are busy"
	reasonShare    = "all engines are busy and the tenant demands more than its share"
	reasonLateBusy = "all engines are too busy for the time left"
)

// Verdict is the result of Judge.
type Verdict struct {
	Admitted bool
	Reason   string
}

// Classify returns the standing of a request. Load: clients that were refused return
// among those that come for the first time, whose test they can't pass in a burst.
// A returning request has a new id, so it is recognised by the time left to its client,
// which is shorter than the timeout of the route. Until ShortestRetryAfter has passed it
// is judged as a new one, so that a client gains nothing by not waiting.
func Classify(routeTimeout, clientTimeout time.Duration) Standing {
	if routeTimeout > 0 && clientTimeout > 0 && routeTimeout-clientTimeout >= ShortestRetryAfter {
		return Late
	}
	return New
}

// Judge decides whether a request is sent to the engine that balance.Choose returned.
// Load: more work is requested than the engines can do in time. A new request is
// admitted up to the bound of balance.Admit; the backlog that it is judged by is without
// late requests, which its engine starts after it. One of a tenant that demands more than
// its share is admitted up to a smaller bound, so that it uses what the others leave, and
// always by an engine that is not busy. A late one is also admitted beyond the bound,
// while its first event is predicted well within the time left.
func Judge(r *Request, c balance.Choice) Verdict {
	switch {
	case c.Predicted.FirstEvent > r.Remaining:
		return Verdict{false, reasonDeadline}
	case r.Sent:
		return Verdict{true, reasonSent}
	case balance.Admit(c, r.BacklogTarget()):
		return Verdict{true, reasonInTime}
	case r.Standing != Late && r.Share != WithinShare:
		return Verdict{false, reasonShare}
	case r.Standing != Late:
		return Verdict{false, reasonBusy}
	case c.Predicted.FirstEvent <= r.lateBound():
		return Verdict{true, reasonLate}
	default:
		return Verdict{false, reasonLateBusy}
	}
}

// lateBound returns the time within which the first event of a late request must be
// predicted.
func (r *Request) lateBound() time.Duration {
	bound := lateDeadlineShare * float64(r.Remaining)
	if r.Patience > 0 {
		bound = min(bound, latePatienceShare*float64(r.Patience))
	}
	return time.Duration(bound)
}

// BacklogTarget returns the target latency by whose bound on the backlog the request is
// admitted. Late requests don't delay new ones, so shares do not apply to them.
func (r *Request) BacklogTarget() time.Duration {
	switch {
	case r.Standing == Late || r.Share == WithinShare:
		return r.Target
	case r.Share == PartOfShare:
		return time.Duration(partBound * float64(r.Target))
	default:
		return time.Duration(beyondBound * float64(r.Target))
	}
}

// EnginePriority returns the priority of a request towards its engine. Load: late
// requests in an engine's queue would delay new ones past their target latency.
func EnginePriority(urgency int, s Standing) int {
	if s == Late {
		return min(urgency+latePriorityStep, maxPriority)
	}
	return urgency
}

// Return is when the client of a refused request should come back.
type Return struct {
	// After is the RetryAfter of the refusal, or 0 if there is no time left for another
	// request. Slot is the slot, counted from the current one, in which its work is
	// reserved.
	After time.Duration
	Slot  int
	// Predicted is set if the slot has capacity for the request. Otherwise it is the
	// last one that leaves time for an answer.
	Predicted bool
}

// PlanReturn returns the earliest time at which capacity for a refused request is
// predicted. Load: a burst of requests that are refused together and would return
// together; a model without a serving group. In each slot the capacity of the groups
// less the expected new demand, at least a small share of it, serves first the
// backlog over the bound and then the reserved work. spread, from 0 to 1, distributes
// the requests that find no slot over the last one.
func PlanReturn(s *Snapshot, r *Request, spread float64) Return {
	latest := min(time.Duration(returnShare*float64(r.Remaining)), r.Remaining-r.Target, Slots*SlotLength-s.SlotElapsed-1)
	if latest < ShortestRetryAfter {
		return Return{After: max(0, latest)}
	}
	free := s.freePerSlot(r.Urgency)
	waiting := s.Capacity.Value.Excess
	for i := range Slots {
		start := time.Duration(i)*SlotLength - s.SlotElapsed
		if start > latest {
			break
		}
		waiting += s.Reserved.Value[i]
		if waiting < free {
			at := max(ShortestRetryAfter, start+time.Duration(waiting/free*float64(SlotLength)))
			if at < start+SlotLength && at <= latest {
				return Return{After: at, Slot: i, Predicted: true}
			}
		}
		waiting = max(0, waiting-free)
	}
	after := latest - time.Duration(spread*float64(min(SlotLength, latest-ShortestRetryAfter)))
	return Return{After: after, Slot: int((after + s.SlotElapsed) / SlotLength)}
}

// freePerSlot returns the work that a slot has for requests that return.
func (s *Snapshot) freePerSlot(urgency int) float64 {
	groups := float64(s.Capacity.Value.Groups)
	expected := 0.0
	for _, d := range s.NewDemand.Value {
		if d.Urgency <= urgency {
			expected += d.Rate
		}
	}
	return max(groups-expected, returnFloor*groups) * SlotLength.Seconds()
}
