package member

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sim runs detectors over a simulated network in simulated time.
type sim struct {
	t     *testing.T
	now   time.Time
	rand  *rand.Rand
	nodes map[string]*simNode
	ids   []string
	queue []delivery
	// loss is the fraction of datagrams that are lost. linkDown reports whether
	// no datagram gets from one node to another.
	loss     float64
	linkDown func(from, to string) bool
	sent     int
}

// simNode is a detector in the simulation and the events that it emitted.
type simNode struct {
	id          string
	detector    *Detector
	down        bool
	pausedUntil time.Time // the node runs nothing before this time
	events      []Event
	starts      int
}

// delivery is a datagram on its way through the network.
type delivery struct {
	at       time.Time
	from, to string
	msg      Message
}

const simLatency = 2 * time.Millisecond

func newSim(t *testing.T, n int, seed uint64) *sim {
	s := &sim{
		t: t, now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, seed)),
		nodes: map[string]*simNode{}, linkDown: func(string, string) bool { return false },
	}
	for i := range n {
		s.start(fmt.Sprintf("d%02d", i))
	}
	return s
}

// start starts a node, or restarts it as a new process.
func (s *sim) start(id string) *simNode {
	n := s.nodes[id]
	if n == nil {
		n = &simNode{id: id}
		s.nodes[id] = n
		s.ids = append(s.ids, id)
	}
	n.starts++
	d, err := New(Options{
		ID: id, Addr: id, BootID: fmt.Sprintf("%s-%d", id, n.starts), Seeds: []string{"d00", "d01"},
		Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 1)),
	}, s.now)
	must.NoError(s.t, err)
	n.detector, n.down = d, false
	s.perform(n, d.Tick(s.now))
	return n
}

// perform records the events among the actions and sends their messages.
func (s *sim) perform(n *simNode, actions []Action) {
	for _, a := range actions {
		if a.Event != nil {
			n.events = append(n.events, *a.Event)
			continue
		}
		s.sent++
		if s.rand.Float64() < s.loss {
			continue
		}
		at := s.now.Add(simLatency + time.Duration(s.rand.IntN(1000))*time.Microsecond)
		s.enqueue(delivery{at: at, from: n.id, to: a.Send.To, msg: a.Send.Message})
	}
}

// enqueue inserts a datagram into the queue, which is ordered by delivery
// time.
func (s *sim) enqueue(q delivery) {
	i, _ := slices.BinarySearchFunc(s.queue, q, func(a, b delivery) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1 // datagrams with equal delivery times keep the order of sending
	})
	s.queue = slices.Insert(s.queue, i, q)
}

// run advances the simulation by d.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for {
		at, step := s.nextStep()
		if step == nil || at.After(end) {
			s.now = end
			return
		}
		s.now = at
		step()
	}
}

// runUntil advances the simulation until cond holds and returns how long that
// took. It fails the test after limit.
func (s *sim) runUntil(limit time.Duration, cond func() bool) time.Duration {
	s.t.Helper()
	begin := s.now
	for !cond() {
		if s.now.Sub(begin) > limit {
			s.t.Fatalf("the condition did not hold within %s of simulated time", limit)
		}
		s.run(20 * time.Millisecond)
	}
	return s.now.Sub(begin)
}

// nextStep returns the next delivery or tick and its time.
func (s *sim) nextStep() (time.Time, func()) {
	var at time.Time
	var step func()
	if len(s.queue) > 0 {
		at, step = s.queue[0].at, s.deliver
	}
	for _, id := range s.ids {
		n := s.nodes[id]
		if n.down {
			continue
		}
		due := n.detector.NextTick()
		if due.Before(n.pausedUntil) {
			due = n.pausedUntil
		}
		if step == nil || due.Before(at) {
			at, step = due, func() { s.perform(n, n.detector.Tick(s.now)) }
		}
	}
	return at, step
}

func (s *sim) deliver() {
	q := s.queue[0]
	s.queue = s.queue[1:]
	n := s.nodes[q.to]
	if n == nil || n.down || s.linkDown(q.from, q.to) {
		return
	}
	if s.now.Before(n.pausedUntil) {
		q.at = n.pausedUntil // the datagram waits in the socket's buffer
		s.enqueue(q)
		return
	}
	s.perform(n, n.detector.Receive(&q.msg, s.now))
}

func (s *sim) runningNodes() []*simNode {
	var up []*simNode
	for _, id := range s.ids {
		if n := s.nodes[id]; !n.down {
			up = append(up, n)
		}
	}
	return up
}

// converged reports whether each running node considers exactly the running
// nodes live.
func (s *sim) converged() bool {
	up := s.runningNodes()
	for _, n := range up {
		if aliveCount(n.detector) != len(up)-1 {
			return false
		}
		for _, m := range n.detector.Members() {
			if s.nodes[m.ID].down == m.Live() {
				return false
			}
		}
	}
	return true
}

// aliveCount returns the number of other members with status Alive.
func aliveCount(d *Detector) int {
	n := 0
	for _, m := range d.Members() {
		if m.Status == Alive {
			n++
		}
	}
	return n
}

// count returns the number of events of a kind about a member, or about any
// member if id is empty.
func (s *sim) count(kind EventKind, id string) int {
	c := 0
	for _, n := range s.nodes {
		for _, e := range n.events {
			if e.Kind == kind && (id == "" || e.Node.ID == id) {
				c++
			}
		}
	}
	return c
}

// resetCounts clears the recorded events and the count of sent datagrams.
func (s *sim) resetCounts() {
	for _, n := range s.nodes {
		n.events = nil
	}
	s.sent = 0
}

// simSeeds are the seeds of the simulations; the names of the subtests show
// them.
var simSeeds = []uint64{1, 2, 3, 4, 5}

func eachSeed(t *testing.T, f func(t *testing.T, seed uint64)) {
	for _, seed := range simSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { f(t, seed) })
	}
}

func median(d []time.Duration) time.Duration {
	slices.SortFunc(d, cmp.Compare)
	return d[len(d)/2]
}
