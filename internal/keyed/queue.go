package keyed

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// entry is a record on its way into the stream.
type entry struct {
	record once.Record
	data   []byte
	since  time.Time
	done   chan struct{} // closed once err is set or the record was read back
	err    error
	// tried means that the record may be in the log.
	tried bool
	// dropped means that nobody waits any more.
	dropped bool
}

func (e *entry) finish(err error) {
	e.err = err
	close(e.done)
}

// settle answers for the records that were read back and queues the rest again.
// a says where the batch went; nil if that is not known.
func (s *stream) settle(batch []*entry, a *platform.AppendResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read := a != nil && s.state != nil && s.state.Epoch() == a.Epoch && s.state.Next() >= a.First+uint64(len(batch))
	var rest []*entry
	for _, e := range batch {
		if read || (s.state != nil && s.state.IsRedundant(e.record)) {
			e.finish(nil)
		} else {
			rest = append(rest, e)
		}
	}
	s.queue = append(rest, s.queue...)
	s.notify()
}

// next takes the entries to append now, or returns the time to wait. Entries
// that the state already answers need no append.
func (s *stream) next(now time.Time) ([]*entry, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune()
	if len(s.queue) == 0 {
		return nil, s.opt().IdleTimeout
	}
	due := s.dueIn(now)
	if spacing := s.opt().AppendInterval - now.Sub(s.appended); spacing > due {
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

// prune drops entries that nobody waits for and answers those that the state
// settles; the caller holds mu.
func (s *stream) prune() {
	rest := s.queue[:0]
	for _, e := range s.queue {
		switch {
		case e.dropped:
			// Its claimer withdraws it, so that it may be in the log or not.
		case s.decided(e):
			e.finish(nil)
		default:
			rest = append(rest, e)
		}
	}
	clear(s.queue[len(rest):])
	s.queue = rest
}

func (s *stream) decided(e *entry) bool {
	if in := e.record.Intent; in != nil {
		return s.state.Decide(in).Verdict != once.Undecided
	}
	return s.state.IsRedundant(e.record)
}

// dueIn is how long the queue may still wait for company: not at all once an
// intent is in it, somebody waits for a result, or it is long.
func (s *stream) dueIn(now time.Time) time.Duration {
	if s.waiting > 0 || len(s.queue) >= platform.MaxBatchRecords {
		return 0
	}
	for _, e := range s.queue {
		if e.record.Intent != nil {
			return 0
		}
	}
	return s.opt().Linger - now.Sub(s.queue[0].since)
}
