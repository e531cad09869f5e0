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
	view
	actions []Action
	// taken are the VMs and ended the groups that an action of this plan uses.
	taken map[string]bool
	ended map[uint64]bool
}

// Plan returns what to do now about one pool of engines. The order of the
// actions is the order in which they are to be carried out.
func Plan(s Snapshot, p Policy) []Action {
	pl := &planner{
		view:  newView(s, p),
		taken: make(map[string]bool),
		ended: make(map[uint64]bool),
	}
	pl.release()
	pl.repair()
	pl.form()
	pl.orders()
	return pl.actions
}

func (pl *planner) do(a Action) { pl.actions = append(pl.actions, a) }

func (pl *planner) wait(subject, reason string, until time.Time) {
	pl.do(Wait{Subject: subject, Reason: reason, Until: until})
}

// serves reports whether the pool's row asks for groups of engines.
func (pl *planner) serves() bool { return pl.PoolExists && pl.Pool.Kind == table.KindEngine }

// free returns the unreserved VMs that may join a group now, best first, by
// fabric domain.
func (pl *planner) free() map[string][]string {
	out := make(map[string][]string)
	for _, vm := range pl.Pool.VMs {
		if _, held := pl.Reservations[vm]; held || pl.taken[vm] {
			continue
		}
		ok, from := pl.usable(vm)
		if !from.IsZero() {
			pl.wait("VM "+vm, "it went down repeatedly", from)
		}
		if !ok || !pl.idle(pl.Observations[vm]) {
			continue
		}
		domain := pl.VMs[vm].FabricDomain
		out[domain] = append(out[domain], vm)
	}
	for _, vms := range out {
		pl.rank(vms)
	}
	return out
}

// idle reports whether an unreserved VM does nothing, or nothing but warm up.
func (v *view) idle(o Observation) bool {
	if o.Report.State == Free {
		return true
	}
	return o.Report.Group <= v.AppliedFence && o.Report.Model == v.Pool.Model && o.Report.Version == v.Pool.Version
}

// rank sorts candidates: quick ones before stragglers, those that hold the
// weights before those that fetch them and those that have yet to begin, steady
// ones before flapping ones.
func (pl *planner) rank(vms []string) {
	weights := WeightsKey(pl.Pool.Model, pl.Pool.Version)
	cost := func(vm string) int {
		o := pl.Observations[vm]
		n := min(len(o.Flaps), 9)
		switch {
		case o.cached(weights):
		case pl.fetching(o, pl.Pool.Model, pl.Pool.Version):
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

// form makes new groups of free VMs.
func (pl *planner) form() {
	if !pl.serves() {
		return
	}
	free := pl.free()
	for _, domain := range sortedKeys(free) {
		vms := free[domain]
		for len(vms) >= pl.Pool.GroupSize {
			pl.propose(vms[:pl.Pool.GroupSize], nil, "free VMs make a group")
			vms = vms[pl.Pool.GroupSize:]
		}
	}
}

// propose asks for a group of vms in this rank order.
func (pl *planner) propose(vms []string, replaces []uint64, reason string) {
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
	pl.do(ProposeForm{Form: f})
}

func (pl *planner) retire(g state.Group, reason string) {
	pl.ended[g.ID] = true
	pl.do(ProposeRetire{Retire: state.Retire{Group: g.ID, Reason: reason}})
}

// drained reports whether the group's requests have ended or had their time; a
// group that cannot serve holds none. The time is when to look again.
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
	quiet := since.Add(pl.policy.MinDrainTime)
	r := pl.Observations[g.Members[0].VM].Report
	if r.Inflight+r.Queued > 0 {
		return false, since.Add(pl.policy.DrainTimeout)
	}
	return !pl.Now.Before(quiet), quiet
}
