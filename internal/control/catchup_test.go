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

func TestGapsAreRefused(t *testing.T) {
	log := newFakeLog()
	m := New(Options{Log: log, View: view.New()})
	log.with(func() {
		s := log.stream(platform.StreamControl)
		s.records = []platform.Record{{Offset: 0}, {Offset: 2}, {Offset: 3}}
	})
	must.ErrorContains(t, m.follow(testContext(t)), "offset 2 where 1/1 was asked")
	must.Eq(t, state.Position{Epoch: 1}, m.opts.View.Position())

	ask := &wire.RecordsRequest{Started: true, After: m.opts.View.Position()}
	for _, next := range []state.Position{{Epoch: 1, Offset: 2}, {Epoch: 1}, {Epoch: 2, Offset: 1}} {
		must.Error(t, m.foldPeer(ask, []wire.RawRecord{{Pos: next}}))
	}
	last := state.Position{Epoch: 1, Offset: 1}
	must.NoError(t, m.foldPeer(ask, []wire.RawRecord{{Pos: last}}))
	must.Eq(t, last, m.opts.View.Position())

	ask.After = last
	next := state.Position{Epoch: 2}
	must.Error(t, m.foldPeer(ask, []wire.RawRecord{{Pos: next}}), must.Sprint("an epoch without its Open"))
	other, mine := m.opts.View.Snapshot(), m.opts.View.Snapshot()
	other.Pos.Offset--
	must.Error(t, m.foldPeer(ask, []wire.RawRecord{{Pos: next, Data: openRecord(t, other)}}), must.Sprint("another base"))
	must.NoError(t, m.foldPeer(ask, []wire.RawRecord{{Pos: next, Data: openRecord(t, mine)}}))
	must.Eq(t, next, m.opts.View.Position())
}

func openRecord(t *testing.T, base *state.State) []byte {
	t.Helper()
	data, err := wire.EncodeRecord(&state.Record{ID: "open", Open: &state.Open{Base: base.Pos, Digest: base.Digest()}})
	must.NoError(t, err)
	return data
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
	until(t, "b is caught up", b.CaughtUp)
	must.Eq(t, LogAgeUnknown, b.LogAge(time.Now()))
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
	must.False(t, c.CaughtUp(), must.Sprint("one of two joined daemons is no majority"))
	net.add("b", b)
	until(t, "c is caught up", c.CaughtUp)
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
		must.False(t, alone.CaughtUp())
	})
	t.Run("from a peer", func(t *testing.T) {
		b, _ := node(t, net, log, "b", false)
		until(t, "b is caught up", b.CaughtUp)
		must.True(t, hasPool(b, "p")())
		net.remove("b")
	})
	t.Run("from a snapshot, replayed from its own position", func(t *testing.T) {
		_, err := a.writeSnapshot(testContext(t))
		must.NoError(t, err)
		submit(t, a, poolEdit("q", 0))
		alone, _ := start(t, Options{Log: log})
		until(t, "caught up", alone.CaughtUp)
		must.True(t, hasPool(alone, "p")())
		must.True(t, hasPool(alone, "q")())
		until(t, "same digest", func() bool { return alone.opts.View.Digest() == a.opts.View.Digest() })
	})
	t.Run("the audit begins at the oldest record and starts from the snapshot", func(t *testing.T) {
		trail, err := a.AuditTrail(testContext(t))
		must.NoError(t, err)
		must.Greater(t, 0, trail.Begin.Offset)
		must.True(t, trail.Base.Started)
		entries := audit.Entries(trail)
		must.Eq(t, audit.Accepted, entries[len(entries)-1].Result)
		must.Eq(t, trail.Begin.String(), entries[0].Position)
	})
	t.Run("a broken snapshot is passed over", func(t *testing.T) {
		log.with(func() {
			s := log.stream(platform.StreamSnapshots)
			s.records = append(s.records, platform.Record{Offset: s.next(), Data: []byte("x")})
		})
		alone, _ := start(t, Options{Log: log})
		until(t, "caught up", alone.CaughtUp)
	})
}

