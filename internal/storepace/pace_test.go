package storepace

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestDecide lists when a daemon calls the store, with a bound of 3 s, so that it is stale
// 1.8 s after the confirmation at second 100. It guards against daemons that all call at
// the same moment, and against a daemon that waits for a turn where nobody can help it.
func TestDecide(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	following := Fleet{Size: 350, PeersHeardAt: 102 * s}
	freshPeer, freshReader := following, following
	freshPeer.FreshPeerSince = 90 * s
	freshReader.FreshPeerSince, freshReader.FreshReader = 102*s, true
	failed := Path{FailedAt: 102 * s, Failures: 3}
	for _, c := range []struct {
		name   string
		now    time.Duration
		fleet  Fleet
		unread bool
		path   Path
		phase  float64
		at     time.Duration
		cause  Cause
		probe  bool
	}{
		{"fresh", 101 * s, following, false, Path{}, 0, 101800 * ms, Turn, false},
		{"a reader", 101 * s, Fleet{Size: 350, Role: Reading, PeersHeardAt: 101 * s}, false, Path{}, 0, 101 * s, Reader, false},
		{"a reader that is turned away", 102 * s, Fleet{Size: 350, Role: Reading, PeersHeardAt: 102 * s}, false, failed, 0, 102500 * ms, Reader, true},
		{"ranks as a reader, and others are served", 102 * s, Fleet{Size: 350, Role: Probing, PeersHeardAt: 102 * s}, false, failed, 0, 106 * s, Reader, true},
		{"records that were not pushed", 101 * s, following, true, Path{}, 0, 101 * s, Gap, false},
		{"records that were not pushed, and turned away", 102 * s, following, true, failed, 0.5, 102*s + 87500*ms, Gap, true},
		{"the first turn", 102 * s, following, false, Path{}, 0, 101800 * ms, Turn, true},
		{"a turn in the burst", 102 * s, following, false, Path{}, 12.0 / 350, 102300 * ms, Turn, true},
		{"a later turn", 102 * s, following, false, Path{}, 64.0 / 350, 112800 * ms, Turn, true},
		{"the second turn", 102 * s, following, false, failed, 0.5, 102*s + 87500*ms, Turn, true},
		{"a disruption shortly after another", 102 * s, following, false, Path{BurstAt: 95 * s}, 12.0 / 350, 104800 * ms, Turn, true},
		{"peers are fresh, and no reader is heard", 102 * s, freshPeer, false, Path{}, 0.5, 102950 * ms, Turn, true},
		{"a new reader is heard, before its confirmation", 102 * s, freshReader, false, Path{}, 0, 103 * s, Turn, true},
		{"another topic was served", 102 * s, following, false, Path{ServedAt: 102*s - ms}, 1, 102 * s, Turn, false},
		{"no peer", 102 * s, Fleet{Size: 350}, false, Path{}, 1, 102 * s, Alone, true},
		{"no peer, and turned away", 102 * s, Fleet{Size: 350}, false, Path{FailedAt: 102 * s, Failures: 1}, 1, 102200 * ms, Alone, true},
		{"no peer any more", 103 * s, following, false, Path{}, 1, 103 * s, Alone, true},
	} {
		e := Evidence{Now: c.now, Bound: 3 * s, Known: true, ConfirmedAt: 100 * s, TrustedAge: TrustedAge(3 * s), Unread: c.unread, Fleet: c.fleet}
		v := Decide(&e, &c.path, c.phase)
		must.Eq(t, c.at, v.At.Round(ms), must.Sprint(c.name))
		must.Eq(t, c.cause, v.Cause, must.Sprint(c.name))
		must.Eq(t, c.probe, v.Probe, must.Sprint(c.name))
		must.Eq(t, c.at <= c.now, v.Call, must.Sprint(c.name))
		e.Known = false
		v = Decide(&e, &c.path, c.phase)
		if c.path.Failures > 0 {
			// After a restore, a daemon that the store turns away takes turns as before.
			must.NotEq(t, FirstRead, v.Cause, must.Sprint(c.name, ", after a restore"))
			must.True(t, v.Probe, must.Sprint(c.name, ", after a restore"))
		} else {
			must.True(t, v.Call && v.Cause == FirstRead, must.Sprint(c.name, ", after a restore"))
		}
		e.ConfirmedAt = 0
		v = Decide(&e, &c.path, c.phase)
		must.True(t, v.Call && v.Cause == FirstRead, must.Sprint(c.name, ", before the first read"))
	}
}

// TestOneProbeForAllTopics guards against one retry loop for each topic.
func TestOneProbeForAllTopics(t *testing.T) {
	const s = time.Second
	var p Pacer
	e := Evidence{Now: 102 * s, Bound: 3 * s, Known: true, ConfirmedAt: 100 * s, TrustedAge: TrustedAge(3 * s)}
	probe := p.Begin(&e, 0)
	must.True(t, probe.Call)
	must.False(t, p.Begin(&e, 0).Call)
	p.End(probe, 102*s, 0, false, 0)
	must.False(t, p.Begin(&e, 0).Call, must.Sprint("the back-off is of the daemon"))
	e.Now = 103 * s
	probe = p.Begin(&e, 0)
	must.True(t, probe.Call)
	p.End(probe, 103*s, 0, true, 0)
	must.True(t, p.Begin(&e, 0).Call, must.Sprint("the other topics follow at once"))
	must.True(t, p.Begin(&e, 0).Call)
}

