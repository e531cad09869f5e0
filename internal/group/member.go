package group

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// condition is the condition of a group's member, as observed by this daemon.
type condition uint8

const (
	// notObserved: this daemon has no recent answer and no proof of a failure.
	notObserved condition = iota
	// ready: the member's recent report matches the group and is ready.
	ready
	// loading: the member's recent report matches the group and is loading.
	loading
	// misassigned: the member has not rebooted since the group was formed, but
	// reports another group, rank or weights, or none. A load order corrects it.
	misassigned
	// rebooted: the member answers with another boot id.
	rebooted
	// unresponsive: the member does not answer.
	unresponsive
	// removed: the member does not answer and has left the platform's VM list.
	removed
)

// answers reports whether the member answers, in whatever state.
func (c condition) answers() bool { return c >= ready && c <= rebooted }

// String returns the condition as written in the reasons of statuses and records.
func (c condition) String() string {
	return [...]string{"not observed yet", "ready", "loading", "off its group", "rebooted", "lost", "gone"}[c]
}

// evaluation is a snapshot and a policy, with values derived from both.
type evaluation struct {
	Snapshot
	policy Policy
	// status and reason are the healthStatus of each group.
	status map[uint64]replica.Status
	reason map[uint64]string
	// toReplace is the straggler that is to be replaced now, if any.
	toReplace slowMember
	// poolVMs is the set of VMs in the pool's row.
	poolVMs map[string]struct{}
}

func newEvaluation(s Snapshot, p Policy) evaluation {
	v := evaluation{
		Snapshot: s, policy: p,
		status: make(map[uint64]replica.Status, len(s.Groups)), reason: make(map[uint64]string),
		poolVMs: make(map[string]struct{}, len(s.Pool.VMs)),
	}
	for _, vm := range s.Pool.VMs {
		v.poolVMs[vm] = struct{}{}
	}
	for _, g := range s.Groups {
		status, reason := v.healthStatus(g)
		v.status[g.ID] = status
		if reason != "" {
			v.reason[g.ID] = reason
		}
	}
	v.toReplace = v.pickStraggler()
	return v
}

func (v *evaluation) memberCondition(g state.Group, rank int) condition {
	m := g.Members[rank]
	o := v.Observations[m.VM]
	if o.unresponsive(v.Now, v.policy) {
		return v.absentCondition(m.VM, o)
	}
	if !o.fresh(v.Now, v.policy) {
		return v.unreportedCondition(m.VM, o)
	}
	if o.Report.BootID != m.BootID {
		return rebooted
	}
	return reportedCondition(g, rank, o.Report)
}

func reportedCondition(g state.Group, rank int, r Report) condition {
	if r.Group != g.ID || r.Fence != g.ID || r.Rank != rank || r.Model != g.Model || r.Version != g.Version {
		return misassigned
	}
	switch r.State {
	case Ready:
		return ready
	case Loading:
		return loading
	default:
		return misassigned
	}
}

// absentCondition returns the condition of a VM that does not answer: removed if
// the platform has removed it, unresponsive if it may return. A VM that has never
// answered this daemon stays notObserved until ObserveWindow has passed.
func (v *evaluation) absentCondition(vm string, o Observation) condition {
	if o.ReportedAt.IsZero() && v.Now.Before(o.WatchedSince.Add(v.policy.ObserveWindow)) {
		return notObserved
	}
	if v.unlisted(vm, o) {
		return removed
	}
	return unresponsive
}

// unreportedCondition returns the condition of a VM without a recent report and
// without the failed polls that would make it unresponsive.
func (v *evaluation) unreportedCondition(vm string, o Observation) condition {
	if o.ReportedAt.IsZero() && v.unlisted(vm, o) {
		return removed
	}
	return notObserved
}

// unlisted reports whether the VM has been absent from the platform's VM list for
// RemovedAfter. The list lags, so a shorter absence proves nothing.
func (v *evaluation) unlisted(vm string, o Observation) bool {
	if !v.VMsListed {
		return false
	}
	entry, known := v.VMs[vm]
	since := entry.UnlistedSince
	if !known {
		since = o.WatchedSince
	}
	return !since.IsZero() && v.Now.Sub(since) >= v.policy.RemovedAfter
}

func (v *evaluation) inPool(vm string) bool {
	_, ok := v.poolVMs[vm]
	return ok
}

// leaving reports whether the platform is about to remove the VM, or the VM has
// asked to be drained.
func (v *evaluation) leaving(vm string) bool {
	return v.VMs[vm].Leaving || v.Observations[vm].Report.Draining
}

// usable reports whether the VM may join a new group now. If only its flap
// backoff prevents that, it also returns when the backoff ends.
func (v *evaluation) usable(vm string) (bool, time.Time) {
	entry, known := v.VMs[vm]
	o := v.Observations[vm]
	up := o.fresh(v.Now, v.policy) && !o.unresponsive(v.Now, v.policy)
	if !known || !up || v.leaving(vm) || !v.inPool(vm) || v.Pool.IsWithdrawn(entry.FailureDomain) {
		return false, time.Time{}
	}
	if from := o.usableFrom(v.Now, v.policy); v.Now.Before(from) {
		return false, from
	}
	return true, time.Time{}
}
