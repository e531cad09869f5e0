package view

import (
	"context"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

func at(o uint64) state.Position { return state.Position{Epoch: 1, Offset: o} }

func pool(name string) *table.Pool {
	return &table.Pool{Name: name, Kind: table.KindEngine, Model: "m", Version: "1", GroupSize: 1, VMs: []string{"a", "b"}, Limit: 8, ColdLimit: 1}
}

func route(name, workspace, kind, pool string) *table.Route {
	return &table.Route{Name: name, Workspaces: []string{workspace}, Kinds: []string{kind}, Pools: []string{pool}, Deadline: 1}
}

func form(id, vm string, replaces ...uint64) *state.Record {
	return &state.Record{ID: id, Form: &state.Form{Pool: "p", Model: "m", Version: "1", Replaces: replaces, Members: []state.Member{{VM: vm, BootID: "x"}}}}
}

// testRecords returns a stream with records of each kind, a refused one and one
// that cannot be decoded.
func testRecords() []*state.Record {
	return []*state.Record{
		{ID: "e1", Edit: &state.Edit{Changes: []state.Change{
			{SetPool: pool("p")},
			{SetPool: pool("q")},
			{SetRoute: route("any", table.Any, table.Any, "p")},
			{SetRoute: route("shops", "shops", table.Any, "q")},
		}}},
		{ID: "j1", Join: &state.Join{Daemon: "d1", Addr: "x", BootID: "1"}},
		form("f1", "a"),
		form("f2", "b"),
		form("f3", "a"), // refused: a is reserved
		{ID: "x1", Retire: &state.Retire{Group: at(2).Fence()}},
		{ID: "x2", Release: &state.Release{VM: "a", Fence: at(2).Fence()}},
		form("f4", "b", at(3).Fence()),
		{ID: "e2", Edit: &state.Edit{Changes: []state.Change{{Base: 1, DropRoute: "shops"}, {Base: 1, DropPool: "q"}}}},
		nil,
		{ID: "l1", Leave: &state.Leave{Daemon: "d1", BootID: "1"}},
	}
}

// requireEqual checks that the published rows of v match s.
func requireEqual(t *testing.T, s *state.State, v *View) {
	t.Helper()
	must.Eq(t, s.Pos, v.Position())
	must.Eq(t, s.Digest(), v.Digest())
	must.Eq(t, len(s.Pools), len(v.Pools()))
	must.Eq(t, len(s.Routes), len(v.Routes()))
	must.Eq(t, len(s.Daemons), len(v.Daemons()))
	must.Eq(t, len(s.Groups), len(v.Groups("p")))
	must.Eq(t, len(s.VMs), v.vms.Len())
	for id, g := range s.Groups {
		got, ok := v.Group(id)
		must.True(t, ok)
		must.Eq(t, g, got)
	}
	for vm, r := range s.VMs {
		got, _ := v.Reservation(vm)
		must.Eq(t, r, got)
	}
}

// TestViewMatchesState checks that the published rows match the state after each
// record, both for a view that applied it and for one that loaded a snapshot.
func TestViewMatchesState(t *testing.T) {
	s, v := state.New(), New()
	for i, rec := range testRecords() {
		must.Eq(t, s.Apply(at(uint64(i)), rec), v.Apply(at(uint64(i)), rec))
		requireEqual(t, s, v)
		loaded := New()
		must.True(t, loaded.Load(s.Clone()))
		requireEqual(t, s, loaded)
	}
}

// TestLoadIgnoresEarlierStates guards against a view that goes back to an earlier
// position.
func TestLoadIgnoresEarlierStates(t *testing.T) {
	v, old := New(), state.New()
	must.False(t, v.Load(state.New()), must.Sprint("an empty state must not be loaded"))
	for i, rec := range testRecords() {
		v.Apply(at(uint64(i)), rec)
		if i < 4 {
			old.Apply(at(uint64(i)), rec)
		}
	}
	before := v.Digest()
	must.False(t, v.Load(old))
	must.False(t, v.Apply(at(2), testRecords()[0]).Accepted)
	must.Eq(t, before, v.Digest())
}

func TestRoutePrefersExactWorkspace(t *testing.T) {
	v := New()
	v.Apply(at(0), testRecords()[0])
	row, ok := v.Route("shops", "quote")
	must.True(t, ok)
	must.Eq(t, "shops", row.Route.Name)
	row, _ = v.Route("others", "quote")
	must.Eq(t, "any", row.Route.Name)
	_, ok = New().Route("others", "quote")
	must.False(t, ok)
}

// TestWaitForPositionAndVerdict checks that waiting goroutines see the position
// and the verdict of their record, in this order, and end with their context.
func TestWaitForPositionAndVerdict(t *testing.T) {
	v := New()
	records := testRecords()
	var wg sync.WaitGroup
	for i, rec := range records {
		wg.Go(func() {
			if err := v.WaitPosition(t.Context(), at(uint64(i))); err != nil {
				t.Error(err)
			}
			if rec == nil {
				return
			}
			got, err := v.WaitVerdict(t.Context(), rec.ID)
			if err != nil || got.Pos != at(uint64(i)) || v.Position().Before(got.Pos) {
				t.Errorf("verdict on record %s: position %v, error %v", rec.ID, got.Pos, err)
			}
		})
	}
	for i, rec := range records {
		v.Apply(at(uint64(i)), rec)
	}
	wg.Wait()

	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	must.Error(t, v.WaitPosition(canceled, at(99)))
	_, err := v.WaitVerdict(canceled, "none")
	must.Error(t, err)
}
