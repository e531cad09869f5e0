package catalog

import (
	"cmp"
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
// epoch and name.
func BuildGroups(service *Service, engines []*Engine) []Group {
	if service.Engine == nil {
		return nil
	}
	members := map[GroupID][]*Engine{}
	for _, e := range engines {
		if e.Membership.State != NoGroup {
			members[e.Membership.Group] = append(members[e.Membership.Group], e)
		}
	}
	out := make([]Group, 0, len(members))
	for id, list := range members {
		out = append(out, BuildGroup(service, id, list))
	}
	SortGroups(out)
	return out
}

// SortGroups sorts groups by epoch and name.
func SortGroups(groups []Group) {
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.ID.Epoch, b.ID.Epoch), strings.Compare(a.ID.Name, b.ID.Name))
	})
}

// BuildGroup returns the group that the engines announce. It has the GroupSize of
// its model; if the model is unknown, the highest announced rank determines the
// size. The service must have engines that form groups.
func BuildGroup(service *Service, id GroupID, members []*Engine) Group {
	g := Group{ID: id, Service: service.Name}
	for _, e := range members {
		g.addMember(service.Engine, e)
	}
	return g
}

func (g *Group) addMember(spec *EngineSpec, e *Engine) {
	if g.Model == "" && e.Model != "" {
		g.Model = e.Model
	}
	size := e.Membership.Rank + 1
	if m, ok := spec.Model(g.Model); ok {
		if m.GroupSize > 0 && e.Membership.Rank >= m.GroupSize && len(g.Members) > 0 {
			return // not a rank of the model's groups
		}
		size = max(size, m.GroupSize)
	}
	for len(g.Members) < size {
		g.Members = append(g.Members, nil)
	}
	g.Members[e.Membership.Rank] = e
}
