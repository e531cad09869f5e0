package balance

import "time"

const (
	// maxBacklogShare is the largest share of a request's target latency that the
	// backlog may take if the request is to be admitted. The rest is for the
	// prefill of its own prompt and for the first pass. Late requests are not worth
	// admitting: an answer after the target latency has a quarter of the value of
	// one in time, and takes as much of an engine.
	maxBacklogShare = 0.5
	// minBusyShare is the share of an engine's slots that must be in use before a
	// request is refused.
	minBusyShare = 0.5
)

// Admit reports whether a request with the given target latency should be sent to
// the engine that Choose returned. It depends on the backlog of other requests and
// not on the request's own size, so that large requests are not refused for their
// size.
func Admit(c Choice, target time.Duration) bool {
	spec := c.Candidate.Service.Engine
	if spec == nil || float64(c.Load.InFlight) < minBusyShare*float64(spec.Slots) {
		return true
	}
	return c.Predicted.Backlog <= BacklogBound(target)
}

// BacklogBound returns the largest backlog with which a request is admitted.
func BacklogBound(target time.Duration) time.Duration {
	return time.Duration(maxBacklogShare * float64(target))
}
