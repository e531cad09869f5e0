package group

import (
	"maps"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

// release frees VMs of ended groups on evidence that they no longer serve
// them, and only once no order of the ended group can still be under way.
func (pl *planner) release() {
	for _, vm := range sortedKeys(pl.Reservations) {
		r := pl.Reservations[vm]
		if !r.Ended {
			continue
		}
		o := pl.Observations[vm]
		if o.EndedSince.IsZero() {
			continue
		}
		settled := o.EndedSince.Add(MaxOrderAge)
		if pl.Now.Before(settled) {
			pl.wait("VM "+vm, "an order may still be under way", settled)
			continue
		}
		if evidence := pl.evidence(vm, r, settled); evidence != "" {
			pl.taken[vm] = true
			pl.do(ProposeRelease{Release: state.Release{VM: vm, Fence: r.Group, Evidence: evidence}})
		}
	}
}

// evidence says how it is known that the VM left its ended group; empty if it
// is not known. Reports count only if they arrived after settled.
func (pl *planner) evidence(vm string, r state.Reservation, settled time.Time) string {
	o := pl.Observations[vm]
	up := o.ReportedAt.After(settled) && !o.lost(pl.Now, pl.policy) && o.fresh(pl.Now, pl.policy)
	switch {
	case up && o.Report.State == Free && o.EndedBootID != "" && o.Report.BootID != o.EndedBootID:
		return "new boot id " + o.Report.BootID + ", free"
	case up && pl.unloaded(vm, r):
		return "reports itself free"
	case pl.offList(vm, o) && !o.fresh(pl.Now, pl.policy):
		return "gone from the VM list"
	default:
		return ""
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
