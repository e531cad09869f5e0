// Package metrics makes the daemon's metric scope and the page that shows it.
// Names carry their unit; see docs/OPERATIONS.md for the list.
package metrics

import (
	"io"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const (
	prefix = "ragwortquay"
	// reportInterval is how often tally hands values to the page.
	reportInterval = time.Second
)

// Registry is one daemon's metrics.
type Registry struct {
	scope  tally.Scope
	closer io.Closer
	page   fasthttp.RequestHandler
}

// New returns an empty registry. Close it to stop its reporter.
func New() *Registry {
	// A registry of its own: several daemons may share one process.
	own := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: own, Gatherer: own})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{
		scope:  scope,
		closer: closer,
		page:   fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler()),
	}
}

// Scope returns the root scope.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Serve serves the metrics as text.
func (r *Registry) Serve(ctx *fasthttp.RequestCtx) { r.page(ctx) }

// Close stops the reporter.
func (r *Registry) Close() error { return r.closer.Close() }
