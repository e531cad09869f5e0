package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

// replacement is a group that must be replaced now.
type replacement struct {
	group state.Group
	// keep are the members that may go on into a new group.
	keep   []string
	reason string
}

func (p replacement) domain() string { return p.group.Members[0].FabricDomain }

// replaceGroups replaces groups that are broken, outdated or losing a member.
func (pl *planner) replaceGroups() {
	rolling := pl.dueForRollout()
	byDomain := make(map[string][]replacement)
	for _, g := range pl.Groups {
		if p, ok := pl.needsReplacement(g, rolling[g.ID]); ok {
			byDomain[p.domain()] = append(byDomain[p.domain()], p)
		}
	}
	for _, domain := range sortedKeys(byDomain) {
		pl.replaceInDomain(domain, byDomain[domain])
	}
}

// needsReplacement says whether the group must be replaced now.
func (pl *planner) needsReplacement(g state.Group, rolling bool) (replacement, bool) {
	if pl.awaitsObservation(g) {
		return replacement{}, false
	}
	if !pl.wantsGroups() {
		if ok, until := pl.drained(g); !ok {
			pl.emitWait(groupSubject(g), "its requests are ending", until)
			return replacement{}, false
		}
		pl.proposeRetire(g, "the pool was dropped")
		return replacement{}, false
	}
	p := replacement{group: g}
	if !pl.plannedReplacement(g, rolling, &p) && !pl.memberFailure(g, &p) {
		return p, false
	}
	if ok, until := pl.drained(g); !ok {
		pl.emitWait(groupSubject(g), "its requests are ending", until)
		return p, false
	}
	p.keep = pl.reusableMembers(g)
	return p, true
}

// awaitsObservation reports whether a member was not heard of lately for reasons of
// this daemon's own: it has just taken over, or was paused.
func (pl *planner) awaitsObservation(g state.Group) bool {
	for i, m := range g.Members {
		if pl.memberCondition(g, i) != notObserved {
			continue
		}
		pl.emitWait("VM "+m.VM, "it was not observed yet", pl.Observations[m.VM].WatchedSince.Add(pl.policy.ObserveWindow))
		return true
	}
	return false
}

// memberFailure looks for members that are lost or rebooted. A member counts as lost
// once its port refuses connections or its last report is stale.
func (pl *planner) memberFailure(g state.Group, p *replacement) bool {
	for i, m := range g.Members {
		c := pl.memberCondition(g, i)
		switch c {
		case lost, gone:
			if wait, until := pl.waitsForMember(m.VM, c); wait {
				pl.emitWait(groupSubject(g), "its member may come back", until)
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

// waitsForMember reports whether the absent member is waited for, and until when.
func (pl *planner) waitsForMember(vm string, c condition) (bool, time.Time) {
	if pl.policy.Repair == OwnMember {
		return true, time.Time{}
	}
	o := pl.Observations[vm]
	if c == gone || o.ConnRefused {
		return false, time.Time{}
	}
	end := o.FailingSince.Add(pl.policy.SilentGrace)
	return pl.Now.Before(end), end
}

// superseded reports whether the VM's engine has seen a later fencing number
// than the group's, so that it refuses the group's orders for ever.
func (pl *planner) superseded(g state.Group, vm string) bool {
	o := pl.Observations[vm]
	refused := o.LastOrder.Fence == g.ID && !o.LastOrderAcked && !o.LastOrderAt.IsZero()
	return refused && o.Report.Fence > g.ID
}

// plannedReplacement looks for reasons to replace a group that works.
func (pl *planner) plannedReplacement(g state.Group, rolling bool, p *replacement) bool {
	if rolling {
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

// reusableMembers are the members that may go on into a new group, the fittest first.
func (pl *planner) reusableMembers(g state.Group) []string {
	slow, _ := pl.straggler(g)
	var out []string
	for i, m := range g.Members {
		if !pl.memberCondition(g, i).present() || m.VM == slow {
			continue
		}
		ok, from := pl.usable(m.VM)
		if !from.IsZero() {
			pl.emitWait("VM "+m.VM, "it went down repeatedly", from)
		}
		if ok {
			out = append(out, m.VM)
		}
	}
	pl.sortByPreference(out)
	return out
}

// replaceInDomain replaces the patients of one fabric domain: from their own members, with
// spares, or by making one group of several. Those that miss least go first.
func (pl *planner) replaceInDomain(domain string, patients []replacement) {
	slices.SortFunc(patients, func(a, b replacement) int {
		return cmp.Or(cmp.Compare(len(b.keep), len(a.keep)), cmp.Compare(a.group.ID, b.group.ID))
	})
	for _, p := range patients {
		if pl.ended[p.group.ID] {
			continue
		}
		pl.replace(p, domain, patients)
	}
}

func (pl *planner) replace(p replacement, domain string, all []replacement) {
	size := pl.Pool.GroupSize
	if pl.inWithdrawnDomain(p.group) {
		pl.emitWait(groupSubject(p.group), "its failure domain is withdrawn", time.Time{})
		return
	}
	vms := slices.Clone(p.keep)
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
	if pl.hasRemovedMember(p.group) {
		pl.proposeRetire(p.group, p.reason+", and nothing replaces it")
		return
	}
	pl.emitWait(groupSubject(p.group), p.reason+", and no spare is at hand", time.Time{})
}

// merge adds members of other groups that are to be replaced, those with the
// fewest members left first.
func (pl *planner) merge(p replacement, vms []string, all []replacement) ([]string, []uint64) {
	replaces := []uint64{p.group.ID}
	if pl.policy.Repair != SpareOrMerge {
		return vms, replaces
	}
	for _, donor := range slices.Backward(all) {
		if len(vms) >= pl.Pool.GroupSize {
			break
		}
		if donor.group.ID == p.group.ID || pl.ended[donor.group.ID] || len(donor.keep) == 0 {
			continue
		}
		vms = append(vms, donor.keep...)
		replaces = append(replaces, donor.group.ID)
	}
	return vms, replaces
}

// hasRemovedMember reports whether operators took a member of the group out of the
// pool: it must be given up even if nothing replaces the group.
func (pl *planner) hasRemovedMember(g state.Group) bool {
	return slices.ContainsFunc(g.Members, func(m state.Member) bool { return !pl.inPool(m.VM) })
}