// TestChooseRole lists who reads with a trusted age of 1.8 s. It guards against readers
// that the store turns away, and that take the place of those it serves.
func TestChooseRole(t *testing.T) {
	const s = time.Second
	peer := func(before, reader bool, age time.Duration) PeerState {
		return PeerState{Before: before, Reader: reader, Age: age}
	}
	served, turnedAway := Path{ServedAt: 100 * s}, Path{ServedAt: 95 * s, FailedAt: 100 * s, Failures: 3}
	for _, c := range []struct {
		name  string
		age   time.Duration
		path  Path
		peers []PeerState
		role  Role
	}{
		{"alone", 9 * s, turnedAway, nil, Reading},
		{"in calm, the second", s, served, []PeerState{peer(true, true, 0), peer(false, false, s)}, Reading},
		{"in calm, the third", s, Path{}, []PeerState{peer(true, true, 0), peer(true, true, 0)}, Following},
		{"all stale, the second", 5 * s, turnedAway, []PeerState{peer(true, true, 5*s), peer(false, false, 5*s)}, Reading},
		{"all stale, the third", 5 * s, turnedAway, []PeerState{peer(true, true, 5*s), peer(true, true, 5*s)}, Following},
		{"stale, and a small machine is served", 5 * s, Path{}, []PeerState{peer(false, true, 0)}, Following},
		{"turned away, and kept fresh by a small machine", s, turnedAway, []PeerState{peer(false, true, 0)}, Probing},
		{"the same, of a low rank", s, turnedAway, []PeerState{peer(true, false, s), peer(true, false, s), peer(false, true, 0)}, Following},
		{"served in its turn, the first readers are stale", 0, served, []PeerState{peer(true, true, 2*s), peer(true, true, 2*s)}, Reading},
		{"served, the first readers are served again", 0, served, []PeerState{peer(true, true, 0), peer(true, true, 0)}, Following},
		{"kept fresh by a new reader, all others are stale", 0, Path{}, []PeerState{peer(true, false, 2*s), peer(true, false, 2*s), peer(true, true, 0)}, Following},
	} {
		must.Eq(t, c.role, ChooseRole(100*s, c.age, TrustedAge(3*s), &c.path, c.peers), must.Sprint(c.name))
	}
}

// TestCandidaciesStayBounded lets the store turn all daemons away from the planners' lease
// for 10 s, and checks that the next four of the ranking try within the same time as
// before where it serves them. All daemons tried each 0.4 s before.
func TestCandidaciesStayBounded(t *testing.T) {
	const renewal = 400 * time.Millisecond
	for _, size := range []int{15, 107, 350} {
		failedAt := make([]time.Duration, size)
		calls, firstOther := 0, time.Duration(0)
		for now := 10 * time.Second; now < 20*time.Second; now += renewal {
			for rank := range failedAt {
				c := Candidacy{Now: now, Rank: rank, Size: size, PlannerAt: 10 * time.Second, FailedAt: failedAt[rank]}
				if !c.Allowed() {
					continue
				}
				calls++
				failedAt[rank] = now
				if rank >= candidates && firstOther == 0 {
					firstOther = now - c.PlannerAt
				}
			}
		}
		t.Logf("%d daemons: %d calls in 10 s, %d of the first four", size, calls, 4*25)
		must.LessEq(t, 4*25*3/2, calls)
		must.LessEq(t, maxPlannerAbsence+renewal, firstOther)
	}
}

// TestMissingRecordsAreReadOneAfterTheOther lets all daemons of a fleet miss the same push.
// It guards against a large fleet that turns to the store at once, and against a daemon
// that waits for its peers until the bound on configurations has passed.
func TestMissingRecordsAreReadOneAfterTheOther(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	for _, c := range []struct {
		size        int
		bound       time.Duration
		first, last time.Duration
	}{
		{15, 2 * s, 75 * ms, 150 * ms},
		{107, 3 * s, 500 * ms, s},
		{350, 2 * s, 333 * ms, 667 * ms},
		{350, 3 * s, 500 * ms, s},
	} {
		e := Evidence{
			Now: 100 * s, Bound: c.bound, Known: true, ConfirmedAt: 100 * s, TrustedAge: TrustedAge(c.bound), Unread: true, UnreadSince: 100 * s,
			Fleet: Fleet{Size: c.size, PeersHeardAt: 100 * s},
		}
		perTenth := map[time.Duration]int{}
		for i := range c.size {
			v := Decide(&e, &Path{}, float64(i)/float64(c.size))
			wait := (v.At - e.UnreadSince).Round(ms)
			must.Between(t, c.first, wait, c.last, must.Sprint(c))
			perTenth[wait/(100*ms)]++
		}
		if c.size > 40 {
			for _, n := range perTenth {
				must.LessEq(t, c.size/3, n, must.Sprint(c))
			}
		}
		e.Fleet.PeersHeardAt = 0
		must.True(t, Decide(&e, &Path{}, 1).Call, must.Sprint("a daemon that hears no peer waits for one"))
	}
}
