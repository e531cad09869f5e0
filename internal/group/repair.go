package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

// replacement is a group that must be replaced now, and the reason.
type replacement struct {
	group state.Group
	// reusable holds the members that a new group can reuse, in order of
	// preference.
	reusable []string
	reason   string
}

func (r replacement) domain() string { return r.group.Members[0].FabricDomain }

// replaceGroups replaces groups that are broken, outdated, or have a member that
// leaves or is a straggler.
func (pl *planner) replaceGroups() {
	rollout := pl.dueForRollout()
	byDomain := make(map[string][]replacement)
	for _, g := range pl.Groups {
		if p, ok := pl.needsReplacement(g, rollout[g.ID]); ok {
			byDomain[p.domain()] = append(byDomain[p.domain()], p)
		}
	}
	for _, domain := range sortedKeys(byDomain) {
		pl.replaceInDomain(domain, byDomain[domain])
	}
}

// needsReplacement reports whether the group must be replaced now. A group of a
// dropped pool is not replaced: it is retired here once it is drained.
func (pl *planner) needsReplacement(g state.Group, inRollout bool) (replacement, bool) {
	if pl.awaitsObservation(g) {
		return replacement{}, false
	}
	if !pl.wantsGroups() {
		if ok, until := pl.drained(g); !ok {
			pl.emitWait(groupSubject(g), "it is draining its requests", until)
			return replacement{}, false
		}
		pl.proposeRetire(g, "the pool was dropped")
		return replacement{}, false
	}
	p := replacement{group: g}
	if !pl.plannedReplacement(g, inRollout, &p) && !pl.memberFailure(g, &p) {
		return p, false
	}
	if ok, until := pl.drained(g); !ok {
		pl.emitWait(groupSubject(g), "it is draining its requests", until)
		return p, false
	}
	p.reusable = pl.reusableMembers(g)
	return p, true
}

// awaitsObservation reports whether a member has no recent report for a reason
// that lies with this daemon: it has just become the pool's home, or was paused.
func (pl *planner) awaitsObservation(g state.Group) bool {
	for i, m := range g.Members {
		if pl.memberCondition(g, i) != notObserved {
			continue
		}
		pl.emitWait("VM "+m.VM, "it has not been observed yet", pl.Observations[m.VM].WatchedSince.Add(pl.policy.ObserveWindow))
		return true
	}
	return false
}

// memberFailure reports whether a member is unresponsive, removed, rebooted or
// superseded, and sets the reason. It returns false while an unresponsive member is
// still waited for.
func (pl *planner) memberFailure(g state.Group, p *replacement) bool {
	for i, m := range g.Members {
		c := pl.memberCondition(g, i)
		switch c {
		case unresponsive, removed:
			if wait, until := pl.waitsForMember(m.VM, c); wait {
				pl.emitWait(groupSubject(g), "a member that does not answer may return", until)
				p.reason = ""
				return false
			}
		case rebooted:
		case misassigned:
			if !pl.superseded(g, m.VM) {
				continue
			}
		default:
			continue
		}
		p.reason = fmt.Sprintf("VM %s is %s", m.VM, c)
	}
	return p.reason != ""
}

// waitsForMember reports whether a member that does not answer is waited for, and
// until when; zero for no time limit.
func (pl *planner) waitsForMember(vm string, c condition) (bool, time.Time) {
	if pl.policy.Repair == OwnMember {
		return true, time.Time{}
	}
	o := pl.Observations[vm]
	if c == removed || o.ConnRefused {
		return false, time.Time{}
	}
	end := o.FailingSince.Add(pl.policy.UnresponsiveGrace)
	return pl.Now.Before(end), end
}

// superseded reports whether the VM's engine has seen a higher fencing token than
// the group's, and so permanently refuses the group's orders.
func (pl *planner) superseded(g state.Group, vm string) bool {
	o := pl.Observations[vm]
	refused := o.LastOrder.Fence == g.ID && !o.LastOrderAcked && !o.LastOrderAt.IsZero()
	return refused && o.Report.Fence > g.ID
}

