package state_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Names that the generated records use.
var (
	someVMs     = []string{"a", "b", "c", "d", "e"}
	somePools   = []string{"p", "q"}
	someDaemons = []string{"d1", "d2"}
)

// drawRecord generates a record of any kind. The pools have the same VMs, so
// that groups of both pools compete for them.
func drawRecord(t *rapid.T, id string) *state.Record {
	r := &state.Record{ID: id, Author: rapid.SampledFrom(someDaemons).Draw(t, "author")}
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1:
		r.Edit = drawEdit(t)
	case 2, 3, 4, 5:
		r.Form = drawForm(t)
	case 6:
		r.Retire = &state.Retire{Group: drawFence(t)}
	case 7, 8:
		r.Release = &state.Release{VM: rapid.SampledFrom(someVMs).Draw(t, "vm"), Fence: drawFence(t)}
	default:
		d := rapid.SampledFrom(someDaemons).Draw(t, "daemon")
		boot := fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "boot"))
		if rapid.Bool().Draw(t, "join") {
			r.Join = &state.Join{Daemon: d, Addr: "x", BootID: boot}
		} else {
			r.Leave = &state.Leave{Daemon: d, BootID: boot}
		}
	}
	return r
}

// drawFence generates a fencing token, which may be that of an earlier record.
func drawFence(t *rapid.T) uint64 {
	return state.Position{Epoch: 1, Offset: uint64(rapid.IntRange(0, 40).Draw(t, "group"))}.Fence()
}

func drawEdit(t *rapid.T) *state.Edit {
	base := uint64(rapid.IntRange(0, 3).Draw(t, "base"))
	name := rapid.SampledFrom(somePools).Draw(t, "pool")
	c := state.Change{Base: base}
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		c.DropPool = name
	case 1:
		c.SetRoute = &table.Route{Name: "r", Workspaces: []string{"*"}, Kinds: []string{"*"}, Pools: []string{name}, Deadline: 1}
	default:
		size := rapid.IntRange(1, 2).Draw(t, "size")
		c.SetPool = &table.Pool{Name: name, Kind: table.KindEngine, Model: "m", Version: "1", GroupSize: size, VMs: someVMs, Limit: 1, ColdLimit: 1}
	}
	return &state.Edit{Changes: []state.Change{c}}
}

func drawForm(t *rapid.T) *state.Form {
	f := &state.Form{Pool: rapid.SampledFrom(somePools).Draw(t, "pool"), Model: "m", Version: "1"}
	for _, vm := range rapid.SliceOfN(rapid.SampledFrom(someVMs), 1, 2).Draw(t, "members") {
		f.Members = append(f.Members, state.Member{VM: vm, BootID: "b", FabricDomain: rapid.SampledFrom([]string{"f", "f", "f", "g"}).Draw(t, "fabric")})
	}
	if rapid.Bool().Draw(t, "replacing") {
		f.Replaces = []uint64{drawFence(t)}
	}
	return f
}

// drawLog generates a stream that begins with edits that create the pools. The
// records after them are of any kind; some are duplicates of earlier ones, and
// some cannot be decoded.
func drawLog(t *rapid.T) []*state.Record {
	var log []*state.Record
	for i, name := range somePools {
		p := table.Pool{Name: name, Kind: table.KindEngine, Model: "m", Version: "1", GroupSize: 1 + i, VMs: someVMs, Limit: 1, ColdLimit: 1}
		log = append(log, &state.Record{ID: "first-" + name, Edit: &state.Edit{Changes: []state.Change{{SetPool: &p}}}})
	}
	n := rapid.IntRange(1, 40).Draw(t, "records")
	for i := range n {
		if i > 0 && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
			log = append(log, log[rapid.IntRange(0, len(log)-1).Draw(t, "which")])
			continue
		}
		if rapid.IntRange(0, 20).Draw(t, "garbled") == 0 {
			log = append(log, nil)
			continue
		}
		log = append(log, drawRecord(t, fmt.Sprint("r", i)))
	}
	return log
}

func at(i int) state.Position { return state.Position{Epoch: 1, Offset: uint64(i)} }

