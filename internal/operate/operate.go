// Package operate implements the operators' API: editing the tables, and reading
// the tables, the status of the system and the audit trail. It is independent of
// the transport; package admin serves it over HTTP.
package operate

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/audit"
	"github.com/ragwortquay/ragwortquay/internal/control"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/quorum"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/view"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Control is the part of control.Manager that a Service uses.
type Control interface {
	Submit(ctx context.Context, rec *state.Record) (state.Verdict, error)
	OpenEmptyEpoch(ctx context.Context) error
	WaitPropagation(ctx context.Context, pos state.Position) control.Propagation
	PeerReports(ctx context.Context) []quorum.Report
	AuditTrail(ctx context.Context) (audit.Trail, error)
	ServingStatus() quorum.ServingStatus
	LogAge(now time.Time) time.Duration
	CaughtUp() bool
}

// Readiness tells whether the daemon is ready for requests.
type Readiness interface {
	// Ready returns nil if the daemon is ready for new requests, else the reason
	// why it is not.
	Ready() error
}

// Options are the dependencies of a Service. Self, View and Control are required.
type Options struct {
	// Self is this daemon's id.
	Self    string
	View    *view.View
	Control Control
	// Readiness is asked once the serving status allows requests; nil means that
	// the serving status alone decides.
	Readiness Readiness
	// LiveDaemons returns the ids of the live daemons, including this one; nil
	// means only this one.
	LiveDaemons func() []string
	// Replicas returns the pool's replicas that this daemon knows; nil means that
	// it knows none.
	Replicas func(pool string) []replica.Replica
	// Call sends a request to another daemon and decodes the response into resp;
	// nil means that other daemons cannot be reached.
	Call func(ctx context.Context, daemon string, req, resp wire.Message) error
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Service carries out operators' requests. It is safe for concurrent use.
type Service struct {
	opts Options
}

// New returns a Service.
func New(o Options) *Service {
	if o.LiveDaemons == nil {
		o.LiveDaemons = func() []string { return []string{o.Self} }
	}
	if o.Replicas == nil {
		o.Replicas = func(string) []replica.Replica { return nil }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Service{opts: o}
}

// homeOf returns the live daemon that owns the key: its home.
func (s *Service) homeOf(key string) string { return ids.Owner(key, s.opts.LiveDaemons()) }
