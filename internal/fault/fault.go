// Package fault defines the error type shared by all packages. An error carries
// its kind, whether the request that it belongs to was executed, and a remedy
// for the user or operator. The package is independent of any transport: front
// ends map kinds to their own status codes.
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
	// Internal is a defect: no input or environment explains the error.
	Internal Kind = iota
	// BadInput means that a request, edit or setting can never succeed as sent.
	BadInput
	// Unauthorized means that the credentials are missing or unknown.
	Unauthorized
	// Forbidden means that the credentials are valid but do not allow the action.
	Forbidden
	// NotFound means that the named item does not exist.
	NotFound
	// Conflict means that the request contradicts the current state: a concurrent
	// write took precedence, a key is already in use, a fencing token is outdated, or
	// the receiver does not hold the required role or setting.
	Conflict
	// TooLarge means that a size limit was exceeded.
	TooLarge
	// Overload means that a queue or limit is exhausted, or that the request would
	// not be served before its deadline.
	Overload
	// Unavailable means that no complete replica can serve the request now, or that
	// a daemon, target or platform service cannot be reached or failed.
	Unavailable
	// Isolated means that this daemon is cut off and can't tell whether its
	// configuration is still current.
	Isolated
	// LogDown means that the platform's log can't be reached.
	LogDown
	// Quarantined means that the request is refused because targets crashed
	// while running it.
	Quarantined
	// Timeout means that the deadline passed.
	Timeout
	// Interrupted means that a response was cut off after it had begun.
	Interrupted
	// ShuttingDown means that the daemon is draining.
	ShuttingDown
)

var kindNames = [...]string{
	"internal", "bad_input", "unauthorized", "forbidden", "not_found", "conflict",
	"too_large", "overload", "unavailable", "isolated", "log_down", "quarantined",
	"timeout", "interrupted", "shutting_down",
}

// String returns the kind's name as used in logs and responses. The names are
// part of the API and must not change.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Outcome is what is known about the execution of a request.
type Outcome uint8

// The outcomes of a request.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the request has not run and never will.
	NotRun
	// Ran means that the request ran.
	Ran
)

// String returns the outcome as reported to callers.
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
	// Field names the invalid input, such as a key, header or row; it may be
	// empty.
	Field string
	// Remedy tells the user or operator what to do next; it may be empty.
	Remedy string
	// RetryAfter is the minimum delay before another attempt; zero means unset.
	RetryAfter time.Duration
	cause      error
}

// Error returns the field, the cause and the remedy on one line.
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

// Wrap returns an error of kind k that wraps cause, with outcome Unknown. cause
// must not be nil.
func Wrap(k Kind, cause error, remedy, format string, args ...any) *Error {
	return &Error{Kind: k, Remedy: remedy, cause: eris.Wrapf(cause, format, args...)}
}

// Refuse returns an error of kind k with outcome NotRun.
func Refuse(k Kind, remedy, format string, args ...any) *Error {
	e := New(k, remedy, format, args...)
	e.Outcome = NotRun
	return e
}

// Invalid returns a BadInput error with outcome NotRun for the named field.
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

// WithRetryAfter returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// As returns the first *Error in err's chain. If there is none, it wraps err as
// Internal with outcome Unknown. It returns nil if err is nil.
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

// KindOf returns the kind of the first *Error in err's chain, or Internal if
// there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether the first *Error in err's chain is of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
