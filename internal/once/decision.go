package once

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Verdict is the state of an attempt and of the key that it claims.
type Verdict uint8

// The verdicts on an attempt.
const (
	// Undecided means that the attempt's intent has not been read from the stream.
	Undecided Verdict = iota
	// Acquired means that the attempt holds the key and may be sent.
	Acquired
	// HeldByOther means that another attempt holds the key and has no result yet.
	HeldByOther
	// Finished means that a result is recorded for the key.
	Finished
	// Released means that the key was released after this attempt had been denied
	// it. This attempt can no longer acquire the key, but a new one can.
	Released
	// RequestMismatch means that the key was used for a request with other content.
	RequestMismatch
	// IssueTimeMismatch means that the key was used with a different IssuedAt.
	IssueTimeMismatch
	// Expired means that the key is older than MaxKeyAge.
	Expired
	// IssuedInFuture means that IssuedAt is more than MaxSkew ahead of the log's time.
	IssuedInFuture
	// PredatesLog means that the key was issued before the log was recreated, so
	// that it may have been used in the earlier log.
	PredatesLog
	// Abandoned means that the attempt's author has withdrawn it.
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

// Decision is the result of a claim.
type Decision struct {
	Verdict Verdict
	// Attempt is the id of the attempt that made the claim.
	Attempt string
	// Author and BootID identify the daemon process of the attempt that holds the
	// key, for HeldByOther and Finished.
	Author string
	BootID string `msgpack:"Boot"`
	// DoneAt is the offset of the holder's Done record, for Finished.
	DoneAt uint64
	// Outcome is the outcome of the recorded result, for Finished.
	Outcome fault.Outcome
	// Result is the recorded result, for Finished. It is nil until it has been read
	// from the log.
	Result *Result
	// Lost means that the daemon process of the holder is no longer live, for
	// HeldByOther.
	Lost bool
}

// Err returns nil for Acquired and Finished, and otherwise the error to return to
// the caller. Its outcome is NotRun only if no attempt of this request can have run.
func (d Decision) Err(l Limits) error {
	switch d.Verdict {
	case Acquired, Finished:
		return nil
	case HeldByOther:
		return d.heldError()
	case RequestMismatch:
		return fault.Refuse(fault.Conflict, "use a new key for each new request", "key was already used for a different request")
	case IssueTimeMismatch:
		return fault.New(fault.Conflict, "send the X-Issued-At that was first sent with this key", "key was already used with a different X-Issued-At")
	case Expired:
		return errExpired(l.MaxKeyAge)
	case IssuedInFuture:
		return errIssuedInFuture(l.MaxSkew)
	case PredatesLog:
		return fault.New(fault.Unavailable, "check the target's records before sending the request with a new key",
			"key was issued before the platform's log was recreated; an earlier attempt may have run")
	default:
		return fault.New(fault.Unavailable, "try again with the same key", "no decision on the attempt: verdict %s", d.Verdict)
	}
}

func (d Decision) heldError() error {
	if d.Lost {
		return fault.New(fault.Unavailable, "check the target's records before sending the request with a new key",
			"an earlier attempt may have run; daemon %s, which made it, is no longer live", d.Author)
	}
	return fault.New(fault.Conflict, "try again with the same key", "an earlier attempt by daemon %s is in progress", d.Author)
}

func errExpired(age time.Duration) error {
	return fault.New(fault.Conflict, "check the target's records; if the request did not run, send it with a new key",
		"key was issued more than %s ago; an earlier attempt may have run", age)
}

func errIssuedInFuture(skew time.Duration) error {
	return fault.Invalid("X-Issued-At", "correct the caller's clock", "time is more than %s in the future", skew)
}
