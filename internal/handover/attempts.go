// Package handover decides from which of a request's attempts its answer goes on. It is
// pure: evidence in, verdict out.
//
// An engine that is silent may still go on, so its attempt is not given up before
// another engine has sent something that takes the answer further. Until then the
// attempts run beside each other, and the first one to send something new is read.
package handover

import "time"

const (
	// RecheckInterval is the delay before the evidence is looked at again while the
	// engines of all attempts are silent, or while a retry waits for the budget.
	RecheckInterval = 150 * time.Millisecond
	// ResumeWait is how long a stream without an attempt waits for an engine.
	ResumeWait = 800 * time.Millisecond
)

// Attempt is what is known of an attempt under way.
type Attempt struct {
	// Silent is the time since the attempt last brought something new, or since it
	// began. Limit is the time after which another engine is asked as well, and
	// BusyLimit the same if the engine answers other requests; 0 stands for no limit.
	Silent           time.Duration
	Limit, BusyLimit time.Duration
	// EngineSilent is the time since the engine last brought something new to any
	// request of this daemon.
	EngineSilent time.Duration
}

// UntilOverdue returns the time until the attempt is overdue if nothing new comes, or 0.
// ok is false if it never is.
func (a *Attempt) UntilOverdue() (wait time.Duration, ok bool) {
	switch {
	case a.Limit <= 0:
		return 0, false
	case a.Silent < a.Limit:
		return a.Limit - a.Silent, true
	case a.EngineSilent < a.Limit && a.Silent < a.BusyLimit:
		return min(RecheckInterval, a.BusyLimit-a.Silent), true
	default:
		return 0, true
	}
}

// EngineOverdue reports whether the engine has sent nothing to any request for longer
// than the limit.
func (a *Attempt) EngineOverdue() bool {
	return a.Limit > 0 && a.Silent >= a.Limit && a.EngineSilent >= a.Limit
}

// Refusal states that an engine was looked for and none could be chosen.
type Refusal struct {
	// Temporary is set if there was no engine with room, so that there may be one soon.
	Temporary bool
	// SinceFirst and SinceLast are the times since an engine was first and last looked
	// for in vain.
	SinceFirst, SinceLast time.Duration
}

// Evidence is what decides whether another attempt of a request begins.
type Evidence struct {
	// Over is set if the deadline has passed, the client has left, or the process is
	// about to exit.
	Over bool
	// UnderWay are the attempts under way.
	UnderWay []Attempt
	// Asking is set while another daemon is asked whether an attempt may begin.
	Asking bool
	// Exclusive is set if the attempts under way must not run beside another one:
	// engines have ended under the request.
	Exclusive bool
	// Barred is set if the request must not be sent again: it is in quarantine, or as
	// many engines as may have ended under it.
	Barred bool

	// Repeatable is set if the request may be executed more than once.
	Repeatable bool
	// PartSent is set if the client has a part of the answer, and Resumable if an
	// engine can be told where that part ends.
	PartSent, Resumable bool
	// Sends counts the attempts so far, and Runs those of them that have ended and may
	// have been executed. MaxSends exceeds MaxRuns by the rejections that are allowed.
	Sends, MaxSends int
	Runs, MaxRuns   int
	// Rejected is set if no engine has executed the last attempt that has ended.
	Rejected bool

	// Alternative is set if an engine that was not tried may take the request. It
	// matters only beside attempts under way.
	Alternative bool
	// Budget is set if the retry budget allows an attempt.
	Budget bool
	// Refused is set if an engine was looked for and none could be chosen.
	Refused *Refusal
}

// Action is what to do next.
type Action uint8

// The actions.
const (
	// Wait means to wait for what the attempts under way bring, or for the time to pass.
	Wait Action = iota
	// Send means to begin another attempt. Those under way go on.
	Send
	// Fail means that there will be no answer.
	Fail
)

var actionNames = [...]string{"wait", "send", "fail"}

// String returns the name of the action.
func (a Action) String() string { return actionNames[a] }

// Step is an action. If it is Wait, After is the time after which to decide again in any
// case; with 0, only something that arrives can change the decision.
type Step struct {
	Action Action
	After  time.Duration
}

// Next returns the next step.
func (e *Evidence) Next() Step {
	switch {
	case len(e.UnderWay) > 0:
		return e.besideOthers()
	case e.Over:
		return Step{Action: Fail}
	case e.Asking:
		return Step{Action: Wait}
	case e.Sends > 0 && !e.mayRepeat():
		return Step{Action: Fail}
	case e.Refused != nil:
		return e.afterRefusal()
	case e.Sends == 0 || e.Budget:
		return Step{Action: Send}
	case e.PartSent && e.Rejected:
		// The part that the client has is lost only if the stream ends now.
		return Step{Wait, RecheckInterval}
	default:
		return Step{Action: Fail}
	}
}

// besideOthers returns the next step while attempts are under way. As long as one of them
// is not overdue, the answer goes on there.
func (e *Evidence) besideOthers() Step {
	wait, ok := UntilAllOverdue(e.UnderWay)
	switch {
	case e.Over, !ok:
		return Step{Action: Wait}
	case wait > 0:
		return Step{Wait, wait}
	case e.Asking || !e.mayRepeat() || !e.Alternative || !e.Budget:
		return Step{Wait, RecheckInterval}
	case e.Refused != nil && e.Refused.SinceLast < RecheckInterval:
		return Step{Wait, RecheckInterval - e.Refused.SinceLast}
	default:
		return Step{Action: Send}
	}
}

// UntilAllOverdue returns the time until all attempts may be overdue, or 0. ok is false if
// one of them never is.
func UntilAllOverdue(attempts []Attempt) (wait time.Duration, ok bool) {
	for i := range attempts {
		left, ok := attempts[i].UntilOverdue()
		if !ok {
			return 0, false
		}
		wait = max(wait, left)
	}
	return wait, true
}

// mayRepeat reports whether another attempt is allowed, whether or not there is room.
func (e *Evidence) mayRepeat() bool {
	mayHaveRun := e.Runs + len(e.UnderWay)
	switch {
	case e.Barred, e.Exclusive && len(e.UnderWay) > 0:
		return false
	case !e.Repeatable && mayHaveRun > 0, e.PartSent && !e.Resumable:
		return false
	default:
		return mayHaveRun < e.MaxRuns && e.Sends < e.MaxSends
	}
}

// afterRefusal returns the next step if no engine could be chosen and no attempt is under
// way. A stream of which the client has a part waits for an engine.
func (e *Evidence) afterRefusal() Step {
	left := ResumeWait - e.Refused.SinceFirst
	switch {
	case !e.PartSent || !e.Refused.Temporary || left <= 0:
		return Step{Action: Fail}
	case e.Refused.SinceLast < RecheckInterval:
		return Step{Wait, min(left, RecheckInterval-e.Refused.SinceLast)}
	case e.Budget:
		return Step{Action: Send}
	default:
		return Step{Wait, RecheckInterval}
	}
}
