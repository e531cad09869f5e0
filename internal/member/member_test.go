package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestClusterConvergesAfterStart(t *testing.T) {
	for _, n := range []int{1, 2, 3, 15, 45} {
		s := newSim(t, n, 7)
		took := s.runUntil(20*time.Second, s.converged)
		t.Logf("%d members converged after %s", n, took)
		s.resetCounts()
		s.run(time.Minute)
		test.Zero(t, s.count(Suspected, ""))
	}
}

func TestDatagramsPerMemberStayConstant(t *testing.T) {
	perSecond := func(n int) float64 {
		s := newSim(t, n, 3)
		s.runUntil(time.Minute, s.converged)
		s.run(time.Minute)
		s.resetCounts()
		s.run(time.Minute)
		return float64(s.sent) / 60 / float64(n)
	}
	small, large := perSecond(15), perSecond(60)
	t.Logf("datagrams sent per second and member: %.2f of 15, %.2f of 60", small, large)
	test.Less(t, 3, large)
	test.Less(t, small*1.2, large)
}

func TestKilledMemberIsDetectedByAll(t *testing.T) {
	var times []time.Duration
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, 15, seed)
		s.runUntil(20*time.Second, s.converged)
		s.run(10 * time.Second)
		s.nodes["d07"].down = true
		took := s.runUntil(15*time.Second, s.converged)
		times = append(times, took)
		t.Logf("all members converged %s after the kill", took)
		test.Zero(t, s.count(Died, "")-14)
	})
	t.Logf("median time to converge after a kill: %s", median(times))
}

func TestResumedMemberSuspectsNoOthers(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, 15, seed)
		s.runUntil(20*time.Second, s.converged)
		for _, pause := range []time.Duration{3 * time.Second, 40 * time.Second} {
			s.resetCounts()
			s.nodes["d03"].pausedUntil = s.now.Add(pause)
			s.run(pause + time.Second)
			s.runUntil(30*time.Second, s.converged)
			s.run(20 * time.Second)
			test.Positive(t, s.count(Resumed, "d03"))
			for _, id := range s.ids {
				if id != "d03" {
					test.Zero(t, s.count(Suspected, id), test.Sprint(id))
				}
			}
		}
	})
}

func TestPacketLossCausesNoFalseDeath(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, 15, seed)
		s.runUntil(20*time.Second, s.converged)
		s.resetCounts()
		s.loss = 0.05
		s.run(3 * time.Minute)
		test.Zero(t, s.count(Died, ""))
		t.Logf("suspicions under 5%% loss in 3 min: %d", s.count(Suspected, ""))
	})
}

func TestMembershipConvergesAfterPartition(t *testing.T) {
	inFirstPart := func(id string) bool { return id < "d07" }
	for _, length := range []time.Duration{10 * time.Second, 2 * time.Minute, 30 * time.Minute} {
		s := newSim(t, 15, 11)
		s.runUntil(20*time.Second, s.converged)
		s.linkDown = func(a, b string) bool { return inFirstPart(a) != inFirstPart(b) }
		s.run(length)
		test.Eq(t, 6, aliveCount(s.nodes["d00"].detector))
		test.Eq(t, 7, aliveCount(s.nodes["d10"].detector))
		s.linkDown = func(string, string) bool { return false }
		took := s.runUntil(time.Minute, s.converged)
		t.Logf("after a partition of %s, all members converged in %s", length, took)
	}
}

func TestOneWayLinkFailureKeepsMemberLive(t *testing.T) {
	s := newSim(t, 15, 5)
	s.runUntil(20*time.Second, s.converged)
	s.resetCounts()
	s.linkDown = func(a, b string) bool { return a == "d02" && b == "d03" }
	s.run(time.Minute)
	test.Zero(t, s.count(Died, ""))
}

func TestRestartReplacesPreviousProcess(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Minute} {
		s := newSim(t, 15, 9)
		s.runUntil(20*time.Second, s.converged)
		s.nodes["d05"].down = true
		s.run(wait)
		s.start("d05")
		s.runUntil(30*time.Second, func() bool {
			for _, n := range s.runningNodes() {
				for _, m := range n.detector.Members() {
					if m.ID == "d05" && (m.BootID != "d05-2" || !m.Live()) {
						return false
					}
				}
			}
			return s.converged()
		})
	}
}

