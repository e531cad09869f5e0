package balance

import (
	"math"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// defaultEngineWait is the wait for an engine that asks for one without a valid
// time.
const defaultEngineWait = time.Second

// BoundWait returns how long to send an engine nothing after it has asked for a wait
// of the given seconds, and whether that differs from what it asked for. A time that
// is not a number, is negative, or is longer than the longest deadline of a request
// is replaced.
func BoundWait(seconds float64, longest time.Duration) (wait time.Duration, replaced bool) {
	switch {
	case math.IsNaN(seconds):
		return min(defaultEngineWait, longest), true
	case seconds < 0:
		return 0, true
	case seconds > longest.Seconds():
		return longest, true
	default:
		return time.Duration(seconds * float64(time.Second)), false
	}
}

// SetUnavailable records that the current incarnation of an engine wants no requests
// from this daemon until the given time. An earlier, longer wait stays in force.
func (t *Tracker) SetUnavailable(e *catalog.Engine, until time.Time) {
	s := t.engine(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case e.StartUnixMS < s.unavailableStart:
	case e.StartUnixMS > s.unavailableStart || until.After(s.unavailableUntil):
		s.unavailableStart, s.unavailableUntil = e.StartUnixMS, until
	}
}

// unavailable returns the end of the wait that the incarnation of the engine that
// started at startMS has asked for. The caller holds mu.
func (s *engineState) unavailable(startMS int64) time.Time {
	if s.unavailableStart != startMS {
		return time.Time{}
	}
	return s.unavailableUntil
}

// EarliestAvailable returns the earliest time at which one of the candidates that
// have asked for a wait takes requests again. ok is false if none of them waits.
func EarliestAvailable(cands []Candidate, t *Tracker, now time.Time) (at time.Time, ok bool) {
	for _, c := range cands {
		until := t.Status(c.Head, c.Service.ColdRequestsPerSecond, now).UnavailableUntil
		if now.Before(until) && (!ok || until.Before(at)) {
			at, ok = until, true
		}
	}
	return at, ok
}
