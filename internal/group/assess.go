package group

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

// Assessment is a replica with its status, and the time until which the status is
// valid if no further report arrives.
type Assessment struct {
	replica.Replica
	ValidUntil time.Time
}

// Assess returns the pool's replicas and whether each may be sent requests. A
// group serves only while the latest report of every member is recent, matches
// the group, fencing token, boot id, rank and weights, and is ready.
func Assess(s Snapshot, p Policy) []Assessment {
	v := newEvaluation(s, p)
	if s.PoolExists && s.Pool.Kind == table.KindService {
		return v.assessServices()
	}
	rollout := v.dueForRollout()
	out := make([]Assessment, 0, len(s.Groups))
	for _, g := range s.Groups {
		out = append(out, v.assess(g, rollout[g.ID]))
	}
	slices.SortFunc(out, func(a, b Assessment) int { return cmp.Compare(a.Group, b.Group) })
	return out
}

func (v *evaluation) assess(g state.Group, inRollout bool) Assessment {
	leader := g.Members[0]
	o := v.Observations[leader.VM]
	a := Assessment{Replica: replica.Replica{
		ID: replica.GroupID(g.ID), Pool: g.Pool, Group: g.ID, Incarnation: incarnation(g),
		Leader: leader.VM, Addr: v.VMs[leader.VM].Addr, FailureDomain: leader.FailureDomain,
		Inflight: o.Report.Inflight, ReportedAt: o.ReportedAt,
	}}
	a.Status, a.Reason = v.status[g.ID], v.reason[g.ID]
	if a.Status == replica.Serving {
		a.Status, a.Reason = v.drainStatus(g, inRollout)
	}
	a.ValidUntil = v.validUntil(g)
	return a
}

// incarnation joins the members' boot ids, so that it changes with each reboot.
func incarnation(g state.Group) string {
	boots := make([]string, 0, len(g.Members))
	for _, m := range g.Members {
		boots = append(boots, m.BootID)
	}
	return strings.Join(boots, "+")
}

// healthStatus returns the group's status and its reason as far as they follow
// from the members' conditions: Serving, Loading or Broken.
func (v *evaluation) healthStatus(g state.Group) (replica.Status, string) {
	status, reason := replica.Serving, ""
	for i, m := range g.Members {
		switch c := v.memberCondition(g, i); c {
		case ready:
		case loading, misassigned:
			if status == replica.Serving {
				status, reason = replica.Loading, fmt.Sprintf("VM %s is %s", m.VM, c)
			}
		default:
			return replica.Broken, fmt.Sprintf("VM %s is %s", m.VM, c)
		}
	}
	return status, reason
}

// drainStatus returns Draining and the reason if a healthy group must get no new
// requests, and Serving otherwise.
func (v *evaluation) drainStatus(g state.Group, inRollout bool) (replica.Status, string) {
	if !v.PoolExists {
		return replica.Draining, "the pool was dropped"
	}
	for _, m := range g.Members {
		switch {
		case v.Pool.IsWithdrawn(m.FailureDomain):
			return replica.Draining, fmt.Sprintf("failure domain %s is withdrawn", m.FailureDomain)
		case !v.inPool(m.VM):
			return replica.Draining, fmt.Sprintf("VM %s was taken out of the pool", m.VM)
		case v.leaving(m.VM):
			return replica.Draining, fmt.Sprintf("VM %s is leaving", m.VM)
		}
	}
	if inRollout {
		return replica.Draining, "the pool has a new model, version or group size"
	}
	if vm, ok := v.straggler(g); ok {
		return replica.Draining, fmt.Sprintf("VM %s is a straggler, to be replaced", vm)
	}
	return replica.Serving, ""
}

// validUntil returns when the first of the members' latest reports expires.
func (v *evaluation) validUntil(g state.Group) time.Time {
	var until time.Time
	for _, m := range g.Members {
		at := v.Observations[m.VM].ReportedAt.Add(v.policy.ReportTTL)
		if until.IsZero() || at.Before(until) {
			until = at
		}
	}
	return until
}

