package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/quorum"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
	"github.com/ragwortquay/ragwortquay/internal/view"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const testTimeout = 30 * time.Second

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func until(t *testing.T, what string, cond func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(cond), wait.Timeout(testTimeout), wait.Gap(time.Millisecond)), must.Sprint(what))
}

func poolEdit(name string, base uint64) *state.Record {
	p := table.Pool{Name: name, Kind: table.Services, GroupSize: 1, VMs: []string{"a"}, Limit: 8, ColdLimit: 1}
	return &state.Record{Author: "op", Edit: &state.Edit{Changes: []state.Change{{Base: base, SetPool: &p}}}}
}

// start runs a manager; the returned function stops it.
func start(t *testing.T, opts Options) (*Manager, func()) {
	t.Helper()
	if opts.View == nil {
		opts.View = view.New()
	}
	opts.ReadInterval = 5 * time.Millisecond
	m := New(opts)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return m, stop
}

// node starts a manager named id on the mesh, with its own way to the log.
func node(t *testing.T, net *mesh, log *fakeLog, id string, cut bool) (*Manager, *gate) {
	t.Helper()
	g := &gate{fakeLog: log, cut: cut}
	m, _ := start(t, Options{Self: id, Addr: id, Log: g, Peers: port{mesh: net, self: id}, Snapshots: SnapshotSettings{Check: time.Hour}})
	net.add(id, m)
	return m, g
}

func hasPool(m *Manager, name string) func() bool {
	return func() bool {
		_, ok := m.opts.View.Pool(name)
		return ok
	}
}

func joined(m *Manager, ids ...string) func() bool {
	return func() bool {
		for _, id := range ids {
			if d, ok := m.opts.View.Daemon(id); !ok || d.BootID == "" {
				return false
			}
		}
		return true
	}
}

func submit(t *testing.T, m *Manager, rec *state.Record) state.Verdict {
	t.Helper()
	v, err := m.Submit(testContext(t), rec)
	must.NoError(t, err)
	return v
}

func TestSubmitReturnsTheVerdictOfItsOwnRecord(t *testing.T) {
	m, _ := start(t, Options{Log: newFakeLog()})
	must.True(t, submit(t, m, poolEdit("p", 0)).Accepted)

	loser := submit(t, m, poolEdit("p", 0))
	must.False(t, loser.Accepted)
	must.Eq(t, 1, loser.Winner.Revision)
	must.True(t, m.Caught())
}

func TestSubmitAfterLostAnswersActsOnce(t *testing.T) {
	log := newFakeLog()
	log.loseAnswers = 1
	m, _ := start(t, Options{Log: log})
	must.True(t, submit(t, m, poolEdit("p", 0)).Accepted)
	row, _ := m.opts.View.Pool("p")
	must.Eq(t, 1, row.Stamp.Revision)
	must.Eq(t, 1, log.next(platform.StreamControl), must.Sprint("the record was found in the log and not appended again"))
}

func TestSubmitRefusedByTheLogIsNotRun(t *testing.T) {
	log := newFakeLog()
	log.setRefuse(true)
	m, _ := start(t, Options{Log: log})
	_, err := m.Submit(testContext(t), poolEdit("p", 0))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
	must.True(t, fault.Is(err, fault.LogDown))
}

func TestUndecodableRecordIsSkipped(t *testing.T) {
	log := newFakeLog()
	_, err := log.Append(t.Context(), platform.StreamControl, [][]byte{{0xc1}, nil})
	must.NoError(t, err)
	m, _ := start(t, Options{Log: log})
	must.Eq(t, state.Position{Epoch: 1, Offset: 2}, submit(t, m, poolEdit("p", 0)).Pos)
}

func TestGapsAreRefused(t *testing.T) {
	log := newFakeLog()
	m := New(Options{Log: log, View: view.New()})
	log.with(func() {
		s := log.stream(platform.StreamControl)
		s.records = []platform.Record{{Offset: 0}, {Offset: 2}, {Offset: 3}}
	})
	must.ErrorContains(t, m.follow(testContext(t)), "offset 2 where 1/1 was asked")
	must.Eq(t, state.Position{Epoch: 1}, m.opts.View.Position())

	ask := &wire.RecordsAsk{Started: true, After: m.opts.View.Position()}
	for _, next := range []state.Position{{Epoch: 1, Offset: 2}, {Epoch: 1}, {Epoch: 2, Offset: 1}} {
		must.Error(t, m.foldPeer(ask, []wire.RawRecord{{Pos: next}}))
	}
	must.NoError(t, m.foldPeer(ask, []wire.RawRecord{{Pos: state.Position{Epoch: 1, Offset: 1}}, {Pos: state.Position{Epoch: 2}}}))
	must.Eq(t, state.Position{Epoch: 2}, m.opts.View.Position())
}

