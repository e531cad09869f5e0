package capacity

import (
	"slices"
	"time"
)

// Ticket is a queued request's claim to a slot.
type Ticket struct {
	priority int
	granted  chan bool // receives true with the slot, false if the limiter was closed
}

// WaitResult is the result of Await.
type WaitResult int

// Results of Await.
const (
	// SlotAcquired means that the request holds a slot.
	SlotAcquired WaitResult = iota
	// LimiterClosed means that the limiter was closed.
	LimiterClosed
	// CallerGone means that the caller closed its connection.
	CallerGone
)

// Await waits for the ticket's slot until callerGone is closed. A slot that was
// granted at the same time is released.
func (l *Limiter) Await(t *Ticket, now func() time.Time, callerGone <-chan struct{}) WaitResult {
	select {
	case ok := <-t.granted:
		if ok {
			return SlotAcquired
		}
		return LimiterClosed
	case <-callerGone:
		if !l.dequeue(t) && <-t.granted {
			l.Release(now(), false)
		}
		return CallerGone
	}
}

// dequeue removes a ticket from the queue. It returns false if the ticket was
// granted a slot or removed by Close before.
func (l *Limiter) dequeue(t *Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.remove(t)
}

// waitQueue holds tickets in order of priority, lowest number first, then of
// arrival.
type waitQueue struct{ tickets []*Ticket }

func (q *waitQueue) len() int { return len(q.tickets) }

func (q *waitQueue) push(t *Ticket) {
	i := slices.IndexFunc(q.tickets, func(o *Ticket) bool { return o.priority > t.priority })
	if i < 0 {
		i = len(q.tickets)
	}
	q.tickets = slices.Insert(q.tickets, i, t)
}

func (q *waitQueue) pop() *Ticket {
	t := q.tickets[0]
	q.tickets = q.tickets[1:]
	return t
}

func (q *waitQueue) remove(t *Ticket) bool {
	i := slices.Index(q.tickets, t)
	if i < 0 {
		return false
	}
	q.tickets = slices.Delete(q.tickets, i, i+1)
	return true
}

func (q *waitQueue) clear() {
	for _, t := range q.tickets {
		t.granted <- false
	}
	q.tickets = nil
}
