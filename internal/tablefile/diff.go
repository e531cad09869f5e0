package tablefile

import (
	"cmp"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/table"
)

// RowDiff is the difference between two files in one row.
type RowDiff struct {
	// Name is "pool/NAME" or "route/NAME".
	Name string `json:"name"`
	// Missing is set if the row exists in the current tables only.
	Missing bool                `json:"missing,omitempty"`
	Fields  []table.FieldChange `json:"fields,omitempty"`
}

// Diff returns the rows of desired that are new or differ from current, and the
// rows of current that desired lacks, sorted by name. Rows are compared with
// their defaults filled in.
func Diff(current, desired File) []RowDiff {
	oldPools, newPools := poolsByName(current), poolsByName(desired)
	oldRoutes, newRoutes := routesByName(current), routesByName(desired)
	out := compareRows("pool/", oldPools, newPools, table.DiffPools)
	out = append(out, compareRows("route/", oldRoutes, newRoutes, table.DiffRoutes)...)
	slices.SortFunc(out, func(a, b RowDiff) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// compareRows compares the rows of one table. diffRows returns the fields in which
// two rows differ; its first argument is nil for a new row.
func compareRows[T any](prefix string, old, desired map[string]*T, diffRows func(old, desired *T) []table.FieldChange) []RowDiff {
	var out []RowDiff
	for name, row := range desired {
		if d := diffRows(old[name], row); len(d) > 0 {
			out = append(out, RowDiff{Name: prefix + name, Fields: d})
		}
	}
	for name := range old {
		if _, ok := desired[name]; !ok {
			out = append(out, RowDiff{Name: prefix + name, Missing: true})
		}
	}
	return out
}

func poolsByName(f File) map[string]*table.Pool {
	out := make(map[string]*table.Pool, len(f.Pools))
	for _, p := range f.Pools {
		row := p.Row()
		out[row.Name] = &row
	}
	return out
}

func routesByName(f File) map[string]*table.Route {
	out := make(map[string]*table.Route, len(f.Routes))
	for _, r := range f.Routes {
		row := r.Row()
		out[row.Name] = &row
	}
	return out
}
