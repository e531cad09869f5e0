// Package fault defines the error kinds shared by all packages. An error
// carries its kind, the outcome of the request it belongs to, and the remedy
// that a person can apply. The package knows no transport: front ends map
// kinds to their own status codes.
package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Kind classifies an error by what its receiver can do about it.
type Kind uint8

// The error kinds.
const (
	// Internal is an error that no input or environment explains: a defect.
	Internal Kind = iota
	// BadInput is a request, edit or setting that can never succeed as sent.
	BadInput
	// Unauthorized means the credentials are missing or unknown.
	Unauthorized
	// Forbidden means the credentials are known but do not allow the action.
	Forbidden
	// NotFound means the named item does not exist.
	NotFound
	// Conflict means another writer won, or a key is already in use.
	Conflict
	// TooLarge means a size limit was exceeded.
	TooLarge
	// Overload means the request would not be served before its deadline.
	Overload
	// Unavailable means no complete replica may serve now.
	Unavailable
	// Isolated means this daemon cannot know the configuration in force.
	Isolated
	// LogDown means the platform's log cannot be reached.
	LogDown
	// Quarantined means the request has crashed the targets that ran it.
	Quarantined
	// Timeout means the deadline passed.
	Timeout
	// Interrupted means an answer was cut after it had begun.
	Interrupted
	// ShuttingDown means the daemon is draining.
	ShuttingDown
)

var kindNames = [...]string{
	"internal", "bad_input", "unauthorized", "forbidden", "not_found", "conflict",
	"too_large", "overload", "unavailable", "isolated", "log_down", "quarantined",
	"timeout", "interrupted", "shutting_down",
}

// String returns the kind's stable name, as used in logs and answers.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Outcome says what is known about the execution of a request.
type Outcome uint8

// The outcomes of a request.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the request did not run and never will.
	NotRun
	// Ran means that the request ran.
	Ran
)

// String returns the outcome as it is given to callers.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Error is an error with a kind, an outcome and a remedy.
type Error struct {
	Kind    Kind
	Outcome Outcome
	// Field names the offending input (a key, header or row); may be empty.
	Field string
	// Remedy tells the reader what to do next.
	Remedy string
	// RetryAfter is the earliest useful time for another attempt; zero means unset.
	RetryAfter time.Duration
	cause      error
}

// Error formats the cause, the field and the remedy on one line.
func (e *Error) Error() string {
	s := e.cause.Error()
	if e.Field != "" {
		s = e.Field + ": " + s
	}
	if e.Remedy != "" {
		s += " (" + e.Remedy + ")"
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of kind k with outcome Unknown.
func New(k Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: k, Remedy: remedy, cause: eris.Errorf(format, args...)}
}

// Wrap returns an error of kind k around cause; cause must not be nil.
func Wrap(k Kind, cause error, remedy, format string, args ...any) *Error {
	return &Error{Kind: k, Remedy: remedy, cause: eris.Wrapf(cause, format, args...)}
}

// Refuse returns an error of kind k for a request that did not run.
func Refuse(k Kind, remedy, format string, args ...any) *Error {
	e := New(k, remedy, format, args...)
	e.Outcome = NotRun
	return e
}

// Invalid returns a BadInput error for the named field.
func Invalid(field, remedy, format string, args ...any) *Error {
	e := Refuse(BadInput, remedy, format, args...)
	e.Field = field
	return e
}

// WithOutcome returns a copy of e with outcome o.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy of e that asks for another attempt after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// As returns the first *Error in err's chain. An error of another type comes
// back as Internal with outcome Unknown; nil comes back as nil.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "report this with the daemon's log", "unexpected error")
}

// KindOf returns the kind of err; Internal for foreign errors.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err carries kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
