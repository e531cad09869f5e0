package group

import (
	"maps"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

// releaseVMs proposes to release the VMs of ended groups that are known to have
// left their group, once no order of that group can still be in flight.
func (pl *planner) releaseVMs() {
	for _, vm := range sortedKeys(pl.Reservations) {
		r := pl.Reservations[vm]
		if !r.Ended {
			continue
		}
		o := pl.Observations[vm]
		if o.EndedSince.IsZero() {
			continue
		}
		ordersExpired := o.EndedSince.Add(MaxOrderAge)
		if pl.Now.Before(ordersExpired) {
			pl.emitWait("VM "+vm, "an order of its ended group may still be in flight", ordersExpired)
			continue
		}
		if evidence := pl.evidence(vm, r, ordersExpired); evidence != "" {
			pl.taken[vm] = true
			pl.emit(ProposeRelease{Release: state.Release{VM: vm, Fence: r.Group, Evidence: evidence}})
		}
	}
}

// evidence describes the proof that the VM has left its ended group; it is empty
// if there is none. A report proves it only if it arrived after ordersExpired.
func (pl *planner) evidence(vm string, r state.Reservation, ordersExpired time.Time) string {
	o := pl.Observations[vm]
	up := o.ReportedAt.After(ordersExpired) && !o.unresponsive(pl.Now, pl.policy) && o.fresh(pl.Now, pl.policy)
	switch {
	case up && o.Report.State == Free && o.EndedBootID != "" && o.Report.BootID != o.EndedBootID:
		return "new boot id " + o.Report.BootID + ", free"
	case up && pl.confirmedUnloaded(vm, r):
		return "reports itself free"
	case pl.unlisted(vm, o) && !o.fresh(pl.Now, pl.policy):
		return "gone from the VM list"
	default:
		return ""
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
