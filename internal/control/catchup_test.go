package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/audit"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/view"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// TestRecordGapsAreRefused guards against a gap in the records of the log or of a
// peer, after which the state would differ from that of the other daemons.
func TestRecordGapsAreRefused(t *testing.T) {
	log := newFakeLog()
	m := New(Options{Log: log, View: view.New()})
	log.withLock(func() {
		s := log.stream(platform.StreamControl)
		s.records = []platform.Record{{Offset: 0}, {Offset: 2}, {Offset: 3}}
	})
	must.ErrorContains(t, m.readLog(testContext(t)), "offset 2 where 1/1 was requested")
	must.Eq(t, state.Position{Epoch: 1}, m.opts.View.Position())

	req := &wire.RecordsRequest{Started: true, After: m.opts.View.Position()}
	for _, next := range []state.Position{{Epoch: 1, Offset: 2}, {Epoch: 1}, {Epoch: 2, Offset: 1}} {
		must.Error(t, m.applyPeerRecords(req, []wire.RawRecord{{Pos: next}}))
	}
	last := state.Position{Epoch: 1, Offset: 1}
	must.NoError(t, m.applyPeerRecords(req, []wire.RawRecord{{Pos: last}}))
	must.Eq(t, last, m.opts.View.Position())

	req.After = last
	next := state.Position{Epoch: 2}
	must.Error(t, m.applyPeerRecords(req, []wire.RawRecord{{Pos: next}}), must.Sprint("an epoch without an Open record must be refused"))
	other, mine := m.opts.View.Snapshot(), m.opts.View.Snapshot()
	other.Pos.Offset--
	must.Error(t, m.applyPeerRecords(req, []wire.RawRecord{{Pos: next, Data: openRecord(t, other)}}), must.Sprint("an epoch with another base must be refused"))
	must.NoError(t, m.applyPeerRecords(req, []wire.RawRecord{{Pos: next, Data: openRecord(t, mine)}}))
	must.Eq(t, next, m.opts.View.Position())
}

func openRecord(t *testing.T, base *state.State) []byte {
	t.Helper()
	data, err := wire.EncodeRecord(&state.Record{ID: "open", Open: &state.Open{Base: base.Pos, Digest: base.Digest()}})
	must.NoError(t, err)
	return data
}

func TestRecentRecordsAreContiguous(t *testing.T) {
	at := func(o uint64) state.Position { return state.Position{Epoch: 1, Offset: o} }
	recent := &recentRecords{view: view.New()}
	const n = maxRecentRecords + 10
	for i := range uint64(n) {
		_, applied := recent.apply(wire.RawRecord{Pos: at(i)}, nil)
		must.True(t, applied)
	}
	_, applied := recent.apply(wire.RawRecord{Pos: at(5)}, nil)
	must.False(t, applied)
	cases := []struct {
		name       string
		after      uint64
		started    bool
		want       int
		contiguous bool
	}{
		{"start of the stream, which is not kept", 0, false, 0, false},
		{"before the kept records", 8, true, 0, false},
		{"just before the first kept record", 9, true, maxRecentRecords, true},
		{"within the kept records", n - 4, true, 3, true},
		{"at the last record", n - 1, true, 0, true},
		{"after the last record", n + 5, true, 0, true},
	}
	for _, c := range cases {
		records, contiguous := recent.after(at(c.after), c.started)
		must.Eq(t, c.contiguous, contiguous, must.Sprint(c.name))
		must.Len(t, c.want, records, must.Sprint(c.name))
	}
	s := state.New()
	s.Apply(at(n+100), nil)
	must.True(t, recent.load(s))
	_, contiguous := recent.after(at(n-1), true)
	must.False(t, contiguous, must.Sprint("records before a loaded state are not kept"))
}

// TestDaemonWithoutLogCatchesUpFromPeer checks that a daemon that cannot reach the
// log gets the records from a peer that can.
func TestDaemonWithoutLogCatchesUpFromPeer(t *testing.T) {
	log, network := newFakeLog(), newNetwork()
	a, _ := startNode(t, network, log, "a", false)
	b, _ := startNode(t, network, log, "b", true)
	submit(t, a, poolEdit("p", 0))
	eventually(t, "b has the edit from a", hasPool(b, "p"))
	eventually(t, "b is caught up", b.CaughtUp)
	must.Eq(t, LogAgeUnknown, b.LogAge(time.Now()))
}

