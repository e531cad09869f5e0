package table

import (
	"strconv"
	"strings"
)

// FieldChange is one field of a row whose value differs between two versions.
// A row that did not exist, or does not any more, has empty values.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

type field struct{ name, value string }

// DiffRoutes returns the fields in which two versions of a route differ; nil
// stands for no row.
func DiffRoutes(old, current *Route) []FieldChange {
	return diff(routeFields(old), routeFields(current))
}

// DiffPools returns the fields in which two versions of a pool differ; nil
// stands for no row.
func DiffPools(old, current *Pool) []FieldChange {
	return diff(poolFields(old), poolFields(current))
}

func routeFields(r *Route) []field {
	if r == nil {
		return nil
	}
	return []field{
		{"workspaces", list(r.Workspaces)},
		{"kinds", list(r.Kinds)},
		{"pools", list(r.Pools)},
		{"priority", strconv.Itoa(r.Priority)},
		{"deadline", r.Deadline.String()},
		{"idempotent", strconv.FormatBool(r.Idempotent)},
		{"retries", strconv.Itoa(r.Retries)},
		{"retry_budget", strconv.FormatFloat(r.RetryBudget, 'g', -1, 64)},
	}
}

func poolFields(p *Pool) []field {
	if p == nil {
		return nil
	}
	return []field{
		{"kind", string(p.Kind)},
		{"model", p.Model},
		{"version", p.Version},
		{"group_size", strconv.Itoa(p.GroupSize)},
		{"vms", list(p.VMs)},
		{"withdrawn", list(p.Withdrawn)},
		{"limit", strconv.Itoa(p.Limit)},
		{"cold_limit", strconv.Itoa(p.ColdLimit)},
	}
}

func list(v []string) string { return strings.Join(v, " ") }

func diff(old, current []field) []FieldChange {
	var out []FieldChange
	for i := range max(len(old), len(current)) {
		var c FieldChange
		if i < len(old) {
			c.Field, c.Old = old[i].name, old[i].value
		}
		if i < len(current) {
			c.Field, c.New = current[i].name, current[i].value
		}
		if c.Old != c.New {
			out = append(out, c)
		}
	}
	return out
}
