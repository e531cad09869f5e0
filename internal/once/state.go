package once

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Position is the offset and the time of a record in its stream.
type Position struct {
	Offset uint64
	// At is the time of the append by the log's clock.
	At time.Time
}

// firstEpoch is the epoch of the first log. Each later epoch is a new log that does
// not contain the records of earlier ones.
const firstEpoch = 1

// State is the state of the keys and attempts of one stream. It is not safe for
// concurrent use.
type State struct {
	limits Limits
	epoch  uint32
	next   uint64
	// logTime is the latest time of any record applied so far.
	logTime time.Time
	// minIssuedAt is the latest IssuedAt that is refused in this epoch; only
	// intents issued after it are accepted. It is zero in the first epoch.
	minIssuedAt time.Time
	keys        map[Fingerprint]holder
	attempts    map[Fingerprint]attempt
	authors     authorTable
	expiry      expiryIndex
}

// holder is the attempt that holds a key. Attempts are identified by the hash of
// their id, since the id strings would take most of the memory.
type holder struct {
	attempt     Fingerprint
	fingerprint Fingerprint
	issuedMS    int64 // Unix milliseconds
	doneOffset  uint64
	author      uint32
	done        bool
	outcome     fault.Outcome
}

// attempt is the verdict on an attempt, set when its intent is applied. Only an
// Abandon changes it later.
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
		authors:  newAuthorTable(),
		expiry:   make(expiryIndex),
	}
}

// Epoch returns the epoch of the log that the state belongs to.
func (s *State) Epoch() uint32 { return s.epoch }

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// LogTime returns the latest time of any record applied so far.
func (s *State) LogTime() time.Time { return s.logTime }

// KeyCount returns the number of keys in the state.
func (s *State) KeyCount() int { return len(s.keys) }

// StartAt sets the offset of the first record to apply: the oldest one that the log
// retains, or one at least Horizon before the end of the stream.
func (s *State) StartAt(offset uint64) { s.next = offset }

// Apply updates the state with the record at p. A record that can't be decoded must
// be applied as an empty one. Records are applied in the order of their offsets;
// those already applied are ignored.
func (s *State) Apply(p Position, r Record) {
	if p.Offset < s.next {
		return
	}
	if p.Offset == 0 && s.epoch > firstEpoch {
		s.minIssuedAt = p.At.Add(s.limits.MaxSkew)
	}
	s.next = p.Offset + 1
	s.advanceLogTime(p.At)
	switch {
	case r.Intent != nil:
		s.applyIntent(p, r.Intent)
	case r.Done != nil:
		s.applyDone(p, r.Done)
	case r.Abandon != nil:
		s.applyAbandon(p, r.Abandon)
	}
}

// applyIntent decides on an attempt once. A duplicate of its intent has no effect,
// even if the key has been released since.
func (s *State) applyIntent(p Position, in *Intent) {
	id := hashAttempt(in.Attempt)
	if _, decided := s.attempts[id]; decided {
		return
	}
	key := hashKey(in.Workspace, in.Key)
	verdict := s.intentVerdict(p, key, in)
	s.attempts[id] = attempt{key: key, verdict: verdict}
	s.expiry.schedule(s.lastRelevantTime(p, in.IssuedAt), entryAttempt, id)
	if verdict != Acquired {
		return
	}
	s.keys[key] = holder{
		attempt: id, fingerprint: in.Fingerprint, issuedMS: in.IssuedAt.UnixMilli(),
		author: s.authors.intern(in.Author, in.BootID),
	}
	s.expiry.schedule(s.lastRelevantTime(p, in.IssuedAt), entryKey, key)
}

// lastRelevantTime returns the latest log time at which the state needs an entry for
// a record at p about a request issued at the given time: until then, records about
// the request can be accepted, and duplicates of the record must be recognised.
func (s *State) lastRelevantTime(p Position, issued time.Time) time.Time {
	t := p.At
	if issued.After(t) && !s.limits.isInFuture(issued, t) {
		t = issued
	}
	return t.Add(s.limits.MaxKeyAge + s.limits.MaxSkew + maxClockStepBack)
}

