package table

import (
	"strconv"
	"strings"
)

// FieldChange is a field whose value differs between two versions of a row. A
// version in which the row does not exist has empty values.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// fieldValue is a field of a row with its value formatted as text.
type fieldValue struct{ name, value string }

// DiffRoutes returns the fields that differ between two versions of a route. A
// nil version means that the route does not exist.
func DiffRoutes(old, current *Route) []FieldChange {
	return diffFields(routeFields(old), routeFields(current))
}

// DiffPools returns the fields that differ between two versions of a pool. A
// nil version means that the pool does not exist.
func DiffPools(old, current *Pool) []FieldChange {
	return diffFields(poolFields(old), poolFields(current))
}

func routeFields(r *Route) []fieldValue {
	if r == nil {
		return nil
	}
	return []fieldValue{
		{"workspaces", joinValues(r.Workspaces)},
		{"kinds", joinValues(r.Kinds)},
		{"pools", joinValues(r.Pools)},
		{"priority", strconv.Itoa(r.Priority)},
		{"deadline", r.Deadline.String()},
		{"idempotent", strconv.FormatBool(r.Idempotent)},
		{"retries", strconv.Itoa(r.Retries)},
		{"retry_budget", strconv.FormatFloat(r.RetryBudget, 'g', -1, 64)},
	}
}

func poolFields(p *Pool) []fieldValue {
	if p == nil {
		return nil
	}
	return []fieldValue{
		{"kind", string(p.Kind)},
		{"model", p.Model},
		{"version", p.Version},
		{"group_size", strconv.Itoa(p.GroupSize)},
		{"vms", joinValues(p.VMs)},
		{"withdrawn", joinValues(p.Withdrawn)},
		{"limit", strconv.Itoa(p.Limit)},
		{"cold_limit", strconv.Itoa(p.ColdLimit)},
	}
}

func joinValues(v []string) string { return strings.Join(v, " ") }

// diffFields compares two lists of the same fields in the same order; either
// list may be empty.
func diffFields(old, current []fieldValue) []FieldChange {
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
