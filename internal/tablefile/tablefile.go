// Package tablefile parses and formats the pool and route tables as TOML, fills
// in defaults, and compares two versions of the tables. Package table validates
// the rows; all errors of a file are reported at once, with line and key.
package tablefile

import (
	"bytes"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/table"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

const (
	// defaultRetryBudget is the ratio of retries to first attempts.
	defaultRetryBudget = 0.1
	// coldLimitDivisor gives the default limit of a cold replica: the pool's
	// limit divided by it.
	coldLimitDivisor = 8
)

// File holds the rows of a tables file.
type File struct {
	Pools  []Pool  `toml:"pool" json:"pools"`
	Routes []Route `toml:"route" json:"routes"`
}

// Pool is a row of the pool table in its TOML and JSON form. Fields that are
// left out have their defaults filled in by Row.
type Pool struct {
	Name      string         `toml:"name" json:"name"`
	Kind      table.PoolKind `toml:"kind" json:"kind"`
	Model     string         `toml:"model,omitempty" json:"model,omitempty"`
	Version   string         `toml:"version,omitempty" json:"version,omitempty"`
	GroupSize int            `toml:"group_size,omitempty" json:"group_size,omitempty"`
	VMs       []string       `toml:"vms" json:"vms"`
	Withdrawn []string       `toml:"withdrawn,omitempty" json:"withdrawn,omitempty"`
	Limit     int            `toml:"limit" json:"limit"`
	ColdLimit int            `toml:"cold_limit,omitempty" json:"cold_limit,omitempty"`
}

// Route is a row of the route table in its TOML and JSON form. Fields that are
// left out have their defaults filled in by Row.
type Route struct {
	Name        string            `toml:"name" json:"name"`
	Workspaces  []string          `toml:"workspaces" json:"workspaces"`
	Kinds       []string          `toml:"kinds" json:"kinds"`
	Pools       []string          `toml:"pools" json:"pools"`
	Priority    int               `toml:"priority" json:"priority"`
	Deadline    tomlfile.Duration `toml:"deadline,omitempty" json:"deadline,omitempty"`
	Idempotent  bool              `toml:"idempotent" json:"idempotent"`
	Retries     int               `toml:"retries" json:"retries"`
	RetryBudget *float64          `toml:"retry_budget,omitempty" json:"retry_budget,omitempty"`
}

// Row returns the pool's table row with defaults filled in.
func (p Pool) Row() table.Pool {
	row := table.Pool{
		Name: p.Name, Kind: p.Kind, Model: p.Model, Version: p.Version, GroupSize: p.GroupSize,
		VMs: p.VMs, Withdrawn: p.Withdrawn, Limit: p.Limit, ColdLimit: p.ColdLimit,
	}
	if row.GroupSize == 0 && row.Kind == table.KindService {
		row.GroupSize = 1
	}
	if row.ColdLimit == 0 {
		row.ColdLimit = max(1, row.Limit/coldLimitDivisor)
	}
	return row
}

// Row returns the route's table row with defaults filled in.
func (r Route) Row() table.Route {
	row := table.Route{
		Name: r.Name, Workspaces: r.Workspaces, Kinds: r.Kinds, Pools: r.Pools, Priority: r.Priority,
		Deadline: time.Duration(r.Deadline), Idempotent: r.Idempotent, Retries: r.Retries, RetryBudget: defaultRetryBudget,
	}
	if row.Deadline == 0 {
		row.Deadline = table.DefaultDeadline
	}
	if r.RetryBudget != nil {
		row.RetryBudget = *r.RetryBudget
	}
	return row
}

// FromPool returns the file form of a pool.
func FromPool(p table.Pool) Pool {
	return Pool{
		Name: p.Name, Kind: p.Kind, Model: p.Model, Version: p.Version, GroupSize: p.GroupSize,
		VMs: p.VMs, Withdrawn: p.Withdrawn, Limit: p.Limit, ColdLimit: p.ColdLimit,
	}
}

// FromRoute returns the file form of a route, with its retry budget explicit.
func FromRoute(r table.Route) Route {
	budget := r.RetryBudget
	return Route{
		Name: r.Name, Workspaces: r.Workspaces, Kinds: r.Kinds, Pools: r.Pools, Priority: r.Priority,
		Deadline: tomlfile.Duration(r.Deadline), Idempotent: r.Idempotent, Retries: r.Retries, RetryBudget: &budget,
	}
}

// Format returns the tables as TOML that Parse accepts.
func Format(f File) ([]byte, error) {
	var b bytes.Buffer
	enc := toml.NewEncoder(&b)
	enc.SetArraysMultiline(false)
	if err := enc.Encode(f); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "report this as a bug", "encode the tables as TOML")
	}
	return b.Bytes(), nil
}
