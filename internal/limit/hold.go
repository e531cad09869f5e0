package limit

import (
	"math"
	"time"
)

// Release gives a grant back with what the holder learned. An unknown grant is
// ignored: it was given back before, or another home made it and this one has
// already learned that it ended.
func (p *Pool) Release(now time.Time, r Release) {
	h, ok := p.holds[r.Grant]
	if !ok {
		return
	}
	u := h.unit
	full := !u.lastFull.Before(h.at) || u.used() >= u.ramp.level
	if p.lingers(u, r.Result) {
		p.linger(now, h)
	} else {
		p.drop(now, h)
	}
	if h.grant.Incarnation == u.ramp.incarnation {
		u.ramp.record(now, r.Result, full && h.grant.Level == u.ramp.level, p.cfg)
	}
	if r.Result.Outcome == Crashed {
		u.doubted = now
	}
	if r.Result.Outcome == OK {
		p.speed.record(r.Result.Duration)
	}
	p.serve(now)
}

// lingerTime is how long a target may take to notice that its caller has gone.
const lingerTime = time.Second

// lingers reports whether a cold replica may still be at work on an attempt
// that its caller left.
func (p *Pool) lingers(u *unit, r Result) bool {
	left := r.Outcome == Cancelled || r.Outcome == Crashed
	return left && r.Duration > 0 && !p.warm(u)
}

// linger keeps a grant that was given back counted for a while.
func (p *Pool) linger(now time.Time, h *hold) {
	p.drop(now, h)
	h.orphan = false
	h.grant.Expires, h.grant.Deadline = now, now.Add(lingerTime)
	// No renewal speaks of it any more.
	h.grant.Seq = math.MaxUint64
	p.add(now, h)
	p.orphan(h)
}

// Cancel withdraws a request: from the queue, or its grant if it has one that
// the holder never used.
func (p *Pool) Cancel(now time.Time, holder, request string) {
	key := requestKey(holder, request)
	if p.queue.remove(key) {
		p.serve(now)
		return
	}
	if h, ok := p.byRequest[key]; ok {
		p.Release(now, Release{Grant: h.grant.ID, Result: Result{Outcome: Cancelled}})
	}
}

// Renewal is all that a holder has of one pool: what it uses, and the requests
// that it still waits for.
type Renewal struct {
	Pool    string
	Slice   int
	Boot    string
	Grants  []string
	Pending []string
	// Seq is the number of the last request made before the lists were taken.
	Seq uint64
}

// Renew extends a holder's grants and returns those that the home doesn't
// have. A grant that had expired is held again. A grant that is neither in use
// nor waited for was lost on its way to the holder and never will be used.
func (p *Pool) Renew(now time.Time, holder string, r Renewal) (unknown []string) {
	p.HolderRestarted(now, holder, r.Boot)
	listed := make(map[string]struct{}, len(r.Grants)+len(r.Pending))
	for _, id := range r.Grants {
		listed[id] = struct{}{}
		h, ok := p.holds[id]
		if !ok || h.grant.Holder != holder {
			unknown = append(unknown, id)
			continue
		}
		p.renew(now, h)
	}
	for _, id := range r.Pending {
		listed[id] = struct{}{}
	}
	p.dropLost(now, holder, r, listed)
	return unknown
}

func (p *Pool) dropLost(now time.Time, holder string, r Renewal, listed map[string]struct{}) {
	for id, h := range p.byHolder[holder] {
		g := &h.grant
		if g.Boot != r.Boot || g.Seq > r.Seq {
			continue
		}
		_, used := listed[id]
		_, pending := listed[g.Request]
		if !used && !pending {
			p.drop(now, h)
		}
	}
	p.serve(now)
}

func (p *Pool) renew(now time.Time, h *hold) {
	h.grant.Expires = now.Add(GrantTTL)
	if h.orphan {
		h.orphan = false
		delete(h.unit.orphans, h)
		h.unit.held++
		h.unit.excuse()
	}
	p.dueBy(h.grant.Expires)
}

// HolderRestarted notes that a holder runs as a new process. What the old one sent may
// still run at the targets, so its grants stay counted until their deadlines
// or until a report shows less.
func (p *Pool) HolderRestarted(now time.Time, holder, boot string) {
	for _, h := range p.byHolder[holder] {
		if h.grant.Boot != boot && !h.orphan {
			p.orphan(h)
		}
	}
	p.settleOrphans(now)
}

func (p *Pool) orphan(h *hold) {
	h.orphan = true
	h.unit.held--
	h.unit.orphans[h] = struct{}{}
	p.dueBy(h.grant.Deadline)
}

// Tick applies everything that is due: grants that expire, orphans that must
// have ended, queued requests that come too late, rules of a recovery.
func (p *Pool) Tick(now time.Time) {
	p.due = time.Time{}
	for _, h := range p.holds {
		p.expire(now, h)
	}
	p.settleOrphans(now)
	p.refuseLate(now)
	p.serve(now)
}

func (p *Pool) expire(now time.Time, h *hold) {
	switch {
	case h.orphan && !h.grant.Deadline.After(now):
		p.drop(now, h)
	case h.orphan:
		p.dueBy(h.grant.Deadline)
	case h.grant.Expires.After(now):
		p.dueBy(h.grant.Expires)
	default:
		p.orphan(h)
	}
}

// settleOrphans applies the newest reports to the orphans.
func (p *Pool) settleOrphans(now time.Time) {
	for _, u := range p.units {
		if len(u.orphans) > 0 {
			p.settle(now, u)
		}
	}
}

// settle drops the orphans that a report disproves: it was made after their
// holders fell silent and counts no work. If it counts less work than there
// are, some have ended, but which ones is not known: all are kept, and only as
// many as may run are counted.
func (p *Pool) settle(now time.Time, u *unit) {
	u.room = u.rep.Inflight
	if p.warm(u) {
		// Here the work of live holders is taken off. Not on a cold replica,
		// where a single request too many does harm: it may all be the orphans'.
		u.room = max(0, u.rep.Inflight-u.spans.least(now, u.held))
	}
	for h := range u.orphans {
		if u.room == 0 && u.silent(h) {
			p.drop(now, h)
		}
	}
	u.excuse()
}

// silent reports whether the newest report was made after the orphan's holder
// could last have started its work.
func (u *unit) silent(h *hold) bool {
	return u.rep.ReportedAt.After(h.grant.Expires.Add(MaxReportLag))
}

// excuse counts the orphans that the report leaves no room for.
func (u *unit) excuse() {
	n := 0
	for h := range u.orphans {
		if u.silent(h) {
			n++
		}
	}
	u.excused = max(0, n-u.room)
}
