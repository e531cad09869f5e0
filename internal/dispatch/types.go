// Package dispatch carries one request from its acceptance to its whole answer:
// route, grant, at-most-once claim, attempt, retry, resume. It knows nothing of
// the callers' protocol, so that another front end can use it, and leaves each
// decision to the package that owns it.
package dispatch

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// Request is one caller's request.
type Request struct {
	// ID identifies the request to callers, targets and logs.
	ID        string
	Workspace string
	Kind      string
	// Method, Path, ContentType and Body are handed to the target.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Key and IssuedAt are required on routes that are not idempotent.
	Key      string
	IssuedAt time.Time
	// Timeout shortens the route's deadline; 0 leaves it.
	Timeout time.Duration
	// Received is when the request was read.
	Received time.Time
}

// Response is the beginning of an answer: a buffered one has a Body, a streamed
// one a Stream, which the receiver must Close.
type Response struct {
	RequestID string
	// Outcome is Ran, or NotRun for what a target refused to run.
	Outcome fault.Outcome
	// Replica served the request.
	Replica string
	// Replayed marks a recorded result of an earlier attempt.
	Replayed    bool
	Status      int
	ContentType string
	Body        []byte
	Stream      Stream
}

// Stream yields the tokens of one answer in order, without gaps or repeats,
// whatever replicas they came from. The last event has End set; an error
// before it means that the answer is incomplete.
type Stream interface {
	Next() (target.Event, error)
	Close() error
}
