package group

import (
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// stragglers returns since when each member has been slower than its peers
// according to the latest reports; zero if it is not. A member that is idle, and
// reports no step time, keeps its earlier value.
func stragglers(groups []state.Group, obs map[string]Observation, now time.Time, p Policy) map[string]time.Time {
	out := make(map[string]time.Time)
	byRank := stepsByRank(groups, obs)
	for _, g := range groups {
		for rank, m := range g.Members {
			o := obs[m.VM]
			out[m.VM] = o.SlowSince
			if o.Report.StepTime == 0 {
				continue
			}
			peers := peerSteps(g, rank, obs)
			if len(peers) == 0 && len(byRank[rank]) > 1 {
				// No other member of the group reports a step time, so compare
				// with the members of the same rank in the pool's groups.
				peers = byRank[rank]
			}
			out[m.VM] = slowSince(o, median(peers), now, p)
		}
	}
	return out
}

// slowSince returns the member's new SlowSince, given the median step time of its
// peers, which is zero if unknown.
func slowSince(o Observation, peers time.Duration, now time.Time, p Policy) time.Time {
	switch {
	case peers == 0:
		return o.SlowSince
	case float64(o.Report.StepTime) < p.SlowFactor*float64(peers):
		return time.Time{}
	case o.SlowSince.IsZero():
		return now
	default:
		return o.SlowSince
	}
}

// peerSteps returns the step times of the group's other members.
func peerSteps(g state.Group, rank int, obs map[string]Observation) []time.Duration {
	var out []time.Duration
	for i, m := range g.Members {
		if step := obs[m.VM].Report.StepTime; i != rank && step > 0 {
			out = append(out, step)
		}
	}
	return out
}

// stepsByRank returns the step times of all groups' members by rank.
func stepsByRank(groups []state.Group, obs map[string]Observation) map[int][]time.Duration {
	out := make(map[int][]time.Duration)
	for _, g := range groups {
		for rank, m := range g.Members {
			if step := obs[m.VM].Report.StepTime; step > 0 {
				out[rank] = append(out[rank], step)
			}
		}
	}
	return out
}

// median returns the lower median of steps, without sorting them in place; zero
// if there are none.
func median(steps []time.Duration) time.Duration {
	if len(steps) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(steps))
	return sorted[(len(sorted)-1)/2]
}

// straggler returns the group's straggler if it is to be replaced now.
func (v *evaluation) straggler(g state.Group) (string, bool) {
	return v.toReplace.vm, v.toReplace.vm != "" && v.toReplace.group == g.ID
}

// slowMember is a straggler and its group; zero if there is none.
type slowMember struct {
	group uint64
	vm    string
}

// pickStraggler returns the straggler to replace now: that of the oldest group with
// a straggler and a spare in its fabric domain. It returns none unless all groups
// of the pool serve, because groups that do not serve are repaired first.
func (v *evaluation) pickStraggler() slowMember {
	if v.policy.Repair == OwnMember {
		return slowMember{}
	}
	for _, g := range v.Groups {
		if v.status[g.ID] != replica.Serving {
			return slowMember{}
		}
	}
	for _, g := range v.Groups {
		if vm := v.slowMemberOf(g); vm != "" && v.hasSpareFor(g) {
			return slowMember{group: g.ID, vm: vm}
		}
	}
	return slowMember{}
}

// slowMemberOf returns the first slow member of the group, or "".
func (v *evaluation) slowMemberOf(g state.Group) string {
	for _, m := range g.Members {
		if v.Observations[m.VM].slow(v.Now, v.policy) {
			return m.VM
		}
	}
	return ""
}

// hasSpareFor reports whether the group's fabric domain has a spare that is not
// slow.
func (v *evaluation) hasSpareFor(g state.Group) bool {
	for _, vm := range v.Pool.VMs {
		if _, held := v.Reservations[vm]; held || v.VMs[vm].FabricDomain != g.Members[0].FabricDomain {
			continue
		}
		o := v.Observations[vm]
		if ok, _ := v.usable(vm); ok && v.idle(o) && o.SlowSince.IsZero() {
			return true
		}
	}
	return false
}
