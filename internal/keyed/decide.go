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
func (s *stream) decide(ctx context.Context, in *once.Intent) (once.Decision, error) {
	if d := s.look(in); d.Verdict != once.Undecided {
		return d, nil
	}
	if s.opt().logStale() {
		return once.Decision{}, refusal(errStale, false)
	}
	if err := s.waitReady(ctx); err != nil {
		return once.Decision{}, err
	}
	if d := s.look(in); d.Verdict != once.Undecided {
		return d, nil
	}
	e, err := s.enqueue(once.Record{Intent: in})
	if err != nil {
		return once.Decision{}, err
	}
	if err := s.wait(ctx, e); err != nil {
		return once.Decision{}, err
	}
	return s.look(in), nil
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
			return refusal(down, false)
		}
		if ready {
			return nil
		}
		select {
		case <-moved:
		case <-t.C:
			return fault.Refuse(fault.Overload, "try again with the same key", "home still reads its stream").WithRetryAfter(readyWait)
		case <-ctx.Done():
			return fault.Wrap(fault.Timeout, ctx.Err(), "try again with the same key", "home still reads its stream").WithOutcome(fault.NotRun)
		}
	}
}

// enqueue hands a record to the stream's goroutine.
func (s *stream) enqueue(rec once.Record) (*entry, error) {
	data, err := wire.EncodeOnce(&rec)
	if err != nil {
		return nil, fault.As(err).WithOutcome(fault.NotRun)
	}
	e := &entry{record: rec, data: data, since: time.Now(), done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = e.since
	switch {
	case s.closed:
		return nil, fault.Refuse(fault.ShuttingDown, "try again with the same key", "home ends")
	case s.down != nil:
		return nil, refusal(s.down, false)
	case len(s.queue) >= maxQueue:
		return nil, fault.Refuse(fault.Overload, "try again with the same key", "%d records wait for the log", len(s.queue))
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
	return fault.Wrap(fault.Timeout, ctx.Err(), "try again with the same key", "log did not answer in time").WithOutcome(outcomeOf(e.tried))
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