// intentVerdict returns the verdict on a new intent at p.
func (s *State) intentVerdict(p Position, key Fingerprint, in *Intent) Verdict {
	switch h, held := s.keys[key]; {
	case !in.IssuedAt.After(s.minIssuedAt):
		return PredatesLog
	case s.limits.isExpired(in.IssuedAt, p.At):
		return Expired
	case s.limits.isInFuture(in.IssuedAt, p.At):
		return IssuedInFuture
	case !held:
		return Acquired
	case h.fingerprint != in.Fingerprint:
		return RequestMismatch
	case h.issuedMS != in.IssuedAt.UnixMilli():
		return IssueTimeMismatch
	default:
		return HeldByOther
	}
}

// applyDone records the result of the attempt that holds its key. A result of any
// other attempt, and a second result, have no effect.
func (s *State) applyDone(p Position, d *Done) {
	id := hashAttempt(d.Attempt)
	a, ok := s.attempts[id]
	if !ok || a.verdict != Acquired {
		return
	}
	h := s.keys[a.key]
	if h.attempt != id || h.done {
		return
	}
	h.done, h.doneOffset, h.outcome = true, p.Offset, d.Result.Outcome
	s.keys[a.key] = h
}

// applyAbandon releases the key that the attempt holds. If the attempt's intent has
// not been read yet, the attempt is marked as abandoned, so that the intent has no
// effect when it is read.
func (s *State) applyAbandon(p Position, ab *Abandon) {
	id := hashAttempt(ab.Attempt)
	a, known := s.attempts[id]
	if !known {
		s.attempts[id] = attempt{verdict: Abandoned}
		s.expiry.schedule(s.lastRelevantTime(p, ab.IssuedAt), entryAttempt, id)
		return
	}
	h, held := s.keys[a.key]
	if a.verdict != Acquired || !held || h.attempt != id || h.done {
		return
	}
	delete(s.keys, a.key)
	s.attempts[id] = attempt{key: a.key, verdict: Abandoned}
}

// Decide returns the decision on an attempt according to the records applied so far.
// For an attempt that was denied its key because of another one, the decision
// reflects the present state of that other attempt.
func (s *State) Decide(in *Intent) Decision {
	id := hashAttempt(in.Attempt)
	d := Decision{Attempt: in.Attempt}
	a, known := s.attempts[id]
	h, held := s.keys[hashKey(in.Workspace, in.Key)]
	switch {
	case known && a.verdict.isFinal():
		d.Verdict = a.verdict
		return d
	case !held && known && a.verdict == Acquired:
		d.Verdict = Expired // the key was dropped: without an Abandon, only expiry does that
		return d
	case !held && known:
		d.Verdict = Released
		return d
	case !held:
		return d
	}
	d.Verdict = h.verdict(id, in)
	d.Author, d.BootID = s.authors.lookup(h.author)
	d.DoneAt, d.Outcome = h.doneOffset, h.outcome
	return d
}

// isFinal reports whether the verdict is independent of the later state of the key.
func (v Verdict) isFinal() bool {
	return v == Expired || v == IssuedInFuture || v == PredatesLog || v == Abandoned
}

// IsRedundant reports whether r has been applied or would have no effect. A result
// or withdrawal of an unknown attempt is not redundant, since the state may lag
// behind the log.
func (s *State) IsRedundant(r Record) bool {
	switch {
	case r.Intent != nil:
		_, known := s.attempts[hashAttempt(r.Intent.Attempt)]
		return known
	case r.Done != nil:
		_, known := s.attempts[hashAttempt(r.Done.Attempt)]
		return known && !s.isPendingHolder(r.Done.Attempt)
	case r.Abandon != nil:
		_, known := s.attempts[hashAttempt(r.Abandon.Attempt)]
		return known && !s.isPendingHolder(r.Abandon.Attempt)
	default:
		return true
	}
}

// isPendingHolder reports whether the attempt holds its key and has no result.
func (s *State) isPendingHolder(attemptID string) bool {
	id := hashAttempt(attemptID)
	a, known := s.attempts[id]
	h, held := s.keys[a.key]
	return known && a.verdict == Acquired && held && h.attempt == id && !h.done
}

// verdict returns the verdict on an attempt at a key that h holds.
func (h holder) verdict(id Fingerprint, in *Intent) Verdict {
	switch {
	case h.fingerprint != in.Fingerprint:
		return RequestMismatch
	case h.issuedMS != in.IssuedAt.UnixMilli():
		return IssueTimeMismatch
	case h.done:
		return Finished
	case h.attempt == id:
		return Acquired
	default:
		return HeldByOther
	}
}

func hashAttempt(id string) Fingerprint { return FingerprintOf([]byte(id)) }
