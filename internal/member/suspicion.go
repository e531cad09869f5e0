package member

import (
	"math"
	"time"
)

const (
	// minSuspicionIntervals is the shortest suspicion timeout, in intervals
	// per factor of ten in the number of members.
	minSuspicionIntervals = 1.0
	// maxSuspicionFactor is the ratio of the longest to the shortest suspicion
	// timeout.
	maxSuspicionFactor = 4.0
	// maxConfirmations is the number of further reporters that reduce a
	// suspicion timeout to the shortest.
	maxConfirmations = 3
	// expectedVerifiers is the expected number of members that probe a suspect
	// themselves.
	expectedVerifiers = 4
)

// suspicion is the time within which a suspect must refute. The timeout is
// long while one member reports the suspicion, since that member may itself be
// at fault, and shrinks with each further reporter.
type suspicion struct {
	started             time.Time
	deadline            time.Time
	reporters           map[string]struct{}
	firstReporter       string
	confirmationsNeeded int
	minTimeout          time.Duration
}

func (d *Detector) newSuspicion(now time.Time, by string) *suspicion {
	n := d.liveCount()
	s := &suspicion{
		started:             now,
		reporters:           map[string]struct{}{by: {}},
		firstReporter:       by,
		confirmationsNeeded: min(maxConfirmations, max(0, n-2)),
		minTimeout:          time.Duration(minSuspicionIntervals * math.Max(1, math.Log10(float64(n))) * float64(d.opt.Interval)),
	}
	s.updateDeadline()
	return s
}

// confirm adds a reporter and reports whether it is new and shortens the
// timeout.
func (s *suspicion) confirm(by string) bool {
	if _, known := s.reporters[by]; known || len(s.reporters) > s.confirmationsNeeded {
		return false
	}
	s.reporters[by] = struct{}{}
	s.updateDeadline()
	return true
}

// updateDeadline sets the deadline from the number of reporters, as in
// Lifeguard: it falls from the longest to the shortest timeout with the
// logarithm of their number.
func (s *suspicion) updateDeadline() {
	longest := float64(s.minTimeout) * maxSuspicionFactor
	share := 1.0
	if s.confirmationsNeeded > 0 {
		share = math.Log(float64(len(s.reporters))) / math.Log(float64(s.confirmationsNeeded+1))
	}
	s.deadline = s.started.Add(time.Duration(longest - (longest-float64(s.minTimeout))*share))
}

// extend moves the suspicion later by the length of a pause of this process.
func (s *suspicion) extend(gap time.Duration) {
	s.started = s.started.Add(gap)
	s.deadline = s.deadline.Add(gap)
}

// suspicionReporter returns the member that first reported the suspicion of e;
// "" if e is not suspected.
func (e *entry) suspicionReporter() string {
	if e.suspicion == nil {
		return ""
	}
	return e.suspicion.firstReporter
}

// tickSuspicions declares the suspects dead whose timeout has passed.
func (d *Detector) tickSuspicions(now time.Time) {
	for _, id := range sortedKeys(d.members) {
		e := d.members[id]
		if e.suspicion == nil || now.Before(e.suspicion.deadline) {
			continue
		}
		dead := e.node
		dead.Status = Dead
		d.applyUpdate(now, Update{Node: dead, ReportedBy: d.self.ID})
	}
}

// maybeVerifySuspicion probes a member that another member suspects, with a
// probability that makes a few members do so whatever their number, so that
// the suspicion is soon confirmed or refuted.
func (d *Detector) maybeVerifySuspicion(now time.Time, e *entry) {
	others := d.liveCount() - 2
	if others < 1 || d.probeInFlight(e.node.ID) || d.rand.IntN(others) >= expectedVerifiers {
		return
	}
	d.startProbe(now, e)
}
