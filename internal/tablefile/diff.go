package tablefile

import (
	"cmp"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/table"
)

// RowDiff is one row in which two tables differ.
type RowDiff struct {
	// Name is "pool/NAME" or "route/NAME".
	Name string `json:"name"`
	// Missing means that the second file lacks the row.
	Missing bool                `json:"missing,omitempty"`
	Fields  []table.FieldChange `json:"fields,omitempty"`
}

// Diff returns the rows of wanted that differ from current, defaults filled
// in, and those of current that wanted lacks.
func Diff(current, wanted File) []RowDiff {
	oldPools, newPools := poolRows(current), poolRows(wanted)
	oldRoutes, newRoutes := routeRows(current), routeRows(wanted)
	out := compare("pool/", oldPools, newPools, table.DiffPools)
	out = append(out, compare("route/", oldRoutes, newRoutes, table.DiffRoutes)...)
	slices.SortFunc(out, func(a, b RowDiff) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func compare[T any](prefix string, old, wanted map[string]*T, fields func(a, b *T) []table.FieldChange) []RowDiff {
	var out []RowDiff
	for name, w := range wanted {
		if d := fields(old[name], w); len(d) > 0 {
			out = append(out, RowDiff{Name: prefix + name, Fields: d})
		}
	}
	for name := range old {
		if _, ok := wanted[name]; !ok {
			out = append(out, RowDiff{Name: prefix + name, Missing: true})
		}
	}
	return out
}

func poolRows(f File) map[string]*table.Pool {
	out := make(map[string]*table.Pool, len(f.Pools))
	for _, p := range f.Pools {
		row := p.Row()
		out[row.Name] = &row
	}
	return out
}

func routeRows(f File) map[string]*table.Route {
	out := make(map[string]*table.Route, len(f.Routes))
	for _, r := range f.Routes {
		row := r.Row()
		out[row.Name] = &row
	}
	return out
}
