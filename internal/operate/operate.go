// Package operate is what operators may do: edit the tables, and look at them,
// at the state of the system and at its history. It knows no transport: package
// admin serves it over HTTP.
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

// Control is the part of control.Manager that operators use.
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

// Readiness says whether the daemon wants work.
type Readiness interface {
	// Ready returns nil, or why the daemon wants no new work.
	Ready() error
}

// Options are the parts of a Service. View and Control are required.
type Options struct {
	// Self is this daemon's id.
	Self    string
	View    *view.View
	Control Control
	// Readiness may be nil: then being caught up and allowed to serve is enough.
	Readiness Readiness
	// LiveDaemons returns the live daemons, this one included; nil means only this one.
	LiveDaemons func() []string
	// Replicas returns the pool's replicas as far as this daemon knows them;
	// nil means that it knows none.
	Replicas func(pool string) []replica.Replica
	// Call asks another daemon; nil means that it cannot be asked.
	Call func(ctx context.Context, daemon string, req, resp wire.Message) error
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Service carries out what operators ask for. It is safe for concurrent use.
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

func (s *Service) home(key string) string { return ids.Owner(key, s.opts.LiveDaemons()) }
