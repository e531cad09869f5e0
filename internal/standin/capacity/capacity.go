// Package capacity models how much a target bears: little after a cold start,
// more with each completed request and with time, and never more than its
// batch. It is the truth of the stand-ins; the system under test only sees its
// effects.
package capacity

import (
	"sync"
	"time"
)

// Settings describe one target.
type Settings struct {
	// Cold is the number of concurrent requests borne right after a start.
	Cold int
	// Warm is the number borne once warm, the size of the batch.
	Warm int
	// PerDone is the growth per completed request.
	PerDone float64
	// PerSecond is the growth per second since the first completed request.
	PerSecond float64
	// Queue is the number of requests that wait once the target is warm.
	Queue int
}

// Verdict is what happens to a request that arrives.
type Verdict int

// The verdicts.
const (
	// Run lets the request run now.
	Run Verdict = iota
	// Wait lets it wait for a slot.
	Wait
	// Full refuses it: the queue is full.
	Full
	// Break means that the cold target falls over.
	Break
)

// Gauge is the state of one target.
type Gauge struct {
	mu        sync.Mutex
	set       Settings
	done      int
	firstDone time.Time
	running   int
	waiting   waiters
}

// New returns the gauge of a cold target.
func New(s Settings) *Gauge { return &Gauge{set: s} }

// Reset makes the target cold. Slots in use stay counted.
func (g *Gauge) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = 0
	g.firstDone = time.Time{}
}

// Close turns away all waiting requests: the target is about to end.
func (g *Gauge) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting.clear()
}

// Reading is the gauge at one time.
type Reading struct {
	Running, Waiting, Limit int
	Cold                    bool
}

// Read returns the present reading.
func (g *Gauge) Read(now time.Time) Reading {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.read(now)
}

func (g *Gauge) read(now time.Time) Reading {
	limit := g.limit(now)
	return Reading{Running: g.running, Waiting: g.waiting.len(), Limit: limit, Cold: limit < g.set.Warm}
}

func (g *Gauge) limit(now time.Time) int {
	l := float64(g.set.Cold) + float64(g.done)*g.set.PerDone
	if !g.firstDone.IsZero() {
		l += now.Sub(g.firstDone).Seconds() * g.set.PerSecond
	}
	return min(int(l), g.set.Warm)
}

// Enter admits a request. With Run its slot is taken; with Wait, Await
// waits for it. The reading counts the request.
func (g *Gauge) Enter(now time.Time, priority int) (Verdict, *Ticket, Reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.read(now)
	if r.Running < r.Limit {
		g.running++
		r.Running++
		return Run, nil, r
	}
	if r.Cold {
		r.Running++
		return Break, nil, r
	}
	if r.Waiting >= g.set.Queue {
		return Full, nil, r
	}
	t := &Ticket{priority: priority, ready: make(chan bool, 1)}
	g.waiting.push(t)
	return Wait, t, r
}

// Leave gives a slot back and hands it to the request that is first in line.
func (g *Gauge) Leave(now time.Time, completed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if completed {
		g.done++
		if g.firstDone.IsZero() {
			g.firstDone = now
		}
	}
	g.running = max(g.running-1, 0)
	for g.running < g.limit(now) && g.waiting.len() > 0 {
		g.running++
		g.waiting.pop().ready <- true
	}
}
