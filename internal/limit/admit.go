package limit

import (
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Acquire decides on a request: a grant, a place in the queue (both results
// nil; the decision comes through Answers), or a refusal.
func (p *Pool) Acquire(now time.Time, req Request) (*Grant, error) {
	key := requestKey(req.Holder, req.ID)
	if h, ok := p.byRequest[key]; ok && !h.orphan {
		g := h.grant
		return &g, nil
	}
	if _, ok := p.queue.byID[key]; ok {
		return nil, nil
	}
	if !req.Deadline.After(now) {
		return nil, fault.Refuse(fault.Timeout, "give the request more time", "the deadline has passed")
	}
	if p.queue.len() == 0 || !p.outranked(&req) {
		if g := p.place(now, &req); g != nil {
			return g, nil
		}
	}
	return nil, p.enqueue(now, req)
}

// outranked reports whether queued requests go before a new one.
func (p *Pool) outranked(r *Request) bool { return p.queue.ahead(r) > 0 }

func (p *Pool) enqueue(now time.Time, req Request) error {
	if err := p.checkQueue(&req); err != nil {
		return err
	}
	if err := p.checkTime(now, &req); err != nil {
		return err
	}
	if err := p.checkReplicas(&req); err != nil {
		return err
	}
	w := &waiting{req: req, at: now, giveUp: p.speed.giveUp(now, req.Deadline)}
	if p.barred(now) {
		w.giveUp = earlier(w.giveUp, now.Add(barredWait))
	}
	p.queue.push(w)
	p.dueBy(w.giveUp)
	p.serve(now)
	return nil
}

func (p *Pool) checkQueue(req *Request) error {
	if p.queue.len() >= MaxQueue {
		return p.overload(p.wait(req), "pool %q has %d requests waiting", p.name, p.queue.len())
	}
	if n := p.queue.byWorkspace[req.Workspace]; n >= MaxQueuePerWorkspace {
		return p.overload(p.wait(req), "workspace %q has %d requests waiting for pool %q", req.Workspace, n, p.name)
	}
	return nil
}

// checkReplicas refuses a request that excludes every replica there is.
func (p *Pool) checkReplicas(req *Request) error {
	if len(req.Exclude) == 0 || len(p.units) == 0 {
		return nil
	}
	for id := range p.units {
		if !slices.Contains(req.Exclude, id) {
			return nil
		}
	}
	return fault.Refuse(fault.Unavailable, "add replicas to the pool", "every replica of pool %q has been tried", p.name)
}

// barred reports whether this side of a partition may use none of the
// replicas that are open: it then refuses soon, so that the caller may reach
// the other side.
func (p *Pool) barred(now time.Time) bool {
	if p.standing.MayUseCold || p.recovery.holds(now) {
		return false
	}
	open := false
	for _, u := range p.units {
		if p.allowed(u, now) > 0 {
			return false
		}
		open = open || p.open(u)
	}
	return open
}

// barredWait is how long a request waits for a partition to heal.
const barredWait = time.Second

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (p *Pool) checkTime(now time.Time, req *Request) error {
	wait, left := p.wait(req), req.Deadline.Sub(now)
	if wait+p.speed.typical() <= left {
		return nil
	}
	return p.overload(wait, "an answer would take about %s, the deadline leaves %s",
		(wait + p.speed.typical()).Round(time.Millisecond), left.Round(time.Millisecond))
}

func (p *Pool) overload(wait time.Duration, format string, args ...any) error {
	return fault.Refuse(fault.Overload, "try again later, or allow more time", format, args...).
		WithRetryAfter(max(wait, minRetryAfter))
}

// wait estimates the time until a new request would be granted.
func (p *Pool) wait(req *Request) time.Duration {
	return p.speed.wait(p.queue.ahead(req)+1, p.slots())
}

// slots is the work that all replicas together may run.
func (p *Pool) slots() int {
	n := 0
	for _, u := range p.units {
		if p.open(u) {
			n += u.ramp.level
		}
	}
	return n
}

// serve grants queued requests while any can be placed.
func (p *Pool) serve(now time.Time) {
	for p.updateReserve(); p.queue.len() > 0 && p.room(now); p.updateReserve() {
		placed := p.queue.take(func(r *Request) bool {
			g := p.place(now, r)
			if g != nil {
				p.answers = append(p.answers, Decision{Request: *r, Grant: g})
			}
			return g != nil
		})
		if !placed {
			return
		}
	}
}

func (p *Pool) room(now time.Time) bool {
	for _, u := range p.units {
		if u.used() < p.allowed(u, now) {
			return true
		}
	}
	return false
}

// refuseLate refuses queued requests that can no longer be answered in time.
func (p *Pool) refuseLate(now time.Time) {
	for key, w := range p.queue.byID {
		if w.giveUp.After(now) {
			p.dueBy(w.giveUp)
			continue
		}
		p.queue.remove(key)
		p.answers = append(p.answers, Decision{Request: w.req, Err: p.late(now, w)})
	}
}

func (p *Pool) late(now time.Time, w *waiting) error {
	waited := now.Sub(w.at).Round(time.Millisecond)
	if p.slots() == 0 || p.barred(now) {
		return fault.Refuse(fault.Unavailable, "see status for the pool's replicas", "no replica of pool %q may serve; waited %s", p.name, waited).
			WithRetryAfter(barredWait)
	}
	return p.overload(p.wait(&w.req), "no replica of pool %q was free within %s", p.name, waited)
}

// minRetryAfter keeps refused callers from coming back at once.
const minRetryAfter = 100 * time.Millisecond

// speed measures how long attempts take.
type speed struct {
	mean    time.Duration
	samples int
}

// Weights of the measured duration.
const (
	// speedSamples is the number of results before the measure is used.
	speedSamples = 8
	// speedWeight is the weight of history in the mean.
	speedWeight = 32
)

func (s *speed) record(d time.Duration) {
	if d <= 0 {
		return
	}
	s.samples++
	s.mean += (d - s.mean) / time.Duration(min(s.samples, speedWeight))
}

// typical is the mean duration, or 0 while too little is known.
func (s *speed) typical() time.Duration {
	if s.samples < speedSamples {
		return 0
	}
	return s.mean
}

// wait is the time until slots that each take the mean duration have served n.
func (s *speed) wait(n, slots int) time.Duration {
	if slots <= 0 {
		return 0
	}
	return s.typical() * time.Duration(n) / time.Duration(slots)
}

// giveUp is when a request has too little time left for an answer; never
// before half of its time has passed.
func (s *speed) giveUp(now, deadline time.Time) time.Time {
	left := deadline.Sub(now)
	return deadline.Add(-min(s.typical(), left/2))
}
