// Package retry decides how to proceed after a failed attempt: retry the request
// from the start, resume its stream on another replica, or fail. It keeps the
// retry budgets, which stop retries from amplifying an outage. The package does no
// I/O and reads no clock: callers pass in the time and the state of the request.
package retry

import (
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Exponential backoff after an overload error.
const (
	// initialBackoff is the delay before the first retry; it doubles with each
	// further one.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// RequestState is what is known of a request when one of its attempts has failed.
type RequestState struct {
	// Idempotent means that the request may run more than once.
	Idempotent bool
	// Resumable means that another target can continue the stream after the
	// tokens already delivered.
	Resumable bool
	// MaxRetries is the number of retries that the route allows, and RetriesMade
	// the number made so far.
	MaxRetries  int
	RetriesMade int
	// DeliveredTokens is the number of tokens already sent to the caller.
	DeliveredTokens int
	Deadline        time.Time
	// Replica is the replica on which the attempt failed, or "" if none had been
	// assigned. Exclude lists the replicas on which earlier attempts failed.
	Replica string
	Exclude []string
	// MayHaveRun means that an earlier attempt may have run.
	MayHaveRun bool
}

// Action is how to proceed after a failed attempt.
type Action uint8

// The actions after a failed attempt.
const (
	// Fail ends the request with the decision's error.
	Fail Action = iota
	// Repeat retries the request from the start.
	Repeat
	// Resume retries the request, continuing after the tokens already delivered.
	Resume
)

// String returns "fail", "repeat" or "resume".
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

// Decision is how to proceed after a failed attempt. Err is set for Fail, the
// other fields for Repeat and Resume.
type Decision struct {
	Action Action
	// Exclude lists the replicas that the next attempt must avoid.
	Exclude []string
	// Delay is the time to wait before the next attempt.
	Delay time.Duration
	// ResumeFrom is the number of tokens to skip when resuming.
	ResumeFrom int
	// Err is the error to return to the caller; its outcome covers all attempts.
	Err *fault.Error
}

// Decide returns how to proceed after an attempt that failed with err. spend takes
// a token from the route's retry budget and reports whether there was one; it is
// called after all other checks, so that only retries actually made use the budget.
func Decide(now time.Time, s RequestState, err error, spend func() bool) Decision {
	e := fault.As(err)
	s.MayHaveRun = s.MayHaveRun || e.Outcome != fault.NotRun
	if !isTransient(e.Kind) || !canRetry(&s) || s.RetriesMade >= s.MaxRetries {
		return failRequest(&s, e)
	}
	delay := backoff(&s, e)
	if !now.Add(delay).Before(s.Deadline) || !spend() {
		return failRequest(&s, e)
	}
	d := Decision{Action: Repeat, Exclude: excludedReplicas(&s), Delay: delay}
	if s.DeliveredTokens > 0 {
		d.Action, d.ResumeFrom = Resume, s.DeliveredTokens
	}
	return d
}

// isTransient reports whether another attempt may succeed after an error of kind k.
func isTransient(k fault.Kind) bool {
	switch k {
	case fault.Interrupted, fault.Timeout, fault.Unavailable, fault.Overload:
		return true
	default:
		return false
	}
}

// canRetry reports whether another attempt is safe: the request is idempotent or
// has not run, and any output already delivered can be continued.
func canRetry(s *RequestState) bool {
	if s.MayHaveRun && !s.Idempotent {
		return false
	}
	return s.DeliveredTokens == 0 || (s.Idempotent && s.Resumable)
}

// backoff returns the delay before the next attempt: none after the failure of a
// replica, since the next attempt goes to another one. After an overload it grows
// exponentially and is at least the error's RetryAfter.
func backoff(s *RequestState, e *fault.Error) time.Duration {
	if e.Kind != fault.Overload {
		return 0
	}
	p := min(maxBackoff, initialBackoff<<min(s.RetriesMade, 10))
	return max(p, e.RetryAfter)
}

// excludedReplicas returns s.Exclude with the replica of the failed attempt added.
func excludedReplicas(s *RequestState) []string {
	if s.Replica == "" || slices.Contains(s.Exclude, s.Replica) {
		return s.Exclude
	}
	return append(slices.Clone(s.Exclude), s.Replica)
}

// failRequest returns the decision to fail with e, with the outcome adjusted to
// cover all attempts. If output was already delivered, the request has run and the
// error is Interrupted, which tells the caller that the response is incomplete.
func failRequest(s *RequestState, e *fault.Error) Decision {
	switch {
	case s.DeliveredTokens > 0 && e.Kind != fault.Interrupted:
		e = fault.Wrap(fault.Interrupted, e, "send the request again; the response is incomplete", "response cut off after %d tokens", s.DeliveredTokens).WithOutcome(fault.Ran)
	case s.DeliveredTokens > 0:
		e = e.WithOutcome(fault.Ran)
	case s.MayHaveRun && e.Outcome == fault.NotRun:
		e = e.WithOutcome(fault.Unknown)
	}
	return Decision{Action: Fail, Err: e}
}
