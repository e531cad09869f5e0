package group

import (
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
	byRank := rankSteps(groups, obs)
	for _, g := range groups {
		for rank, m := range g.Members {
			o := obs[m.VM]
			out[m.VM] = o.SlowSince
			if o.Report.StepTime == 0 {
				continue
			}
			peers := peerSteps(g, rank, obs)
			if len(peers) == 0 && len(byRank[rank]) > 1 {
				// Only this member reports a step: compare it with those that
				// have its rank in the pool's other groups.
				peers = byRank[rank]
			}
			out[m.VM] = slowSince(o, median(peers), now, p)
		}
	}
	return out
}

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

// peerSteps are the step times of the other members of the group.
func peerSteps(g state.Group, rank int, obs map[string]Observation) []time.Duration {
	var out []time.Duration
	for i, m := range g.Members {
		if step := obs[m.VM].Report.StepTime; i != rank && step > 0 {
			out = append(out, step)
		}
	}
	return out
}

func rankSteps(groups []state.Group, obs map[string]Observation) map[int][]time.Duration {
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

// median returns the lower median; steps may be in any order and stay so.
func median(steps []time.Duration) time.Duration {
	if len(steps) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(steps))
	return sorted[(len(sorted)-1)/2]
}

// straggler returns the group's slow member if it is to be replaced now.
func (v *view) straggler(g state.Group) (string, bool) {
	return v.slow.vm, v.slow.vm != "" && v.slow.group == g.ID
}

// slowMember is a straggler that is to be replaced.
type slowMember struct {
	group uint64
	vm    string
}

// findSlow picks the straggler to be replaced: of the oldest group that has one
// and a spare beside it, provided that no group of the pool is worse off.
func (v *view) findSlow() slowMember {
	if v.policy.Repair == OwnMember {
		return slowMember{}
	}
	for _, g := range v.Groups {
		if v.status[g.ID] != replica.Serving {
			return slowMember{}
		}
	}
	for _, g := range v.Groups {
		if vm := v.slowIn(g); vm != "" && v.spareFor(g) {
			return slowMember{group: g.ID, vm: vm}
		}
	}
	return slowMember{}
}

func (v *view) slowIn(g state.Group) string {
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
		if ok, _ := v.usable(vm); ok && v.idle(o) && o.SlowSince.IsZero() {
			return true
		}
	}
	return false
}
