package capacity

import "slices"

// Ticket is a place in the line for a slot.
type Ticket struct {
	priority int
	ready    chan bool
}

// Ready gives true once the slot is taken, false if the gauge was closed.
func (t *Ticket) Ready() <-chan bool { return t.ready }

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
