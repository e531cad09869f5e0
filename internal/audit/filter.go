package audit

import (
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

// Filter selects entries; an empty field selects all.
type Filter struct {
	// Subject is a row's name, or a group, VM or daemon such as "vm/a1".
	Subject string
	Author  string
	Kind    Kind
	Since   time.Time
	// After selects entries behind that position.
	After *state.Position
	// Limit keeps the newest entries; 0 keeps all.
	Limit int
}

// Apply returns the selected entries, oldest first.
func (f Filter) Apply(entries []Entry) []Entry {
	var out []Entry
	for _, e := range entries {
		if f.selects(e) {
			out = append(out, e)
		}
	}
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[len(out)-f.Limit:]
	}
	return out
}

func (f Filter) selects(e Entry) bool {
	switch {
	case f.Author != "" && e.Author != f.Author:
		return false
	case f.Kind != "" && e.Kind != f.Kind:
		return false
	case e.At.Before(f.Since):
		return false
	case f.After != nil && !f.After.Before(e.pos):
		return false
	default:
		return f.Subject == "" || e.concerns(f.Subject)
	}
}

func (e Entry) concerns(row string) bool {
	if e.Subject == row {
		return true
	}
	for _, r := range e.Rows {
		if r.Name == row {
			return true
		}
	}
	vm, isVM := strings.CutPrefix(row, "vm/")
	return isVM && e.Kind == Form && strings.Contains(" "+e.Detail+" ", " "+vm+" ")
}
