package limit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/replica"
)

// event is the arrival of a request or, if grant is set, the end of its work.
type event struct {
	at    time.Time
	req   Request
	grant *Grant
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// fairnessSim simulates, in event time, workspaces that share one pool.
type fairnessSim struct {
	p       *Pool
	rnd     *rand.Rand
	queue   events
	arrived map[string]time.Time
	// waits has the queueing delays of each workspace, refused the number of its
	// refused requests.
	waits   map[string][]time.Duration
	refused map[string]int
}

const (
	simCapacity     = 32
	simDuration     = 2 * time.Minute
	smallRate       = 2.0
	smallWorkspaces = 9
)

// newFairnessSim offers the load of nine small workspaces and a big one. name maps
// a workspace to the one that its requests carry.
func newFairnessSim(seed uint64, bigRate float64, name func(string) string) *fairnessSim {
	s := &fairnessSim{
		p:       New(Identity{Pool: "p", Home: "h", Term: "1"}, Config{Limit: 8, ColdLimit: 8}),
		rnd:     rand.New(rand.NewPCG(seed, seed)),
		arrived: make(map[string]time.Time), waits: make(map[string][]time.Duration), refused: make(map[string]int),
	}
	var reps []replica.Replica
	for i := range simCapacity / 8 {
		reps = append(reps, servingReplica(fmt.Sprint("r", i), fmt.Sprint("f", i%3)))
	}
	s.p.SetReplicas(epoch, reps)
	for i := range smallWorkspaces {
		s.addArrivals(fmt.Sprint("small", i), smallRate, name)
	}
	s.addArrivals("big", bigRate, name)
	heap.Init(&s.queue)
	return s
}

func (s *fairnessSim) addArrivals(workspace string, rate float64, name func(string) string) {
	at := epoch
	for n := 0; ; n++ {
		at = at.Add(time.Duration(s.rnd.ExpFloat64() / rate * float64(time.Second)))
		if at.After(epoch.Add(simDuration)) {
			return
		}
		s.queue = append(s.queue, event{at: at, req: Request{
			ID: fmt.Sprint(workspace, "/", n), Workspace: name(workspace), Holder: "d", BootID: "b", Deadline: at.Add(5 * time.Second),
		}})
	}
}

func (s *fairnessSim) run() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.p.Tick(e.at)
		if e.grant != nil {
			s.p.Release(e.at, Release{Grant: e.grant.ID, Result: Result{Duration: time.Second}})
		} else {
			s.arrive(e)
		}
		for _, d := range s.p.TakeDecisions() {
			s.decided(e.at, d.Request, d.Grant)
		}
	}
}

func (s *fairnessSim) arrive(e event) {
	s.arrived[e.req.ID] = e.at
	g, err := s.p.Acquire(e.at, e.req)
	if g != nil || err != nil {
		s.decided(e.at, e.req, g)
	}
}

func (s *fairnessSim) decided(now time.Time, r Request, g *Grant) {
	workspace, _, _ := strings.Cut(r.ID, "/")
	if g == nil {
		s.refused[workspace]++
		return
	}
	s.waits[workspace] = append(s.waits[workspace], now.Sub(s.arrived[r.ID]))
	service := 500*time.Millisecond + time.Duration(s.rnd.ExpFloat64()*float64(500*time.Millisecond))
	heap.Push(&s.queue, event{at: now.Add(service), grant: g})
}

// smallStats returns the median and 99th percentile of the small workspaces'
// queueing delay and the share of their requests that were refused.
func (s *fairnessSim) smallStats() (median, p99 time.Duration, refused float64) {
	var all []time.Duration
	refusals := 0
	for i := range smallWorkspaces {
		w := fmt.Sprint("small", i)
		all = append(all, s.waits[w]...)
		refusals += s.refused[w]
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*99/100], float64(refusals) / float64(refusals+len(all))
}

// TestFairness checks that a workspace with ten times the load of the others
// does not delay them under fair queueing, as it does when all requests share one
// queue in order of arrival.
func TestFairness(t *testing.T) {
	ownWorkspace := func(w string) string { return w }
	sharedWorkspace := func(string) string { return "all" }
	for seed := uint64(1); seed <= 3; seed++ {
		run := func(label string, rate float64, name func(string) string) (time.Duration, time.Duration, float64) {
			s := newFairnessSim(seed, rate, name)
			s.run()
			median, p99, refused := s.smallStats()
			t.Logf("seed %d, %s: small workspaces wait %s at the median, %s at 99%%, %.1f%% refused", seed, label,
				median.Round(time.Millisecond), p99.Round(time.Millisecond), 100*refused)
			return median, p99, refused
		}
		_, equalLoad, _ := run("big at 1x       ", smallRate, ownWorkspace)
		_, fairQueueing, refusedShare := run("big at 10x, fair", 10*smallRate, ownWorkspace)
		_, fifoOrder, _ := run("big at 10x, fifo", 10*smallRate, sharedWorkspace)
		must.Less(t, 500*time.Millisecond, fairQueueing-equalLoad)
		must.Less(t, 0.01, refusedShare)
		must.Greater(t, fairQueueing, fifoOrder)
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	for _, n := range []int{12, 50, 64} {
		b.Run(fmt.Sprint(n, " replicas"), func(b *testing.B) {
			f := newFixture(b, Config{Limit: 32, ColdLimit: 32}, servingReplicas(n)...)
			for range n * 16 {
				f.mustGrant()
			}
			r := f.request()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.ID, r.Prefix = "bench", uint64(i)
				g, err := f.p.Acquire(f.now, r)
				if err != nil || g == nil {
					b.Fatal(err)
				}
				f.release(*g, fastResult())
			}
		})
	}
}
