package once

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Position is where a record sits in its stream.
type Position struct {
	Offset uint64
	// At is the log's time of the append.
	At time.Time
}

// firstEpoch is the log's first epoch. Later ones began without the records of
// those before.
const firstEpoch = 1

// State is the fold of one stream. It is not safe for concurrent use.
type State struct {
	limits Limits
	epoch  uint32
	next   uint64
	// clock is the latest of the log's times so far.
	clock time.Time
	// floor is the time of issue up to which keys are refused in this epoch.
	floor    time.Time
	keys     map[Fingerprint]holder
	attempts map[Fingerprint]attempt
	authors  authors
	expiry   expiry
}

// holder is a key with the attempt that holds it. Attempts are kept by their
// hash: strings would be most of the memory.
type holder struct {
	attempt Fingerprint
	print   Fingerprint
	issued  int64 // Unix milliseconds
	doneAt  uint64
	author  uint32
	done    bool
	outcome fault.Outcome
}

// attempt is what was decided on an attempt, for good.
type attempt struct {
	key     Fingerprint
	verdict Verdict
}

// NewState returns the empty state of a stream in an epoch of the log.
func NewState(l Limits, epoch uint32) *State {
	return &State{
		limits:   l,
		epoch:    epoch,
		keys:     make(map[Fingerprint]holder),
		attempts: make(map[Fingerprint]attempt),
		authors:  newAuthors(),
		expiry:   make(expiry),
	}
}

// Epoch returns the epoch of the log that the state belongs to.
func (s *State) Epoch() uint32 { return s.epoch }

// Next returns the offset of the next record to fold.
func (s *State) Next() uint64 { return s.next }

// LogTime returns the latest of the log's times so far.
func (s *State) LogTime() time.Time { return s.clock }

// KeyCount returns the number of keys remembered.
func (s *State) KeyCount() int { return len(s.keys) }

// StartAt sets the offset of the first record that will be folded: the oldest
// one kept, or one that is Horizon before the end.
func (s *State) StartAt(offset uint64) { s.next = offset }

// Apply takes in the record at p. A record that does not decode is folded as an
// empty one. Places must grow; one that was folded already is ignored.
func (s *State) Apply(p Position, r Record) {
	if p.Offset < s.next {
		return
	}
	if p.Offset == 0 && s.epoch > firstEpoch {
		s.floor = p.At.Add(s.limits.MaxSkew)
	}
	s.next = p.Offset + 1
	s.advance(p.At)
	switch {
	case r.Intent != nil:
		s.foldIntent(p, r.Intent)
	case r.Done != nil:
		s.foldDone(p, r.Done)
	case r.Abandon != nil:
		s.foldAbandon(p, r.Abandon)
	}
}

// foldIntent decides on an attempt, once: a duplicate changes nothing, not even
// after the key became free.
func (s *State) foldIntent(p Position, in *Intent) {
	id := attemptOf(in.Attempt)
	if _, decided := s.attempts[id]; decided {
		return
	}
	key := keyOf(in.Workspace, in.Key)
	verdict := s.judge(p, key, in)
	s.attempts[id] = attempt{key: key, verdict: verdict}
	s.expiry.add(s.last(p, in.IssuedAt), entryAttempt, id)
	if verdict != Acquired {
		return
	}
	s.keys[key] = holder{
		attempt: id, print: in.Fingerprint, issued: in.IssuedAt.UnixMilli(),
		author: s.authors.intern(in.Author, in.Boot),
	}
	s.expiry.add(s.last(p, in.IssuedAt), entryKey, key)
}

// last is the latest time of the log at which a record about a request issued
// then can still be accepted, or one at p can be repeated in vain.
func (s *State) last(p Position, issued time.Time) time.Time {
	t := p.At
	if issued.After(t) && !s.limits.early(issued, t) {
		t = issued
	}
	return t.Add(s.limits.MaxKeyAge + s.limits.MaxSkew + clockStep)
}