func TestTailGivesRecordsWithoutAGap(t *testing.T) {
	at := func(o uint64) state.Position { return state.Position{Epoch: 1, Offset: o} }
	kept := &tail{view: view.New()}
	const n = tailRecords + 10
	for i := range uint64(n) {
		_, folded := kept.fold(wire.RawRecord{Pos: at(i)}, nil)
		must.True(t, folded)
	}
	_, folded := kept.fold(wire.RawRecord{Pos: at(5)}, nil)
	must.False(t, folded)
	cases := []struct {
		name    string
		after   uint64
		started bool
		want    int
		whole   bool
	}{
		{"from the start, which is dropped", 0, false, 0, false},
		{"before what is kept", 8, true, 0, false},
		{"just before what is kept", 9, true, tailRecords, true},
		{"in the middle", n - 4, true, 3, true},
		{"level", n - 1, true, 0, true},
		{"ahead", n + 5, true, 0, true},
	}
	for _, c := range cases {
		records, whole := kept.after(at(c.after), c.started)
		must.Eq(t, c.whole, whole, must.Sprint(c.name))
		must.Len(t, c.want, records, must.Sprint(c.name))
	}
	s := state.New()
	s.Apply(at(n+100), nil)
	must.True(t, kept.load(s))
	_, whole := kept.after(at(n-1), true)
	must.False(t, whole, must.Sprint("a loaded state leaves a gap behind it"))
}

func TestLogServedToOneOfTwo(t *testing.T) {
	log, net := newFakeLog(), newMesh()
	a, _ := node(t, net, log, "a", false)
	b, _ := node(t, net, log, "b", true)
	submit(t, a, poolEdit("p", 0))
	until(t, "b takes the edit from a", hasPool(b, "p"))
	until(t, "b is caught up", b.Caught)
	must.Eq(t, Unknown, b.LogAge(time.Now()))
}

func TestNewDaemonInAnOutageNeedsAMajority(t *testing.T) {
	log, net := newFakeLog(), newMesh()
	a, _ := node(t, net, log, "a", false)
	b, _ := node(t, net, log, "b", false)
	submit(t, a, poolEdit("p", 0))
	for _, m := range []*Manager{a, b} {
		until(t, "both joined", joined(m, "a", "b"))
		until(t, "the edit is in force", hasPool(m, "p"))
	}
	log.setRefuse(true)
	net.remove("b")

	c, _ := node(t, net, log, "c", false)
	until(t, "c has the state of a", hasPool(c, "p"))
	must.False(t, c.Caught(), must.Sprint("one of two joined daemons is no majority"))
	net.add("b", b)
	until(t, "c is caught up", c.Caught)
}

func TestTrimmedLog(t *testing.T) {
	log, net := newFakeLog(), newMesh()
	a, _ := node(t, net, log, "a", false)
	submit(t, a, poolEdit("p", 0))
	until(t, "a joined", joined(a, "a"))

	t.Run("neither snapshot nor peer", func(t *testing.T) {
		log.trim()
		alone, _ := start(t, Options{Log: log})
		err := alone.follow(testContext(t))
		must.ErrorContains(t, err, "neither a snapshot nor a peer")
		must.False(t, alone.Caught())
	})
	t.Run("from a peer", func(t *testing.T) {
		b, _ := node(t, net, log, "b", false)
		until(t, "b is caught up", b.Caught)
		must.True(t, hasPool(b, "p")())
		net.remove("b")
	})
	t.Run("from a snapshot, replayed from its own position", func(t *testing.T) {
		_, err := a.writeSnapshot(testContext(t))
		must.NoError(t, err)
		submit(t, a, poolEdit("q", 0))
		alone, _ := start(t, Options{Log: log})
		until(t, "caught up", alone.Caught)
		must.True(t, hasPool(alone, "p")())
		must.True(t, hasPool(alone, "q")())
		until(t, "same digest", func() bool { return alone.opts.View.Digest() == a.opts.View.Digest() })
	})
	t.Run("a broken snapshot is passed over", func(t *testing.T) {
		log.with(func() {
			s := log.stream(platform.StreamSnapshots)
			s.records = append(s.records, platform.Record{Offset: s.next(), Data: []byte("x")})
		})
		alone, _ := start(t, Options{Log: log})
		until(t, "caught up", alone.Caught)
	})
}

func TestLogThatWentBackIsRefused(t *testing.T) {
	log := newFakeLog()
	log.epoch = 2
	m, stop := start(t, Options{Log: log})
	submit(t, m, poolEdit("p", 0))
	submit(t, m, poolEdit("p", 1))
	stop()
	before := m.opts.View.Digest()

	log.with(func() { s := log.stream(platform.StreamControl); s.records = s.records[:1] })
	must.ErrorContains(t, m.follow(testContext(t)), "log ends at offset 1")
	log.reset(1)
	must.ErrorContains(t, m.follow(testContext(t)), "log shows epoch 1")
	must.Eq(t, before, m.opts.View.Digest())
	log.reset(3)
	must.NoError(t, m.follow(testContext(t)))
	must.Eq(t, before, m.opts.View.Digest())
}

