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

func eventually(t *testing.T, condition string, cond func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(cond), wait.Timeout(testTimeout), wait.Gap(time.Millisecond)), must.Sprint(condition))
}

func poolEdit(name string, base uint64) *state.Record {
	p := table.Pool{Name: name, Kind: table.KindService, GroupSize: 1, VMs: []string{"a"}, Limit: 8, ColdLimit: 1}
	return &state.Record{Author: "op", Edit: &state.Edit{Changes: []state.Change{{Base: base, SetPool: &p}}}}
}

// startManager starts a manager and returns a function that stops it.
func startManager(t *testing.T, opts Options) (*Manager, func()) {
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

// startNode starts a manager with the given id on the network, with its own
// connection to the log.
func startNode(t *testing.T, network *fakeNetwork, log *fakeLog, id string, cut bool) (*Manager, *logAccess) {
	t.Helper()
	access := &logAccess{fakeLog: log, cut: cut}
	m, _ := startManager(t, Options{
		Self: id, Addr: id, Log: access, Peers: endpoint{network: network, self: id}, Snapshots: SnapshotSettings{CheckInterval: time.Hour},
		LiveIDs: func() []string { return network.liveIDs(id) },
		Reports: func() []quorum.Report { return network.reports(id) },
	})
	network.add(id, m)
	return m, access
}

func hasPool(m *Manager, name string) func() bool {
	return func() bool {
		_, ok := m.opts.View.Pool(name)
		return ok
	}
}

func hasJoined(m *Manager, ids ...string) func() bool {
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

func TestSubmitReturnsVerdictOfRecord(t *testing.T) {
	m, _ := startManager(t, Options{Log: newFakeLog()})
	must.True(t, submit(t, m, poolEdit("p", 0)).Accepted)

	stale := submit(t, m, poolEdit("p", 0))
	must.False(t, stale.Accepted)
	must.Eq(t, 1, stale.Winner.Revision)
	must.True(t, m.CaughtUp())
}

// TestSubmitAfterLostResponseAppendsOnce guards against a record that is appended
// again after an append that succeeded but whose response was lost.
func TestSubmitAfterLostResponseAppendsOnce(t *testing.T) {
	log := newFakeLog()
	log.loseResponses = 1
	m, _ := startManager(t, Options{Log: log})
	must.True(t, submit(t, m, poolEdit("p", 0)).Accepted)
	row, _ := m.opts.View.Pool("p")
	must.Eq(t, 1, row.Stamp.Revision)
	must.Eq(t, 1, log.next(platform.StreamControl), must.Sprint("the record must be in the log once"))
}

func TestSubmitWithUnreachableLogIsNotRun(t *testing.T) {
	log := newFakeLog()
	log.setUnreachable(true)
	m, _ := startManager(t, Options{Log: log})
	_, err := m.Submit(testContext(t), poolEdit("p", 0))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
	must.True(t, fault.Is(err, fault.LogDown))
}

func TestUndecodableRecordIsSkipped(t *testing.T) {
	log := newFakeLog()
	_, err := log.Append(t.Context(), platform.StreamControl, [][]byte{{0xc1}, nil})
	must.NoError(t, err)
	m, _ := startManager(t, Options{Log: log})
	must.Eq(t, state.Position{Epoch: 1, Offset: 2}, submit(t, m, poolEdit("p", 0)).Pos)
}

// TestRegressedLogIsRefused guards against records that are read from a truncated
// log or from a log of another epoch, and would change the state.
func TestRegressedLogIsRefused(t *testing.T) {
	log := newFakeLog()
	m, stop := startManager(t, Options{Log: log})
	submit(t, m, poolEdit("p", 0))
	submit(t, m, poolEdit("p", 1))
	stop()
	before := m.opts.View.Digest()

	log.withLock(func() { s := log.stream(platform.StreamControl); s.records = s.records[:1] })
	must.ErrorContains(t, m.readLog(testContext(t)), "log ends at offset 1")
	log.recreate(0)
	must.ErrorContains(t, m.readLog(testContext(t)), "log is in epoch 0")
	must.Eq(t, before, m.opts.View.Digest())
	log.recreate(2)
	must.ErrorContains(t, m.readLog(testContext(t)), "epoch 2 is not open yet")
	must.Eq(t, before, m.opts.View.Digest())
}

func TestJoinLeaveAndRejoin(t *testing.T) {
	log, network := newFakeLog(), newNetwork()
	a, _ := startNode(t, network, log, "a", false)
	eventually(t, "a joined", hasJoined(a, "a"))
	row, _ := a.opts.View.Daemon("a")
	v := submit(t, a, &state.Record{Leave: &state.Leave{Daemon: "a", BootID: row.BootID}})
	eventually(t, "a joined again", func() bool {
		rejoined, ok := a.opts.View.Daemon("a")
		return ok && v.Pos.Before(rejoined.Pos)
	})
	eventually(t, "a serves", func() bool { return a.ServingStatus().MayServe() })

	submit(t, a, &state.Record{Join: &state.Join{Daemon: "a", Addr: "x", BootID: "other"}})
	eventually(t, "a refuses requests after another daemon has joined with its id", func() bool { return !a.ServingStatus().MayServe() })
	must.NoError(t, a.Leave(testContext(t)))
}

// idOwnedBy returns the id of a daemon whose Leave is submitted by owner, out of
// the two live daemons.
func idOwnedBy(owner, other string) string {
	for i := 0; ; i++ {
		id := fmt.Sprintf("dead%d", i)
		if ids.Owner("leave/"+id, []string{owner, other}) == owner {
			return id
		}
	}
}

func TestUnresponsiveDaemonIsRemoved(t *testing.T) {
	log := newFakeLog()
	m, _ := startManager(t, Options{
		Self: "a", Addr: "a", Log: log, LeaveAfter: 50 * time.Millisecond,
		LiveIDs: func() []string { return []string{"a", "b"} },
		Reports: func() []quorum.Report { return []quorum.Report{{Daemon: "b"}} },
	})
	unresponsive := idOwnedBy("a", "b")
	for _, id := range []string{"b", unresponsive} {
		submit(t, m, &state.Record{Join: &state.Join{Daemon: id, Addr: id, BootID: "1"}})
	}
	eventually(t, "a joined", hasJoined(m, "a"))
	eventually(t, "the unresponsive daemon is removed", func() bool {
		_, still := m.opts.View.Daemon(unresponsive)
		return !still
	})
	must.True(t, hasJoined(m, "a", "b")())
}

func TestDivergedDaemonRefusesRequests(t *testing.T) {
	var reports []quorum.Report
	m := New(Options{Self: "a", Log: newFakeLog(), View: view.New(), Reports: func() []quorum.Report { return reports }})
	must.NoError(t, m.readLog(t.Context()))
	m.opts.View.Apply(state.Position{Epoch: 1}, poolEdit("p", 0))
	pos, digest := m.opts.View.PositionAndDigest()
	m.updateServingStatus()
	must.True(t, m.ServingStatus().MayServe())
	reports = []quorum.Report{{Daemon: "b", Started: true, Pos: pos, Digest: digest}}
	m.updateServingStatus()
	must.False(t, m.Diverged())
	own := quorum.Report{Daemon: "a", Started: true, Pos: pos, Digest: digest}
	reports = []quorum.Report{own, {Daemon: "b", Started: true, Pos: pos, Digest: digest ^ 1<<60}}
	m.updateServingStatus()
	must.True(t, m.Diverged())
	must.False(t, m.ServingStatus().MayServe())
}