func TestNewEpochGoesOnFromTheOldState(t *testing.T) {
	log, net := newFakeLog(), newMesh()
	a, _ := node(t, net, log, "a", false)
	b, way := node(t, net, log, "b", false)
	submit(t, a, poolEdit("p", 0))
	until(t, "b has it", hasPool(b, "p"))
	until(t, "a has joined", joined(a, "a"))
	way.setCut(true)
	net.remove("a") // the last record of the epoch reaches a alone
	submit(t, a, poolEdit("q", 0))
	log.reset(2)
	net.add("a", a)
	way.setCut(false)
	until(t, "the epoch is open", func() bool { return a.opts.View.Position().Epoch == 2 })
	submit(t, a, poolEdit("r", 0))
	until(t, "b has the new epoch", hasPool(b, "r"))
	must.True(t, hasPool(b, "q")())
	until(t, "same digest", func() bool { return b.opts.View.Digest() == a.opts.View.Digest() })

	net.remove("a")
	net.remove("b")
	alone, _ := start(t, Options{Log: log})
	until(t, "a new daemon is caught up", alone.CaughtUp)
	must.True(t, hasPool(alone, "p")(), must.Sprint("from the snapshot that the epoch was opened on"))
	must.True(t, hasPool(alone, "r")())
}

func TestNewEpochThatLacksRecordsIsNotEntered(t *testing.T) {
	log := newFakeLog()
	behind, _ := start(t, Options{Log: log})
	ahead, stop := start(t, Options{Log: log})
	submit(t, ahead, poolEdit("p", 0))
	until(t, "both have the edit", hasPool(behind, "p"))
	stop()
	pos := state.Position{Epoch: 1, Offset: 1}
	ahead.opts.View.Apply(pos, poolEdit("q", 0)) // known here alone
	log.reset(2)
	until(t, "the epoch is open", func() bool { return behind.opts.View.Position().Epoch == 2 })

	must.ErrorContains(t, ahead.follow(testContext(t)), "builds on another state")
	must.False(t, ahead.tail.load(behind.opts.View.Snapshot()))
	must.Eq(t, pos, ahead.opts.View.Position())
}

func TestNewLogWithoutAnyState(t *testing.T) {
	log := newFakeLog()
	log.reset(2)
	m, _ := start(t, Options{Log: log})
	must.ErrorContains(t, m.follow(testContext(t)), "epoch 2 is not open yet")
	must.False(t, m.CaughtUp())
	_, err := m.Submit(testContext(t), poolEdit("p", 0))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)

	must.NoError(t, m.OpenEmptyEpoch(testContext(t)))
	until(t, "caught up", m.CaughtUp)
	must.True(t, submit(t, m, poolEdit("p", 0)).Accepted)
	must.Error(t, m.OpenEmptyEpoch(testContext(t)))
}

func TestReadsOfAFleetAreBounded(t *testing.T) {
	for _, n := range []int{1, 7, 15, 350} {
		live := make([]string, n)
		o := Options{LiveIDs: func() []string { return live }}.withDefaults()
		perSecond := float64(n) / o.readInterval().Seconds()
		must.LessEq(t, DefaultReadsPerSecond+0.01, perSecond)
		must.GreaterEq(t, DefaultReadInterval, o.readInterval())
	}
}

func TestLargeFleetTakesAnnouncedRecordsFromPeers(t *testing.T) {
	live := make([]string, 350)
	for i := range live {
		live[i] = fmt.Sprint("d", i)
	}
	log, net := newFakeLog(), newMesh()
	a, _ := node(t, net, log, "a", false)
	submit(t, a, poolEdit("p", 0))
	m := New(Options{
		Self: "b", Log: &gate{fakeLog: log, cut: true}, View: view.New(), Peers: port{mesh: net, self: "b"},
		LiveIDs: func() []string { return live },
	})
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	m.nudgeFrom(a.opts.View.Position(), "a")
	must.Eq(t, 0, len(m.prompt), must.Sprint("the log is not read for it"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.hintLoop(ctx)
	}()
	until(t, "the record comes from the peer", hasPool(m, "p"))
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
