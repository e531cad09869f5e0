package state

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/table"
)

func testPool(size int, vms ...string) table.Pool {
	return table.Pool{
		Name: "p", Kind: table.KindEngine, Model: "m", Version: "1",
		GroupSize: size, VMs: vms, Limit: 8, ColdLimit: 1,
	}
}

func editPool(id string, base uint64, p table.Pool) *Record {
	return &Record{ID: id, Author: "op-" + id, Edit: &Edit{Changes: []Change{{Base: base, SetPool: &p}}}}
}

func members(vms ...string) []Member {
	var out []Member
	for _, vm := range vms {
		out = append(out, Member{VM: vm, BootID: "b-" + vm, FailureDomain: "d", FabricDomain: "f"})
	}
	return out
}

func formRecord(id string, replaces []uint64, vms ...string) *Record {
	return &Record{ID: id, Form: &Form{Pool: "p", Model: "m", Version: "1", Members: members(vms...), Replaces: replaces}}
}

// sequencer applies records at consecutive offsets of epoch 1.
type sequencer struct {
	state *State
	next  uint64
}

func (seq *sequencer) apply(r *Record) Verdict {
	v := seq.state.Apply(Position{Epoch: 1, Offset: seq.next}, r)
	seq.next++
	return v
}

func TestEditRevisions(t *testing.T) {
	seq := &sequencer{state: New()}
	must.True(t, seq.apply(editPool("1", 0, testPool(1, "a"))).Accepted)
	must.True(t, seq.apply(editPool("2", 1, testPool(1, "a", "b"))).Accepted)

	stale := seq.apply(editPool("3", 1, testPool(1)))
	must.False(t, stale.Accepted)
	must.Eq(t, 2, stale.Winner.Revision)
	must.Eq(t, "op-2", stale.Winner.Author)
	must.Eq(t, []string{"a", "b"}, seq.state.Pools["p"].Pool.VMs)
}

func TestDuplicateAppendReturnsFirstVerdict(t *testing.T) {
	seq := &sequencer{state: New()}
	first := seq.apply(editPool("1", 0, testPool(1, "a")))
	second := seq.apply(editPool("1", 0, testPool(1, "a")))
	must.True(t, second.Duplicate)
	must.Eq(t, first.Pos, second.Pos)
	must.Eq(t, 1, seq.state.Pools["p"].Stamp.Revision)
}

func TestEarlierPositionsAreRefused(t *testing.T) {
	s := New()
	s.Opened = 2
	s.Apply(Position{Epoch: 2, Offset: 5}, editPool("1", 0, testPool(1, "a")))
	for _, pos := range []Position{{2, 5}, {2, 4}, {1, 9}} {
		must.False(t, s.Apply(pos, editPool("x"+pos.String(), 1, testPool(1))).Accepted)
	}
	must.Eq(t, Position{2, 5}, s.Pos)
	must.Eq(t, 1, s.Pools["p"].Stamp.Revision)
}

func TestFormRequiresUnreservedVMs(t *testing.T) {
	seq := &sequencer{state: New()}
	must.True(t, seq.apply(editPool("1", 0, testPool(2, "a", "b", "c", "d"))).Accepted)
	first := seq.apply(formRecord("2", nil, "a", "b"))
	must.True(t, first.Accepted)
	must.False(t, seq.apply(formRecord("3", nil, "b", "c")).Accepted)

	g := first.Pos.Fence()
	must.True(t, seq.apply(formRecord("4", []uint64{g}, "b", "c")).Accepted)
	must.True(t, seq.state.VMs["a"].Ended)
	must.False(t, seq.apply(formRecord("5", nil, "a", "d")).Accepted)
	must.True(t, seq.apply(&Record{ID: "6", Release: &Release{VM: "a", Fence: g}}).Accepted)
	must.True(t, seq.apply(formRecord("7", nil, "a", "d")).Accepted)
	must.MapLen(t, 2, seq.state.Groups)
}

// TestEpochRequiresOpenWithMatchingBase guards against records that take effect
// in an epoch which was not opened on the state of this reader.
func TestEpochRequiresOpenWithMatchingBase(t *testing.T) {
	seq := &sequencer{state: New()}
	must.True(t, seq.apply(editPool("1", 0, testPool(1, "a"))).Accepted)
	base := seq.state.Pos
	at := func(o uint64) Position { return Position{Epoch: 2, Offset: o} }
	open := func(id string, base Position) *Record { return &Record{ID: id, Open: &Open{Base: base}} }

	must.False(t, seq.state.Apply(at(0), editPool("2", 1, testPool(1, "b"))).Accepted, must.Sprint("an edit before the Open record must be refused"))
	must.False(t, seq.state.Apply(at(1), open("3", Position{Epoch: 1, Offset: 9})).Accepted, must.Sprint("an Open with another base must be refused"))
	must.True(t, seq.state.Apply(at(2), open("4", base)).Accepted)
	must.False(t, seq.state.Apply(at(3), open("5", base)).Accepted, must.Sprint("a second Open of the epoch must be refused"))
	must.True(t, seq.state.Apply(at(4), editPool("6", 1, testPool(1, "b"))).Accepted)
	must.True(t, seq.state.Apply(at(5), editPool("2", 1, testPool(1, "b"))).Duplicate, must.Sprint("a refused record must stay refused when it is appended again"))
}
