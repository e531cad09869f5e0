package audit

import (
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

// Filter selects entries that meet all of its conditions. A field with its zero
// value sets no condition.
type Filter struct {
	// Subject is a row, group, VM or daemon, such as "pool/assistant" or "vm/a1".
	Subject string
	Author  string
	Kind    Kind
	Since   time.Time
	// After selects entries at later positions.
	After *state.Position
	// Limit is the number of newest entries that are kept; 0 keeps all.
	Limit int
}

// Apply returns the selected entries, oldest first.
func (f Filter) Apply(entries []Entry) []Entry {
	var out []Entry
	for _, e := range entries {
		if f.matches(e) {
			out = append(out, e)
		}
	}
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[len(out)-f.Limit:]
	}
	return out
}

func (f Filter) matches(e Entry) bool {
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
		return f.Subject == "" || e.hasSubject(f.Subject)
	}
}

// hasSubject reports whether the entry is about the subject or changes that row.
// A VM is also a subject of the entries that form a group on it.
func (e Entry) hasSubject(subject string) bool {
	if e.Subject == subject {
		return true
	}
	for _, r := range e.Rows {
		if r.Name == subject {
			return true
		}
	}
	vm, isVM := strings.CutPrefix(subject, "vm/")
	return isVM && e.Kind == Form && strings.Contains(" "+e.Detail+" ", " "+vm+" ")
}