func TestNewEpochGoesOnFromTheOldState(t *testing.T) {
	log, net := newFakeLog(), newMesh()
	a, _ := node(t, net, log, "a", false)
	b, way := node(t, net, log, "b", false)
	submit(t, a, poolEdit("p", 0))
	until(t, "b has it", hasPool(b, "p"))
	way.setCut(true)
	net.remove("a") // the last record of the epoch reaches a alone
	submit(t, a, poolEdit("q", 0))
	log.reset(2)
	net.add("a", a)
	way.setCut(false)
	submit(t, a, poolEdit("r", 0))
	until(t, "b has the new epoch", hasPool(b, "r"))
	must.True(t, hasPool(b, "q")(), must.Sprint("what peers hold of the old epoch is taken first"))
	until(t, "same digest", func() bool { return b.opts.View.Digest() == a.opts.View.Digest() })
}

func TestJoinLeaveAndRejoin(t *testing.T) {
	log, net := newFakeLog(), newMesh()
	a, _ := node(t, net, log, "a", false)
	until(t, "a joined", joined(a, "a"))
	row, _ := a.opts.View.Daemon("a")
	v := submit(t, a, &state.Record{Leave: &state.Leave{Daemon: "a", BootID: row.BootID}})
	until(t, "a joined again", func() bool {
		again, ok := a.opts.View.Daemon("a")
		return ok && v.Pos.Before(again.Pos)
	})
	until(t, "serving", func() bool { return a.Standing().MayServe() })

	submit(t, a, &state.Record{Join: &state.Join{Daemon: "a", Addr: "x", BootID: "other"}})
	until(t, "stands aside for the other daemon of its id", func() bool { return !a.Standing().MayServe() })
	must.NoError(t, a.Leave(testContext(t)))
}

// homedAt returns the id of a daemon whose home among the two is the first.
func homedAt(home, other string) string {
	for i := 0; ; i++ {
		id := fmt.Sprintf("dead%d", i)
		if ids.Owner("leave/"+id, []string{home, other}) == home {
			return id
		}
	}
}

func TestSilentDaemonLeaves(t *testing.T) {
	log := newFakeLog()
	m, _ := start(t, Options{
		Self: "a", Addr: "a", Log: log, LeaveAfter: 50 * time.Millisecond,
		LiveIDs: func() []string { return []string{"a", "b"} },
		Reports: func() []quorum.Report { return []quorum.Report{{Daemon: "b"}} },
	})
	dead := homedAt("a", "b")
	for _, id := range []string{"b", dead} {
		submit(t, m, &state.Record{Join: &state.Join{Daemon: id, Addr: id, BootID: "1"}})
	}
	until(t, "a joined", joined(m, "a"))
	until(t, "the silent daemon left", func() bool {
		_, still := m.opts.View.Daemon(dead)
		return !still
	})
	must.True(t, joined(m, "a", "b")())
}

func TestDivergedDaemonRefuses(t *testing.T) {
	var reports []quorum.Report
	m := New(Options{Self: "a", Log: newFakeLog(), View: view.New(), Reports: func() []quorum.Report { return reports }})
	must.NoError(t, m.follow(t.Context()))
	m.opts.View.Fold(state.Position{Epoch: 1}, poolEdit("p", 0))
	pos, digest := m.opts.View.Mark()
	m.decideStanding()
	must.True(t, m.Standing().MayServe())
	reports = []quorum.Report{{Daemon: "b", Started: true, Pos: pos, Digest: digest}}
	m.decideStanding()
	must.False(t, m.Diverged())
	own := quorum.Report{Daemon: "a", Started: true, Pos: pos, Digest: digest}
	reports = []quorum.Report{own, {Daemon: "b", Started: true, Pos: pos, Digest: digest ^ 1<<60}}
	m.decideStanding()
	must.True(t, m.Diverged())
	must.False(t, m.Standing().MayServe())
}

func TestSnapshotDue(t *testing.T) {
	now := time.Unix(1000, 0)
	s := SnapshotSettings{Records: 100, Retention: 40 * time.Second}
	at := func(o uint64) state.Position { return state.Position{Epoch: 1, Offset: o} }
	last := lastSnapshot{known: true, pos: at(50), at: now.Add(-5 * time.Second), epoch: 1}
	cases := []struct {
		name       string
		last       lastSnapshot
		pos, first state.Position
		want       bool
	}{
		{"none known", lastSnapshot{}, at(50), at(0), true},
		{"recent", last, at(149), at(0), false},
		{"many records", last, at(150), at(0), true},
		{"nothing changed, near its own end", lastSnapshot{known: true, pos: at(50), at: now.Add(-10 * time.Second), epoch: 1}, at(50), at(0), true},
		{"records after it are about to go", last, at(60), at(45), true},
		{"nothing follows it", last, at(50), at(51), false},
		{"new epoch of the log", last, at(50), state.Position{Epoch: 2}, true},
		{"clock went back", lastSnapshot{known: true, pos: at(50), at: now.Add(time.Hour), epoch: 1}, at(50), at(0), true},
	}
	for _, c := range cases {
		must.Eq(t, c.want, s.due(c.last, c.pos, c.first, now), must.Sprint(c.name))
	}
}
