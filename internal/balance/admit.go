package balance

import "time"

const (
	// backlogPart is the part of the aim that the backlog may take for a request
	// to be admitted; the rest is for its own reading and the first pass. An
	// answer after the aim is worth a quarter and takes as much of an engine.
	backlogPart = 0.5
	// busyPart is the part of an engine's slots that must be taken for a refusal.
	busyPart = 0.5
)

// Admit reports whether a request with the given aim should be sent to the
// engine that Choose returned. It looks at what others cause, not at the
// request's own size, so that large requests are not refused for it.
func Admit(c Choice, aim time.Duration) bool {
	spec := c.Candidate.Service.Engine
	if spec == nil || float64(c.Load.InFlight) < busyPart*float64(spec.Slots) {
		return true
	}
	return c.Predicted.Backlog <= time.Duration(backlogPart*float64(aim))
}
