package group

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// condition is how a member stands towards its group.
type condition uint8

const (
	// unseen: this daemon has not asked lately and concludes nothing.
	unseen condition = iota
	// ready: the member freshly reports the group, ready.
	ready
	// loading: the member freshly reports the group, loading.
	loading
	// strayed: the member is up since the group was formed, but reports
	// something else; an order mends it.
	strayed
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

// view is a snapshot with its policy and what follows from both.
type view struct {
	Snapshot
	policy Policy
	// status and reason say how each group stands by its reports alone.
	status map[uint64]replica.Status
	reason map[uint64]string
	slow   slowMember
	// listed are the VMs of the pool's row.
	listed map[string]struct{}
}

func newView(s Snapshot, p Policy) view {
	v := view{
		Snapshot: s, policy: p,
		status: make(map[uint64]replica.Status, len(s.Groups)), reason: make(map[uint64]string),
		listed: make(map[string]struct{}, len(s.Pool.VMs)),
	}
	for _, vm := range s.Pool.VMs {
		v.listed[vm] = struct{}{}
	}
	for _, g := range s.Groups {
		status, reason := v.health(g)
		v.status[g.ID] = status
		if reason != "" {
			v.reason[g.ID] = reason
		}
	}
	v.slow = v.findSlow()
	return v
}

func (v *view) member(g state.Group, rank int) condition {
	m := g.Members[rank]
	o := v.Observations[m.VM]
	if o.lost(v.Now, v.policy) {
		return v.absent(m.VM, o)
	}
	if !o.fresh(v.Now, v.policy) {
		return v.unheard(m.VM, o)
	}
	if o.Report.BootID != m.BootID {
		return rebooted
	}
	return reported(g, rank, o.Report)
}

func reported(g state.Group, rank int, r Report) condition {
	if r.Group != g.ID || r.Fence != g.ID || r.Rank != rank || r.Model != g.Model || r.Version != g.Version {
		return strayed
	}
	switch r.State {
	case Ready:
		return ready
	case Loading:
		return loading
	default:
		return strayed
	}
}

// absent tells a VM that may come back from one that the platform took away. A
// daemon that has just begun to watch gives each VM the observation window.
func (v *view) absent(vm string, o Observation) condition {
	if o.ReportedAt.IsZero() && v.Now.Before(o.WatchedSince.Add(v.policy.ObserveWindow)) {
		return unseen
	}
	if v.offList(vm, o) {
		return gone
	}
	return lost
}

func (v *view) unheard(vm string, o Observation) condition {
	if o.ReportedAt.IsZero() && v.offList(vm, o) {
		return gone
	}
	return unseen
}

// offList reports whether the VM has been off the list for long enough; the
// list lags, so a short absence says nothing.
func (v *view) offList(vm string, o Observation) bool {
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

// pooled reports whether the VM is in the pool's row.
func (v *view) pooled(vm string) bool {
	_, ok := v.listed[vm]
	return ok
}

func (v *view) leaving(vm string) bool {
	return v.VMs[vm].Leaving || v.Observations[vm].Report.Draining
}

// usable reports whether the VM may join a new group now, and if only its
// backoff stands against that, from when on.
func (v *view) usable(vm string) (bool, time.Time) {
	entry, known := v.VMs[vm]
	o := v.Observations[vm]
	up := o.fresh(v.Now, v.policy) && !o.lost(v.Now, v.policy)
	if !known || !up || v.leaving(vm) || !v.pooled(vm) || v.Pool.IsWithdrawn(entry.FailureDomain) {
		return false, time.Time{}
	}
	if from := o.usableFrom(v.Now, v.policy); v.Now.Before(from) {
		return false, from
	}
	return true, time.Time{}
}
