package view

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// Apply applies the record at position pos to the state and publishes the rows
// that it changed. A nil record stands for one that cannot be decoded.
func (v *View) Apply(pos state.Position, rec *state.Record) state.Verdict {
	v.writeMu.Lock()
	defer v.writeMu.Unlock()
	if v.state.Started && !v.state.Pos.Before(pos) {
		return v.state.Apply(pos, rec) // refused, without a change of the state
	}
	rows := v.rowsChangedBy(rec)
	verdict := v.state.Apply(pos, rec)
	if verdict.Accepted && !verdict.Duplicate {
		rows.addFormed(pos, rec)
		v.publish(rows)
	}
	v.publishPosition()
	v.publishVerdict(verdict)
	return verdict
}

// Load replaces the state by s if s is at a later position, and reports whether
// it did so. It takes ownership of s: the caller must not use s afterwards.
func (v *View) Load(s *state.State) bool {
	v.writeMu.Lock()
	defer v.writeMu.Unlock()
	if !s.Started || (v.state.Started && !v.state.Pos.Before(s.Pos)) {
		return false
	}
	rows := allRows(v.state)
	rows.add(allRows(s))
	v.state = s
	v.publish(rows)
	v.publishPosition()
	for _, verdict := range s.Recent {
		v.publishVerdict(verdict)
	}
	return true
}

// publishPosition makes the state's position visible to readers and wakes the
// goroutines that wait for a change.
func (v *View) publishPosition() {
	v.head.set(v.state.Pos)
	v.changed.notify()
}

// publishVerdict publishes the verdict, unless there is one on this record
// already, and drops the oldest verdict beyond state.MaxRecentVerdicts. It is
// called after publishPosition, so that a reader of a verdict finds the view at
// the record's position or beyond.
func (v *View) publishVerdict(verdict state.Verdict) {
	if verdict.RecordID == "" {
		return
	}
	if _, known := v.verdicts.Get(verdict.RecordID); known {
		return
	}
	v.verdicts.Set(verdict.RecordID, verdict)
	v.verdictIDs = append(v.verdictIDs, verdict.RecordID)
	if len(v.verdictIDs) <= state.MaxRecentVerdicts {
		return
	}
	v.verdicts.Delete(v.verdictIDs[0])
	v.verdictIDs = v.verdictIDs[1:]
}

// changedRows holds the keys of the rows that a record may have changed.
type changedRows struct {
	routes, pools, vms, daemons map[string]struct{}
	groups                      map[uint64]struct{}
	groupPools                  map[string]struct{} // pools whose list of groups changed
}

func newChangedRows() changedRows {
	return changedRows{
		routes: map[string]struct{}{}, pools: map[string]struct{}{}, vms: map[string]struct{}{},
		daemons: map[string]struct{}{}, groups: map[uint64]struct{}{}, groupPools: map[string]struct{}{},
	}
}

func (rows changedRows) add(other changedRows) {
	maps.Copy(rows.routes, other.routes)
	maps.Copy(rows.pools, other.pools)
	maps.Copy(rows.vms, other.vms)
	maps.Copy(rows.daemons, other.daemons)
	maps.Copy(rows.groups, other.groups)
	maps.Copy(rows.groupPools, other.groupPools)
}

// addGroup adds the group, its members and the group list of its pool.
func (rows changedRows) addGroup(g state.Group) {
	rows.groups[g.ID] = struct{}{}
	rows.groupPools[g.Pool] = struct{}{}
	for _, m := range g.Members {
		rows.vms[m.VM] = struct{}{}
	}
}

// addFormed adds the group that an accepted Form record at pos has created.
func (rows changedRows) addFormed(pos state.Position, rec *state.Record) {
	if f := rec.Form; f != nil {
		rows.addGroup(state.Group{ID: pos.Fence(), Pool: f.Pool, Members: f.Members})
	}
}

// allRows returns the keys of all rows of s.
func allRows(s *state.State) changedRows {
	rows := newChangedRows()
	for k := range s.Routes {
		rows.routes[k] = struct{}{}
	}
	for k := range s.Pools {
		rows.pools[k] = struct{}{}
	}
	for k := range s.VMs {
		rows.vms[k] = struct{}{}
	}
	for k := range s.Daemons {
		rows.daemons[k] = struct{}{}
	}
	for _, g := range s.Groups {
		rows.addGroup(g)
	}
	return rows
}

// rowsChangedBy returns the rows that the record may change. It must be called
// before the record is applied, while the groups that the record ends are still
// in the state.
func (v *View) rowsChangedBy(rec *state.Record) changedRows {
	rows := newChangedRows()
	if rec == nil {
		return rows
	}
	switch {
	case rec.Edit != nil:
		rows.addEdited(rec.Edit)
	case rec.Form != nil:
		for _, id := range rec.Form.Replaces {
			rows.addGroup(v.state.Groups[id])
		}
	case rec.Retire != nil:
		rows.addGroup(v.state.Groups[rec.Retire.Group])
	case rec.Release != nil:
		rows.vms[rec.Release.VM] = struct{}{}
	case rec.Join != nil:
		rows.daemons[rec.Join.Daemon] = struct{}{}
	case rec.Leave != nil:
		rows.daemons[rec.Leave.Daemon] = struct{}{}
	}
	return rows
}

func (rows changedRows) addEdited(e *state.Edit) {
	for _, c := range e.Changes {
		route, pool := c.RowNames()
		rows.routes[route] = struct{}{}
		rows.pools[pool] = struct{}{}
	}
}

// publish copies the changed rows from the state to the maps. Existing pools are
// set before the routes and deleted pools are removed after them, so that no
// reader finds a route to a missing pool.
func (v *View) publish(rows changedRows) {
	for name := range rows.pools {
		if row, ok := v.state.Pools[name]; ok {
			v.pools.Set(name, row)
		}
	}
	publishRows(v.routes, rows.routes, v.state.Routes)
	publishRows(v.pools, rows.pools, v.state.Pools)
	publishRows(v.vms, rows.vms, v.state.VMs)
	publishRows(v.daemons, rows.daemons, v.state.Daemons)
	for id := range rows.groups {
		if g, ok := v.state.Groups[id]; ok {
			v.groups.Set(groupKey(id), g)
		} else {
			v.groups.Delete(groupKey(id))
		}
	}
	for pool := range rows.groupPools {
		v.publishPoolGroups(pool)
	}
}

// publishRows sets the rows with the given keys, and deletes those that are not
// in the state any more.
func publishRows[V any](m *shard.Map[V], keys map[string]struct{}, from map[string]V) {
	for k := range keys {
		if row, ok := from[k]; ok {
			m.Set(k, row)
		} else {
			m.Delete(k)
		}
	}
}

// publishPoolGroups publishes the sorted list of the pool's active groups.
func (v *View) publishPoolGroups(pool string) {
	var groups []state.Group
	for _, g := range v.state.Groups {
		if g.Pool == pool {
			groups = append(groups, g)
		}
	}
	if len(groups) == 0 {
		v.groupsByPool.Delete(pool)
		return
	}
	slices.SortFunc(groups, func(a, b state.Group) int { return cmp.Compare(a.ID, b.ID) })
	v.groupsByPool.Set(pool, groups)
}
