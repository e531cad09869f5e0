// Package tablefile reads and prints the two tables as TOML, fills in defaults,
// and compares a file with the tables in force. It checks rows by package
// table and reports all of a file's mistakes at once, with line and key.
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
	// coldShare divides a warm replica's limit into a cold one's.
	coldShare = 8
)

// File is the content of a tables file.
type File struct {
	Pools  []Pool  `toml:"pool" json:"pools"`
	Routes []Route `toml:"route" json:"routes"`
}

// Pool is a pool as it is written by people and in JSON.
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

// Route is a route as it is written by people and in JSON.
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

// Row returns the pool with its defaults filled in.
func (p Pool) Row() table.Pool {
	row := table.Pool{
		Name: p.Name, Kind: p.Kind, Model: p.Model, Version: p.Version, GroupSize: p.GroupSize,
		VMs: p.VMs, Withdrawn: p.Withdrawn, Limit: p.Limit, ColdLimit: p.ColdLimit,
	}
	if row.GroupSize == 0 && row.Kind == table.KindService {
		row.GroupSize = 1
	}
	if row.ColdLimit == 0 {
		row.ColdLimit = max(1, row.Limit/coldShare)
	}
	return row
}

// Row returns the route with its defaults filled in.
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

// FromPool returns the pool as it is written.
func FromPool(p table.Pool) Pool {
	return Pool{
		Name: p.Name, Kind: p.Kind, Model: p.Model, Version: p.Version, GroupSize: p.GroupSize,
		VMs: p.VMs, Withdrawn: p.Withdrawn, Limit: p.Limit, ColdLimit: p.ColdLimit,
	}
}

// FromRoute returns the route as it is written.
func FromRoute(r table.Route) Route {
	budget := r.RetryBudget
	return Route{
		Name: r.Name, Workspaces: r.Workspaces, Kinds: r.Kinds, Pools: r.Pools, Priority: r.Priority,
		Deadline: tomlfile.Duration(r.Deadline), Idempotent: r.Idempotent, Retries: r.Retries, RetryBudget: &budget,
	}
}

// Format formats the tables as a file that Parse reads.
func Format(f File) ([]byte, error) {
	var b bytes.Buffer
	enc := toml.NewEncoder(&b)
	enc.SetArraysMultiline(false)
	if err := enc.Encode(f); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "report this", "print the tables")
	}
	return b.Bytes(), nil
}
