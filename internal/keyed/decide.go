package keyed

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// decide returns the decision on an intent: from the current state if that decides
// it, and otherwise after the intent was appended and read back. If the decision is
// Undecided, the stream has ended or lost its state and the caller must retry with
// the current stream.
func (s *stream) decide(ctx context.Context, in *once.Intent) (d once.Decision, mayBeLogged bool, err error) {
	if d := s.currentDecision(in); d.Verdict != once.Undecided {
		return d, false, nil
	}
	arrivedAt := time.Now()
	if age, stale := s.opt().logStale(); stale {
		return d, false, s.withKnownOutcome(in, arrivedAt, arrivedAt.Add(-age), logUnavailable(errLogStale))
	}
	if err := s.waitReady(ctx); err != nil {
		return d, false, s.withKnownOutcome(in, arrivedAt, time.Time{}, err)
	}
	if d := s.currentDecision(in); d.Verdict != once.Undecided {
		return d, false, nil
	}
	e, err := s.enqueue(once.Record{Intent: in})
	if err != nil {
		return d, false, s.withKnownOutcome(in, arrivedAt, time.Time{}, err)
	}
	if err := s.waitForEntry(ctx, e); err != nil {
		return d, s.mayBeLogged(e), s.withKnownOutcome(in, arrivedAt, time.Time{}, err)
	}
	return s.currentDecision(in), true, nil
}

// withKnownOutcome sets the outcome of err to NotRun if the home can exclude that any
// attempt has used the key, and to Unknown otherwise. It can if the records read so
// far contain no attempt and either the last read began after the claim arrived, or
// the request was issued while the log was down. downAt is when the log went down, or
// zero if it did not.
func (s *stream) withKnownOutcome(in *once.Intent, arrivedAt, downAt time.Time, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := fault.As(err)
	if s.logErr != nil {
		downAt = s.downSince
	}
	issuedDown := !downAt.IsZero() && !in.IssuedAt.Before(downAt)
	current := !s.readStartedAt.Before(arrivedAt) || issuedDown
	if !s.ready || s.state == nil || !current {
		return e.WithOutcome(fault.Unknown)
	}
	switch s.state.Decide(in).Verdict {
	case once.Undecided, once.Abandoned:
		return e.WithOutcome(fault.NotRun)
	default:
		return e.WithOutcome(fault.Unknown)
	}
}

func (s *stream) mayBeLogged(e *entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.mayBeLogged
}

var errLogStale = fault.New(fault.LogDown, "", "this daemon has not read the log within the permitted log age")

// currentDecision returns the decision according to the current state. The state may
// lag behind the log, but that is safe: a record not yet read can release a key, but
// it can't revoke Acquired or Finished.
func (s *stream) currentDecision(in *once.Intent) once.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = time.Now()
	if !s.ready || s.state == nil {
		return once.Decision{Attempt: in.Attempt}
	}
	return s.state.Decide(in)
}

// waitReady waits until the stream was read to its end, for up to maxReadyWait.
func (s *stream) waitReady(ctx context.Context) error {
	t := time.NewTimer(maxReadyWait)
	defer t.Stop()
	for {
		s.mu.Lock()
		ready, down, changed := s.ready || s.closed, s.logErr, s.changed
		s.mu.Unlock()
		if down != nil {
			return logUnavailable(down)
		}
		if ready {
			return nil
		}
		select {
		case <-changed:
		case <-t.C:
			return fault.New(fault.Overload, "try again with the same key", "home is still reading its stream").WithRetryAfter(maxReadyWait)
		case <-ctx.Done():
			return fault.Wrap(fault.Timeout, ctx.Err(), "try again with the same key", "home is still reading its stream")
		}
	}
}

// enqueue queues a record for append by the stream's goroutine.
func (s *stream) enqueue(rec once.Record) (*entry, error) {
	data, err := wire.EncodeOnceRecord(&rec)
	if err != nil {
		return nil, err
	}
	e := &entry{record: rec, data: data, queuedAt: time.Now(), done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = e.queuedAt
	switch {
	case s.closed:
		return nil, fault.New(fault.ShuttingDown, "try again with the same key", "the home of the stream is shutting down")
	case s.logErr != nil:
		return nil, logUnavailable(s.logErr)
	case len(s.queue) >= maxQueuedRecords:
		return nil, fault.New(fault.Overload, "try again with the same key", "queue of the stream is full with %d records", len(s.queue))
	}
	s.queue = append(s.queue, e)
	s.wakeUp()
	return e, nil
}

// waitForEntry waits until the entry was read back or has failed. If ctx is done
// first, the entry is canceled: it is not appended unless that was already attempted.
func (s *stream) waitForEntry(ctx context.Context, e *entry) error {
	select {
	case <-e.done:
		return e.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e.canceled = true
	return fault.Wrap(fault.Timeout, ctx.Err(), "try again with the same key", "record was not appended and read back in time")
}

// addWaiters adds n to the number of claims that wait for another attempt's result,
// and wakes the stream's goroutine, which reads the log more often meanwhile.
func (s *stream) addWaiters(n int) {
	s.mu.Lock()
	s.waiters += n
	s.mu.Unlock()
	s.wakeUp()
}

// readSince reports whether a read that began at t or later has reached the end of the
// stream, or the log can't be used.
func (s *stream) readSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logErr != nil || !s.readStartedAt.Before(t)
}

// requestRead makes the stream's goroutine read the log.
func (s *stream) requestRead() {
	s.mu.Lock()
	s.readWanted = true
	s.mu.Unlock()
	s.wakeUp()
}

// changes returns a channel that is closed at the next change of the state.
func (s *stream) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
