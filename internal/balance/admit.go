package balance

import "time"

const (
	// maxBacklogShare is the part of the aim that the backlog may take for a request
	// to be admitted; the rest is for its own reading and the first pass. An
	// answer after the aim is worth a quarter and takes as much of an engine.
	maxBacklogShare = 0.5
	// minBusyShare is the part of an engine's slots that must be taken for a refusal.
	minBusyShare = 0.5
)

// Admit reports whether a request with the given aim should be sent to the
// engine that Choose returned. It looks at what others cause, not at the
// request's own size, so that large requests are not refused for it.
func Admit(c Choice, aim time.Duration) bool {
	spec := c.Candidate.Service.Engine
	if spec == nil || float64(c.Load.InFlight) < minBusyShare*float64(spec.Slots) {
		return true
	}
	return c.Predicted.Backlog <= time.Duration(maxBacklogShare*float64(aim))
}
