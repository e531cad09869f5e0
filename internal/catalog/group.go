package catalog

import (
	"slices"
	"strings"
)

// Group is a formation as its members announce it.
type Group struct {
	ID      GroupID
	Service string
	Model   string
	// Members are the engines by rank; the head is first. A missing rank is nil.
	Members []*Engine
}

// Head returns the engine that takes the group's requests, or nil.
func (g *Group) Head() *Engine { return g.Members[0] }

// Complete reports whether all members are present, joined and not draining.
func (g *Group) Complete() bool {
	return !slices.ContainsFunc(g.Members, func(e *Engine) bool {
		return e == nil || e.Draining || e.Member.State == Joining || e.Member.State == NoGroup
	})
}

// Serving reports whether the group may be sent requests.
func (g *Group) Serving() bool {
	return g.Complete() && g.Head().Member.State == Open
}

// Present returns the members that announce themselves.
func (g *Group) Present() []*Engine {
	return slices.DeleteFunc(slices.Clone(g.Members), func(e *Engine) bool { return e == nil })
}

// InZone reports whether a member that announces itself is in a zone for which in
// returns true.
func (g *Group) InZone(in func(zone string) bool) bool {
	return slices.ContainsFunc(g.Members, func(e *Engine) bool { return e != nil && in(e.Zone) })
}

// Groups gathers the formations of a service from its engines' announcements,
// ordered by id. The size of a group is its model's; a formation whose model is
// unknown is as large as its highest rank tells.
func Groups(service *Service, engines []*Engine) []Group {
	if service.Engine == nil {
		return nil
	}
	found := map[GroupID]*Group{}
	for _, e := range engines {
		if e.Member.State == NoGroup {
			continue
		}
		g := found[e.Member.Group]
		if g == nil {
			g = &Group{ID: e.Member.Group, Service: service.Name}
			found[e.Member.Group] = g
		}
		g.add(service.Engine, e)
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

func (g *Group) add(spec *EngineModel, e *Engine) {
	if g.Model == "" && e.Model != "" {
		g.Model = e.Model
	}
	size := e.Member.Rank + 1
	if m, ok := spec.Model(g.Model); ok {
		size = max(size, m.Size)
	}
	for len(g.Members) < size {
		g.Members = append(g.Members, nil)
	}
	g.Members[e.Member.Rank] = e
}