func checkInvariants(t *rapid.T, s *state.State) {
	groupOfVM := make(map[string]uint64)
	for id, g := range s.Groups {
		must.Eq(t, id, g.ID)
		for _, m := range g.Members {
			must.MapNotContainsKey(t, groupOfVM, m.VM, must.Sprintf("VM %s is in two groups", m.VM))
			groupOfVM[m.VM] = id
			must.Eq(t, state.Reservation{Group: id, Pool: g.Pool}, s.VMs[m.VM])
			must.Eq(t, g.Members[0].FabricDomain, m.FabricDomain)
		}
	}
	for vm, r := range s.VMs {
		if !r.Ended {
			must.Eq(t, r.Group, groupOfVM[vm], must.Sprintf("VM %s is reserved for a group that is not active", vm))
		}
	}
	for _, row := range s.Routes {
		must.MapContainsKey(t, s.Pools, row.Route.Pools[0])
	}
}

// TestApplyKeepsInvariants checks that a VM is in at most one group, that
// fencing tokens and revisions increase, and that routes refer to existing pools.
func TestApplyKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := state.New()
		var lastGroup uint64
		revisions := make(map[string]uint64)
		for i, rec := range drawLog(t) {
			v := s.Apply(at(i), rec)
			checkInvariants(t, s)
			if v.Accepted && !v.Duplicate && rec.Form != nil {
				must.Greater(t, lastGroup, v.Pos.Fence(), must.Sprint("fencing tokens must increase"))
				lastGroup = v.Pos.Fence()
			}
			for row, rev := range s.Revisions {
				must.GreaterEq(t, revisions[row], rev, must.Sprintf("the revision of %s must not decrease", row))
				revisions[row] = rev
			}
			must.False(t, s.Apply(at(i), rec).Accepted, must.Sprint("a position must be applied only once"))
		}
	})
}

// drawPositions assigns a position to each record. The records from a random one
// on are in a second epoch; a random one of these may be replaced by the Open
// record of the epoch.
func drawPositions(t *rapid.T, log []*state.Record) []state.Position {
	change := rapid.IntRange(1, len(log)).Draw(t, "epoch change")
	var out []state.Position
	for i := range log {
		if i < change {
			out = append(out, at(i))
		} else {
			out = append(out, state.Position{Epoch: 2, Offset: uint64(i - change)})
		}
	}
	if opened := rapid.IntRange(change, len(log)+2).Draw(t, "opened"); opened < len(log) {
		log[opened] = &state.Record{ID: "open", Open: &state.Open{Base: at(change - 1)}}
	}
	return out
}

// TestReplayFromSnapshotEqualsFullReplay guards against state that an encoded
// snapshot loses: a reader that restores a snapshot, taken at any position, must
// reach the same verdicts and digests as one that replays the whole stream.
func TestReplayFromSnapshotEqualsFullReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		positions := drawPositions(t, log)
		cut := rapid.IntRange(0, len(log)-1).Draw(t, "cut")
		replayed, restored := state.New(), state.New()
		for i, rec := range log {
			epochClosed := positions[i].Epoch > replayed.Opened
			want := replayed.Apply(positions[i], rec)
			got := restored.Apply(positions[i], rec)
			must.Eq(t, want.Accepted, got.Accepted)
			must.Eq(t, want.Duplicate, got.Duplicate)
			must.Eq(t, want.Reason, got.Reason)
			if epochClosed && !want.Duplicate {
				must.Eq(t, want.Accepted, rec != nil && rec.Open != nil, must.Sprint("only an Open record may be accepted in an epoch that is not open"))
			}
			checkInvariants(t, replayed)
			if i == cut {
				data, err := wire.EncodeState(restored)
				must.NoError(t, err)
				restored, err = wire.DecodeState(data)
				must.NoError(t, err)
			}
			must.Eq(t, replayed.Digest(), restored.Digest())
		}
	})
}

// TestFirstOfConcurrentEditsIsAccepted guards against lost updates: of several
// edits based on the same revision, only the first in the log is accepted.
func TestFirstOfConcurrentEditsIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := state.New()
		n := rapid.IntRange(2, 6).Draw(t, "writers")
		order := rapid.Permutation([]int{0, 1, 2, 3, 4, 5}[:n]).Draw(t, "order")
		for i, writer := range order {
			p := table.Pool{Name: "p", Kind: table.KindService, GroupSize: 1, Limit: 1 + writer, ColdLimit: 1}
			rec := &state.Record{ID: fmt.Sprint(writer), Author: fmt.Sprint("op", writer), Edit: &state.Edit{Changes: []state.Change{{SetPool: &p}}}}
			v := s.Apply(at(i), rec)
			must.Eq(t, i == 0, v.Accepted)
			if i > 0 {
				must.Eq(t, fmt.Sprint("op", order[0]), v.Winner.Author)
				must.Eq(t, 1, v.Winner.Revision)
			}
		}
		must.Eq(t, 1+order[0], s.Pools["p"].Pool.Limit)
	})
}
