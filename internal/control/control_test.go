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
	p := table.Pool{Name: name, Kind: table.KindService, GroupSize: 1, VMs: []string{"a"}, Limit: 8, ColdLimit: 1}
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
	m, _ := start(t, Options{
		Self: id, Addr: id, Log: g, Peers: port{mesh: net, self: id}, Snapshots: SnapshotSettings{CheckInterval: time.Hour},
		LiveIDs: func() []string { return net.live(id) },
		Reports: func() []quorum.Report { return net.reports(id) },
	})
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
	must.True(t, m.CaughtUp())
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

func TestLogThatWentBackIsRefused(t *testing.T) {
	log := newFakeLog()
	m, stop := start(t, Options{Log: log})
	submit(t, m, poolEdit("p", 0))
	submit(t, m, poolEdit("p", 1))
	stop()
	before := m.opts.View.Digest()

	log.with(func() { s := log.stream(platform.StreamControl); s.records = s.records[:1] })
	must.ErrorContains(t, m.follow(testContext(t)), "log ends at offset 1")
	log.reset(0)
	must.ErrorContains(t, m.follow(testContext(t)), "log shows epoch 0")
	must.Eq(t, before, m.opts.View.Digest())
	log.reset(2)
	must.ErrorContains(t, m.follow(testContext(t)), "epoch 2 is not open yet")
	must.Eq(t, before, m.opts.View.Digest())
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
	until(t, "serving", func() bool { return a.ServingStatus().MayServe() })

	submit(t, a, &state.Record{Join: &state.Join{Daemon: "a", Addr: "x", BootID: "other"}})
	until(t, "stands aside for the other daemon of its id", func() bool { return !a.ServingStatus().MayServe() })
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
	m.opts.View.Apply(state.Position{Epoch: 1}, poolEdit("p", 0))
	pos, digest := m.opts.View.PositionAndDigest()
	m.decideStanding()
	must.True(t, m.ServingStatus().MayServe())
	reports = []quorum.Report{{Daemon: "b", Started: true, Pos: pos, Digest: digest}}
	m.decideStanding()
	must.False(t, m.Diverged())
	own := quorum.Report{Daemon: "a", Started: true, Pos: pos, Digest: digest}
	reports = []quorum.Report{own, {Daemon: "b", Started: true, Pos: pos, Digest: digest ^ 1<<60}}
	m.decideStanding()
	must.True(t, m.Diverged())
	must.False(t, m.ServingStatus().MayServe())
}
