package ingress

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/intake"
)

const (
	// maxRoomWait bounds how long a body waits unread for room. Target latencies are 200
	// to 800 ms, and another daemon may have room.
	maxRoomWait = 500 * time.Millisecond
	// roomWaitFraction bounds the same by the time that is left to the request, most of
	// which its client needs to try elsewhere.
	roomWaitFraction = 0.25
	// stallCheckInterval is the interval at which a waiting body looks for bodies that
	// have stalled.
	stallCheckInterval = 50 * time.Millisecond
)

// bodyRoom is the room for the bodies of all requests. It is safe for concurrent use.
type bodyRoom struct {
	observer Observer

	mu      sync.Mutex
	account intake.Account
	// lines holds the waiting bodies by class, in the order of their arrival.
	lines map[intake.Class][]*waiter
	// incomplete holds the bodies that are being read.
	incomplete map[*lease]struct{}
	full       pressure
	// stopping is set once bodies that are being read are stopped.
	stopping bool
}

// waiter is a body that waits for room. ready is closed when it has it.
type waiter struct {
	bytes int64
	ready chan struct{}
}

// lease is the room of one body. Its methods are called by one goroutine.
type lease struct {
	room *bodyRoom
	// stop ends the read of the body.
	stop     func()
	class    intake.Class
	bytes    int64
	lastRead atomic.Int64 // Unix nanoseconds
	// stopped is set by the room if the body has given up its room.
	stopped bool
}

func newBodyRoom(memory int64, o Observer) *bodyRoom {
	return &bodyRoom{
		observer: o, account: intake.NewAccount(intake.LimitsFor(memory)),
		lines: map[intake.Class][]*waiter{}, incomplete: map[*lease]struct{}{},
	}
}

// acquire returns the room for the body of a request with the given deadline, or nil if
// there is none in time. stop is called, perhaps while the body is read, if it has to
// give up the room.
func (b *bodyRoom) acquire(ctx context.Context, c intake.Class, n int64, deadline time.Time, stop func()) *lease {
	if !b.take(ctx, c, n, deadline) {
		return nil
	}
	l := &lease{room: b, stop: stop, class: c, bytes: n}
	l.touch()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopping {
		b.account.Release(c, n)
		b.grant()
		return nil
	}
	b.incomplete[l] = struct{}{}
	return l
}

// take takes room from the account, and waits for it for a part of the time
// until the deadline.
func (b *bodyRoom) take(ctx context.Context, c intake.Class, n int64, deadline time.Time) bool {
	b.mu.Lock()
	verdict := b.account.Request(c, n)
	if verdict == intake.Admit {
		b.mu.Unlock()
		return true
	}
	b.full.hit(time.Now(), "room for request bodies is taken", "bytes", b.account.Used(), "class", c.String())
	if verdict == intake.Refuse {
		b.mu.Unlock()
		b.observer.RecordBodyRefusal("line_full", c.String())
		return false
	}
	w := &waiter{bytes: n, ready: make(chan struct{})}
	b.lines[c] = append(b.lines[c], w)
	b.mu.Unlock()
	b.observer.RecordBodyWait(c.String())

	timeout := time.NewTimer(min(maxRoomWait, time.Duration(roomWaitFraction*float64(time.Until(deadline)))))
	defer timeout.Stop()
	check := time.NewTicker(stallCheckInterval)
	defer check.Stop()
	for {
		b.stopStalled(c, n)
		select {
		case <-w.ready:
			return true
		case <-check.C:
			continue
		case <-ctx.Done():
		case <-timeout.C:
		}
		if b.leave(c, w) {
			b.observer.RecordBodyRefusal("no_room", c.String())
			return false
		}
		return true
	}
}

// leave takes a waiter out of its line. It reports false if it has the room already.
func (b *bodyRoom) leave(c intake.Class, w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.lines[c] {
		if other == w {
			b.lines[c] = append(b.lines[c][:i:i], b.lines[c][i+1:]...)
			b.account.Leave(c)
			b.grant() // it may have kept a smaller one behind it waiting
			return true
		}
	}
	return false
}

// grant gives room to the waiters that are first in their lines. The lock must be held.
func (b *bodyRoom) grant() {
	for _, c := range []intake.Class{intake.Small, intake.Large} {
		for len(b.lines[c]) > 0 && b.account.Grant(c, b.lines[c][0].bytes) {
			close(b.lines[c][0].ready)
			b.lines[c] = b.lines[c][1:]
		}
	}
}

// stopStalled stops the bodies that have to give up their room for one that waits for n
// bytes.
func (b *bodyRoom) stopStalled(c intake.Class, n int64) {
	b.mu.Lock()
	leases := make([]*lease, 0, len(b.incomplete))
	bodies := make([]intake.Incomplete, 0, len(b.incomplete))
	for l := range b.incomplete {
		leases = append(leases, l)
		bodies = append(bodies, intake.Incomplete{Class: l.class, Bytes: l.bytes, LastRead: time.Unix(0, l.lastRead.Load())})
	}
	var stopped []*lease
	for _, i := range intake.Stalled(bodies, c, n, time.Now()) {
		leases[i].stopped = true
		delete(b.incomplete, leases[i])
		stopped = append(stopped, leases[i])
	}
	b.mu.Unlock()
	b.stopAll(stopped, "stalled")
}

// stopIncomplete stops all bodies that are being read.
func (b *bodyRoom) stopIncomplete() {
	b.mu.Lock()
	b.stopping = true
	var stopped []*lease
	for l := range b.incomplete {
		l.stopped = true
		stopped = append(stopped, l)
	}
	clear(b.incomplete)
	b.mu.Unlock()
	b.stopAll(stopped, "stopping")
}

func (b *bodyRoom) stopAll(leases []*lease, cause string) {
	for _, l := range leases {
		l.stop()
		b.observer.RecordBodyRefusal(cause, l.class.String())
	}
}

// used returns the bytes that bodies hold.
func (b *bodyRoom) used(now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.full.ease(now, "room for request bodies is free again")
	return b.account.Used()
}

// touch records that bytes of the body were received.
func (l *lease) touch() { l.lastRead.Store(time.Now().UnixNano()) }

// grow takes room for n bytes beside the room of the lease, which shrink returns once
// the body has been copied.
func (l *lease) grow(ctx context.Context, c intake.Class, n int64, deadline time.Time) bool {
	l.room.mu.Lock()
	// A body that waits does not stall, since its client can send nothing.
	delete(l.room.incomplete, l)
	stopped := l.stopped
	l.room.mu.Unlock()
	return !stopped && l.room.take(ctx, c, n, deadline)
}

// shrink replaces the room of the lease by that which grow took.
func (l *lease) shrink(c intake.Class, n int64) {
	l.room.mu.Lock()
	defer l.room.mu.Unlock()
	l.room.account.Release(l.class, l.bytes)
	l.class, l.bytes = c, n
	l.touch()
	l.room.grant()
	if l.room.stopping {
		l.stopped = true
		l.stop()
		return
	}
	l.room.incomplete[l] = struct{}{}
}

// complete ends the read of the body. It reports false if the body has given up its
// room, so that the request must not run.
func (l *lease) complete() bool {
	l.room.mu.Lock()
	defer l.room.mu.Unlock()
	delete(l.room.incomplete, l)
	return !l.stopped
}

// release returns the room.
func (l *lease) release() {
	l.room.mu.Lock()
	defer l.room.mu.Unlock()
	delete(l.room.incomplete, l)
	l.room.account.Release(l.class, l.bytes)
	l.room.grant()
}
