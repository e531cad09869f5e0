package view

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// Apply folds the record at pos and publishes what it changed. A nil record
// stands for one that cannot be decoded.
func (v *View) Apply(pos state.Position, rec *state.Record) state.Verdict {
	v.fold.Lock()
	defer v.fold.Unlock()
	if v.state.Started && !v.state.Pos.Before(pos) {
		return v.state.Apply(pos, rec) // refused; publishes nothing
	}
	t := v.touchedBefore(rec)
	verdict := v.state.Apply(pos, rec)
	if verdict.Accepted && !verdict.Duplicate {
		t.form(pos, rec)
		v.publish(t)
	}
	v.advance()
	v.remember(verdict)
	return verdict
}

// Load replaces the view by s if s is ahead of it and reports whether it did.
// The view takes s over: the caller must not use it any more.
func (v *View) Load(s *state.State) bool {
	v.fold.Lock()
	defer v.fold.Unlock()
	if !s.Started || (v.state.Started && !v.state.Pos.Before(s.Pos)) {
		return false
	}
	t := everything(v.state)
	t.add(everything(s))
	v.state = s
	v.publish(t)
	v.advance()
	for _, verdict := range s.Recent {
		v.remember(verdict)
	}
	return true
}

func (v *View) advance() {
	v.head.set(v.state.Pos)
	v.changed.notify()
}

// remember keeps as many verdicts as the fold itself does. The first verdict
// on a record stands. It comes after advance: whoever learns of a verdict finds
// the view at the record's position or beyond.
func (v *View) remember(verdict state.Verdict) {
	if verdict.RecordID == "" {
		return
	}
	if _, known := v.verdicts.Get(verdict.RecordID); known {
		return
	}
	v.verdicts.Set(verdict.RecordID, verdict)
	v.decided = append(v.decided, verdict.RecordID)
	if len(v.decided) <= state.MaxRecentVerdicts {
		return
	}
	v.verdicts.Delete(v.decided[0])
	v.decided = v.decided[1:]
}

// touched names the rows that a record may have changed.
type touched struct {
	routes, pools, vms, daemons map[string]struct{}
	groups                      map[uint64]struct{}
	groupPools                  map[string]struct{}
}

func newTouched() touched {
	return touched{
		routes: map[string]struct{}{}, pools: map[string]struct{}{}, vms: map[string]struct{}{},
		daemons: map[string]struct{}{}, groups: map[uint64]struct{}{}, groupPools: map[string]struct{}{},
	}
}

func (t touched) add(o touched) {
	maps.Copy(t.routes, o.routes)
	maps.Copy(t.pools, o.pools)
	maps.Copy(t.vms, o.vms)
	maps.Copy(t.daemons, o.daemons)
	maps.Copy(t.groups, o.groups)
	maps.Copy(t.groupPools, o.groupPools)
}

func (t touched) group(g state.Group) {
	t.groups[g.ID] = struct{}{}
	t.groupPools[g.Pool] = struct{}{}
	for _, m := range g.Members {
		t.vms[m.VM] = struct{}{}
	}
}

func (t touched) form(pos state.Position, rec *state.Record) {
	if f := rec.Form; f != nil {
		t.group(state.Group{ID: pos.Fence(), Pool: f.Pool, Members: f.Members})
	}
}

func everything(s *state.State) touched {
	t := newTouched()
	for k := range s.Routes {
		t.routes[k] = struct{}{}
	}
	for k := range s.Pools {
		t.pools[k] = struct{}{}
	}
	for k := range s.VMs {
		t.vms[k] = struct{}{}
	}
	for k := range s.Daemons {
		t.daemons[k] = struct{}{}
	}
	for _, g := range s.Groups {
		t.group(g)
	}
	return t
}

// touchedBefore reads what the record names while the groups that it ends are
// still in the state.
func (v *View) touchedBefore(rec *state.Record) touched {
	t := newTouched()
	if rec == nil {
		return t
	}
	switch {
	case rec.Edit != nil:
		t.edit(rec.Edit)
	case rec.Form != nil:
		for _, id := range rec.Form.Replaces {
			t.group(v.state.Groups[id])
		}
	case rec.Retire != nil:
		t.group(v.state.Groups[rec.Retire.Group])
	case rec.Release != nil:
		t.vms[rec.Release.VM] = struct{}{}
	case rec.Join != nil:
		t.daemons[rec.Join.Daemon] = struct{}{}
	case rec.Leave != nil:
		t.daemons[rec.Leave.Daemon] = struct{}{}
	}
	return t
}

func (t touched) edit(e *state.Edit) {
	for _, c := range e.Changes {
		route, pool := c.RowNames()
		t.routes[route] = struct{}{}
		t.pools[pool] = struct{}{}
	}
}

// publish copies the touched rows from the state into the maps. Pools that
// exist come before routes, and pools that went come after them, so that no
// reader follows a route to a pool that is not there.
func (v *View) publish(t touched) {
	for name := range t.pools {
		if row, ok := v.state.Pools[name]; ok {
			v.pools.Set(name, row)
		}
	}
	put(v.routes, t.routes, v.state.Routes)
	put(v.pools, t.pools, v.state.Pools)
	put(v.vms, t.vms, v.state.VMs)
	put(v.daemons, t.daemons, v.state.Daemons)
	for id := range t.groups {
		if g, ok := v.state.Groups[id]; ok {
			v.groups.Set(groupKey(id), g)
		} else {
			v.groups.Delete(groupKey(id))
		}
	}
	for pool := range t.groupPools {
		v.publishGroups(pool)
	}
}

func put[V any](m *shard.Map[V], keys map[string]struct{}, from map[string]V) {
	for k := range keys {
		if row, ok := from[k]; ok {
			m.Set(k, row)
		} else {
			m.Delete(k)
		}
	}
}

func (v *View) publishGroups(pool string) {
	var groups []state.Group
	for _, g := range v.state.Groups {
		if g.Pool == pool {
			groups = append(groups, g)
		}
	}
	if len(groups) == 0 {
		v.byPool.Delete(pool)
		return
	}
	slices.SortFunc(groups, func(a, b state.Group) int { return cmp.Compare(a.ID, b.ID) })
	v.byPool.Set(pool, groups)
}
