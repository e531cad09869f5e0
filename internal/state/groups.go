package state

import (
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/table"
)

// applyForm accepts a group only if each member is free at this position or
// belongs to a group that the record replaces. Since all daemons make this check
// at the same position of the totally ordered stream, no VM is in two groups.
func (s *State) applyForm(pos Position, rec *Record) Verdict {
	f := rec.Form
	if v := s.checkForm(f); !v.Accepted {
		return v
	}
	for _, id := range f.Replaces {
		s.endGroup(id)
	}
	id := pos.Fence()
	for _, m := range f.Members {
		s.VMs[m.VM] = Reservation{Group: id, Pool: f.Pool}
	}
	s.Groups[id] = Group{
		ID: id, Pool: f.Pool, Model: f.Model, Version: f.Version,
		Members: f.Members, Author: rec.Author, At: rec.At,
	}
	return accepted()
}

func (s *State) checkForm(f *Form) Verdict {
	row, ok := s.Pools[f.Pool]
	if !ok {
		return refused("pool %q does not exist", f.Pool)
	}
	p := row.Pool
	if p.Kind != table.KindEngine {
		return refused("pool %q is a service pool, which has no groups", f.Pool)
	}
	if p.Model != f.Model || p.Version != f.Version {
		return refused("pool %q serves %s %s, not %s %s", f.Pool, p.Model, p.Version, f.Model, f.Version)
	}
	if len(f.Members) != p.GroupSize {
		return refused("pool %q has groups of %d VMs, not %d", f.Pool, p.GroupSize, len(f.Members))
	}
	if v := s.checkReplaces(f); !v.Accepted {
		return v
	}
	return s.checkMembers(f, p)
}

func (s *State) checkReplaces(f *Form) Verdict {
	for _, id := range f.Replaces {
		if _, ok := s.Groups[id]; !ok {
			return refused("group %d to be replaced is not active", id)
		}
	}
	return accepted()
}

func (s *State) checkMembers(f *Form, p table.Pool) Verdict {
	seen := make(map[string]struct{}, len(f.Members))
	for _, m := range f.Members {
		if _, dup := seen[m.VM]; dup {
			return refused("VM %q is listed twice", m.VM)
		}
		seen[m.VM] = struct{}{}
		if v := s.checkMember(f, p, m); !v.Accepted {
			return v
		}
	}
	return accepted()
}

func (s *State) checkMember(f *Form, p table.Pool, m Member) Verdict {
	if !p.HasVM(m.VM) {
		return refused("VM %q is not in pool %q", m.VM, f.Pool)
	}
	if m.BootID == "" {
		return refused("VM %q has no boot id", m.VM)
	}
	if m.FabricDomain != f.Members[0].FabricDomain {
		return refused("VM %q is in fabric domain %q, but the group's first member is in %q", m.VM, m.FabricDomain, f.Members[0].FabricDomain)
	}
	if p.IsWithdrawn(m.FailureDomain) {
		return refused("VM %q is in the withdrawn failure domain %q", m.VM, m.FailureDomain)
	}
	r, reserved := s.VMs[m.VM]
	if reserved && (r.Ended || !slices.Contains(f.Replaces, r.Group)) {
		return refused("VM %q is reserved for group %d", m.VM, r.Group)
	}
	return accepted()
}

func (s *State) applyRetire(r *Retire) Verdict {
	if _, ok := s.Groups[r.Group]; !ok {
		return refused("group %d is not active", r.Group)
	}
	s.endGroup(r.Group)
	return accepted()
}

// endGroup removes the group and marks its VMs' reservations as ended.
func (s *State) endGroup(id uint64) {
	g := s.Groups[id]
	delete(s.Groups, id)
	for _, m := range g.Members {
		r := s.VMs[m.VM]
		if r.Group != id {
			continue
		}
		r.Ended = true
		s.VMs[m.VM] = r
	}
}

func (s *State) applyRelease(r *Release) Verdict {
	reservation, ok := s.VMs[r.VM]
	if !ok {
		return refused("VM %q is not reserved", r.VM)
	}
	if reservation.Group != r.Fence || !reservation.Ended {
		return refused("VM %q is reserved for group %d", r.VM, reservation.Group)
	}
	delete(s.VMs, r.VM)
	return accepted()
}
