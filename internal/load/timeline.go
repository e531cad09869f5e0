package load

import (
	"sync"
	"time"
)

// Second counts the outcomes of the requests that arrived in one second.
type Second struct {
	// At is the second, counted from the start of the run.
	At      int   `json:"at_s"`
	Offered int64 `json:"offered"`
	// InTime and Late count answered requests within and after Kind.InTimeLimit.
	InTime  int64 `json:"in_time"`
	Late    int64 `json:"late"`
	NotRun  int64 `json:"refused_not_run"`
	Unknown int64 `json:"unknown"`
	// Failures counts the other classes: Failed, Truncated, Unreachable and Wrong.
	Failures int64 `json:"failures"`
}

// timeline counts outcomes for each second of arrival. Each second has its own lock.
type timeline struct {
	locks   []sync.Mutex
	seconds []Second
}

func newTimeline(d time.Duration) *timeline {
	n := int(d/time.Second) + 1
	t := &timeline{locks: make([]sync.Mutex, n), seconds: make([]Second, n)}
	for i := range t.seconds {
		t.seconds[i].At = i
	}
	return t
}

// add counts o. A resent request may arrive after the end of the plan; it counts in
// the last second.
func (t *timeline) add(o Observation) {
	i := min(int(o.Arrival.At/time.Second), len(t.seconds)-1)
	t.locks[i].Lock()
	defer t.locks[i].Unlock()
	t.seconds[i].count(o)
}

func (s *Second) count(o Observation) {
	s.Offered++
	switch {
	case o.inTime():
		s.InTime++
	case o.answered():
		s.Late++
	case o.Class == NotRun:
		s.NotRun++
	case o.Class == Unknown:
		s.Unknown++
	default:
		s.Failures++
	}
}

func (t *timeline) snapshot() []Second {
	out := make([]Second, 0, len(t.seconds))
	for i := range t.seconds {
		t.locks[i].Lock()
		out = append(out, t.seconds[i])
		t.locks[i].Unlock()
	}
	return out
}
