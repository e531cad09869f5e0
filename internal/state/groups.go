package state

import (
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/table"
)

// form accepts a group only if each member is free at this position or belongs
// to a group that the record replaces. This check, made at the record's place
// in the one total order, is what keeps a VM out of two groups.
func (s *State) form(pos Position, rec *Record) Verdict {
	f := rec.Form
	if v := s.checkForm(f); !v.Accepted {
		return v
	}
	for _, id := range f.Replaces {
		s.end(id)
	}
	id := pos.Fence()
	for _, m := range f.Members {
		s.VMs[m.VM] = Reservation{Group: id, Pool: f.Pool}
	}
	s.Groups[id] = Group{
		ID: id, Pool: f.Pool, Model: f.Model, Version: f.Version,
		Members: f.Members, Author: rec.Author, At: rec.At,
	}
	return accept()
}

func (s *State) checkForm(f *Form) Verdict {
	row, ok := s.Pools[f.Pool]
	if !ok {
		return refuse("pool %q does not exist", f.Pool)
	}
	p := row.Pool
	if p.Kind != table.KindEngine {
		return refuse("pool %q holds services, which form no groups", f.Pool)
	}
	if p.Model != f.Model || p.Version != f.Version {
		return refuse("pool %q serves %s %s, not %s %s", f.Pool, p.Model, p.Version, f.Model, f.Version)
	}
	if len(f.Members) != p.GroupSize {
		return refuse("pool %q has groups of %d VMs, not %d", f.Pool, p.GroupSize, len(f.Members))
	}
	if v := s.checkReplaces(f); !v.Accepted {
		return v
	}
	return s.checkMembers(f, p)
}

func (s *State) checkReplaces(f *Form) Verdict {
	for _, id := range f.Replaces {
		if _, ok := s.Groups[id]; !ok {
			return refuse("group %d, which would be replaced, is not in force", id)
		}
	}
	return accept()
}

func (s *State) checkMembers(f *Form, p table.Pool) Verdict {
	seen := make(map[string]struct{}, len(f.Members))
	for _, m := range f.Members {
		if _, dup := seen[m.VM]; dup {
			return refuse("VM %q is listed twice", m.VM)
		}
		seen[m.VM] = struct{}{}
		if v := s.checkMember(f, p, m); !v.Accepted {
			return v
		}
	}
	return accept()
}

func (s *State) checkMember(f *Form, p table.Pool, m Member) Verdict {
	if !p.HasVM(m.VM) {
		return refuse("VM %q is not in pool %q", m.VM, f.Pool)
	}
	if m.BootID == "" {
		return refuse("VM %q has no boot id", m.VM)
	}
	if m.FabricDomain != f.Members[0].FabricDomain {
		return refuse("VM %q is in fabric domain %q, the group in %q", m.VM, m.FabricDomain, f.Members[0].FabricDomain)
	}
	if p.IsWithdrawn(m.FailureDomain) {
		return refuse("VM %q is in the withdrawn failure domain %q", m.VM, m.FailureDomain)
	}
	r, held := s.VMs[m.VM]
	if held && (r.Ended || !slices.Contains(f.Replaces, r.Group)) {
		return refuse("VM %q is held by group %d", m.VM, r.Group)
	}
	return accept()
}

func (s *State) retire(r *Retire) Verdict {
	if _, ok := s.Groups[r.Group]; !ok {
		return refuse("group %d is not in force", r.Group)
	}
	s.end(r.Group)
	return accept()
}

// end removes a group and marks the reservations of its VMs as ended.
func (s *State) end(id uint64) {
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

func (s *State) release(r *Release) Verdict {
	held, ok := s.VMs[r.VM]
	if !ok {
		return refuse("VM %q is free already", r.VM)
	}
	if held.Group != r.Fence || !held.Ended {
		return refuse("VM %q is held by group %d", r.VM, held.Group)
	}
	delete(s.VMs, r.VM)
	return accept()
}
