package grant

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// tenure is this daemon's time as the home of one pool or slice. Its lock is
// the only one around the pool's state.
type tenure struct {
	id    limit.Identity
	began time.Time

	mu      sync.Mutex
	pool    *limit.Pool
	waiters map[string]chan *wire.AcquireResponse
	timer   *time.Timer
	// asked are the live daemons that were asked what they hold. One that is
	// gone and comes back is asked again.
	asked map[string]struct{}
	// over is set at the end of the tenure; successor is the home that follows,
	// table the pool's state for it.
	over      bool
	successor string
	table     *limit.Snapshot
	// endedAt and endedMoves are the time and the home's count of membership
	// changes when it ended.
	endedAt    time.Time
	endedMoves uint64
}

func newTenure(id limit.Identity, cfg limit.Config) *tenure {
	return &tenure{id: id, began: time.Now(), pool: limit.New(id, cfg), waiters: make(map[string]chan *wire.AcquireResponse)}
}

// do runs fn on the pool and delivers what it decided. It does nothing once
// another home has taken over.
func (t *tenure) do(fn func(now time.Time, p *limit.Pool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over {
		return
	}
	now := time.Now()
	fn(now, t.pool)
	t.deliver()
	t.arm(now)
}

// acquire asks for a grant; the answer arrives on the channel.
func (t *tenure) acquire(req limit.Request) <-chan *wire.AcquireResponse {
	reply := make(chan *wire.AcquireResponse, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over {
		reply <- &wire.AcquireResponse{NotHome: true, Home: t.successor}
		return reply
	}
	now := time.Now()
	g, err := t.pool.Acquire(now, req)
	switch {
	case err != nil:
		reply <- &wire.AcquireResponse{Refused: wire.FromFault(err)}
	case g != nil:
		reply <- &wire.AcquireResponse{Grant: g}
	default:
		t.waiters[waiterKey(req.Holder, req.ID)] = reply
	}
	t.deliver()
	t.arm(now)
	return reply
}

func waiterKey(holder, request string) string { return holder + "/" + request }

// deliver hands decisions to those who wait for them. The channels have room
// for their one answer, so this never blocks.
func (t *tenure) deliver() {
	for _, a := range t.pool.TakeDecisions() {
		key := waiterKey(a.Request.Holder, a.Request.ID)
		reply, ok := t.waiters[key]
		if !ok {
			continue
		}
		delete(t.waiters, key)
		if a.Err != nil {
			reply <- &wire.AcquireResponse{Refused: wire.FromFault(a.Err)}
			continue
		}
		reply <- &wire.AcquireResponse{Grant: a.Grant}
	}
}

// cancel withdraws a request.
func (t *tenure) cancel(holder, request string) {
	t.do(func(now time.Time, p *limit.Pool) {
		delete(t.waiters, waiterKey(holder, request))
		p.Cancel(now, holder, request)
	})
}

// arm sets the timer for the pool's next deadline.
func (t *tenure) arm(now time.Time) {
	next := t.pool.NextTick(now)
	if next.IsZero() {
		return
	}
	wait := max(0, next.Sub(now))
	if t.timer == nil {
		t.timer = time.AfterFunc(wait, t.tick)
		return
	}
	t.timer.Reset(wait)
}

func (t *tenure) tick() {
	t.do(func(now time.Time, p *limit.Pool) { p.Tick(now) })
}

// yield ends the tenure in favour of another home and sends those who wait
// there. It reports false if it had ended before.
func (t *tenure) yield(successor string, moves uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over {
		return false
	}
	t.over, t.successor, t.endedAt, t.endedMoves = true, successor, time.Now(), moves
	if t.timer != nil {
		t.timer.Stop()
	}
	for key, reply := range t.waiters {
		delete(t.waiters, key)
		reply <- &wire.AcquireResponse{NotHome: true, Home: successor}
	}
	table := t.pool.Snapshot(time.Now())
	t.table = &table
	return true
}

// takeTable returns the pool's state as it was at the end, once, and only to
// the successor: anybody later would take it for newer than it is.
func (t *tenure) takeTable(successor string) *limit.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.successor != successor {
		return nil
	}
	table := t.table
	t.table = nil
	return table
}

// unasked notes the live daemons and returns those that were not asked before.
// The caller holds the lock, within do.
func (t *tenure) unasked(live []limit.Peer) (fresh []string) {
	now := make(map[string]struct{}, len(live))
	for _, p := range live {
		now[p.ID] = struct{}{}
		if _, ok := t.asked[p.ID]; !ok {
			fresh = append(fresh, p.ID)
		}
	}
	t.asked = now
	return fresh
}

// waiting counts those who wait for a decision.
func (t *tenure) waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiters)
}

// ended returns the home that took over, if any.
func (t *tenure) ended() (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.successor, t.over
}
