package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

// patient is a group that must be replaced now.
type patient struct {
	g state.Group
	// keep are the members that may go on into a new group.
	keep   []string
	reason string
}

func (p patient) domain() string { return p.g.Members[0].FabricDomain }

// repair replaces groups that are broken, outdated or losing a member.
func (pl *planner) repair() {
	rolling := pl.rolling()
	byDomain := make(map[string][]patient)
	for _, g := range pl.Groups {
		if p, ok := pl.diagnose(g, rolling[g.ID]); ok {
			byDomain[p.domain()] = append(byDomain[p.domain()], p)
		}
	}
	for _, domain := range sortedKeys(byDomain) {
		pl.mend(domain, byDomain[domain])
	}
}

// diagnose says whether the group must be replaced now.
func (pl *planner) diagnose(g state.Group, rolling bool) (patient, bool) {
	if pl.unobserved(g) {
		return patient{}, false
	}
	if !pl.serves() {
		if ok, until := pl.drained(g); !ok {
			pl.wait(groupName(g), "its requests are ending", until)
			return patient{}, false
		}
		pl.retire(g, "the pool was dropped")
		return patient{}, false
	}
	p := patient{g: g}
	if !pl.departure(g, rolling, &p) && !pl.failure(g, &p) {
		return p, false
	}
	if ok, until := pl.drained(g); !ok {
		pl.wait(groupName(g), "its requests are ending", until)
		return p, false
	}
	p.keep = pl.survivors(g)
	return p, true
}

// unobserved reports whether a member was not heard of lately for reasons of
// this daemon's own: it has just taken over, or was paused.
func (pl *planner) unobserved(g state.Group) bool {
	for i, m := range g.Members {
		if pl.member(g, i) != unseen {
			continue
		}
		pl.wait("VM "+m.VM, "it was not observed yet", pl.Observations[m.VM].WatchedSince.Add(pl.policy.ObserveWindow))
		return true
	}
	return false
}

// failure looks for members that are lost or rebooted. A member counts as lost
// once its port refuses connections or its last report is stale.
func (pl *planner) failure(g state.Group, p *patient) bool {
	for i, m := range g.Members {
		c := pl.member(g, i)
		switch c {
		case lost, gone:
			if wait, until := pl.awaited(m.VM, c); wait {
				pl.wait(groupName(g), "its member may come back", until)
				p.reason = ""
				return false
			}
		case rebooted:
		case strayed:
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

// awaited reports whether the absent member is waited for, and until when.
func (pl *planner) awaited(vm string, c condition) (bool, time.Time) {
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

// departure looks for reasons to replace a group that works.
func (pl *planner) departure(g state.Group, rolling bool, p *patient) bool {
	if rolling {
		p.reason = fmt.Sprintf("the pool has model %s version %s in groups of %d", pl.Pool.Model, pl.Pool.Version, pl.Pool.GroupSize)
		return true
	}
	for _, m := range g.Members {
		switch {
		case !pl.pooled(m.VM):
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

// survivors are the members that may go on into a new group, the fittest first.
func (pl *planner) survivors(g state.Group) []string {
	slow, _ := pl.straggler(g)
	var out []string
	for i, m := range g.Members {
		if !pl.member(g, i).present() || m.VM == slow {
			continue
		}
		ok, from := pl.usable(m.VM)
		if !from.IsZero() {
			pl.wait("VM "+m.VM, "it went down repeatedly", from)
		}
		if ok {
			out = append(out, m.VM)
		}
	}
	pl.rank(out)
	return out
}

// mend replaces the patients of one fabric domain: from their own members, with
// spares, or by making one group of several. Those that miss least go first.
func (pl *planner) mend(domain string, patients []patient) {
	slices.SortFunc(patients, func(a, b patient) int {
		return cmp.Or(cmp.Compare(len(b.keep), len(a.keep)), cmp.Compare(a.g.ID, b.g.ID))
	})
	for _, p := range patients {
		if pl.ended[p.g.ID] {
			continue
		}
		pl.replace(p, domain, patients)
	}
}

func (pl *planner) replace(p patient, domain string, all []patient) {
	size := pl.Pool.GroupSize
	if pl.withdrawnGroup(p.g) {
		pl.wait(groupName(p.g), "its failure domain is withdrawn", time.Time{})
		return
	}
	vms := slices.Clone(p.keep)
	replaces := []uint64{p.g.ID}
	if len(vms) < size && pl.policy.Repair != OwnMember {
		vms = append(vms, pl.free()[domain]...)
	}
	if len(vms) < size {
		vms, replaces = pl.merge(p, vms, all)
	}
	if len(vms) >= size {
		pl.propose(vms[:size], replaces, p.reason)
		return
	}
	if pl.dismissed(p.g) {
		pl.retire(p.g, p.reason+", and nothing replaces it")
		return
	}
	pl.wait(groupName(p.g), p.reason+", and no spare is at hand", time.Time{})
}

// merge adds members of other groups that are to be replaced, those with the
// fewest members left first.
func (pl *planner) merge(p patient, vms []string, all []patient) ([]string, []uint64) {
	replaces := []uint64{p.g.ID}
	if pl.policy.Repair != SpareOrMerge {
		return vms, replaces
	}
	for _, donor := range slices.Backward(all) {
		if len(vms) >= pl.Pool.GroupSize {
			break
		}
		if donor.g.ID == p.g.ID || pl.ended[donor.g.ID] || len(donor.keep) == 0 {
			continue
		}
		vms = append(vms, donor.keep...)
		replaces = append(replaces, donor.g.ID)
	}
	return vms, replaces
}

// dismissed reports whether operators took a member of the group out of the
// pool: it must be given up even if nothing replaces the group.
func (pl *planner) dismissed(g state.Group) bool {
	return slices.ContainsFunc(g.Members, func(m state.Member) bool { return !pl.pooled(m.VM) })
}
