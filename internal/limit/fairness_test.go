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

// event is an arrival or, with a grant, the end of a request.
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

// crowd is one run of workspaces that share a pool, in event time.
type crowd struct {
	p       *Pool
	rnd     *rand.Rand
	queue   events
	arrived map[string]time.Time
	// waits has the queueing delays of each workspace, refused its refusals.
	waits   map[string][]time.Duration
	refused map[string]int
}

const (
	crowdSlots = 32
	crowdTime  = 2 * time.Minute
	smallRate  = 2.0
	smalls     = 9
)

// newCrowd offers the load of nine small workspaces and a big one. name says
// which workspace the pool is told.
func newCrowd(seed uint64, bigRate float64, name func(string) string) *crowd {
	c := &crowd{
		p:       New(Identity{Pool: "p", Home: "h", Term: "1"}, Config{Limit: 8, ColdLimit: 8}),
		rnd:     rand.New(rand.NewPCG(seed, seed)),
		arrived: make(map[string]time.Time), waits: make(map[string][]time.Duration), refused: make(map[string]int),
	}
	var reps []replica.Replica
	for i := range crowdSlots / 8 {
		reps = append(reps, rep(fmt.Sprint("r", i), fmt.Sprint("f", i%3)))
	}
	c.p.SetReplicas(epoch, reps)
	for i := range smalls {
		c.arrivals(fmt.Sprint("small", i), smallRate, name)
	}
	c.arrivals("big", bigRate, name)
	heap.Init(&c.queue)
	return c
}

func (c *crowd) arrivals(workspace string, rate float64, name func(string) string) {
	at := epoch
	for n := 0; ; n++ {
		at = at.Add(time.Duration(c.rnd.ExpFloat64() / rate * float64(time.Second)))
		if at.After(epoch.Add(crowdTime)) {
			return
		}
		c.queue = append(c.queue, event{at: at, req: Request{
			ID: fmt.Sprint(workspace, "/", n), Workspace: name(workspace), Holder: "d", Boot: "b", Deadline: at.Add(5 * time.Second),
		}})
	}
}

func (c *crowd) run() {
	for len(c.queue) > 0 {
		e := heap.Pop(&c.queue).(event)
		c.p.Tick(e.at)
		if e.grant != nil {
			c.p.Release(e.at, Release{Grant: e.grant.ID, Result: Result{Duration: time.Second}})
		} else {
			c.arrive(e)
		}
		for _, a := range c.p.TakeDecisions() {
			c.answer(e.at, a.Request, a.Grant)
		}
	}
}

func (c *crowd) arrive(e event) {
	c.arrived[e.req.ID] = e.at
	g, err := c.p.Acquire(e.at, e.req)
	if g != nil || err != nil {
		c.answer(e.at, e.req, g)
	}
}

func (c *crowd) answer(now time.Time, r Request, g *Grant) {
	workspace, _, _ := strings.Cut(r.ID, "/")
	if g == nil {
		c.refused[workspace]++
		return
	}
	c.waits[workspace] = append(c.waits[workspace], now.Sub(c.arrived[r.ID]))
	service := 500*time.Millisecond + time.Duration(c.rnd.ExpFloat64()*float64(500*time.Millisecond))
	heap.Push(&c.queue, event{at: now.Add(service), grant: g})
}

// small returns the median and 99th percentile of the small workspaces' delay
// and the share of their requests that were refused.
func (c *crowd) small() (median, p99 time.Duration, refused float64) {
	var all []time.Duration
	no := 0
	for i := range smalls {
		w := fmt.Sprint("small", i)
		all = append(all, c.waits[w]...)
		no += c.refused[w]
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*99/100], float64(no) / float64(no+len(all))
}

// TestFairness shows what a workspace at ten times the load of the others does
// to them, with and without turns between workspaces.
func TestFairness(t *testing.T) {
	own := func(w string) string { return w }
	one := func(string) string { return "all" }
	for seed := uint64(1); seed <= 3; seed++ {
		run := func(label string, rate float64, name func(string) string) (time.Duration, time.Duration, float64) {
			c := newCrowd(seed, rate, name)
			c.run()
			median, p99, refused := c.small()
			t.Logf("seed %d, %s: small workspaces wait %s at the median, %s at 99%%, %.1f%% refused", seed, label,
				median.Round(time.Millisecond), p99.Round(time.Millisecond), 100*refused)
			return median, p99, refused
		}
		_, alone, _ := run("big at 1x       ", smallRate, own)
		_, fair, fairRefused := run("big at 10x, fair", 10*smallRate, own)
		_, fifo, _ := run("big at 10x, fifo", 10*smallRate, one)
		must.Less(t, 500*time.Millisecond, fair-alone)
		must.Less(t, 0.01, fairRefused)
		must.Greater(t, fair, fifo)
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	for _, n := range []int{12, 50, 64} {
		b.Run(fmt.Sprint(n, " replicas"), func(b *testing.B) {
			f := newFixture(b, Config{Limit: 32, ColdLimit: 32}, fleet(n)...)
			for range n * 16 {
				f.granted()
			}
			r := f.request()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.ID, r.Prefix = "bench", uint64(i)
				g, err := f.p.Acquire(f.now, r)
				if err != nil || g == nil {
					b.Fatal(err)
				}
				f.release(*g, quick())
			}
		})
	}
}