// TestNewDaemonDuringOutageNeedsMajority guards against a new daemon that serves
// the state of a single peer, which may be out of date, while the log is
// unreachable.
func TestNewDaemonDuringOutageNeedsMajority(t *testing.T) {
	log, network := newFakeLog(), newNetwork()
	a, _ := startNode(t, network, log, "a", false)
	b, _ := startNode(t, network, log, "b", false)
	submit(t, a, poolEdit("p", 0))
	for _, m := range []*Manager{a, b} {
		eventually(t, "both have joined", hasJoined(m, "a", "b"))
		eventually(t, "the edit is applied", hasPool(m, "p"))
	}
	log.setUnreachable(true)
	network.remove("b")

	c, _ := startNode(t, network, log, "c", false)
	eventually(t, "c has the state of a", hasPool(c, "p"))
	must.False(t, c.CaughtUp(), must.Sprint("one of two joined daemons is not a majority"))
	network.add("b", b)
	eventually(t, "c is caught up", c.CaughtUp)
}

// TestTrimmedLog checks that a daemon which needs records that the log has dropped
// gets the state from a peer or a snapshot, and fails if there is neither.
func TestTrimmedLog(t *testing.T) {
	log, network := newFakeLog(), newNetwork()
	a, _ := startNode(t, network, log, "a", false)
	submit(t, a, poolEdit("p", 0))
	eventually(t, "a joined", hasJoined(a, "a"))

	t.Run("without a snapshot or a peer", func(t *testing.T) {
		log.trim()
		alone, _ := startManager(t, Options{Log: log})
		err := alone.readLog(testContext(t))
		must.ErrorContains(t, err, "neither a snapshot nor a peer")
		must.False(t, alone.CaughtUp())
	})
	t.Run("from a peer", func(t *testing.T) {
		b, _ := startNode(t, network, log, "b", false)
		eventually(t, "b is caught up", b.CaughtUp)
		must.True(t, hasPool(b, "p")())
		network.remove("b")
	})
	t.Run("from a snapshot and the records after it", func(t *testing.T) {
		_, err := a.writeSnapshot(testContext(t))
		must.NoError(t, err)
		submit(t, a, poolEdit("q", 0))
		alone, _ := startManager(t, Options{Log: log})
		eventually(t, "caught up", alone.CaughtUp)
		must.True(t, hasPool(alone, "p")())
		must.True(t, hasPool(alone, "q")())
		eventually(t, "same digest", func() bool { return alone.opts.View.Digest() == a.opts.View.Digest() })
	})
	t.Run("audit from the oldest record, based on the snapshot", func(t *testing.T) {
		trail, err := a.AuditTrail(testContext(t))
		must.NoError(t, err)
		must.Greater(t, 0, trail.Begin.Offset)
		must.True(t, trail.Base.Started)
		entries := audit.Entries(trail)
		must.Eq(t, audit.Accepted, entries[len(entries)-1].Result)
		must.Eq(t, trail.Begin.String(), entries[0].Position)
	})
	t.Run("an invalid snapshot is skipped", func(t *testing.T) {
		log.withLock(func() {
			s := log.stream(platform.StreamSnapshots)
			s.records = append(s.records, platform.Record{Offset: s.next(), Data: []byte("x")})
		})
		alone, _ := startManager(t, Options{Log: log})
		eventually(t, "caught up", alone.CaughtUp)
	})
}

// TestNewEpochContinuesFromOldState checks that after a recreation of the log the
// epoch is opened on the latest state of any daemon, that a daemon which lags
// catches up to it, and that a new daemon starts from the snapshot of it.
func TestNewEpochContinuesFromOldState(t *testing.T) {
	log, network := newFakeLog(), newNetwork()
	a, _ := startNode(t, network, log, "a", false)
	b, access := startNode(t, network, log, "b", false)
	submit(t, a, poolEdit("p", 0))
	eventually(t, "b has the edit", hasPool(b, "p"))
	eventually(t, "a has joined", hasJoined(a, "a"))
	access.setCut(true)
	network.remove("a") // only a applies the last record of the epoch
	submit(t, a, poolEdit("q", 0))
	log.recreate(2)
	network.add("a", a)
	access.setCut(false)
	eventually(t, "the epoch is open", func() bool { return a.opts.View.Position().Epoch == 2 })
	submit(t, a, poolEdit("r", 0))
	eventually(t, "b has the new epoch", hasPool(b, "r"))
	must.True(t, hasPool(b, "q")())
	eventually(t, "same digest", func() bool { return b.opts.View.Digest() == a.opts.View.Digest() })

	network.remove("a")
	network.remove("b")
	alone, _ := startManager(t, Options{Log: log})
	eventually(t, "a new daemon is caught up", alone.CaughtUp)
	must.True(t, hasPool(alone, "p")(), must.Sprint("the snapshot that the epoch was opened on must be loaded"))
	must.True(t, hasPool(alone, "r")())
}

