package table

import (
	"errors"
	"fmt"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Check returns every mistake of the route, joined, or nil. Field names start
// with the row's name.
func (r Route) Check() error {
	at := "route." + r.Name
	return errors.Join(
		checkName(at+".name", r.Name),
		checkNames(at+".workspaces", r.Workspaces, true),
		checkNames(at+".kinds", r.Kinds, true),
		checkNames(at+".pools", r.Pools, true),
		fault.CheckRange(at+".priority", r.Priority, 0, MaxPriority),
		fault.CheckRange(at+".retries", r.Retries, 0, MaxRetries),
		r.checkDeadline(at),
		r.checkRetry(at),
	)
}

func (r Route) checkDeadline(at string) error {
	if r.Deadline <= 0 || r.Deadline > MaxDeadline {
		return fault.Invalid(at+".deadline", fmt.Sprintf("use a duration above 0s and up to %s", MaxDeadline), "deadline %s is out of range", r.Deadline)
	}
	return nil
}

func (r Route) checkRetry(at string) error {
	if r.RetryBudget < 0 || r.RetryBudget > 1 {
		return fault.Invalid(at+".retry_budget", "use a ratio from 0 to 1", "retry budget %g is out of range", r.RetryBudget)
	}
	return nil
}

// Check returns every mistake of the pool, joined, or nil. Field names start
// with the row's name.
func (p Pool) Check() error {
	at := "pool." + p.Name
	return errors.Join(
		checkName(at+".name", p.Name),
		p.checkKind(at),
		checkNames(at+".vms", p.VMs, false),
		checkNames(at+".withdrawn", p.Withdrawn, false),
		fault.CheckRange(at+".vms", len(p.VMs), 0, MaxVMs),
		fault.CheckRange(at+".group_size", p.GroupSize, 1, MaxGroupSize),
		fault.CheckRange(at+".limit", p.Limit, 1, MaxLimit),
		fault.CheckRange(at+".cold_limit", p.ColdLimit, 1, max(1, p.Limit)),
	)
}

func (p Pool) checkKind(at string) error {
	switch p.Kind {
	case KindEngine:
		return errors.Join(checkName(at+".model", p.Model), checkName(at+".version", p.Version))
	case KindService:
		if p.GroupSize != 1 {
			return fault.Invalid(at+".group_size", "set it to 1 or leave it out", "a service pool has groups of one VM, not %d", p.GroupSize)
		}
		return nil
	default:
		return fault.Invalid(at+".kind", `use "engine" or "service"`, "unknown pool kind %q", p.Kind)
	}
}

func checkName(field, name string) error {
	if name == "" {
		return fault.Invalid(field, "give it a name", "value is empty")
	}
	if len(name) > MaxNameBytes {
		return fault.Invalid(field, fmt.Sprintf("use at most %d bytes", MaxNameBytes), "value has %d bytes", len(name))
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c == 0x7f {
			return fault.Invalid(field, "use visible characters without spaces", "value %q holds the byte 0x%02x", name, c)
		}
	}
	return nil
}

func checkNames(field string, names []string, required bool) error {
	if required && len(names) == 0 {
		return fault.Invalid(field, "list at least one", "list is empty")
	}
	seen := make(map[string]struct{}, len(names))
	var errs []error
	for _, n := range names {
		errs = append(errs, checkName(field, n))
		if _, dup := seen[n]; dup {
			errs = append(errs, fault.Invalid(field, "list it once", "%q is listed twice", n))
		}
		seen[n] = struct{}{}
	}
	return errors.Join(errs...)
}
