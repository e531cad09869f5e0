package capacity

import (
	"slices"
	"time"
)

// Ticket is a place in the line for a slot.
type Ticket struct {
	priority int
	ready    chan bool // true once the slot is taken, false if the gauge closed
}

// WaitResult is how a wait for a slot ended.
type WaitResult int

// The ends of a wait.
const (
	// SlotAcquired means that the slot is taken.
	SlotAcquired WaitResult = iota
	// LimiterClosed means that the gauge was closed.
	LimiterClosed
	// CallerGone means that the caller went away.
	CallerGone
)

// Await waits for the ticket's slot until gone is closed.
func (g *Limiter) Await(t *Ticket, now func() time.Time, gone <-chan struct{}) WaitResult {
	select {
	case ok := <-t.ready:
		if ok {
			return SlotAcquired
		}
		return LimiterClosed
	case <-gone:
		if !g.quit(t) && <-t.ready {
			g.Release(now(), false)
		}
		return CallerGone
	}
}

// quit takes a waiting request out of the line; false if it was answered.
func (g *Limiter) quit(t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting.remove(t)
}

// waiters is a line ordered by priority, then by arrival.
type waiters struct{ line []*Ticket }

func (w *waiters) len() int { return len(w.line) }

func (w *waiters) push(t *Ticket) {
	i := slices.IndexFunc(w.line, func(o *Ticket) bool { return o.priority > t.priority })
	if i < 0 {
		i = len(w.line)
	}
	w.line = slices.Insert(w.line, i, t)
}

func (w *waiters) pop() *Ticket {
	t := w.line[0]
	w.line = w.line[1:]
	return t
}

func (w *waiters) remove(t *Ticket) bool {
	i := slices.Index(w.line, t)
	if i < 0 {
		return false
	}
	w.line = slices.Delete(w.line, i, i+1)
	return true
}

func (w *waiters) clear() {
	for _, t := range w.line {
		t.ready <- false
	}
	w.line = nil
}