// TestNewEpochWithoutOwnRecordsIsNotEntered guards against a daemon that discards
// records it has applied in order to enter an epoch based on an earlier state.
func TestNewEpochWithoutOwnRecordsIsNotEntered(t *testing.T) {
	log := newFakeLog()
	behind, _ := startManager(t, Options{Log: log})
	ahead, stop := startManager(t, Options{Log: log})
	submit(t, ahead, poolEdit("p", 0))
	eventually(t, "both have the edit", hasPool(behind, "p"))
	stop()
	pos := state.Position{Epoch: 1, Offset: 1}
	ahead.opts.View.Apply(pos, poolEdit("q", 0)) // no other daemon has this record
	log.recreate(2)
	eventually(t, "the epoch is open", func() bool { return behind.opts.View.Position().Epoch == 2 })

	must.ErrorContains(t, ahead.readLog(testContext(t)), "is based on another state")
	must.False(t, ahead.recent.load(behind.opts.View.Snapshot()))
	must.Eq(t, pos, ahead.opts.View.Position())
}

// TestNewLogWithoutStateIsOpenedByOperator checks that a log in a later epoch is
// not used without an Open record, and that an operator can open it empty.
func TestNewLogWithoutStateIsOpenedByOperator(t *testing.T) {
	log := newFakeLog()
	log.recreate(2)
	m, _ := startManager(t, Options{Log: log})
	must.ErrorContains(t, m.readLog(testContext(t)), "epoch 2 is not open yet")
	must.False(t, m.CaughtUp())
	_, err := m.Submit(testContext(t), poolEdit("p", 0))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)

	must.NoError(t, m.OpenEmptyEpoch(testContext(t)))
	eventually(t, "caught up", m.CaughtUp)
	must.True(t, submit(t, m, poolEdit("p", 0)).Accepted)
	must.Error(t, m.OpenEmptyEpoch(testContext(t)))
}

func TestReadRateOfFleetIsBounded(t *testing.T) {
	for _, n := range []int{1, 7, 15, 350} {
		live := make([]string, n)
		o := Options{LiveIDs: func() []string { return live }}.withDefaults()
		perSecond := float64(n) / o.readInterval().Seconds()
		must.LessEq(t, DefaultReadsPerSecond+0.01, perSecond)
		must.GreaterEq(t, DefaultReadInterval, o.readInterval())
	}
}

// TestLargeFleetPullsAnnouncedRecordsFromPeers guards against an edit that makes
// all daemons of a large fleet read the log at once.
func TestLargeFleetPullsAnnouncedRecordsFromPeers(t *testing.T) {
	live := make([]string, 350)
	for i := range live {
		live[i] = fmt.Sprint("d", i)
	}
	log, network := newFakeLog(), newNetwork()
	a, _ := startNode(t, network, log, "a", false)
	submit(t, a, poolEdit("p", 0))
	m := New(Options{
		Self: "b", Log: &logAccess{fakeLog: log, cut: true}, View: view.New(), Peers: endpoint{network: network, self: "b"},
		LiveIDs: func() []string { return live },
	})
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	m.handlePositionUpdate(a.opts.View.Position(), "a")
	must.Eq(t, 0, len(m.readRequests), must.Sprint("the update must not trigger a read of the log"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.pullLoop(ctx)
	}()
	eventually(t, "the record comes from the peer", hasPool(m, "p"))
	cancel()
	<-done
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
		{"no snapshot known", lastSnapshot{}, at(50), at(0), true},
		{"recent", last, at(149), at(0), false},
		{"many records", last, at(150), at(0), true},
		{"no new records, a quarter of the retention has passed", lastSnapshot{known: true, pos: at(50), at: now.Add(-10 * time.Second), epoch: 1}, at(50), at(0), true},
		{"records after it will soon be trimmed", last, at(60), at(45), true},
		{"no records after it", last, at(50), at(51), false},
		{"new epoch of the log", last, at(50), state.Position{Epoch: 2}, true},
		{"clock moved backwards", lastSnapshot{known: true, pos: at(50), at: now.Add(time.Hour), epoch: 1}, at(50), at(0), true},
	}
	for _, c := range cases {
		must.Eq(t, c.want, s.due(c.last, c.pos, c.first, now), must.Sprint(c.name))
	}
}
