package limit

import (
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Acquire decides on a request. It returns a grant, an error if the request is
// refused, or nil for both if the request is queued; the decision on a queued
// request is returned by TakeDecisions.
func (p *Pool) Acquire(now time.Time, req Request) (*Grant, error) {
	key := requestKey(req.Holder, req.ID)
	if gs, ok := p.byRequest[key]; ok && !gs.orphaned {
		g := gs.grant
		return &g, nil
	}
	if _, ok := p.queue.byID[key]; ok {
		return nil, nil
	}
	if !req.Deadline.After(now) {
		return nil, fault.Refuse(fault.Timeout, "send the request with a longer deadline", "the deadline of the request has passed")
	}
	if p.queue.len() == 0 || !p.hasRequestsAhead(&req) {
		if g := p.tryGrant(now, &req); g != nil {
			return g, nil
		}
	}
	return nil, p.enqueue(now, req)
}

// hasRequestsAhead reports whether queued requests are served before a new one.
func (p *Pool) hasRequestsAhead(r *Request) bool { return p.queue.countAhead(r) > 0 }

func (p *Pool) enqueue(now time.Time, req Request) error {
	if err := p.checkQueueLength(&req); err != nil {
		return err
	}
	if err := p.checkDeadline(now, &req); err != nil {
		return err
	}
	if err := p.checkExclusions(&req); err != nil {
		return err
	}
	qr := &queuedRequest{req: req, queuedAt: now, refuseAt: p.duration.refuseAt(now, req.Deadline)}
	if p.blockedByPartition(now) {
		qr.refuseAt = earliest(qr.refuseAt, now.Add(partitionWait))
	}
	p.queue.push(qr)
	p.tickBy(qr.refuseAt)
	p.grantQueued(now)
	return nil
}

func (p *Pool) checkQueueLength(req *Request) error {
	if p.queue.len() >= MaxQueue {
		return p.overloadError(p.estimateWait(req), "the queue of pool %q is full with %d requests", p.name, p.queue.len())
	}
	if n := p.queue.byWorkspace[req.Workspace]; n >= MaxQueuePerWorkspace {
		return p.overloadError(p.estimateWait(req), "workspace %q already has %d requests queued for pool %q", req.Workspace, n, p.name)
	}
	return nil
}

// checkExclusions refuses a request that excludes every replica of the pool.
func (p *Pool) checkExclusions(req *Request) error {
	if len(req.Exclude) == 0 || len(p.replicas) == 0 {
		return nil
	}
	for id := range p.replicas {
		if !slices.Contains(req.Exclude, id) {
			return nil
		}
	}
	return fault.Refuse(fault.Unavailable, "add replicas to the pool", "the request has already been tried on every replica of pool %q", p.name)
}

// blockedByPartition reports whether this side of a partition may use none of
// the available replicas. Requests are then refused early, so that the caller
// can retry on the other side.
func (p *Pool) blockedByPartition(now time.Time) bool {
	if p.visibility.MayUseCold || p.recovery.awaitingHolders(now) {
		return false
	}
	anyAvailable := false
	for _, rs := range p.replicas {
		if p.capacity(rs, now) > 0 {
			return false
		}
		anyAvailable = anyAvailable || p.available(rs)
	}
	return anyAvailable
}

// partitionWait is how long a request waits for a partition to heal.
const partitionWait = time.Second

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (p *Pool) checkDeadline(now time.Time, req *Request) error {
	wait, left := p.estimateWait(req), req.Deadline.Sub(now)
	if wait+p.duration.typical() <= left {
		return nil
	}
	return p.overloadError(wait, "the estimated time to completion is %s, but the deadline is in %s",
		(wait + p.duration.typical()).Round(time.Millisecond), left.Round(time.Millisecond))
}

func (p *Pool) overloadError(wait time.Duration, format string, args ...any) error {
	return fault.Refuse(fault.Overload, "try again later, or send the request with a longer deadline", format, args...).
		WithRetryAfter(max(wait, minRetryAfter))
}

// estimateWait estimates the time until a new request would be granted.
func (p *Pool) estimateWait(req *Request) time.Duration {
	return p.duration.wait(p.queue.countAhead(req)+1, p.totalLevel())
}

// totalLevel returns the sum of the levels of all available replicas.
func (p *Pool) totalLevel() int {
	n := 0
	for _, rs := range p.replicas {
		if p.available(rs) {
			n += rs.ramp.level
		}
	}
	return n
}

// grantQueued grants queued requests until none of them can be granted.
func (p *Pool) grantQueued(now time.Time) {
	for p.updateReserved(); p.queue.len() > 0 && p.hasFreeCapacity(now); p.updateReserved() {
		granted := p.queue.grantNext(func(r *Request) bool {
			g := p.tryGrant(now, r)
			if g != nil {
				p.decisions = append(p.decisions, Decision{Request: *r, Grant: g})
			}
			return g != nil
		})
		if !granted {
			return
		}
	}
}

func (p *Pool) hasFreeCapacity(now time.Time) bool {
	for _, rs := range p.replicas {
		if rs.used() < p.capacity(rs, now) {
			return true
		}
	}
	return false
}

// refuseOverdue refuses queued requests that can no longer complete in time.
func (p *Pool) refuseOverdue(now time.Time) {
	for key, qr := range p.queue.byID {
		if qr.refuseAt.After(now) {
			p.tickBy(qr.refuseAt)
			continue
		}
		p.queue.remove(key)
		p.decisions = append(p.decisions, Decision{Request: qr.req, Err: p.overdueError(now, qr)})
	}
}

func (p *Pool) overdueError(now time.Time, qr *queuedRequest) error {
	waited := now.Sub(qr.queuedAt).Round(time.Millisecond)
	if p.totalLevel() == 0 || p.blockedByPartition(now) {
		return fault.Refuse(fault.Unavailable, "check the pool's replicas with the status command", "no replica of pool %q was available within %s", p.name, waited).
			WithRetryAfter(partitionWait)
	}
	return p.overloadError(p.estimateWait(&qr.req), "no replica of pool %q had free capacity within %s", p.name, waited)
}

// minRetryAfter is the shortest retry delay told to refused callers, so that
// they do not come back at once.
const minRetryAfter = 100 * time.Millisecond

// durationEstimate is a moving average of the duration of attempts.
type durationEstimate struct {
	mean    time.Duration
	samples int
}

// Parameters of the duration estimate.
const (
	// minDurationSamples is the number of results before the mean is used.
	minDurationSamples = 8
	// durationMeanWindow is the number of results that the mean averages over.
	durationMeanWindow = 32
)

func (e *durationEstimate) record(d time.Duration) {
	if d <= 0 {
		return
	}
	e.samples++
	e.mean += (d - e.mean) / time.Duration(min(e.samples, durationMeanWindow))
}

// typical returns the mean duration, or 0 while there are too few samples.
func (e *durationEstimate) typical() time.Duration {
	if e.samples < minDurationSamples {
		return 0
	}
	return e.mean
}

// wait returns the time that the given number of slots needs for n requests of
// mean duration.
func (e *durationEstimate) wait(n, slots int) time.Duration {
	if slots <= 0 {
		return 0
	}
	return e.typical() * time.Duration(n) / time.Duration(slots)
}

// refuseAt returns when a queued request has too little time left to complete,
// but no earlier than half of the time to its deadline.
func (e *durationEstimate) refuseAt(now, deadline time.Time) time.Time {
	left := deadline.Sub(now)
	return deadline.Add(-min(e.typical(), left/2))
}
