package planner

import "time"

const (
	// maxJoinsInFlight, maxSwitchesInFlight (open, close and leave), maxStagesInFlight and
	// maxQueriesInFlight bound the concurrent exchanges with engines. An exchange
	// times out after some hundred milliseconds. On a small machine a thousand of
	// them at once would all time out, and be repeated.
	maxJoinsInFlight    = 48
	maxSwitchesInFlight = 32
	maxStagesInFlight   = 16
	maxQueriesInFlight  = 48
	// orderRetryDelay is the delay before an unanswered order is sent again, since a
	// connection may be reset at once.
	orderRetryDelay = 50 * time.Millisecond
)

// slots bounds the number of concurrent exchanges of one kind. Waiters are served
// in the order of arrival.
type slots chan struct{}

// acquire takes a slot and reports true, or gives up at the deadline.
func (s slots) acquire(deadline time.Time) bool {
	select {
	case s <- struct{}{}:
		return true
	default:
	}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case s <- struct{}{}:
		return true
	case <-t.C:
		return false
	}
}

func (s slots) release() { <-s }

// orderSlots holds the slots by operation. Switches of a head have slots of their
// own, because requests wait for them; loads ahead of need must not delay joins.
type orderSlots struct{ joins, switches, stages slots }

func newOrderSlots() orderSlots {
	return orderSlots{
		joins:    make(slots, maxJoinsInFlight),
		switches: make(slots, maxSwitchesInFlight),
		stages:   make(slots, maxStagesInFlight),
	}
}

func (o *orderSlots) of(op Op) slots {
	switch op {
	case Join:
		return o.joins
	case Stage:
		return o.stages
	default:
		return o.switches
	}
}
