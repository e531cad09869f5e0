package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

var (
	// errSilent is the reason for an alternative.
	errSilent = fault.New(fault.Timeout, "check the target", "the token stream sent nothing within its timeout")
	// errSuperseded ends an attempt when the stream goes on at another replica.
	errSuperseded = fault.New(fault.Interrupted, "", "the stream goes on at another replica")
)

// alternative is an attempt to continue a stream while its current attempt is silent. The
// first of the two to bring the next event goes on, and the other one ends: until then it is
// not known whether the alternative is rejected, or the silent replica goes on.
type alternative struct {
	// j is a copy, since the stream may use its job meanwhile.
	j      *job
	cancel context.CancelFunc
	// done is closed at the end of run. The attempt has then brought the event first, or
	// err is set; at, first and err may be read from then on.
	done  chan struct{}
	at    *attempt
	first target.Event
	err   error

	mu sync.Mutex
	// reading is the response of the alternative while it is read, silent that of the
	// current attempt until it has ended.
	reading, silent *target.Response
	// won is set when the alternative was first, givenUp when the current attempt was.
	won, givenUp bool
}

// startAlternative starts an alternative to the current attempt.
func (s *tokenStream) startAlternative() {
	j := *s.j
	j.avoidDomains, j.retryState.Exclude = slices.Clone(j.avoidDomains), slices.Clone(j.retryState.Exclude)
	ctx, cancel := context.WithCancel(s.ctx)
	s.alternative = &alternative{j: &j, cancel: cancel, done: make(chan struct{}), silent: s.current.resp}
	go s.alternative.run(ctx, s.d, s.delivered)
}

// run makes the attempt and waits for its first event.
func (a *alternative) run(ctx context.Context, d *Dispatcher, delivered int) {
	defer close(a.done)
	defer a.cancel()
	at, err := d.startAttempt(ctx, a.j, delivered)
	if err != nil {
		a.err = err
		return
	}
	a.at = at
	if !a.beginReading() {
		a.err = errSuperseded
		at.cancel(errSuperseded)
		return
	}
	ev, err := at.readExpected(delivered)
	switch wanted := a.endReading(err == nil); {
	case !wanted:
		a.err = errSuperseded
		at.cancel(errSuperseded)
	case err != nil:
		a.err = err
		at.abort(err)
	default:
		a.first, at.timeToFirst = ev, time.Since(at.sentAt)
	}
}

// beginReading reports whether the alternative is still wanted.
func (a *alternative) beginReading() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reading = a.at.resp
	return !a.givenUp
}

// endReading reports whether the alternative is still wanted. If so, and it has an event, it
// goes on and the current attempt is interrupted.
func (a *alternative) endReading(hasEvent bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reading = nil
	if a.givenUp || !hasEvent {
		return !a.givenUp
	}
	a.won = true
	if a.silent != nil {
		a.silent.Interrupt(errSuperseded)
	}
	return true
}

// giveUp ends the alternative, unless it goes on already; then it reports false.
func (a *alternative) giveUp() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.won {
		return false
	}
	a.givenUp = true
	a.cancel()
	if a.reading != nil {
		a.reading.Interrupt(errSuperseded)
	}
	return true
}

// currentEnded tells the alternative that the current attempt is not read any more. It
// reports whether the alternative goes on already.
func (a *alternative) currentEnded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = nil
	return a.won
}

// handleSilence is called when the current attempt has been silent for the silence timeout.
// It starts an alternative, if the request may have one, and reports whether the current
// attempt is still waited for.
func (s *tokenStream) handleSilence() bool {
	if s.alternative != nil && !s.dropFailedAlternative() {
		return true
	}
	// A suspected request must not run at two replicas.
	if s.ctx.Err() != nil || s.j.exclusive || s.current.targetCrashed() {
		return false
	}
	s.d.opts.Targets.CloseIdle(s.current.grant.Addr) // they may have been lost with this one
	s.j.retryState.DeliveredTokens, s.j.retryState.Replica = s.delivered, s.current.grant.Replica
	if err := s.d.prepareRetry(s.ctx, s.j, errSilent); err != nil {
		s.j.retryState.Replica = ""
		return true
	}
	s.startAlternative()
	return true
}

// dropFailedAlternative reports whether the alternative has failed, and drops it then.
func (s *tokenStream) dropFailedAlternative() bool {
	select {
	case <-s.alternative.done:
	default:
		return false
	}
	if s.alternative.err == nil {
		return false
	}
	s.adoptFailures(s.alternative)
	s.alternative = nil
	return true
}

// adoptFailures records in the job where an alternative has failed.
func (s *tokenStream) adoptFailures(a *alternative) {
	s.j.avoidDomains = a.j.avoidDomains
	if r := a.j.retryState.Replica; r != "" && !slices.Contains(s.j.retryState.Exclude, r) {
		s.j.retryState.Exclude = append(s.j.retryState.Exclude, r)
	}
}

// settle returns the next event of the stream, of which ev or err is what the current
// attempt has brought. If an alternative was first, the stream goes on there. On an error
// the current attempt has ended.
func (s *tokenStream) settle(ev target.Event, err error) (target.Event, error) {
	a := s.alternative
	s.alternative = nil
	switch {
	case err == nil && (a == nil || a.giveUp()):
		return ev, nil
	case a != nil && a.currentEnded():
		s.current.cancel(errSuperseded)
	default:
		s.current.abort(err)
	}
	s.current = nil
	if a == nil {
		return target.Event{}, err
	}
	<-a.done
	s.adoptFailures(a)
	if a.err != nil {
		return target.Event{}, err
	}
	a.at.j = s.j
	s.follow(a.at)
	return a.first, nil
}
