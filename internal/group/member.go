package group

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// condition is how a member stands towards its group.
type condition uint8

const (
	// notObserved: this daemon has not asked lately and concludes nothing.
	notObserved condition = iota
	// ready: the member freshly reports the group, ready.
	ready
	// loading: the member freshly reports the group, loading.
	loading
	// misassigned: the member is up since the group was formed, but reports
	// something else; an order mends it.
	misassigned
	// rebooted: the member is up with another boot id.
	rebooted
	// lost: the member does not answer.
	lost
	// gone: the member does not answer and is off the VM list.
	gone
)

func (c condition) present() bool { return c >= ready && c <= rebooted }

func (c condition) String() string {
	return [...]string{"not observed yet", "ready", "loading", "off its group", "rebooted", "lost", "gone"}[c]
}

// evaluation is a snapshot with its policy and what follows from both.
type evaluation struct {
	Snapshot
	policy Policy
	// status and reason say how each group stands by its reports alone.
	status    map[uint64]replica.Status
	reason    map[uint64]string
	toReplace slowMember
	// poolVMs are the VMs of the pool's row.
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
	if o.lost(v.Now, v.policy) {
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

// absentCondition tells a VM that may come back from one that the platform took away. A
// daemon that has just begun to watch gives each VM the observation window.
func (v *evaluation) absentCondition(vm string, o Observation) condition {
	if o.ReportedAt.IsZero() && v.Now.Before(o.WatchedSince.Add(v.policy.ObserveWindow)) {
		return notObserved
	}
	if v.unlisted(vm, o) {
		return gone
	}
	return lost
}

func (v *evaluation) unreportedCondition(vm string, o Observation) condition {
	if o.ReportedAt.IsZero() && v.unlisted(vm, o) {
		return gone
	}
	return notObserved
}

// unlisted reports whether the VM has been off the list for long enough; the
// list lags, so a short absence says nothing.
func (v *evaluation) unlisted(vm string, o Observation) bool {
	if !v.VMsListed {
		return false
	}
	entry, known := v.VMs[vm]
	since := entry.UnlistedSince
	if !known {
		since = o.WatchedSince
	}
	return !since.IsZero() && v.Now.Sub(since) >= v.policy.GoneAfter
}

// inPool reports whether the VM is in the pool's row.
func (v *evaluation) inPool(vm string) bool {
	_, ok := v.poolVMs[vm]
	return ok
}

func (v *evaluation) leaving(vm string) bool {
	return v.VMs[vm].Leaving || v.Observations[vm].Report.Draining
}

// usable reports whether the VM may join a new group now, and if only its
// backoff stands against that, from when on.
func (v *evaluation) usable(vm string) (bool, time.Time) {
	entry, known := v.VMs[vm]
	o := v.Observations[vm]
	up := o.fresh(v.Now, v.policy) && !o.lost(v.Now, v.policy)
	if !known || !up || v.leaving(vm) || !v.inPool(vm) || v.Pool.IsWithdrawn(entry.FailureDomain) {
		return false, time.Time{}
	}
	if from := o.usableFrom(v.Now, v.policy); v.Now.Before(from) {
		return false, from
	}
	return true, time.Time{}
}
