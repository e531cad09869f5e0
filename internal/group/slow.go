package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// stragglers returns since when each member has been slower than its peers, by
// their latest reports; zero if it is not. An idle member says nothing about
// its speed and keeps what is known of it.
func stragglers(groups []state.Group, obs map[string]Observation, now time.Time, p Policy) map[string]time.Time {
	out := make(map[string]time.Time)
	for _, g := range groups {
		for rank, m := range g.Members {
			o := obs[m.VM]
			out[m.VM] = o.SlowSince
			median := peerStep(groups, g, rank, obs)
			if o.Report.Step == 0 || median == 0 {
				continue
			}
			if float64(o.Report.Step) < p.SlowFactor*float64(median) {
				out[m.VM] = time.Time{}
			} else if o.SlowSince.IsZero() {
				out[m.VM] = now
			}
		}
	}
	return out
}

// peerStep is the median step time of the other members of the group. Where
// only leaders report one, it is that of the same rank in the other groups.
func peerStep(groups []state.Group, g state.Group, rank int, obs map[string]Observation) time.Duration {
	var own, others []time.Duration
	for _, o := range groups {
		for i, m := range o.Members {
			step := obs[m.VM].Report.Step
			switch {
			case step == 0 || o.ID == g.ID && i == rank:
			case o.ID == g.ID:
				own = append(own, step)
			case i == rank:
				others = append(others, step)
			}
		}
	}
	if len(own) == 0 {
		return median(others)
	}
	return median(own)
}

func median(steps []time.Duration) time.Duration {
	if len(steps) == 0 {
		return 0
	}
	slices.Sort(steps)
	return steps[(len(steps)-1)/2]
}

// straggler returns the group's slow member if it is to be replaced now: a
// spare stands by, and no other group of the pool is worse off or before it.
func (v *view) straggler(g state.Group) (string, bool) {
	if v.policy.Repair == OwnMember {
		return "", false
	}
	for _, o := range v.Groups {
		if status, _ := v.health(o); status != replica.Serving {
			return "", false
		}
	}
	first := slices.MinFunc(v.slowGroups(g), func(a, b state.Group) int { return cmp.Compare(a.ID, b.ID) })
	vm := v.slowMember(first)
	if first.ID != g.ID || vm == "" || !v.spareFor(g) {
		return "", false
	}
	return vm, true
}

// slowGroups are the groups with a slow member, and g.
func (v *view) slowGroups(g state.Group) []state.Group {
	out := []state.Group{g}
	for _, o := range v.Groups {
		if v.slowMember(o) != "" {
			out = append(out, o)
		}
	}
	return out
}

func (v *view) slowMember(g state.Group) string {
	for _, m := range g.Members {
		if v.Observations[m.VM].slow(v.Now, v.policy) {
			return m.VM
		}
	}
	return ""
}

func (v *view) spareFor(g state.Group) bool {
	for _, vm := range v.Pool.VMs {
		if _, held := v.Reservations[vm]; held || v.VMs[vm].FabricDomain != g.Members[0].FabricDomain {
			continue
		}
		o := v.Observations[vm]
		if ok, _ := v.usable(vm); ok && o.Report.State == Free && o.SlowSince.IsZero() {
			return true
		}
	}
	return false
}
