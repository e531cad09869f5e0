package audit

import (
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

// rowsBefore are the rows of an edit as they stood before it.
type rowsBefore struct {
	known     bool // false if the state at that position is not known
	routes    map[string]table.Route
	pools     map[string]table.Pool
	revisions map[string]uint64
}

// rows returns the rows that the record's edit names, as they stand.
func (r *reader) rows(rec Record) rowsBefore {
	if rec.Decoded == nil || rec.Decoded.Edit == nil || r.state == nil {
		return rowsBefore{}
	}
	if r.state.Started && !r.state.Pos.Before(rec.Pos) {
		return rowsBefore{}
	}
	b := rowsBefore{
		known: true, routes: map[string]table.Route{}, pools: map[string]table.Pool{}, revisions: map[string]uint64{},
	}
	for _, c := range rec.Decoded.Edit.Changes {
		route, pool := c.RowNames()
		if row, ok := r.state.Routes[route]; ok {
			b.routes[route] = row.Route
		}
		if row, ok := r.state.Pools[pool]; ok {
			b.pools[pool] = row.Pool
		}
		b.revisions["route/"+route] = r.state.Revisions["route/"+route]
		b.revisions["pool/"+pool] = r.state.Revisions["pool/"+pool]
	}
	return b
}

func rows(e *state.Edit, before rowsBefore, accepted bool) []RowChange {
	var out []RowChange
	for _, c := range e.Changes {
		row := describeRow(c, before)
		if accepted && before.known && !row.Dropped {
			before.revisions[row.Name]++
			row.Revision = before.revisions[row.Name]
		}
		out = append(out, row)
	}
	return out
}

func describeRow(c state.Change, before rowsBefore) RowChange {
	route, pool := c.RowNames()
	row := RowChange{Base: c.Base, Dropped: c.SetRoute == nil && c.SetPool == nil}
	if route != "" {
		row.Name = "route/" + route
		old, had := before.routes[route]
		row.Fields = table.DiffRoutes(present(old, had), c.SetRoute)
		return row
	}
	row.Name = "pool/" + pool
	old, had := before.pools[pool]
	row.Fields = table.DiffPools(present(old, had), c.SetPool)
	return row
}

func present[T any](v T, ok bool) *T {
	if !ok {
		return nil
	}
	return &v
}
