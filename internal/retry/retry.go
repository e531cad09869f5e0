// Package retry decides what follows a failed attempt: another one, the rest
// of a stream from elsewhere, or an error. It keeps the budgets that stop
// retries from multiplying a failure, and judges which requests crash their
// targets. It is pure: callers bring the time and what they know.
package retry

import (
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Pauses before another attempt after the system was overloaded.
const (
	// firstPause is the pause before the first retry; each further one doubles.
	firstPause = 20 * time.Millisecond
	// maxPause bounds the pause.
	maxPause = time.Second
)

// RequestState is what is known when an attempt has failed.
type RequestState struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// Resumable means that a target can go on after tokens already delivered.
	Resumable bool
	// MaxRetries is how many further attempts the route allows, Made how many
	// there were.
	MaxRetries  int
	RetriesMade int
	// DeliveredTokens counts the tokens that the caller has.
	DeliveredTokens int
	Deadline        time.Time
	// Replica is the one that failed, if the attempt got that far; Exclude are
	// those that failed before.
	Replica string
	Exclude []string
	// MayHaveRun means that an earlier attempt may have run.
	MayHaveRun bool
}

// Action is what follows a failed attempt.
type Action uint8

// The actions.
const (
	// Fail ends the request with the decision's error.
	Fail Action = iota
	// Repeat makes another attempt from the start.
	Repeat
	// Resume makes another attempt after the tokens already delivered.
	Resume
)

// String returns the action's name.
func (a Action) String() string {
	switch a {
	case Repeat:
		return "repeat"
	case Resume:
		return "resume"
	default:
		return "fail"
	}
}

// Decision is what to do after a failed attempt.
type Decision struct {
	Action Action
	// Exclude are the replicas that the next attempt must avoid.
	Exclude []string
	// Delay is the pause before it.
	Delay time.Duration
	// ResumeFrom is the number of tokens to leave out when resuming.
	ResumeFrom int
	// Err ends the request; its outcome covers all attempts.
	Err *fault.Error
}

// Decide decides what follows an attempt that failed with err. spend takes one
// retry from the route's budget and reports whether there was one; it is asked
// last, so that only retries that are made are paid for.
func Decide(now time.Time, s RequestState, err error, spend func() bool) Decision {
	e := fault.As(err)
	s.MayHaveRun = s.MayHaveRun || e.Outcome != fault.NotRun
	if !passing(e.Kind) || !mayRepeat(&s) || s.RetriesMade >= s.MaxRetries {
		return fail(&s, e)
	}
	after := pause(&s, e)
	if !now.Add(after).Before(s.Deadline) || !spend() {
		return fail(&s, e)
	}
	d := Decision{Action: Repeat, Exclude: exclude(&s), Delay: after}
	if s.DeliveredTokens > 0 {
		d.Action, d.ResumeFrom = Resume, s.DeliveredTokens
	}
	return d
}

// passing reports whether the error may be gone with the next attempt.
func passing(k fault.Kind) bool {
	switch k {
	case fault.Interrupted, fault.Timeout, fault.Unavailable, fault.Overload:
		return true
	default:
		return false
	}
}

// mayRepeat reports whether another attempt can do no harm: the request may
// run twice or has not run at all, and what was delivered can be continued.
func mayRepeat(s *RequestState) bool {
	if s.MayHaveRun && !s.Idempotent {
		return false
	}
	return s.DeliveredTokens == 0 || (s.Idempotent && s.Resumable)
}

// pause is none after a replica failed, for the next attempt goes elsewhere;
// after an overload it grows, and is never below what was asked for.
func pause(s *RequestState, e *fault.Error) time.Duration {
	if e.Kind != fault.Overload {
		return 0
	}
	p := min(maxPause, firstPause<<min(s.RetriesMade, 10))
	return max(p, e.RetryAfter)
}

func exclude(s *RequestState) []string {
	if s.Replica == "" || slices.Contains(s.Exclude, s.Replica) {
		return s.Exclude
	}
	return append(slices.Clone(s.Exclude), s.Replica)
}

// fail gives the error the outcome of all attempts together. Once part of the
// answer was delivered the request has run, and the error says that the answer
// is not whole.
func fail(s *RequestState, e *fault.Error) Decision {
	switch {
	case s.DeliveredTokens > 0 && e.Kind != fault.Interrupted:
		e = fault.Wrap(fault.Interrupted, e, "ask again; the answer is not whole", "after %d tokens", s.DeliveredTokens).WithOutcome(fault.Ran)
	case s.DeliveredTokens > 0:
		e = e.WithOutcome(fault.Ran)
	case s.MayHaveRun && e.Outcome == fault.NotRun:
		e = e.WithOutcome(fault.Unknown)
	}
	return Decision{Action: Fail, Err: e}
}
