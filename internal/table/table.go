// Package table defines the two tables that operators edit, routes and pools,
// and the checks that a row must pass. It is pure: no I/O, no encoding.
package table

import (
	"slices"
	"time"
)

// Defaults and bounds of rows.
const (
	// DefaultDeadline bounds a request whose route names no deadline.
	DefaultDeadline = 30 * time.Second
	// MaxDeadline is the longest deadline that a route may give.
	MaxDeadline = 30 * time.Minute
	// MaxNameBytes bounds names of rows, VMs, workspaces and kinds.
	MaxNameBytes = 128
	// MaxGroupSize is the largest number of VMs in one replica group.
	MaxGroupSize = 64
	// MaxLimit is the largest number of concurrent requests per replica.
	MaxLimit = 100_000
	// MaxPriority is the least urgent priority; 0 is the most urgent.
	MaxPriority = 9
	// MaxRetries bounds the attempts that follow a failed first one.
	MaxRetries = 8
	// MaxVMs bounds the VMs of one pool.
	MaxVMs = 10_000
	// Any matches every workspace or kind in a route.
	Any = "*"
)

// PoolKind tells model engines, which form replica groups, from plain services.
type PoolKind string

// The kinds of pool.
const (
	KindEngine  PoolKind = "engine"
	KindService PoolKind = "service"
)

// Route says which pools serve which workspaces and kinds of request.
type Route struct {
	Name string
	// Workspaces and Kinds select requests; Any matches all.
	Workspaces []string
	Kinds      []string
	// Pools are tried in this order.
	Pools []string
	// Priority orders queued requests, 0 first.
	Priority int
	// Deadline bounds the whole answer.
	Deadline time.Duration
	// Idempotent requests may be repeated by the system.
	Idempotent bool
	// Retries is the number of further attempts per request.
	Retries int
	// RetryBudget is the highest ratio of retries to first attempts.
	RetryBudget float64
}

// Pool is a set of VMs behind one model and version, or behind one service.
type Pool struct {
	Name    string
	Kind    PoolKind
	Model   string
	Version string
	// GroupSize is the number of VMs of one replica; 1 for services.
	GroupSize int
	// VMs are the members' identifiers in the platform's VM list.
	VMs []string
	// Withdrawn are failure domains that receive no new work.
	Withdrawn []string
	// Limit is the number of concurrent requests of one warm replica.
	Limit int
	// ColdLimit is the number of concurrent requests of one cold replica.
	ColdLimit int
}

// Matches reports whether the route selects requests of kind from workspace.
func (r Route) Matches(workspace, kind string) bool {
	return selects(r.Workspaces, workspace) && selects(r.Kinds, kind)
}

func selects(list []string, v string) bool {
	return slices.Contains(list, v) || slices.Contains(list, Any)
}

// specificity ranks routes that match the same request: exact names before Any.
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

// Precedes reports whether r precedes o for the given request. Both must match.
// Exact workspaces precede exact kinds; ties go to the lower name.
func (r Route) Precedes(o Route, workspace, kind string) bool {
	a, b := r.specificity(workspace, kind), o.specificity(workspace, kind)
	if a != b {
		return a > b
	}
	return r.Name < o.Name
}

// IsWithdrawn reports whether operators have taken out the failure domain.
func (p Pool) IsWithdrawn(domain string) bool { return slices.Contains(p.Withdrawn, domain) }

// HasVM reports whether the VM belongs to the pool.
func (p Pool) HasVM(vm string) bool { return slices.Contains(p.VMs, vm) }
