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

// Waited is how a wait for a slot ended.
type Waited int

// The ends of a wait.
const (
	// Taken means that the slot is taken.
	Taken Waited = iota
	// Closed means that the gauge was closed.
	Closed
	// Left means that the caller went away.
	Left
)

// Await waits for the ticket's slot until gone is closed.
func (g *Gauge) Await(t *Ticket, now func() time.Time, gone <-chan struct{}) Waited {
	select {
	case ok := <-t.ready:
		if ok {
			return Taken
		}
		return Closed
	case <-gone:
		if !g.quit(t) && <-t.ready {
			g.Leave(now(), false)
		}
		return Left
	}
}

// quit takes a waiting request out of the line; false if it was answered.
func (g *Gauge) quit(t *Ticket) bool {
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
