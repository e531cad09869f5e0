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

// Assessment is a replica with the time until which the judgement holds if nothing
// more is heard.
type Assessment struct {
	replica.Replica
	ValidUntil time.Time
}

// Assess returns the pool's replicas and whether each may be sent work. A group
// serves only while every member freshly reports it: right group, fencing
// number, boot id, rank and weights, and ready.
func Assess(s Snapshot, p Policy) []Assessment {
	v := newView(s, p)
	if s.PoolExists && s.Pool.Kind == table.KindService {
		return v.services()
	}
	rolling := v.rolling()
	out := make([]Assessment, 0, len(s.Groups))
	for _, g := range s.Groups {
		out = append(out, v.judge(g, rolling[g.ID]))
	}
	slices.SortFunc(out, func(a, b Assessment) int { return cmp.Compare(a.Group, b.Group) })
	return out
}

func (v *view) judge(g state.Group, rolling bool) Assessment {
	lead := g.Members[0]
	leader := v.Observations[lead.VM]
	j := Assessment{Replica: replica.Replica{
		ID: replica.GroupID(g.ID), Pool: g.Pool, Group: g.ID, Incarnation: incarnation(g),
		Leader: lead.VM, Addr: v.VMs[lead.VM].Addr, FailureDomain: lead.FailureDomain,
		Inflight: leader.Report.Inflight, ReportedAt: leader.ReportedAt,
	}}
	j.Status, j.Reason = v.status[g.ID], v.reason[g.ID]
	if j.Status == replica.Serving {
		j.Status, j.Reason = v.withdrawal(g, rolling)
	}
	j.ValidUntil = v.validUntil(g)
	return j
}

func incarnation(g state.Group) string {
	boots := make([]string, 0, len(g.Members))
	for _, m := range g.Members {
		boots = append(boots, m.BootID)
	}
	return strings.Join(boots, "+")
}

// health judges by the members' reports alone.
func (v *view) health(g state.Group) (replica.Status, string) {
	status, reason := replica.Serving, ""
	for i, m := range g.Members {
		switch c := v.member(g, i); c {
		case ready:
		case loading, strayed:
			if status == replica.Serving {
				status, reason = replica.Loading, fmt.Sprintf("VM %s is %s", m.VM, c)
			}
		default:
			return replica.Broken, fmt.Sprintf("VM %s is %s", m.VM, c)
		}
	}
	return status, reason
}

// withdrawal says whether a healthy group must be sent no new work.
func (v *view) withdrawal(g state.Group, rolling bool) (replica.Status, string) {
	if !v.PoolExists {
		return replica.Draining, "the pool was dropped"
	}
	for _, m := range g.Members {
		switch {
		case v.Pool.IsWithdrawn(m.FailureDomain):
			return replica.Draining, fmt.Sprintf("failure domain %s is withdrawn", m.FailureDomain)
		case !v.pooled(m.VM):
			return replica.Draining, fmt.Sprintf("VM %s was taken out of the pool", m.VM)
		case v.leaving(m.VM):
			return replica.Draining, fmt.Sprintf("VM %s is leaving", m.VM)
		}
	}
	if rolling {
		return replica.Draining, "the pool has a new model, version or group size"
	}
	if vm, ok := v.straggler(g); ok {
		return replica.Draining, fmt.Sprintf("VM %s is a straggler, to be replaced", vm)
	}
	return replica.Serving, ""
}

func (v *view) validUntil(g state.Group) time.Time {
	var until time.Time
	for _, m := range g.Members {
		at := v.Observations[m.VM].ReportedAt.Add(v.policy.ReportTTL)
		if until.IsZero() || at.Before(until) {
			until = at
		}
	}
	return until
}

// outdated reports whether the group no longer fits the pool's row in a way
// that can wait its turn.
func (v *view) outdated(g state.Group) bool {
	p := v.Pool
	return v.PoolExists && (g.Model != p.Model || g.Version != p.Version || len(g.Members) != p.GroupSize)
}

// rolling picks the outdated groups whose turn it is. Those that do not serve
// cost nothing and go at once; of the others a share of the pool goes at a time,
// less the groups that are already at work on the new row. Groups of withdrawn
// domains wait for the domain's return.
func (v *view) rolling() map[uint64]bool {
	picked := make(map[uint64]bool)
	var serving []state.Group
	busy := 0
	for _, g := range v.Groups {
		status := v.status[g.ID]
		switch {
		case !v.outdated(g):
			if status == replica.Loading {
				busy++
			}
		case status != replica.Serving:
			picked[g.ID] = true
		case !v.withdrawnGroup(g):
			serving = append(serving, g)
		}
	}
	turn := v.turn(busy, serving)
	for _, g := range serving[:max(0, min(turn, len(serving)))] {
		picked[g.ID] = true
	}
	return picked
}

// turn is the number of serving groups that may be taken out of service now.
func (v *view) turn(busy int, serving []state.Group) int {
	n := max(1, int(v.policy.RollingShare*float64(len(v.Groups)))) - busy
	if len(serving) == 0 || busy > 0 {
		return n
	}
	// A larger group needs the VMs of several old ones.
	size := len(serving[0].Members)
	return max(n, (v.Pool.GroupSize+size-1)/size)
}

func (v *view) withdrawnGroup(g state.Group) bool {
	return slices.ContainsFunc(g.Members, func(m state.Member) bool { return v.Pool.IsWithdrawn(m.FailureDomain) })
}

// services judges each VM of a plain service by its own report.
func (v *view) services() []Assessment {
	out := make([]Assessment, 0, len(v.Pool.VMs))
	for _, vm := range v.Pool.VMs {
		entry := v.VMs[vm]
		o := v.Observations[vm]
		j := Assessment{Replica: replica.Replica{
			ID: replica.ServiceID(vm), Pool: v.Pool.Name, Incarnation: o.Report.BootID,
			Leader: vm, Addr: entry.Addr, FailureDomain: entry.FailureDomain,
			Inflight: o.Report.Inflight, ReportedAt: o.ReportedAt,
		}, ValidUntil: o.ReportedAt.Add(v.policy.ReportTTL)}
		j.Status, j.Reason = v.service(vm, entry, o)
		out = append(out, j)
	}
	return out
}

func (v *view) service(vm string, entry VM, o Observation) (replica.Status, string) {
	switch {
	case !o.fresh(v.Now, v.policy) || o.lost(v.Now, v.policy):
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
