package audit

import (
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

// priorRows holds the rows that an edit names, as they were before it.
type priorRows struct {
	known     bool // false if the state before the edit is not known
	routes    map[string]table.Route
	pools     map[string]table.Pool
	revisions map[string]uint64
}

// rowsBefore returns the rows that the record's edit names. It must be called
// before the record is applied.
func (r *replayer) rowsBefore(rec Record) priorRows {
	if rec.Decoded == nil || rec.Decoded.Edit == nil || r.state == nil {
		return priorRows{}
	}
	if r.state.Started && !r.state.Pos.Before(rec.Pos) {
		return priorRows{}
	}
	prior := priorRows{
		known: true, routes: map[string]table.Route{}, pools: map[string]table.Pool{}, revisions: map[string]uint64{},
	}
	for _, c := range rec.Decoded.Edit.Changes {
		route, pool := c.RowNames()
		if row, ok := r.state.Routes[route]; ok {
			prior.routes[route] = row.Route
		}
		if row, ok := r.state.Pools[pool]; ok {
			prior.pools[pool] = row.Pool
		}
		prior.revisions["route/"+route] = r.state.Revisions["route/"+route]
		prior.revisions["pool/"+pool] = r.state.Revisions["pool/"+pool]
	}
	return prior
}

// rowChanges returns the changes of the edit. For an accepted edit it increments
// the revisions in before, because an edit may change a row more than once.
func rowChanges(e *state.Edit, before priorRows, accepted bool) []RowChange {
	var out []RowChange
	for _, c := range e.Changes {
		row := rowChange(c, before)
		if accepted && before.known && !row.Dropped {
			before.revisions[row.Name]++
			row.Revision = before.revisions[row.Name]
		}
		out = append(out, row)
	}
	return out
}

func rowChange(c state.Change, before priorRows) RowChange {
	route, pool := c.RowNames()
	row := RowChange{Base: c.Base, Dropped: c.SetRoute == nil && c.SetPool == nil}
	if route != "" {
		row.Name = "route/" + route
		old, exists := before.routes[route]
		row.Fields = table.DiffRoutes(optional(old, exists), c.SetRoute)
		return row
	}
	row.Name = "pool/" + pool
	old, exists := before.pools[pool]
	row.Fields = table.DiffPools(optional(old, exists), c.SetPool)
	return row
}

// optional returns a pointer to v, or nil if ok is false.
func optional[T any](v T, ok bool) *T {
	if !ok {
		return nil
	}
	return &v
}
