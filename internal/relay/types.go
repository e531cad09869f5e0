// Package relay executes one client request: it selects the route and the tenant,
// chooses an engine, sends attempts, and retries or resumes after a failure. It
// does not depend on header names or sockets; those belong to the front end
// (Writer) and the engine client (EngineSender).
package relay

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// Request is one client request as decoded by the front end.
type Request struct {
	ID     string
	Host   string
	Method string
	// Path selects the route. Target is the request target as sent: the path with
	// its query.
	Path   string
	Target string
	// APIKey is the client's credential; empty if it sent none.
	APIKey string
	// Arrived is when the request was read. ClientTimeout is how long after that
	// the client stops waiting; 0 if it sent no deadline.
	Arrived       time.Time
	ClientTimeout time.Duration
	Model         string
	Work          balance.Work
	// SharedParts are the ids of the parts of the prompt that other requests may have
	// in common with this one, in order.
	SharedParts []string
	// LastEventID is the id of the last event of the stream that the client has;
	// empty if none.
	LastEventID string
	// Header holds the remaining headers to forward.
	Header map[string][]string
	Body   []byte
}

// Attempt is one send of a request to an engine.
type Attempt struct {
	Request *Request
	Engine  *catalog.Engine
	// Tenant is the name sent to the engine in place of the client's key; empty on
	// public routes.
	Tenant   string
	Priority int
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// LastEventID is the id of the event after which the engine is to continue the
	// stream; empty to start from the beginning.
	LastEventID string
	// AtMostOnce is set if the request must not be executed twice.
	AtMostOnce bool
	// OnTransfer is called with the bytes of each write to and each read from the
	// engine's connection. It may be called by several goroutines.
	OnTransfer func(sent, received int)
}

// Response is an engine's response. It must be closed.
type Response interface {
	Status() int
	// Header returns the headers to forward to the client.
	Header() map[string][]string
	// NotRun reports whether the engine states that it did not run the request.
	NotRun() bool
	// Leaving reports whether the engine states that it leaves and wants no further
	// requests.
	Leaving() bool
	// RequestedWait returns the seconds for which the engine wants no requests from
	// this daemon, which are NaN if they are not a number. ok is false if the engine
	// states no time.
	RequestedWait() (seconds float64, ok bool)
	// Load returns the load that the engine reported, or nil.
	Load() *balance.Load
	// Read reads the body. It returns io.EOF only at the proper end of the body.
	Read(p []byte) (int, error)
	// SetReadDeadline sets the deadline of later reads.
	SetReadDeadline(t time.Time) error
	Close()
}

// EngineSender sends attempts to engines. An error with outcome NotRun proves that
// the engine did not receive the request.
type EngineSender interface {
	Send(ctx context.Context, a *Attempt) (Response, error)
}

// Writer writes the response to the client.
type Writer interface {
	// WriteHeader writes the status and headers. length is that of the body,
	// negative if unknown.
	WriteHeader(status int, header map[string][]string, length int) error
	// Write writes bytes of the body without buffering them.
	Write(p []byte) (int, error)
	// Abort ends the response so that the client cannot take it for a complete one.
	Abort()
	// Refuse writes a response that this daemon produces itself.
	Refuse(r Refusal)
}

// Refusal is a response that this daemon produces itself, without one of an engine.
type Refusal struct {
	// Cause is mapped to a status by the front end.
	Cause Cause
	// RetryAfter is when the client should try again; 0 to omit it.
	RetryAfter time.Duration
	Reason     string
}

// Cause is the reason for a Refusal.
type Cause uint8

// The causes.
const (
	// NotReady means that this daemon is shutting down or has no configuration that
	// was recently confirmed as current.
	NotReady Cause = iota
	// NoRoute means that no route matches.
	NoRoute
	// UnknownKey means that no tenant holds the key.
	UnknownKey
	// NoEngine means that no engine can take the request now; it has not run.
	NoEngine
	// Expired means that the deadline passed before the request was sent.
	Expired
	// Failed means that the request may have run and its response was lost.
	Failed
	// TimedOut means that the response did not arrive before the deadline.
	TimedOut
	// Quarantined means that engines have ended while they ran the request, so that it
	// is not sent to others.
	Quarantined
)

var causeNames = [...]string{"not_ready", "no_route", "unknown_key", "no_engine", "expired", "failed", "timed_out", "quarantined"}

// String returns the name of the cause in logs and metrics.
func (c Cause) String() string { return causeNames[c] }
