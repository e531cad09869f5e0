package keyed

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// decide answers an intent from the state if it can, and else from the intent's
// own record, once that was read back. An Undecided answer asks the caller to
// try again with the stream that now runs.
func (s *stream) decide(ctx context.Context, in *once.Intent) (d once.Decision, tried bool, err error) {
	if d := s.look(in); d.Verdict != once.Undecided {
		return d, false, nil
	}
	arrived := time.Now()
	if age, stale := s.opt().logStale(); stale {
		return d, false, s.refused(in, arrived, arrived.Add(-age), refusal(errStale))
	}
	if err := s.waitReady(ctx); err != nil {
		return d, false, s.refused(in, arrived, time.Time{}, err)
	}
	if d := s.look(in); d.Verdict != once.Undecided {
		return d, false, nil
	}
	e, err := s.enqueue(once.Record{Intent: in})
	if err != nil {
		return d, false, s.refused(in, arrived, time.Time{}, err)
	}
	if err := s.wait(ctx, e); err != nil {
		return d, s.wasTried(e), s.refused(in, arrived, time.Time{}, err)
	}
	return s.look(in), true, nil
}

// refused gives an error the outcome that the home can vouch for: NotRun if
// nobody has used the key as far as the stream was read, and either that was
// since the claim arrived, or the request was issued when the log was down
// (downAt is zero if it is not).
func (s *stream) refused(in *once.Intent, arrived, downAt time.Time, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := fault.As(err)
	if s.down != nil {
		downAt = s.downAt
	}
	issuedDown := !downAt.IsZero() && !in.IssuedAt.Before(downAt)
	current := !s.readAt.Before(arrived) || issuedDown
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

func (s *stream) wasTried(e *entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.tried
}

var errStale = fault.New(fault.LogDown, "", "this daemon has not read the log for a while")

// look answers from the state as it is. It may lag behind the log, which errs
// on the safe side: only records that this home has not read can free a key,
// and First and Finished are never taken back.
func (s *stream) look(in *once.Intent) once.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = time.Now()
	if !s.ready || s.state == nil {
		return once.Decision{Attempt: in.Attempt}
	}
	return s.state.Decide(in)
}

// waitReady waits a little for the stream to be read to its end.
func (s *stream) waitReady(ctx context.Context) error {
	t := time.NewTimer(readyWait)
	defer t.Stop()
	for {
		s.mu.Lock()
		ready, down, moved := s.ready || s.closed, s.down, s.changed
		s.mu.Unlock()
		if down != nil {
			return refusal(down)
		}
		if ready {
			return nil
		}
		select {
		case <-moved:
		case <-t.C:
			return fault.New(fault.Overload, "try again with the same key", "home still reads its stream").WithRetryAfter(readyWait)
		case <-ctx.Done():
			return fault.Wrap(fault.Timeout, ctx.Err(), "try again with the same key", "home still reads its stream")
		}
	}
}

// enqueue hands a record to the stream's goroutine.
func (s *stream) enqueue(rec once.Record) (*entry, error) {
	data, err := wire.EncodeOnceRecord(&rec)
	if err != nil {
		return nil, err
	}
	e := &entry{record: rec, data: data, since: time.Now(), done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = e.since
	switch {
	case s.closed:
		return nil, fault.New(fault.ShuttingDown, "try again with the same key", "home ends")
	case s.down != nil:
		return nil, refusal(s.down)
	case len(s.queue) >= maxQueue:
		return nil, fault.New(fault.Overload, "try again with the same key", "%d records wait for the log", len(s.queue))
	}
	s.queue = append(s.queue, e)
	s.poke()
	return e, nil
}

// wait waits until the record was read back. A record that nobody waits for
// any more is not appended, unless that was already tried.
func (s *stream) wait(ctx context.Context, e *entry) error {
	select {
	case <-e.done:
		return e.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e.dropped = true
	return fault.Wrap(fault.Timeout, ctx.Err(), "try again with the same key", "log did not answer in time")
}

func (s *stream) watch(n int) {
	s.mu.Lock()
	s.waiting += n
	s.mu.Unlock()
	s.poke()
}

func (s *stream) moved() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
