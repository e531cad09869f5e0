// Package table defines the rows of the two tables that operators edit, routes
// and pools, with their validation. It performs no I/O and no encoding.
package table

import (
	"slices"
	"time"
)

// Defaults and limits of the fields of a row.
const (
	// DefaultDeadline is the request deadline of a route that does not set one.
	DefaultDeadline = 30 * time.Second
	// MaxDeadline is the longest request deadline of a route.
	MaxDeadline = 30 * time.Minute
	// MaxNameBytes is the maximum length of the names of rows, VMs, workspaces
	// and request kinds.
	MaxNameBytes = 128
	// MaxGroupSize is the maximum number of VMs in one replica group.
	MaxGroupSize = 64
	// MaxLimit is the highest concurrency limit of one replica, in requests.
	MaxLimit = 100_000
	// MaxPriority is the value of the lowest priority; 0 is the highest.
	MaxPriority = 9
	// MaxRetries is the maximum number of retries after a failed first attempt.
	MaxRetries = 8
	// MaxVMs is the maximum number of VMs in one pool.
	MaxVMs = 10_000
	// Any is the wildcard that matches every workspace or request kind.
	Any = "*"
)

// PoolKind distinguishes pools of model engines, which form replica groups,
// from pools of plain services.
type PoolKind string

// Pool kinds.
const (
	KindEngine  PoolKind = "engine"
	KindService PoolKind = "service"
)

// Route maps requests, selected by workspace and kind, to pools.
type Route struct {
	Name string
	// Workspaces and Kinds select the requests of the route; Any matches all.
	Workspaces []string
	Kinds      []string
	// Pools are the names of the pools, in order of preference.
	Pools []string
	// Priority orders queued requests; 0 is served first.
	Priority int
	// Deadline bounds the time until the response is complete.
	Deadline time.Duration
	// Idempotent means that a request may be executed more than once.
	Idempotent bool
	// Retries is the maximum number of retries per request.
	Retries int
	// RetryBudget is the maximum ratio of retries to first attempts.
	RetryBudget float64
}

// Pool is a set of VMs that serve one version of a model, or one service.
type Pool struct {
	Name    string
	Kind    PoolKind
	Model   string
	Version string
	// GroupSize is the number of VMs per replica; 1 for services.
	GroupSize int
	// VMs are the ids of the pool's VMs in the platform's VM list.
	VMs []string
	// Withdrawn lists the failure domains that receive no new requests.
	Withdrawn []string
	// Limit is the concurrency limit of one warm replica, in requests.
	Limit int
	// ColdLimit is the concurrency limit of one cold replica, in requests.
	ColdLimit int
}

// Matches reports whether the route selects requests of the given kind from the
// given workspace.
func (r Route) Matches(workspace, kind string) bool {
	return matchesAny(r.Workspaces, workspace) && matchesAny(r.Kinds, kind)
}

// matchesAny reports whether the selectors contain v or the wildcard Any.
func matchesAny(selectors []string, v string) bool {
	return slices.Contains(selectors, v) || slices.Contains(selectors, Any)
}

// specificity scores a route that matches the request: an exact workspace adds
// 2 and an exact kind 1, so that an exact workspace outweighs an exact kind.
func (r Route) specificity(workspace, kind string) int {
	n := 0
	if slices.Contains(r.Workspaces, workspace) {
		n += 2
	}
	if slices.Contains(r.Kinds, kind) {
		n++
	}
	return n
}

// Precedes reports whether r takes precedence over o for a request that both
// match. An exact workspace outweighs an exact kind; ties are broken by name,
// the lower one first.
func (r Route) Precedes(o Route, workspace, kind string) bool {
	a, b := r.specificity(workspace, kind), o.specificity(workspace, kind)
	if a != b {
		return a > b
	}
	return r.Name < o.Name
}

// IsWithdrawn reports whether operators have withdrawn the failure domain.
func (p Pool) IsWithdrawn(domain string) bool { return slices.Contains(p.Withdrawn, domain) }

// HasVM reports whether the pool contains the VM.
func (p Pool) HasVM(vm string) bool { return slices.Contains(p.VMs, vm) }
