// Package dispatch executes one caller's request: it selects the route, claims
// the idempotency key where the route needs one, acquires a grant, sends the
// attempt, and retries or resumes after a failure. It does not depend on the
// callers' protocol, so that another front end can use it. The decisions
// themselves are made by packages limit, retry, quarantine and once.
package dispatch

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// Request is one caller's request.
type Request struct {
	// ID identifies the request in responses, at targets and in logs.
	ID        string
	Workspace string
	// Kind selects the route within the workspace.
	Kind string
	// Method, Path, ContentType and Body are forwarded to the target.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Key is the idempotency key and IssuedAt the time of the first attempt with
	// it. Both are required on routes that are not idempotent.
	Key      string
	IssuedAt time.Time
	// Timeout shortens the route's deadline if it is shorter; 0 leaves it unchanged.
	Timeout time.Duration
	// Received is when the front end read the request; deadlines count from it.
	Received time.Time
}

// Response is the response to a Request. A buffered response has a Body; a
// streamed one has a Stream, which the caller of Serve must Close.
type Response struct {
	RequestID string
	// Outcome is fault.Ran, or fault.NotRun if the target refused to run the
	// request.
	Outcome fault.Outcome
	// Replica is the id of the replica that served the request.
	Replica string
	// Replayed is set if the response is the recorded result of an earlier attempt.
	Replayed    bool
	Status      int
	ContentType string
	Body        []byte
	Stream      Stream
}

// Stream yields the tokens of one response in order, without gaps or
// duplicates, even if several replicas produced them. The last event has End
// set; an error before it means that the response is incomplete.
type Stream interface {
	Next() (target.Event, error)
	Close() error
}
