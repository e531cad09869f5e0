package grant

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// tenure is the period during which this daemon is the home of one slice of a
// pool. Its lock is the only one that guards the pool.
type tenure struct {
	id        limit.Identity
	startedAt time.Time

	mu      sync.Mutex
	pool    *limit.Pool
	waiters map[string]chan *wire.AcquireResponse
	timer   *time.Timer
	// contacted has the live daemons that were asked for their holdings. A
	// daemon that stops being live and comes back is asked again.
	contacted map[string]struct{}
	// isOver is set when the tenure ends; successor is the next home, snapshot
	// the pool's state for it.
	isOver    bool
	successor string
	snapshot  *limit.Snapshot
	// endedAt and memberChangesAtEnd are the time and the home's count of
	// membership changes when the tenure ended.
	endedAt            time.Time
	memberChangesAtEnd uint64
}

func newTenure(id limit.Identity, cfg limit.Config) *tenure {
	return &tenure{id: id, startedAt: time.Now(), pool: limit.New(id, cfg), waiters: make(map[string]chan *wire.AcquireResponse)}
}

// withPool runs fn on the pool and delivers the resulting decisions. It does
// nothing if the tenure has ended.
func (t *tenure) withPool(fn func(now time.Time, p *limit.Pool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isOver {
		return
	}
	now := time.Now()
	fn(now, t.pool)
	t.deliverDecisions()
	t.scheduleTick(now)
}

// acquire requests a grant; the response arrives on the channel.
func (t *tenure) acquire(req limit.Request) <-chan *wire.AcquireResponse {
	reply := make(chan *wire.AcquireResponse, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isOver {
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
	t.deliverDecisions()
	t.scheduleTick(now)
	return reply
}

func waiterKey(holder, request string) string { return holder + "/" + request }

// deliverDecisions sends decisions to the waiting requests. Each channel is
// buffered for its one response, so sending never blocks.
func (t *tenure) deliverDecisions() {
	for _, d := range t.pool.TakeDecisions() {
		key := waiterKey(d.Request.Holder, d.Request.ID)
		reply, ok := t.waiters[key]
		if !ok {
			continue
		}
		delete(t.waiters, key)
		if d.Err != nil {
			reply <- &wire.AcquireResponse{Refused: wire.FromFault(d.Err)}
			continue
		}
		reply <- &wire.AcquireResponse{Grant: d.Grant}
	}
}

func (t *tenure) cancel(holder, request string) {
	t.withPool(func(now time.Time, p *limit.Pool) {
		delete(t.waiters, waiterKey(holder, request))
		p.Cancel(now, holder, request)
	})
}

// scheduleTick sets the timer for the pool's next deadline.
func (t *tenure) scheduleTick(now time.Time) {
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
	t.withPool(func(now time.Time, p *limit.Pool) { p.Tick(now) })
}

// yield ends the tenure in favour of another home and redirects waiting requests
// there. It reports false if the tenure had already ended.
func (t *tenure) yield(successor string, memberChanges uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isOver {
		return false
	}
	t.isOver, t.successor, t.endedAt, t.memberChangesAtEnd = true, successor, time.Now(), memberChanges
	if t.timer != nil {
		t.timer.Stop()
	}
	for key, reply := range t.waiters {
		delete(t.waiters, key)
		reply <- &wire.AcquireResponse{NotHome: true, Home: successor}
	}
	snapshot := t.pool.Snapshot(time.Now())
	t.snapshot = &snapshot
	return true
}

// takeSnapshot returns the pool's state at the end of the tenure, once and only to
// the successor: any later reader would get outdated state.
func (t *tenure) takeSnapshot(successor string) *limit.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.successor != successor {
		return nil
	}
	snapshot := t.snapshot
	t.snapshot = nil
	return snapshot
}

// recordContacted records the live daemons and returns those that have not been
// contacted. The caller must hold t.mu, as the functions passed to withPool do.
func (t *tenure) recordContacted(live []limit.Peer) (fresh []string) {
	contacted := make(map[string]struct{}, len(live))
	for _, p := range live {
		contacted[p.ID] = struct{}{}
		if _, ok := t.contacted[p.ID]; !ok {
			fresh = append(fresh, p.ID)
		}
	}
	t.contacted = contacted
	return fresh
}

// waiterCount returns the number of requests that wait for a decision.
func (t *tenure) waiterCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiters)
}

// ended returns the home that took over and whether the tenure has ended.
func (t *tenure) ended() (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.successor, t.isOver
}
