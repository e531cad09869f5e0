package handover

// minEqualSteps is the number of equal differences between the ids of a stream from which
// they count as a pattern that its continuation keeps to.
const minEqualSteps = 2

// Sequence is what a client has of a stream. The zero value stands for nothing.
//
// The ids of a stream's events increase by any amounts, such as the numbers of tokens in the
// events. So a larger difference alone is no gap, and one connection loses no events. A
// continuation at another engine may; see Judge.
type Sequence struct {
	// lastID is the id of the last event with one that the client has, valid if hasID is
	// set.
	lastID int64
	hasID  bool
	// step is the difference between the ids of two events that followed each other, which
	// was seen equalSteps times. uneven is set once another one was seen.
	step       int64
	equalSteps int
	uneven     bool
	// fromBefore is set while lastID is that of an earlier response. Events may lie
	// between it and the next one that are not known here.
	fromBefore bool
	// unnumbered is set if the client has an event without an id. No engine can be told
	// to go on after it.
	unnumbered bool
}

// Run is what one attempt has sent of a stream.
type Run struct {
	// continues is set if the client had a part of the stream when the attempt began.
	continues bool
	// highest is the highest id that the attempt has sent, valid if hasID is set.
	highest int64
	hasID   bool
	// repeats is set if the attempt has sent an id below the last one that the client
	// had, joined if it has sent that one or was found to go on after it.
	repeats, joined bool
}

// Event is a complete event of a stream.
type Event struct {
	// ID is valid if HasID is set.
	ID    int64
	HasID bool
	// Comment is set if the event has comments only.
	Comment bool
}

// Verdict is what becomes of an event.
type Verdict uint8

// The verdicts.
const (
	// Pass means that the event is the next one for the client.
	Pass Verdict = iota
	// Skip means that the client has the event already, or has no use for it.
	Skip
	// Break means that the event does not continue what the client has.
	Break
)

var verdictNames = [...]string{"pass", "skip", "break"}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// ResumeAfter states that the client has the events up to the one with the given id from an
// earlier response.
func (s *Sequence) ResumeAfter(id int64) { s.lastID, s.hasID, s.fromBefore = id, true, true }

// LastID returns the id of the last event that the client has. ok is false if none had
// one.
func (s *Sequence) LastID() (id int64, ok bool) { return s.lastID, s.hasID }

// Resumable reports whether an engine can be told where the part ends that the client
// has.
func (s *Sequence) Resumable() bool { return !s.unnumbered }

// NewRun returns the run of an attempt that begins now.
func (s *Sequence) NewRun() Run { return Run{continues: s.hasID} }

// Judge decides about the next event of a run. progress is set if the run had not sent
// it before.
//
// A run that continues the stream of another one must join it: it must not pass over the
// last event that the client has when it repeats earlier ones, since it numbers otherwise
// then, nor leave out an event that the pattern of the ids shows.
func (s *Sequence) Judge(r *Run, ev Event) (v Verdict, progress bool) {
	if !ev.HasID {
		return s.judgeUnnumbered(r, ev)
	}
	if !r.hasID || ev.ID > r.highest {
		r.highest, r.hasID, progress = ev.ID, true, true
	}
	switch {
	case s.hasID && ev.ID < s.lastID:
		r.repeats = true
		return Skip, progress
	case s.hasID && ev.ID == s.lastID:
		r.joined = true
		return Skip, progress
	case r.continues && !r.joined && (r.repeats || s.gapBefore(ev.ID)):
		return Break, progress
	default:
		r.joined = true
		s.advance(ev.ID)
		return Pass, progress
	}
}

// gapBefore reports whether the pattern of the ids shows that an event is missing between
// the last one and the given one. A smaller step than before is none: an event may hold
// fewer tokens.
func (s *Sequence) gapBefore(id int64) bool {
	return !s.uneven && s.equalSteps >= minEqualSteps && id-s.lastID > s.step
}

// advance records that the client gets the event with the given id.
func (s *Sequence) advance(id int64) {
	switch step := id - s.lastID; {
	case !s.hasID, s.fromBefore:
		s.fromBefore = false
	case s.equalSteps > 0 && step != s.step:
		s.uneven = true
	default:
		s.step = step
		s.equalSteps++
	}
	s.lastID, s.hasID = id, true
}

// IsWhole reports whether the client has the whole stream at the end of the run. A run that
// has ended below the last event that the client has is not the rest of that stream.
func (s *Sequence) IsWhole(r *Run) bool { return r.joined || !r.repeats }

// judgeUnnumbered decides about an event without an id.
func (s *Sequence) judgeUnnumbered(r *Run, ev Event) (v Verdict, progress bool) {
	switch {
	case !r.continues || r.joined:
	case ev.Comment, r.hasID:
		return Skip, false // among events that the client has
	default:
		// Nothing shows that the event continues the stream: it may be an error in
		// place of it.
		return Break, false
	}
	s.unnumbered = s.unnumbered || !ev.Comment
	// It can be repeated without end, so it is no progress of a stream that has ids.
	return Pass, !s.hasID
}
