// Package capacity models the concurrency limit of a stand-in target: low after
// a cold start, growing with each completed request and with time, up to the
// batch size. The system under test can't read the limit; it only sees queueing,
// refusals and crashes.
package capacity

import (
	"sync"
	"time"
)

// Settings are the capacity parameters of one target.
type Settings struct {
	// ColdLimit is the concurrency limit right after a start.
	ColdLimit int
	// WarmLimit is the concurrency limit of a warm target, its batch size.
	WarmLimit int
	// GrowthPerRequest is how much each completed request raises the limit.
	GrowthPerRequest float64
	// GrowthPerSecond is how much each second since the first completed request
	// raises the limit.
	GrowthPerSecond float64
	// QueueLimit is the length of a warm target's queue. A cold target has no
	// queue: it crashes above its limit.
	QueueLimit int
}

// Admission is the result of Admit for an arriving request.
type Admission int

// Results of Admit.
const (
	// Admitted requests hold a slot and run at once.
	Admitted Admission = iota
	// Queued requests wait for a slot.
	Queued
	// QueueFull requests are refused because the queue is full.
	QueueFull
	// Overloaded requests exceed the limit of a cold target and crash it.
	Overloaded
)

// Limiter tracks the running and queued requests of one target.
type Limiter struct {
	mu               sync.Mutex
	settings         Settings
	completed        int
	firstCompletedAt time.Time
	running          int
	queue            waitQueue
}

// New returns the limiter of a cold target.
func New(s Settings) *Limiter { return &Limiter{settings: s} }

// ResetToCold makes the target cold. Running requests keep their slots.
func (l *Limiter) ResetToCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completed = 0
	l.firstCompletedAt = time.Time{}
}

// Close ends the wait of all queued requests with LimiterClosed.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.clear()
}

// Snapshot is the state of a limiter at one time.
type Snapshot struct {
	Running, Waiting, Limit int
	Cold                    bool
}

// Snapshot returns the state at now.
func (l *Limiter) Snapshot(now time.Time) Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.snapshot(now)
}

func (l *Limiter) snapshot(now time.Time) Snapshot {
	limit := l.currentLimit(now)
	return Snapshot{Running: l.running, Waiting: l.queue.len(), Limit: limit, Cold: limit < l.settings.WarmLimit}
}

func (l *Limiter) currentLimit(now time.Time) int {
	limit := float64(l.settings.ColdLimit) + float64(l.completed)*l.settings.GrowthPerRequest
	if !l.firstCompletedAt.IsZero() {
		limit += now.Sub(l.firstCompletedAt).Seconds() * l.settings.GrowthPerSecond
	}
	return min(int(limit), l.settings.WarmLimit)
}

// Admit decides on an arriving request. An Admitted request holds a slot; a
// Queued one has a ticket for Await. The snapshot's Running counts an Admitted
// or Overloaded request.
func (l *Limiter) Admit(now time.Time, priority int) (Admission, *Ticket, Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.snapshot(now)
	if state.Running < state.Limit {
		l.running++
		state.Running++
		return Admitted, nil, state
	}
	if state.Cold {
		state.Running++
		return Overloaded, nil, state
	}
	if state.Waiting >= l.settings.QueueLimit {
		return QueueFull, nil, state
	}
	ticket := &Ticket{priority: priority, granted: make(chan bool, 1)}
	l.queue.push(ticket)
	return Queued, ticket, state
}

// Release frees a slot and grants free slots to queued requests, in order.
// Completed requests raise the limit.
func (l *Limiter) Release(now time.Time, completed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if completed {
		l.completed++
		if l.firstCompletedAt.IsZero() {
			l.firstCompletedAt = now
		}
	}
	l.running = max(l.running-1, 0)
	for l.running < l.currentLimit(now) && l.queue.len() > 0 {
		l.running++
		l.queue.pop().granted <- true
	}
}
