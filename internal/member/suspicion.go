package member

import (
	"math"
	"time"
)

const (
	// suspicionFloor scales the shortest suspicion, in intervals per decade of members.
	suspicionFloor = 1.0
	// suspicionSpread is the longest suspicion over the shortest.
	suspicionSpread = 4.0
	// confirmations is how many further accusers shorten a suspicion fully.
	confirmations = 3
	// verifiers is how many members are expected to check a suspicion themselves.
	verifiers = 4
)

// suspicion is the time that a suspect has to refute. It is long while one
// member accuses, since that one may itself be at fault, and shrinks with each
// further accuser.
type suspicion struct {
	started  time.Time
	deadline time.Time
	accusers map[string]struct{}
	first    string
	needed   int
	floor    time.Duration
}

func (d *Detector) newSuspicion(now time.Time, by string) *suspicion {
	n := d.live()
	s := &suspicion{
		started:  now,
		accusers: map[string]struct{}{by: {}},
		first:    by,
		needed:   min(confirmations, max(0, n-2)),
		floor:    time.Duration(suspicionFloor * math.Max(1, math.Log10(float64(n))) * float64(d.opt.Interval)),
	}
	s.update()
	return s
}

// confirm adds an accuser and reports whether it was a new one that counts.
func (s *suspicion) confirm(by string) bool {
	if _, known := s.accusers[by]; known || len(s.accusers) > s.needed {
		return false
	}
	s.accusers[by] = struct{}{}
	s.update()
	return true
}

func (s *suspicion) update() {
	longest := float64(s.floor) * suspicionSpread
	share := 1.0
	if s.needed > 0 {
		share = math.Log(float64(len(s.accusers))) / math.Log(float64(s.needed+1))
	}
	s.deadline = s.started.Add(time.Duration(longest - (longest-float64(s.floor))*share))
}

func (s *suspicion) shift(gap time.Duration) {
	s.started = s.started.Add(gap)
	s.deadline = s.deadline.Add(gap)
}

func (e *entry) accuser() string {
	if e.suspicion == nil {
		return ""
	}
	return e.suspicion.first
}

func (d *Detector) tickSuspicions(now time.Time) {
	for _, id := range sorted(d.members) {
		e := d.members[id]
		if e.suspicion == nil || now.Before(e.suspicion.deadline) {
			continue
		}
		dead := e.node
		dead.Status = Dead
		d.apply(now, Update{Node: dead, ReportedBy: d.self.ID})
	}
}

// verify lets a few members, whatever their number, check a suspicion that
// they heard of, so that it is confirmed or refuted soon.
func (d *Detector) verify(now time.Time, e *entry) {
	others := d.live() - 2
	if others < 1 || d.probing(e.node.ID) || d.rand.IntN(others) >= verifiers {
		return
	}
	d.probe(now, e)
}