// plannedReplacement reports whether the group must be replaced although no member
// has failed, and sets the reason.
func (pl *planner) plannedReplacement(g state.Group, inRollout bool, p *replacement) bool {
	if inRollout {
		p.reason = fmt.Sprintf("the pool has model %s version %s in groups of %d", pl.Pool.Model, pl.Pool.Version, pl.Pool.GroupSize)
		return true
	}
	for _, m := range g.Members {
		switch {
		case !pl.inPool(m.VM):
			p.reason = fmt.Sprintf("VM %s was taken out of the pool", m.VM)
			return true
		case pl.leaving(m.VM):
			p.reason = fmt.Sprintf("VM %s is leaving", m.VM)
			return true
		}
	}
	if vm, ok := pl.straggler(g); ok {
		p.reason = fmt.Sprintf("VM %s is a straggler", vm)
		return true
	}
	return false
}

// reusableMembers returns the members that a new group can reuse, in order of
// preference. A straggler that is to be replaced is not among them.
func (pl *planner) reusableMembers(g state.Group) []string {
	slow, _ := pl.straggler(g)
	var out []string
	for i, m := range g.Members {
		if !pl.memberCondition(g, i).answers() || m.VM == slow {
			continue
		}
		ok, from := pl.usable(m.VM)
		if !from.IsZero() {
			pl.emitWait("VM "+m.VM, "it is in backoff after repeated outages", from)
		}
		if ok {
			out = append(out, m.VM)
		}
	}
	pl.sortByPreference(out)
	return out
}

// replaceInDomain replaces groups of one fabric domain, those with the most
// reusable members first.
func (pl *planner) replaceInDomain(domain string, replacements []replacement) {
	slices.SortFunc(replacements, func(a, b replacement) int {
		return cmp.Or(cmp.Compare(len(b.reusable), len(a.reusable)), cmp.Compare(a.group.ID, b.group.ID))
	})
	for _, p := range replacements {
		if pl.ended[p.group.ID] {
			continue
		}
		pl.replace(p, domain, replacements)
	}
}

// replace proposes a new group in place of p, of p's reusable members, spares of
// the domain and, if these are too few, members of other groups in all.
func (pl *planner) replace(p replacement, domain string, all []replacement) {
	size := pl.Pool.GroupSize
	if pl.inWithdrawnDomain(p.group) {
		pl.emitWait(groupSubject(p.group), "its failure domain is withdrawn", time.Time{})
		return
	}
	vms := slices.Clone(p.reusable)
	replaces := []uint64{p.group.ID}
	if len(vms) < size && pl.policy.Repair != OwnMember {
		vms = append(vms, pl.spares()[domain]...)
	}
	if len(vms) < size {
		vms, replaces = pl.merge(p, vms, all)
	}
	if len(vms) >= size {
		pl.proposeForm(vms[:size], replaces, p.reason)
		return
	}
	if pl.hasMemberOutsidePool(p.group) {
		pl.proposeRetire(p.group, p.reason+", and nothing replaces it")
		return
	}
	pl.emitWait(groupSubject(p.group), p.reason+", and no spare is available", time.Time{})
}

// merge adds reusable members of other groups that must be replaced, those with
// the fewest first, and returns the VMs and the ids of all groups replaced.
func (pl *planner) merge(p replacement, vms []string, all []replacement) ([]string, []uint64) {
	replaces := []uint64{p.group.ID}
	if pl.policy.Repair != SpareOrMerge {
		return vms, replaces
	}
	for _, donor := range slices.Backward(all) {
		if len(vms) >= pl.Pool.GroupSize {
			break
		}
		if donor.group.ID == p.group.ID || pl.ended[donor.group.ID] || len(donor.reusable) == 0 {
			continue
		}
		vms = append(vms, donor.reusable...)
		replaces = append(replaces, donor.group.ID)
	}
	return vms, replaces
}

// hasMemberOutsidePool reports whether operators have taken a member of the group
// out of the pool. Such a group must end even if no replacement can be formed.
func (pl *planner) hasMemberOutsidePool(g state.Group) bool {
	return slices.ContainsFunc(g.Members, func(m state.Member) bool { return !pl.inPool(m.VM) })
}
