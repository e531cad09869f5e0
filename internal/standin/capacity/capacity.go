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
	// ColdLimit is the number of concurrent requests borne right after a start.
	ColdLimit int
	// WarmLimit is the number borne once warm, the size of the batch.
	WarmLimit int
	// GrowthPerRequest is the growth per completed request.
	GrowthPerRequest float64
	// GrowthPerSecond is the growth per second since the first completed request.
	GrowthPerSecond float64
	// QueueLimit is the number of requests that wait once the target is warm.
	QueueLimit int
}

// Admission is what happens to a request that arrives.
type Admission int

// The verdicts.
const (
	// Admitted lets the request run now.
	Admitted Admission = iota
	// Queued lets it wait for a slot.
	Queued
	// QueueFull refuses it: the queue is full.
	QueueFull
	// Overloaded means that the cold target falls over.
	Overloaded
)

// Limiter is the state of one target.
type Limiter struct {
	mu        sync.Mutex
	set       Settings
	done      int
	firstDone time.Time
	running   int
	waiting   waiters
}

// New returns the gauge of a cold target.
func New(s Settings) *Limiter { return &Limiter{set: s} }

// ResetToCold makes the target cold. Slots in use stay counted.
func (g *Limiter) ResetToCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = 0
	g.firstDone = time.Time{}
}

// Close turns away all waiting requests: the target is about to end.
func (g *Limiter) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting.clear()
}

// Snapshot is the gauge at one time.
type Snapshot struct {
	Running, Waiting, Limit int
	Cold                    bool
}

// Snapshot returns the present reading.
func (g *Limiter) Snapshot(now time.Time) Snapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.read(now)
}

func (g *Limiter) read(now time.Time) Snapshot {
	limit := g.limit(now)
	return Snapshot{Running: g.running, Waiting: g.waiting.len(), Limit: limit, Cold: limit < g.set.WarmLimit}
}

func (g *Limiter) limit(now time.Time) int {
	l := float64(g.set.ColdLimit) + float64(g.done)*g.set.GrowthPerRequest
	if !g.firstDone.IsZero() {
		l += now.Sub(g.firstDone).Seconds() * g.set.GrowthPerSecond
	}
	return min(int(l), g.set.WarmLimit)
}

// Admit admits a request. With Run its slot is taken; with Wait, Await
// waits for it. The reading counts the request.
func (g *Limiter) Admit(now time.Time, priority int) (Admission, *Ticket, Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.read(now)
	if r.Running < r.Limit {
		g.running++
		r.Running++
		return Admitted, nil, r
	}
	if r.Cold {
		r.Running++
		return Overloaded, nil, r
	}
	if r.Waiting >= g.set.QueueLimit {
		return QueueFull, nil, r
	}
	t := &Ticket{priority: priority, ready: make(chan bool, 1)}
	g.waiting.push(t)
	return Queued, t, r
}

// Release gives a slot back and hands it to the request that is first in line.
func (g *Limiter) Release(now time.Time, completed bool) {
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
