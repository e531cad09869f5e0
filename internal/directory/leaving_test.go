package directory

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestLeaveNotice checks which announcements bring back an engine that has said in
// an answer that it leaves.
func TestLeaveNotice(t *testing.T) {
	cases := []struct {
		name          string
		before, after []Record
		startMS       int64
		known         bool
		draining      bool
	}{
		{"announced before", []Record{rec(1, "a", "engine 5 1")}, nil, 5, true, true},
		{"older entry after the notice", []Record{rec(1, "a", "engine 5 1")}, []Record{rec(2, "a", "engine 5 2")}, 5, true, true},
		{"entry that comes back", []Record{rec(1, "a", "engine 5 1")}, []Record{rec(2, "a", ""), rec(3, "a", "engine 5 3")}, 5, true, true},
		{"new start", []Record{rec(1, "a", "engine 5 1")}, []Record{rec(2, "a", "engine 6 1")}, 5, true, false},
		{"notice of an earlier start", []Record{rec(1, "a", "engine 6 1")}, nil, 5, true, false},
		{"notice before the entry", nil, []Record{rec(2, "a", "engine 5 1")}, 5, true, true},
		{"unknown engine", nil, nil, 5, false, false},
	}
	for _, c := range cases {
		d := newDirectory()
		d.applyOperator([]Record{rec(0, "config", "config 1")}, false)
		d.applyEngines(c.before, false)
		must.True(t, d.MarkLeaving("a", c.startMS, "request 1"), must.Sprint(c.name))
		must.False(t, d.MarkLeaving("a", c.startMS, "request 2"), must.Sprint(c.name, ": the same notice again is not new"))
		d.applyEngines(c.after, false)
		e, ok := d.Engine("a")
		must.Eq(t, c.known, ok, must.Sprint(c.name))
		if ok {
			must.Eq(t, c.draining, e.Draining, must.Sprint(c.name))
			view, _ := d.Service("s")
			must.Eq(t, c.draining, view.Engines[0].Draining, must.Sprint(c.name))
		}
	}
}

// TestInvalidEntriesAreRemembered checks that the error of an invalid entry is kept
// while its writer renews it, so that it is logged once, and that others are applied.
func TestInvalidEntriesAreRemembered(t *testing.T) {
	d := newDirectory()
	for offset := range uint64(5) {
		d.applyEngines([]Record{rec(2*offset, "odd", "{"), rec(2*offset+1, "a", "engine 1 1")}, false)
		must.Eq(t, 1, d.invalid.Len())
	}
	must.Eq(t, "a", knownEngines(d))
	d.applyEngines([]Record{rec(20, "odd", "")}, false)
	must.Zero(t, d.invalid.Len())
	for i := range uint64(2 * maxInvalidEntries) {
		d.applyEngines([]Record{rec(30+i, string(rune('a'+i%26))+string(rune(0x100+i)), "{")}, false)
	}
	must.LessEq(t, maxInvalidEntries, d.invalid.Len())
}
