// Package metrics provides a daemon's metric scope and the HTTP handler that
// exports it to Prometheus. Metric names end in their unit; docs/OPERATIONS.md
// lists them.
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
	// prefix begins the names of all metrics.
	prefix = "ragwortquay"
	// reportInterval is the interval at which tally updates the exported values.
	reportInterval = time.Second
)

// Registry contains the metrics of a daemon.
type Registry struct {
	scope   tally.Scope
	closer  io.Closer
	handler fasthttp.RequestHandler
}

// New returns an empty registry. The caller has to close it to stop its reporter.
func New() *Registry {
	// The Prometheus registry is not the global one, because several daemons may
	// run in one process.
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{
		scope:   scope,
		closer:  closer,
		handler: fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler()),
	}
}

// Scope returns the root scope, in which metrics are created.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Serve responds to a request with the metrics in Prometheus' text format.
func (r *Registry) Serve(ctx *fasthttp.RequestCtx) { r.handler(ctx) }

// Close stops the reporter.
func (r *Registry) Close() error { return r.closer.Close() }
