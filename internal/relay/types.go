// Package relay carries one request from its acceptance to its whole answer:
// route, tenant, choice of an engine, attempts, retries, resumption. It knows
// neither header names nor sockets; a front end and a sender of engines do.
package relay

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// Request is one attempt of a client, as the front end decoded it.
type Request struct {
	ID     string
	Host   string
	Method string
	// Path selects the route; Target is the path with its query, as sent.
	Path   string
	Target string
	// APIKey is the client's credential; empty if it sent none.
	APIKey string
	// Arrived is when the request was read, Patience how long the client waits
	// from then on; zero if it did not say.
	Arrived       time.Time
	ClientTimeout time.Duration
	Model         string
	Work          balance.Work
	// LastEventID is the last event that the client has of a stream; empty if none.
	LastEventID string
	// Header are the other headers to pass on.
	Header map[string][]string
	Body   []byte
}

// Attempt is one send of a request to an engine.
type Attempt struct {
	Request *Request
	Engine  *catalog.Engine
	// Tenant is the name that replaces the client's key; empty on public routes.
	Tenant   string
	Priority int
	// Remaining is the time until which the engine may work on it.
	Remaining time.Duration
	// LastEventID asks for the events after it.
	LastEventID string
	// AtMostOnce marks a request that must not run twice.
	AtMostOnce bool
}

// Response is an engine's answer. It must be closed.
type Response interface {
	Status() int
	// Header are the headers to pass to the client.
	Header() map[string][]string
	// NotRun reports that the engine says it did not run the request.
	NotRun() bool
	// Load is what the engine told of its load, or nil.
	Load() *balance.Load
	// Read reads the body; io.EOF comes only at its proper end.
	Read(p []byte) (int, error)
	// SetReadDeadline bounds the next reads.
	SetReadDeadline(t time.Time) error
	Close()
}

// EngineSender sends attempts. An error whose outcome is NotRun proves that the
// engine did not get the request.
type EngineSender interface {
	Send(ctx context.Context, a *Attempt) (Response, error)
}

// Writer takes the answer to the client.
type Writer interface {
	// WriteHeader sends the head; length is the body's, negative if unknown.
	WriteHeader(status int, header map[string][]string, length int) error
	// Write sends bytes of the body at once.
	Write(p []byte) (int, error)
	// Abort breaks the answer off so that it can't be taken for a whole one.
	Abort()
	// Refuse sends an answer of the system's own.
	Refuse(r Refusal)
}

// Refusal is an answer of the system's own.
type Refusal struct {
	// Status is the meaning of the refusal; the front end maps it.
	Cause Cause
	// RetryAfter tells when to come back; zero says nothing.
	RetryAfter time.Duration
	Reason     string
}

// Cause says why the system answers itself.
type Cause uint8

// The causes.
const (
	// NotReady means that this daemon lacks a configuration known to be fresh.
	NotReady Cause = iota
	// NoRoute means that no route matches.
	NoRoute
	// UnknownKey means that no tenant holds the key.
	UnknownKey
	// NoEngine means that no engine may take the request now; it has not run.
	NoEngine
	// Expired means that the time was over before the request was sent.
	Expired
	// Failed means that the request may have run and its answer is lost.
	Failed
	// TimedOut means that the answer did not come in time.
	TimedOut
)

var causeNames = [...]string{"not_ready", "no_route", "unknown_key", "no_engine", "expired", "failed", "timed_out"}

// String returns the cause's name for logs and metrics.
func (c Cause) String() string { return causeNames[c] }
