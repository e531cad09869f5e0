package table

import (
	"errors"
	"fmt"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Check validates the route. It returns all violations joined into one error,
// or nil; their field names start with "route." and the route's name.
func (r Route) Check() error {
	prefix := "route." + r.Name
	return errors.Join(
		checkName(prefix+".name", r.Name),
		checkNames(prefix+".workspaces", r.Workspaces, true),
		checkNames(prefix+".kinds", r.Kinds, true),
		checkNames(prefix+".pools", r.Pools, true),
		fault.CheckRange(prefix+".priority", r.Priority, 0, MaxPriority),
		fault.CheckRange(prefix+".retries", r.Retries, 0, MaxRetries),
		r.checkDeadline(prefix),
		r.checkRetryBudget(prefix),
	)
}

func (r Route) checkDeadline(prefix string) error {
	if r.Deadline <= 0 || r.Deadline > MaxDeadline {
		return fault.Invalid(prefix+".deadline", fmt.Sprintf("use a duration above 0s and up to %s", MaxDeadline), "deadline %s is out of range", r.Deadline)
	}
	return nil
}

func (r Route) checkRetryBudget(prefix string) error {
	if r.RetryBudget < 0 || r.RetryBudget > 1 {
		return fault.Invalid(prefix+".retry_budget", "use a ratio from 0 to 1", "retry budget %g is out of range", r.RetryBudget)
	}
	return nil
}

// Check validates the pool. It returns all violations joined into one error,
// or nil; their field names start with "pool." and the pool's name.
func (p Pool) Check() error {
	prefix := "pool." + p.Name
	return errors.Join(
		checkName(prefix+".name", p.Name),
		p.checkKind(prefix),
		checkNames(prefix+".vms", p.VMs, false),
		checkNames(prefix+".withdrawn", p.Withdrawn, false),
		fault.CheckRange(prefix+".vms", len(p.VMs), 0, MaxVMs),
		fault.CheckRange(prefix+".group_size", p.GroupSize, 1, MaxGroupSize),
		fault.CheckRange(prefix+".limit", p.Limit, 1, MaxLimit),
		fault.CheckRange(prefix+".cold_limit", p.ColdLimit, 1, max(1, p.Limit)),
	)
}

func (p Pool) checkKind(prefix string) error {
	switch p.Kind {
	case KindEngine:
		return errors.Join(checkName(prefix+".model", p.Model), checkName(prefix+".version", p.Version))
	case KindService:
		if p.GroupSize != 1 {
			return fault.Invalid(prefix+".group_size", "set it to 1 or leave it out", "a service pool has groups of one VM, not %d", p.GroupSize)
		}
		return nil
	default:
		return fault.Invalid(prefix+".kind", `use "engine" or "service"`, "unknown pool kind %q", p.Kind)
	}
}

func checkName(field, name string) error {
	if name == "" {
		return fault.Invalid(field, "set a non-empty name", "name is empty")
	}
	if len(name) > MaxNameBytes {
		return fault.Invalid(field, fmt.Sprintf("use at most %d bytes", MaxNameBytes), "name has %d bytes", len(name))
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c == 0x7f {
			return fault.Invalid(field, "use printable characters without spaces", "name %q contains the byte 0x%02x", name, c)
		}
	}
	return nil
}

// checkNames validates a list of names: each must be valid and unique, and the
// list must not be empty if required is set.
func checkNames(field string, names []string, required bool) error {
	if required && len(names) == 0 {
		return fault.Invalid(field, "list at least one name", "list of names is empty")
	}
	seen := make(map[string]struct{}, len(names))
	var errs []error
	for _, n := range names {
		errs = append(errs, checkName(field, n))
		if _, dup := seen[n]; dup {
			errs = append(errs, fault.Invalid(field, "remove the duplicate", "name %q is listed twice", n))
		}
		seen[n] = struct{}{}
	}
	return errors.Join(errs...)
}