func (s *State) judge(p Position, key Fingerprint, in *Intent) Verdict {
	switch h, held := s.keys[key]; {
	case !in.IssuedAt.After(s.floor):
		return PredatesLog
	case s.limits.late(in.IssuedAt, p.At):
		return Expired
	case s.limits.early(in.IssuedAt, p.At):
		return IssuedInFuture
	case !held:
		return Acquired
	case h.print != in.Fingerprint:
		return RequestMismatch
	case h.issued != in.IssuedAt.UnixMilli():
		return IssueTimeMismatch
	default:
		return HeldByOther
	}
}

func (s *State) foldDone(p Position, d *Done) {
	id := attemptOf(d.Attempt)
	a, ok := s.attempts[id]
	if !ok || a.verdict != Acquired {
		return
	}
	h := s.keys[a.key]
	if h.attempt != id || h.done {
		return
	}
	h.done, h.doneAt, h.outcome = true, p.Offset, d.Result.Outcome
	s.keys[a.key] = h
}

// foldAbandon frees the key that the attempt holds. An attempt whose intent
// has not come yet is marked, so that the intent is in vain when it comes.
func (s *State) foldAbandon(p Position, ab *Abandon) {
	id := attemptOf(ab.Attempt)
	a, known := s.attempts[id]
	if !known {
		s.attempts[id] = attempt{verdict: Abandoned}
		s.expiry.add(s.last(p, ab.IssuedAt), entryAttempt, id)
		return
	}
	h, held := s.keys[a.key]
	if a.verdict != Acquired || !held || h.attempt != id || h.done {
		return
	}
	delete(s.keys, a.key)
	s.attempts[id] = attempt{key: a.key, verdict: Abandoned}
}

// Decide answers an attempt from the records so far. An attempt that was
// refused because of another one is answered with how that one stands now.
func (s *State) Decide(in *Intent) Decision {
	id := attemptOf(in.Attempt)
	d := Decision{Attempt: in.Attempt}
	a, known := s.attempts[id]
	h, held := s.keys[keyOf(in.Workspace, in.Key)]
	switch {
	case known && a.verdict.final():
		d.Verdict = a.verdict
		return d
	case !held && known && a.verdict == Acquired:
		d.Verdict = Expired // only time ends a first attempt's hold without an Abandon
		return d
	case !held && known:
		d.Verdict = Released
		return d
	case !held:
		return d
	}
	d.Verdict = h.verdict(id, in)
	d.Author, d.Boot = s.authors.name(h.author)
	d.DoneAt, d.Outcome = h.doneAt, h.outcome
	return d
}

// final reports whether the verdict stands whatever becomes of the key.
func (v Verdict) final() bool {
	return v == Expired || v == IssuedInFuture || v == PredatesLog || v == Abandoned
}

// IsRedundant reports whether r has been folded, or would change nothing any more.
// A result of an attempt that the state does not know is not settled: the state
// may lag behind the log.
func (s *State) IsRedundant(r Record) bool {
	switch {
	case r.Intent != nil:
		_, known := s.attempts[attemptOf(r.Intent.Attempt)]
		return known
	case r.Done != nil:
		_, known := s.attempts[attemptOf(r.Done.Attempt)]
		return known && !s.holds(r.Done.Attempt)
	case r.Abandon != nil:
		_, known := s.attempts[attemptOf(r.Abandon.Attempt)]
		return known && !s.holds(r.Abandon.Attempt)
	default:
		return true
	}
}

// holds reports whether the attempt holds its key without a result.
func (s *State) holds(attemptID string) bool {
	id := attemptOf(attemptID)
	a, known := s.attempts[id]
	h, held := s.keys[a.key]
	return known && a.verdict == Acquired && held && h.attempt == id && !h.done
}

func (h holder) verdict(id Fingerprint, in *Intent) Verdict {
	switch {
	case h.print != in.Fingerprint:
		return RequestMismatch
	case h.issued != in.IssuedAt.UnixMilli():
		return IssueTimeMismatch
	case h.done:
		return Finished
	case h.attempt == id:
		return Acquired
	default:
		return HeldByOther
	}
}

func attemptOf(id string) Fingerprint { return FingerprintOf([]byte(id)) }
