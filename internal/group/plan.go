package group

import (
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

// planner collects the actions of one plan.
type planner struct {
	evaluation
	actions []Action
	// taken holds the VMs that this plan assigns to a group or releases, and ended
	// the groups that it ends.
	taken map[string]bool
	ended map[uint64]bool
}

// Plan returns the actions to take now for one pool of engines, in the order in
// which they must be carried out.
func Plan(s Snapshot, p Policy) []Action {
	pl := &planner{
		evaluation: newEvaluation(s, p),
		taken:      make(map[string]bool),
		ended:      make(map[uint64]bool),
	}
	pl.releaseVMs()
	pl.replaceGroups()
	pl.formGroups()
	pl.sendOrders()
	return pl.actions
}

func (pl *planner) emit(a Action) { pl.actions = append(pl.actions, a) }

func (pl *planner) emitWait(subject, reason string, until time.Time) {
	pl.emit(Wait{Subject: subject, Reason: reason, Until: until})
}

// wantsGroups reports whether the pool exists and has engines, which form groups.
func (pl *planner) wantsGroups() bool { return pl.PoolExists && pl.Pool.Kind == table.KindEngine }

// spares returns, by fabric domain, the unreserved VMs that may join a group now,
// in order of preference.
func (pl *planner) spares() map[string][]string {
	out := make(map[string][]string)
	for _, vm := range pl.Pool.VMs {
		if _, held := pl.Reservations[vm]; held || pl.taken[vm] {
			continue
		}
		ok, from := pl.usable(vm)
		if !from.IsZero() {
			pl.emitWait("VM "+vm, "it is in backoff after repeated outages", from)
		}
		if !ok || !pl.idle(pl.Observations[vm]) {
			continue
		}
		domain := pl.VMs[vm].FabricDomain
		out[domain] = append(out[domain], vm)
	}
	for _, vms := range out {
		pl.sortByPreference(vms)
	}
	return out
}

// idle reports whether an unreserved VM runs nothing, or only loads or holds the
// pool's current model.
func (v *evaluation) idle(o Observation) bool {
	if o.Report.State == Free {
		return true
	}
	return o.Report.Group <= v.AppliedFence && o.Report.Model == v.Pool.Model && o.Report.Version == v.Pool.Version
}

// sortByPreference sorts VMs for use in a new group. Stragglers come last; among
// the others, VMs that have the weights come first, then those that are fetching
// them, then those without; among equals, VMs with fewer outages come first.
func (pl *planner) sortByPreference(vms []string) {
	weights := WeightsKey(pl.Pool.Model, pl.Pool.Version)
	cost := func(vm string) int {
		o := pl.Observations[vm]
		n := min(len(o.Flaps), 9)
		switch {
		case o.cached(weights):
		case pl.isFetching(o, pl.Pool.Model, pl.Pool.Version):
			n += 10
		default:
			n += 20
		}
		if !o.SlowSince.IsZero() {
			n += 100
		}
		return n
	}
	slices.SortFunc(vms, func(a, b string) int {
		if d := cost(a) - cost(b); d != 0 {
			return d
		}
		if a < b {
			return -1
		}
		return 1
	})
}

// formGroups forms new groups of spares.
func (pl *planner) formGroups() {
	if !pl.wantsGroups() {
		return
	}
	spares := pl.spares()
	for _, domain := range sortedKeys(spares) {
		vms := spares[domain]
		for len(vms) >= pl.Pool.GroupSize {
			pl.proposeForm(vms[:pl.Pool.GroupSize], nil, "free VMs make a group")
			vms = vms[pl.Pool.GroupSize:]
		}
	}
}

// proposeForm proposes a group of the VMs, in rank order.
func (pl *planner) proposeForm(vms []string, replaces []uint64, reason string) {
	f := state.Form{
		Pool: pl.Pool.Name, Model: pl.Pool.Model, Version: pl.Pool.Version,
		Replaces: replaces, Reason: reason,
	}
	for _, vm := range vms {
		entry := pl.VMs[vm]
		f.Members = append(f.Members, state.Member{
			VM: vm, BootID: pl.Observations[vm].Report.BootID,
			FailureDomain: entry.FailureDomain, FabricDomain: entry.FabricDomain,
		})
		pl.taken[vm] = true
	}
	for _, id := range replaces {
		pl.ended[id] = true
	}
	pl.emit(ProposeForm{Form: f})
}

func (pl *planner) proposeRetire(g state.Group, reason string) {
	pl.ended[g.ID] = true
	pl.emit(ProposeRetire{Retire: state.Retire{Group: g.ID, Reason: reason}})
}

// drained reports whether the group's requests have ended or the drain has timed
// out. A group that does not serve has no requests. If the group is not drained,
// the returned time is when to check again; it is zero if draining has not begun.
func (pl *planner) drained(g state.Group) (bool, time.Time) {
	if pl.status[g.ID] != replica.Serving {
		return true, time.Time{}
	}
	since, draining := pl.DrainingSince[g.ID]
	if !draining {
		return false, time.Time{}
	}
	if end := since.Add(pl.policy.DrainTimeout); !pl.Now.Before(end) {
		return true, time.Time{}
	}
	minEnd := since.Add(pl.policy.MinDrainTime)
	r := pl.Observations[g.Members[0].VM].Report
	if r.Inflight+r.Queued > 0 {
		return false, since.Add(pl.policy.DrainTimeout)
	}
	return !pl.Now.Before(minEnd), minEnd
}