// outdated reports whether the group's model, version or size differs from the
// pool's row. Such groups are replaced by a rolling update.
func (v *evaluation) outdated(g state.Group) bool {
	p := v.Pool
	return v.PoolExists && (g.Model != p.Model || g.Version != p.Version || len(g.Members) != p.GroupSize)
}

// dueForRollout returns the outdated groups to replace now. Those that do not
// serve are replaced at once, at no loss of capacity. Of those that serve, only
// as many as rolloutAllowance permits are replaced at a time. Groups in withdrawn
// failure domains wait until the domain is no longer withdrawn.
func (v *evaluation) dueForRollout() map[uint64]bool {
	picked := make(map[uint64]bool)
	var serving []state.Group
	loadingNew := 0
	for _, g := range v.Groups {
		status := v.status[g.ID]
		switch {
		case !v.outdated(g):
			if status == replica.Loading {
				loadingNew++
			}
		case status != replica.Serving:
			picked[g.ID] = true
		case !v.inWithdrawnDomain(g):
			serving = append(serving, g)
		}
	}
	allowed := v.rolloutAllowance(loadingNew, serving)
	for _, g := range serving[:max(0, min(allowed, len(serving)))] {
		picked[g.ID] = true
	}
	return picked
}

// rolloutAllowance returns how many serving outdated groups may be taken out of
// service now: RollingShare of the pool's groups, less loadingNew, the groups
// that already load the pool's current model. It may be negative.
func (v *evaluation) rolloutAllowance(loadingNew int, serving []state.Group) int {
	n := max(1, int(v.policy.RollingShare*float64(len(v.Groups)))) - loadingNew
	if len(serving) == 0 || loadingNew > 0 {
		return n
	}
	// If the new group size is larger, one new group takes the VMs of several
	// old ones, which must end together.
	size := len(serving[0].Members)
	return max(n, (v.Pool.GroupSize+size-1)/size)
}

func (v *evaluation) inWithdrawnDomain(g state.Group) bool {
	return slices.ContainsFunc(g.Members, func(m state.Member) bool { return v.Pool.IsWithdrawn(m.FailureDomain) })
}

// assessServices assesses each VM of a plain service by its own report.
func (v *evaluation) assessServices() []Assessment {
	out := make([]Assessment, 0, len(v.Pool.VMs))
	for _, vm := range v.Pool.VMs {
		entry := v.VMs[vm]
		o := v.Observations[vm]
		a := Assessment{Replica: replica.Replica{
			ID: replica.ServiceID(vm), Pool: v.Pool.Name, Incarnation: o.Report.BootID,
			Leader: vm, Addr: entry.Addr, FailureDomain: entry.FailureDomain,
			Inflight: o.Report.Inflight, ReportedAt: o.ReportedAt,
		}, ValidUntil: o.ReportedAt.Add(v.policy.ReportTTL)}
		a.Status, a.Reason = v.serviceStatus(vm, entry, o)
		out = append(out, a)
	}
	return out
}

func (v *evaluation) serviceStatus(vm string, entry VM, o Observation) (replica.Status, string) {
	switch {
	case !o.fresh(v.Now, v.policy) || o.unresponsive(v.Now, v.policy):
		return replica.Broken, fmt.Sprintf("VM %s does not report", vm)
	case o.Report.State == Loading:
		return replica.Loading, fmt.Sprintf("VM %s is starting", vm)
	case v.Pool.IsWithdrawn(entry.FailureDomain):
		return replica.Draining, fmt.Sprintf("failure domain %s is withdrawn", entry.FailureDomain)
	case v.leaving(vm):
		return replica.Draining, fmt.Sprintf("VM %s is leaving", vm)
	default:
		return replica.Serving, ""
	}
}
