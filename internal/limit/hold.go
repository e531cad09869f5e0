package limit

import "time"

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
	p.drop(now, h)
	if h.grant.Incarnation == u.ramp.incarnation {
		u.ramp.record(r.Result, full && h.grant.Level == u.ramp.level, p.cfg)
	}
	if r.Result.Outcome == OK {
		p.speed.record(r.Result.Duration)
	}
	p.serve(now)
}

// Cancel withdraws a request: from the queue, or its grant if it has one that
// the holder never used.
func (p *Pool) Cancel(now time.Time, holder, request string) {
	key := requestKey(holder, request)
	if p.queue.remove(key) {
		p.unreserve()
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
	p.Reboot(now, holder, r.Boot)
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
	for id, h := range p.holds {
		g := &h.grant
		if g.Holder != holder || g.Boot != r.Boot || g.Seq > r.Seq {
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
		h.unit.orphans--
		h.unit.held++
	}
	p.dueBy(h.grant.Expires)
}

// Reboot notes that a holder runs as a new process. What the old one sent may
// still run at the targets, so its grants stay counted until their deadlines
// or until a report shows less.
func (p *Pool) Reboot(now time.Time, holder, boot string) {
	for _, h := range p.holds {
		if h.grant.Holder == holder && h.grant.Boot != boot && !h.orphan {
			p.orphan(h)
		}
	}
	p.settleOrphans(now)
}

func (p *Pool) orphan(h *hold) {
	h.orphan = true
	h.unit.held--
	h.unit.orphans++
	// From now on only the deadline or a report ends it.
	h.at = h.grant.Expires
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
	p.unreserve()
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

// settleOrphans drops orphans that a report disproves: the report was made
// after they were sent and counts less work than there are orphans.
func (p *Pool) settleOrphans(now time.Time) {
	for _, u := range p.units {
		if u.orphans > u.rep.Inflight {
			p.settle(now, u)
		}
	}
}

func (p *Pool) settle(now time.Time, u *unit) {
	for _, h := range p.holds {
		if u.orphans <= u.rep.Inflight {
			return
		}
		if h.unit == u && h.orphan && u.rep.ReportedAt.After(h.grant.Expires.Add(ReportLag)) {
			p.drop(now, h)
		}
	}
}

// unreserve gives up a reserved replica that no queued request needs, or that
// is no longer open.
func (p *Pool) unreserve() {
	if p.reserved == "" {
		return
	}
	for _, w := range p.queue.byID {
		if w.req.Alone {
			return
		}
	}
	p.reserved = ""
}
