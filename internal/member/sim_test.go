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
	// loss is the share of datagrams lost; cut says which pairs can't talk.
	loss float64
	cut  func(from, to string) bool
	sent int
}

type simNode struct {
	id     string
	d      *Detector
	down   bool
	paused time.Time // until then nothing runs
	events []Event
	boots  int
}

type delivery struct {
	at       time.Time
	from, to string
	msg      Message
}

const simLatency = 2 * time.Millisecond

func newSim(t *testing.T, n int, seed uint64) *sim {
	s := &sim{
		t: t, now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, seed)),
		nodes: map[string]*simNode{}, cut: func(string, string) bool { return false },
	}
	for i := range n {
		s.start(fmt.Sprintf("d%02d", i))
	}
	return s
}

func (s *sim) start(id string) *simNode {
	n := s.nodes[id]
	if n == nil {
		n = &simNode{id: id}
		s.nodes[id] = n
		s.ids = append(s.ids, id)
	}
	n.boots++
	d, err := New(Options{
		ID: id, Addr: id, BootID: fmt.Sprintf("%s-%d", id, n.boots), Seeds: []string{"d00", "d01"},
		Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 1)),
	}, s.now)
	must.NoError(s.t, err)
	n.d, n.down = d, false
	s.act(n, d.Tick(s.now))
	return n
}

func (s *sim) act(n *simNode, actions []Action) {
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

// enqueue keeps the queue in the order of delivery.
func (s *sim) enqueue(q delivery) {
	i, _ := slices.BinarySearchFunc(s.queue, q, func(a, b delivery) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1 // equal times stay in the order of sending
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

// until advances until cond holds, and fails after limit.
func (s *sim) until(limit time.Duration, cond func() bool) time.Duration {
	s.t.Helper()
	begin := s.now
	for !cond() {
		if s.now.Sub(begin) > limit {
			s.t.Fatalf("not after %s", limit)
		}
		s.run(20 * time.Millisecond)
	}
	return s.now.Sub(begin)
}

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
		due := n.d.NextTick()
		if due.Before(n.paused) {
			due = n.paused
		}
		if step == nil || due.Before(at) {
			at, step = due, func() { s.act(n, n.d.Tick(s.now)) }
		}
	}
	return at, step
}

func (s *sim) deliver() {
	q := s.queue[0]
	s.queue = s.queue[1:]
	n := s.nodes[q.to]
	if n == nil || n.down || s.cut(q.from, q.to) {
		return
	}
	if s.now.Before(n.paused) {
		q.at = n.paused // the socket's buffer keeps it
		s.enqueue(q)
		return
	}
	s.act(n, n.d.Receive(&q.msg, s.now))
}

func (s *sim) up() []*simNode {
	var up []*simNode
	for _, id := range s.ids {
		if n := s.nodes[id]; !n.down {
			up = append(up, n)
		}
	}
	return up
}

// agreed reports whether each running node sees exactly the running nodes live.
func (s *sim) agreed() bool {
	up := s.up()
	for _, n := range up {
		if live(n.d) != len(up)-1 {
			return false
		}
		for _, m := range n.d.Members() {
			if s.nodes[m.ID].down == m.Live() {
				return false
			}
		}
	}
	return true
}

func live(d *Detector) int {
	n := 0
	for _, m := range d.Members() {
		if m.Status == Alive {
			n++
		}
	}
	return n
}

// count counts the events of a kind about a member (any, if id is empty).
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

func (s *sim) forget() {
	for _, n := range s.nodes {
		n.events = nil
	}
	s.sent = 0
}

// seeds of the simulations; printed by the subtests' names.
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
