package once

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Verdict is the fold's answer to an attempt.
type Verdict uint8

// The verdicts.
const (
	// Undecided means that the attempt's intent has not been read.
	Undecided Verdict = iota
	// Acquired means that the attempt holds the key and may be sent.
	Acquired
	// HeldByOther means that another attempt holds the key and has no result yet.
	HeldByOther
	// Finished means that a result is recorded.
	Finished
	// Released means that nobody holds the key; this attempt has lost it for good
	// all the same, and another one may be made.
	Released
	// RequestMismatch means that the key belongs to a request with other content.
	RequestMismatch
	// IssueTimeMismatch means that the key was used with another time of issue.
	IssueTimeMismatch
	// Expired means that the key is too old.
	Expired
	// IssuedInFuture means that the key was issued in the future.
	IssuedInFuture
	// PredatesLog means that the key may have been used before the log was set up anew.
	PredatesLog
	// Abandoned means that the attempt was withdrawn.
	Abandoned
)

var verdictNames = [...]string{
	"undecided", "first", "held", "finished", "free", "other_request", "other_time",
	"expired", "early", "forgotten", "abandoned",
}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Decision is the answer to a claim.
type Decision struct {
	Verdict Verdict
	// Attempt is the one asked for.
	Attempt string
	// Author and Boot name the process of the holder, for Held and Finished.
	Author string
	Boot   string
	// DoneAt is the offset of the holder's Done record, for Finished.
	DoneAt uint64
	// Outcome is that of the recorded result, for Finished.
	Outcome fault.Outcome
	// Result is the recorded one, for Finished, once it was read.
	Result *Result
	// Lost means that the holder's process is gone: no result will come.
	Lost bool
}

// Err returns nil for First and Finished, else the error to tell the caller.
// Its outcome is NotRun only if no attempt of this request can have run.
func (d Decision) Err(l Limits) error {
	switch d.Verdict {
	case Acquired, Finished:
		return nil
	case HeldByOther:
		return d.heldError()
	case RequestMismatch:
		return fault.Refuse(fault.Conflict, "use a new key for each new request", "key was used for another request")
	case IssueTimeMismatch:
		return fault.New(fault.Conflict, "send X-Issued-At as it was first sent with this key", "key was used with another time of issue")
	case Expired:
		return errExpired(l.MaxKeyAge)
	case IssuedInFuture:
		return errEarly(l.MaxSkew)
	case PredatesLog:
		return fault.New(fault.Unavailable, "look at the target's records before sending it with a new key",
			"key was issued before the log was set up anew, so that an earlier attempt can't be excluded")
	default:
		return fault.New(fault.Unavailable, "try again with the same key", "attempt was not decided: %s", d.Verdict)
	}
}

func (d Decision) heldError() error {
	if d.Lost {
		return fault.New(fault.Unavailable, "look at the target's records before sending it with a new key",
			"an earlier attempt may have run, and the daemon %s that made it is gone", d.Author)
	}
	return fault.New(fault.Conflict, "try again with the same key", "an earlier attempt by daemon %s is under way", d.Author)
}

func errExpired(age time.Duration) error {
	return fault.New(fault.Conflict, "look at the target's records; if it did not run, send it with a new key",
		"key was issued more than %s ago, so that an earlier attempt can't be excluded", age)
}

func errEarly(skew time.Duration) error {
	return fault.Invalid("X-Issued-At", "set the caller's clock", "time of issue is more than %s ahead", skew)
}