func TestLeaveIsNotReportedAsDeath(t *testing.T) {
	s := newSim(t, 15, 13)
	s.runUntil(20*time.Second, s.converged)
	s.resetCounts()
	n := s.nodes["d04"]
	s.perform(n, n.detector.Leave(s.now))
	s.run(10 * time.Millisecond)
	n.down = true
	took := s.runUntil(10*time.Second, s.converged)
	t.Logf("all members learned of the departure within %s", took)
	test.Zero(t, s.count(Died, ""))
	test.Eq(t, 14, s.count(Departed, "d04"))
	s.start("d04")
	s.runUntil(10*time.Second, s.converged)
}

func TestProbeNowSpeedsUpDetection(t *testing.T) {
	s := newSim(t, 15, 17)
	s.runUntil(20*time.Second, s.converged)
	s.nodes["d07"].down = true
	for _, n := range s.runningNodes() {
		s.perform(n, n.detector.ProbeNow("d07", s.now))
	}
	took := s.runUntil(5*time.Second, s.converged)
	t.Logf("all members converged %s after a kill of which all were notified", took)
}

func TestDuplicateIdentityIsReported(t *testing.T) {
	s := newSim(t, 3, 1)
	s.runUntil(20*time.Second, s.converged)
	d := s.nodes["d02"].detector
	duplicate := d.Self()
	duplicate.BootID = "another"
	for _, a := range d.Receive(&Message{Kind: Ping, Sender: duplicate}, s.now) {
		if a.Event != nil && a.Event.Kind == Duplicate {
			return
		}
	}
	t.Fatal("no Duplicate event for a message of another process with this daemon's id")
}

func TestInvalidMessagesAreIgnored(t *testing.T) {
	long := string(make([]byte, 100))
	good := Node{ID: "x", Addr: "x", BootID: "b"}
	cases := map[string]Message{
		"no sender":        {Kind: Ping},
		"long id":          {Kind: Ping, Sender: Node{ID: long, Addr: "x", BootID: "b"}},
		"long address":     {Kind: Ping, Sender: Node{ID: "x", Addr: long, BootID: "b"}},
		"unknown status":   {Kind: Ping, Sender: Node{ID: "x", Addr: "x", BootID: "b", Status: 9}},
		"too many updates": {Kind: Ping, Sender: good, Updates: make([]Update, MaxUpdates+1)},
		"too many metas":   {Kind: Ping, Sender: good, Metas: make([]MetaUpdate, MaxMetas+1)},
	}
	for name, m := range cases {
		d, err := New(Options{ID: "me", Addr: "me", BootID: "b", Rand: rand.New(rand.NewPCG(1, 1))}, time.Unix(0, 0))
		must.NoError(t, err)
		test.SliceEmpty(t, d.Receive(&m, time.Unix(0, 0)), test.Sprint(name))
		test.SliceEmpty(t, d.Members(), test.Sprint(name))
	}
}

func TestInvalidOptionsAreRejected(t *testing.T) {
	for _, o := range []Options{
		{Addr: "a", BootID: "b"}, {ID: "i", BootID: "b"}, {ID: "i", Addr: "a"}, {ID: string(make([]byte, 64)), Addr: "a", BootID: "b"},
	} {
		_, err := New(o, time.Unix(0, 0))
		test.Error(t, err)
	}
}

// TestUpdateOrderDoesNotMatter checks that all members converge on the same
// record of a member, whatever the order in which updates about it arrive.
func TestUpdateOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Node {
			return Node{
				ID: "m", Addr: "a", BootID: rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "boot"),
				Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"),
				Status:      Status(rapid.IntRange(0, 3).Draw(t, "status")),
			}
		}), 1, 8).Draw(t, "records")
		order := rapid.Permutation(records).Draw(t, "order")
		a, b := recordAfter(records), recordAfter(order)
		if a != b {
			t.Fatal(fmt.Sprintf("the record is %+v in one order of updates and %+v in another", a, b))
		}
	})
}

// recordAfter returns the record that a detector has after the given updates
// about one member.
func recordAfter(records []Node) Node {
	now := time.Unix(0, 0)
	d, err := New(Options{ID: "me", Addr: "me", BootID: "b", Rand: rand.New(rand.NewPCG(1, 1))}, now)
	if err != nil {
		panic(err)
	}
	for _, r := range records {
		d.applyUpdate(now, Update{Node: r, ReportedBy: "x"})
	}
	return d.Members()[0]
}
