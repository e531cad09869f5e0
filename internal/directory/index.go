package directory

import (
	"slices"
	"strings"
	"sync"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// ServiceView is an immutable snapshot of a service, its engines and groups.
// Engines are sorted by id, groups by epoch and name.
type ServiceView struct {
	Service *catalog.Service
	Engines []*catalog.Engine
	Groups  []catalog.Group
}

// serviceIndex holds the engines and groups of one service. An announcement
// changes only its engine's entry and group, so its cost does not grow with the
// number of engines. The snapshot for readers is built when one is needed.
type serviceIndex struct {
	mu sync.Mutex
	// service is nil while the configuration does not have the service.
	service *catalog.Service
	// engines is sorted by id.
	engines []*catalog.Engine
	groups  map[catalog.GroupID]*indexedGroup
	// view is the current snapshot, or nil if there were changes since.
	view *ServiceView
}

// indexedGroup is a group with the engines that announce it, sorted by id.
type indexedGroup struct {
	members []*catalog.Engine
	group   catalog.Group
}

func newServiceIndex() *serviceIndex {
	return &serviceIndex{groups: map[catalog.GroupID]*indexedGroup{}}
}

// setService sets the service's configuration, or removes it if service is nil.
func (x *serviceIndex) setService(service *catalog.Service) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.service, x.view = service, nil
	clear(x.groups)
	for _, e := range x.engines {
		x.addMember(e)
	}
	for id, g := range x.groups {
		g.group = catalog.BuildGroup(x.service, id, g.members)
	}
}

// snapshot returns the current view, or nil if the configuration does not have the
// service.
func (x *serviceIndex) snapshot() *ServiceView {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.service == nil || x.view != nil {
		return x.view
	}
	v := &ServiceView{Service: x.service, Engines: slices.Clone(x.engines), Groups: make([]catalog.Group, 0, len(x.groups))}
	for _, g := range x.groups {
		v.Groups = append(v.Groups, g.group)
	}
	catalog.SortGroups(v.Groups)
	x.view = v
	return v
}

// servingChange is a group that has begun or stopped serving.
type servingChange struct {
	group   catalog.Group
	serving bool
}

// replace replaces the entry of an engine; was or e is nil if the engine was added
// or removed. It returns the groups that have begun or stopped serving.
func (x *serviceIndex) replace(was, e *catalog.Engine) []servingChange {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.view = nil
	var changed []catalog.GroupID
	if was != nil {
		x.engines = removeEngine(x.engines, was.ID)
		if g := x.groups[was.Membership.Group]; g != nil {
			g.members = removeEngine(g.members, was.ID)
			changed = append(changed, was.Membership.Group)
		}
	}
	if e != nil {
		x.engines = insertEngine(x.engines, e)
		if x.addMember(e) && !slices.Contains(changed, e.Membership.Group) {
			changed = append(changed, e.Membership.Group)
		}
	}
	var out []servingChange
	for _, id := range changed {
		if c, ok := x.rebuildGroup(id); ok {
			out = append(out, c)
		}
	}
	return out
}

// addMember adds an engine to the members of its group, without building the group,
// and reports whether it has one.
func (x *serviceIndex) addMember(e *catalog.Engine) bool {
	if x.service == nil || x.service.Engine == nil || e.Membership.State == catalog.NoGroup {
		return false
	}
	g := x.groups[e.Membership.Group]
	if g == nil {
		g = &indexedGroup{}
		x.groups[e.Membership.Group] = g
	}
	g.members = insertEngine(g.members, e)
	return true
}

// rebuildGroup builds a group from its members, or removes it if it has none. It
// reports whether the group has begun or stopped serving.
func (x *serviceIndex) rebuildGroup(id catalog.GroupID) (servingChange, bool) {
	g := x.groups[id]
	was := g.group
	wasServing := len(was.Members) > 0 && was.Serving()
	if len(g.members) == 0 {
		delete(x.groups, id)
		return servingChange{was, false}, wasServing
	}
	g.group = catalog.BuildGroup(x.service, id, g.members)
	serving := g.group.Serving()
	return servingChange{g.group, serving}, serving != wasServing
}

// findEngine returns the position of an id in a list sorted by id.
func findEngine(list []*catalog.Engine, id string) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(e *catalog.Engine, id string) int { return strings.Compare(e.ID, id) })
}

// insertEngine adds an engine to a sorted list, in place of one with the same id.
func insertEngine(list []*catalog.Engine, e *catalog.Engine) []*catalog.Engine {
	i, found := findEngine(list, e.ID)
	if found {
		list[i] = e
		return list
	}
	return slices.Insert(list, i, e)
}

// removeEngine removes the engine with an id from a sorted list.
func removeEngine(list []*catalog.Engine, id string) []*catalog.Engine {
	i, found := findEngine(list, id)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}

// maxLoggedEach is the number of changes of one kind in a batch of records up to
// which each gets a log line. More of them are logged in one line, since the
// engines of a large fleet start and change together.
const maxLoggedEach = 4

// changeLog collects the changes of a batch of records for the log.
type changeLog struct {
	announced, gone, draining []*catalog.Engine
	// missing are the engines whose removal is deferred.
	missing []*catalog.Engine
	serving []servingChange
}

// write writes the log lines.
func (c *changeLog) write() {
	logEngines("engine announced", c.announced, func(e *catalog.Engine) []any {
		return []any{"zone", e.Zone, "domain", e.FabricDomain, "addr", e.Addr}
	})
	logEngines("engine drains", c.draining, func(*catalog.Engine) []any { return nil })
	logEngines("engine missing after an outage of the store", c.missing, func(*catalog.Engine) []any { return nil })
	logEngines("engine gone", c.gone, func(e *catalog.Engine) []any {
		return []any{"zone", e.Zone, "group", e.Membership.Group.Name, "rank", e.Membership.Rank}
	})
	for _, s := range c.serving {
		msg, head := "group stopped serving", s.group.Head()
		if s.serving {
			msg = "group serves"
		}
		fields := []any{
			"service", s.group.Service, "group", s.group.ID.Name, "epoch", s.group.ID.Epoch, "model", s.group.Model,
			"members", len(s.group.Members), "present", len(s.group.PresentMembers()),
		}
		if head != nil {
			fields = append(fields, "head", head.ID, "head_state", head.Membership.State.String(), "domain", head.FabricDomain)
		}
		klog.InfoS(msg, fields...)
	}
}

// logEngines logs one line for each engine, or a single one for many.
func logEngines(msg string, engines []*catalog.Engine, details func(*catalog.Engine) []any) {
	if len(engines) > maxLoggedEach {
		ids := make([]string, len(engines))
		for i, e := range engines {
			ids[i] = e.ID
		}
		klog.InfoS(msg, "engines", ids, "count", len(ids))
		return
	}
	for _, e := range engines {
		klog.InfoS(msg, append([]any{"engine", e.ID, "service", e.Service}, details(e)...)...)
	}
}
