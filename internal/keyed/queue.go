package keyed

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// entry is a record queued for append to the stream.
type entry struct {
	record   once.Record
	data     []byte
	queuedAt time.Time
	done     chan struct{} // closed once err is set or the record was read back
	err      error
	// mayBeLogged means that an append of the record is under way, or was attempted
	// and is not certain to have failed.
	mayBeLogged bool
	// canceled means that no goroutine waits for the entry any more.
	canceled bool
}

func (e *entry) complete(err error) {
	e.err = err
	close(e.done)
}

// completeBatch completes the entries whose records were read back and queues the
// others again. a is the response to the append; nil if it was lost.
func (s *stream) completeBatch(batch []*entry, a *platform.AppendResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read := a != nil && s.state != nil && s.state.Epoch() == a.Epoch && s.state.Next() >= a.First+uint64(len(batch))
	var rest []*entry
	for _, e := range batch {
		if read || (s.state != nil && s.state.IsRedundant(e.record)) {
			e.complete(nil)
		} else {
			rest = append(rest, e)
		}
	}
	s.queue = append(rest, s.queue...)
	s.notifyChanged()
}

// nextBatch removes the entries to append now from the queue, or returns the time to
// wait. Entries that the state already decides need no append.
func (s *stream) nextBatch(now time.Time) ([]*entry, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pruneQueue()
	if len(s.queue) == 0 {
		return nil, s.opt().IdleTimeout
	}
	due := s.lingerRemaining(now)
	if spacing := s.opt().AppendInterval - now.Sub(s.lastAppend); spacing > due {
		due = spacing
	}
	if due > 0 {
		return nil, due
	}
	n, size := 0, 0
	for n < len(s.queue) && n < platform.MaxBatchRecords && (n == 0 || size+len(s.queue[n].data) <= wire.MaxRecordBytes) {
		size += len(s.queue[n].data)
		n++
	}
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	return batch, 0
}

// pruneQueue removes canceled entries, and completes entries that the state already
// decides. The caller holds mu.
func (s *stream) pruneQueue() {
	rest := s.queue[:0]
	for _, e := range s.queue {
		switch {
		case e.canceled:
			// The claiming daemon withdraws the attempt, which is correct whether or
			// not the intent is in the log.
		case s.isDecided(e):
			e.complete(nil)
		default:
			rest = append(rest, e)
		}
	}
	clear(s.queue[len(rest):])
	s.queue = rest
}

// isDecided reports whether the state decides the entry without a new append.
func (s *stream) isDecided(e *entry) bool {
	if in := e.record.Intent; in != nil {
		return s.state.Decide(in).Verdict != once.Undecided
	}
	return s.state.IsRedundant(e.record)
}

// lingerRemaining returns how long the queue may still wait for further records. It
// is zero if the queue holds an intent or a full batch, or if a claim waits for a
// result.
func (s *stream) lingerRemaining(now time.Time) time.Duration {
	if s.waiters > 0 || len(s.queue) >= platform.MaxBatchRecords {
		return 0
	}
	for _, e := range s.queue {
		if e.record.Intent != nil {
			return 0
		}
	}
	return s.opt().Linger - now.Sub(s.queue[0].queuedAt)
}
