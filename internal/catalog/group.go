package catalog

import (
	"slices"
	"strings"
)

// Group is one formation of a group, as announced by its members.
type Group struct {
	ID      GroupID
	Service string
	Model   string
	// Members holds the engines by rank, the head first. The entry of a rank that
	// no engine announces is nil.
	Members []*Engine
}

// Head returns the engine that receives the group's requests, or nil if none
// announces rank 0.
func (g *Group) Head() *Engine { return g.Members[0] }

// Complete reports whether all members announce themselves, have joined and are
// not draining.
func (g *Group) Complete() bool {
	return !slices.ContainsFunc(g.Members, func(e *Engine) bool {
		return e == nil || e.Draining || e.Membership.State == Joining || e.Membership.State == NoGroup
	})
}

// Serving reports whether the group accepts requests.
func (g *Group) Serving() bool {
	return g.Complete() && g.Head().Membership.State == Open
}

// PresentMembers returns the members that announce themselves.
func (g *Group) PresentMembers() []*Engine {
	return slices.DeleteFunc(slices.Clone(g.Members), func(e *Engine) bool { return e == nil })
}

// AnyMemberInZone reports whether in returns true for the zone of a member that
// announces itself.
func (g *Group) AnyMemberInZone(in func(zone string) bool) bool {
	return slices.ContainsFunc(g.Members, func(e *Engine) bool { return e != nil && in(e.Zone) })
}

// BuildGroups returns the groups that a service's engines announce, ordered by
// epoch and name. A group has the GroupSize of its model; if the model is
// unknown, the highest announced rank determines the size.
func BuildGroups(service *Service, engines []*Engine) []Group {
	if service.Engine == nil {
		return nil
	}
	found := map[GroupID]*Group{}
	for _, e := range engines {
		if e.Membership.State == NoGroup {
			continue
		}
		g := found[e.Membership.Group]
		if g == nil {
			g = &Group{ID: e.Membership.Group, Service: service.Name}
			found[e.Membership.Group] = g
		}
		g.addMember(service.Engine, e)
	}
	out := make([]Group, 0, len(found))
	for _, g := range found {
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b Group) int {
		if a.ID.Epoch != b.ID.Epoch {
			return int(min(max(a.ID.Epoch-b.ID.Epoch, -1), 1))
		}
		return strings.Compare(a.ID.Name, b.ID.Name)
	})
	return out
}

func (g *Group) addMember(spec *EngineSpec, e *Engine) {
	if g.Model == "" && e.Model != "" {
		g.Model = e.Model
	}
	size := e.Membership.Rank + 1
	if m, ok := spec.Model(g.Model); ok {
		size = max(size, m.GroupSize)
	}
	for len(g.Members) < size {
		g.Members = append(g.Members, nil)
	}
	g.Members[e.Membership.Rank] = e
}
