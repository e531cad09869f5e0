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

func TestJoinAndSettle(t *testing.T) {
	for _, n := range []int{1, 2, 3, 15, 45} {
		s := newSim(t, n, 7)
		took := s.until(20*time.Second, s.agreed)
		t.Logf("%d members agree after %s", n, took)
		s.forget()
		s.run(time.Minute)
		test.Zero(t, s.count(Suspected, ""))
	}
}

func TestCostPerMemberIsConstant(t *testing.T) {
	perSecond := func(n int) float64 {
		s := newSim(t, n, 3)
		s.until(time.Minute, s.agreed)
		s.run(time.Minute)
		s.forget()
		s.run(time.Minute)
		return float64(s.sent) / 60 / float64(n)
	}
	small, large := perSecond(15), perSecond(60)
	t.Logf("datagrams sent per second and member: %.2f of 15, %.2f of 60", small, large)
	test.Less(t, 3, large)
	test.Less(t, small*1.2, large)
}

func TestKillIsSeenByAll(t *testing.T) {
	var times []time.Duration
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, 15, seed)
		s.until(20*time.Second, s.agreed)
		s.run(10 * time.Second)
		s.nodes["d07"].down = true
		took := s.until(15*time.Second, s.agreed)
		times = append(times, took)
		t.Logf("all agree %s after the kill", took)
		test.Zero(t, s.count(Died, "")-14)
	})
	t.Logf("median %s", median(times))
}

func TestPausedMemberComesBackWithoutAccusing(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, 15, seed)
		s.until(20*time.Second, s.agreed)
		for _, pause := range []time.Duration{3 * time.Second, 40 * time.Second} {
			s.forget()
			s.nodes["d03"].paused = s.now.Add(pause)
			s.run(pause + time.Second)
			s.until(30*time.Second, s.agreed)
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

func TestLossRaisesNoFalseDeath(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, 15, seed)
		s.until(20*time.Second, s.agreed)
		s.forget()
		s.loss = 0.05
		s.run(3 * time.Minute)
		test.Zero(t, s.count(Died, ""))
		t.Logf("suspicions under 5%% loss in 3 min: %d", s.count(Suspected, ""))
	})
}

func TestPartitionHeals(t *testing.T) {
	side := func(id string) bool { return id < "d07" }
	for _, length := range []time.Duration{10 * time.Second, 2 * time.Minute, 30 * time.Minute} {
		s := newSim(t, 15, 11)
		s.until(20*time.Second, s.agreed)
		s.cut = func(a, b string) bool { return side(a) != side(b) }
		s.run(length)
		test.Eq(t, 6, live(s.nodes["d00"].d))
		test.Eq(t, 7, live(s.nodes["d10"].d))
		s.cut = func(string, string) bool { return false }
		took := s.until(time.Minute, s.agreed)
		t.Logf("after %s apart, all agree in %s", length, took)
	}
}

func TestOneWayLinkKeepsMemberLive(t *testing.T) {
	s := newSim(t, 15, 5)
	s.until(20*time.Second, s.agreed)
	s.forget()
	s.cut = func(a, b string) bool { return a == "d02" && b == "d03" }
	s.run(time.Minute)
	test.Zero(t, s.count(Died, ""))
}

func TestRestartReplacesTheOldProcess(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Minute} {
		s := newSim(t, 15, 9)
		s.until(20*time.Second, s.agreed)
		s.nodes["d05"].down = true
		s.run(wait)
		s.start("d05")
		s.until(30*time.Second, func() bool {
			for _, n := range s.up() {
				for _, m := range n.d.Members() {
					if m.ID == "d05" && (m.BootID != "d05-2" || !m.Live()) {
						return false
					}
				}
			}
			return s.agreed()
		})
	}
}

func TestLeaveIsNoDeath(t *testing.T) {
	s := newSim(t, 15, 13)
	s.until(20*time.Second, s.agreed)
	s.forget()
	n := s.nodes["d04"]
	s.act(n, n.d.Leave(s.now))
	s.run(10 * time.Millisecond)
	n.down = true
	took := s.until(10*time.Second, s.agreed)
	t.Logf("all know of the departure after %s", took)
	test.Zero(t, s.count(Died, ""))
	test.Eq(t, 14, s.count(Departed, "d04"))
	s.start("d04")
	s.until(10*time.Second, s.agreed)
}

func TestCheckFindsAKillSooner(t *testing.T) {
	s := newSim(t, 15, 17)
	s.until(20*time.Second, s.agreed)
	s.nodes["d07"].down = true
	for _, n := range s.up() {
		s.act(n, n.d.ProbeNow("d07", s.now))
	}
	took := s.until(5*time.Second, s.agreed)
	t.Logf("all agree %s after a kill that all were told of", took)
}

func TestDuplicateIdentityIsReported(t *testing.T) {
	s := newSim(t, 3, 1)
	s.until(20*time.Second, s.agreed)
	d := s.nodes["d02"].d
	twin := d.Self()
	twin.BootID = "another"
	for _, a := range d.Receive(&Message{Kind: Ping, Sender: twin}, s.now) {
		if a.Event != nil && a.Event.Kind == Duplicate {
			return
		}
	}
	t.Fatal("no event")
}

func TestHostileFieldsAreIgnored(t *testing.T) {
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

func TestOptionsAreChecked(t *testing.T) {
	for _, o := range []Options{
		{Addr: "a", BootID: "b"}, {ID: "i", BootID: "b"}, {ID: "i", Addr: "a"}, {ID: string(make([]byte, 64)), Addr: "a", BootID: "b"},
	} {
		_, err := New(o, time.Unix(0, 0))
		test.Error(t, err)
	}
}

// Whatever the order in which facts about a member arrive, all members end
// with the same belief.
func TestFactsCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Node {
			return Node{
				ID: "m", Addr: "a", BootID: rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "boot"),
				Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"),
				Status:      Status(rapid.IntRange(0, 3).Draw(t, "status")),
			}
		}), 1, 8).Draw(t, "facts")
		order := rapid.Permutation(facts).Draw(t, "order")
		a, b := believe(facts), believe(order)
		if a != b {
			t.Fatal(fmt.Sprintf("%+v and %+v", a, b))
		}
	})
}

func believe(facts []Node) Node {
	now := time.Unix(0, 0)
	d, err := New(Options{ID: "me", Addr: "me", BootID: "b", Rand: rand.New(rand.NewPCG(1, 1))}, now)
	if err != nil {
		panic(err)
	}
	for _, f := range facts {
		d.apply(now, Update{Node: f, ReportedBy: "x"})
	}
	return d.Members()[0]
}
