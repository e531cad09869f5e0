package audit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

var firstAppend = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func pool(limit int) *table.Pool {
	return &table.Pool{Name: "p", Kind: table.KindEngine, Model: "m", Version: "1", GroupSize: 1, VMs: []string{"a"}, Limit: limit, ColdLimit: 1}
}

func edit(id, author string, base uint64, limit int) *state.Record {
	return &state.Record{ID: id, Author: author, Edit: &state.Edit{Changes: []state.Change{{Base: base, SetPool: pool(limit)}}}}
}

func records() []Record {
	fence := state.Position{Epoch: 1, Offset: 3}.Fence()
	list := []*state.Record{
		edit("e1", "awa", 0, 8),
		edit("e2", "awa", 1, 9),
		edit("e3", "binta", 1, 10),
		{ID: "f1", Author: "d1", Form: &state.Form{Pool: "p", Model: "m", Version: "1", Reason: "new", Members: []state.Member{{VM: "a", BootID: "b"}}}},
		nil,
		edit("e2", "awa", 1, 9),
		{ID: "x1", Author: "d2", Retire: &state.Retire{Group: fence, Reason: "a is gone"}},
		{ID: "x2", Author: "d2", Release: &state.Release{VM: "a", Fence: fence, Evidence: "new boot"}},
		{ID: "j1", Author: "d1", Join: &state.Join{Daemon: "d1", Addr: "x", BootID: "1"}},
		{ID: "l1", Author: "d2", Leave: &state.Leave{Daemon: "d1", BootID: "1", Reason: "silent"}},
		{ID: "dp", Author: "awa", Edit: &state.Edit{Changes: []state.Change{{Base: 2, DropPool: "p"}}}},
	}
	var out []Record
	for i, r := range list {
		out = append(out, Record{Pos: state.Position{Epoch: 1, Offset: uint64(i)}, AppendedAt: firstAppend.Add(time.Duration(i) * time.Minute), Decoded: r})
	}
	return out
}

func summary(e Entry) string {
	return fmt.Sprintf("%s %s %s %s", e.Position, e.Kind, e.Author, e.Result)
}

func TestEntriesFromStartOfStream(t *testing.T) {
	entries := Entries(Trail{Base: state.New(), Records: records()})
	want := []string{
		"1/0 edit awa accepted", "1/1 edit awa accepted", "1/2 edit binta refused", "1/3 form d1 accepted",
		"1/4 garbled  refused", "1/5 edit awa duplicate", "1/6 retire d2 accepted", "1/7 release d2 accepted",
		"1/8 join d1 accepted", "1/9 leave d2 accepted", "1/10 edit awa accepted",
	}
	for i, e := range entries {
		must.Eq(t, want[i], summary(e))
	}
	must.Eq(t, []RowChange{{Name: "pool/p", Base: 1, Revision: 2, Fields: []table.FieldChange{{Field: "limit", Old: "8", New: "9"}}}}, entries[1].Rows)
	must.Eq(t, "awa", entries[2].Winner.Author)
	must.Eq(t, 0, entries[2].Rows[0].Revision)
	must.Eq(t, "1/1", entries[5].DuplicateOf)
	must.True(t, entries[10].Rows[0].Dropped)
}

func TestEntriesFromSnapshot(t *testing.T) {
	all := records()
	base := state.New()
	for _, r := range all[:3] {
		base.Apply(r.Pos, r.Decoded)
	}
	trail := Trail{Begin: all[1].Pos, Base: base, Records: all[1:]}
	entries := Entries(trail)
	must.Eq(t, "1/1 edit awa accepted", summary(entries[0]), must.Sprint("the snapshot holds the verdict of its last records"))
	must.Eq(t, "1/2 edit binta refused", summary(entries[1]))
	must.Eq(t, "1/3 form d1 accepted", summary(entries[2]))

	trail.Base = nil
	for _, e := range Entries(trail) {
		must.Eq(t, Undetermined, e.Result)
	}
	base.Recent = nil
	trail.Base = base
	must.Eq(t, Undetermined, Entries(trail)[0].Result)
}

func TestFilterApply(t *testing.T) {
	entries := Entries(Trail{Base: state.New(), Records: records()})
	cases := []struct {
		name   string
		filter Filter
		want   int
	}{
		{"all", Filter{}, 11},
		{"row", Filter{Subject: "pool/p"}, 5},
		{"VM in a group and released", Filter{Subject: "vm/a"}, 2},
		{"group", Filter{Subject: fmt.Sprint("group/", state.Position{Epoch: 1, Offset: 3}.Fence())}, 2},
		{"author", Filter{Author: "d2"}, 3},
		{"kind", Filter{Kind: Join}, 1},
		{"since", Filter{Since: firstAppend.Add(9 * time.Minute)}, 2},
		{"after", Filter{After: &state.Position{Epoch: 1, Offset: 7}}, 3},
		{"newest", Filter{Kind: Edit, Limit: 2}, 2},
	}
	for _, c := range cases {
		must.Len(t, c.want, c.filter.Apply(entries), must.Sprint(c.name))
	}
}
