package limit

import (
	"math"
	"time"
)

// Release ends a grant and records the holder's result. An unknown grant is
// ignored: it was released before, or it was made by an earlier home and this
// home already knows that it ended.
func (p *Pool) Release(now time.Time, r Release) {
	gs, ok := p.grants[r.Grant]
	if !ok {
		return
	}
	rs := gs.replica
	atLevel := !rs.lastAtLevel.Before(gs.addedAt) || rs.used() >= rs.ramp.level
	if p.mayStillRun(rs, r.Result) {
		p.keepAsOrphan(now, gs)
	} else {
		p.removeGrant(now, gs)
	}
	if gs.grant.Incarnation == rs.ramp.incarnation {
		rs.ramp.record(now, r.Result, atLevel && gs.grant.Level == rs.ramp.level, p.cfg)
	}
	if r.Result.Outcome == Crashed {
		rs.crashedAt = now
	}
	if r.Result.Outcome == OK {
		p.duration.record(r.Result.Duration)
	}
	p.grantQueued(now)
}

// abandonedWorkTime is how long a target may take to stop work after its caller
// disconnects.
const abandonedWorkTime = time.Second

// mayStillRun reports whether a cold replica may still run an attempt whose
// caller has disconnected.
func (p *Pool) mayStillRun(rs *replicaState, r Result) bool {
	disconnected := r.Outcome == Cancelled || r.Outcome == Crashed
	return disconnected && r.Duration > 0 && !p.warm(rs)
}

// keepAsOrphan counts a released grant as an orphan for abandonedWorkTime.
func (p *Pool) keepAsOrphan(now time.Time, gs *grantState) {
	p.removeGrant(now, gs)
	gs.orphaned = false
	gs.grant.Expires, gs.grant.Deadline = now, now.Add(abandonedWorkTime)
	// The grant is in no further renewal, which must not remove it as lost.
	gs.grant.Seq = math.MaxUint64
	p.addGrant(now, gs)
	p.markOrphan(gs)
}

// Cancel removes a queued request, or releases its grant if the holder did not
// receive it.
func (p *Pool) Cancel(now time.Time, holder, request string) {
	key := requestKey(holder, request)
	if p.queue.remove(key) {
		p.grantQueued(now)
		return
	}
	if gs, ok := p.byRequest[key]; ok {
		p.Release(now, Release{Grant: gs.grant.ID, Result: Result{Outcome: Cancelled}})
	}
}

// Renewal lists what a holder has of one pool: the ids of its grants and of its
// pending requests.
type Renewal struct {
	Pool    string
	Slice   int
	BootID  string `msgpack:"Boot"`
	Grants  []string
	Pending []string
	// Seq is the number of the last request that the lists cover.
	Seq uint64
}

// Renew extends a holder's grants and returns the ids that the home does not
// know. An orphan that is listed is held again. A grant covered by r.Seq that is
// neither listed nor pending was lost on the way to the holder; it is removed.
func (p *Pool) Renew(now time.Time, holder string, r Renewal) (unknown []string) {
	p.HolderRestarted(now, holder, r.BootID)
	listed := make(map[string]struct{}, len(r.Grants)+len(r.Pending))
	for _, id := range r.Grants {
		listed[id] = struct{}{}
		gs, ok := p.grants[id]
		if !ok || gs.grant.Holder != holder {
			unknown = append(unknown, id)
			continue
		}
		p.renewGrant(now, gs)
	}
	for _, id := range r.Pending {
		listed[id] = struct{}{}
	}
	p.removeLostGrants(now, holder, r, listed)
	return unknown
}

func (p *Pool) removeLostGrants(now time.Time, holder string, r Renewal, listed map[string]struct{}) {
	for id, gs := range p.byHolder[holder] {
		g := &gs.grant
		if g.BootID != r.BootID || g.Seq > r.Seq {
			continue
		}
		_, used := listed[id]
		_, pending := listed[g.Request]
		if !used && !pending {
			p.removeGrant(now, gs)
		}
	}
	p.grantQueued(now)
}

func (p *Pool) renewGrant(now time.Time, gs *grantState) {
	gs.grant.Expires = now.Add(GrantTTL)
	if gs.orphaned {
		gs.orphaned = false
		delete(gs.replica.orphans, gs)
		gs.replica.held++
		gs.replica.updateEndedOrphans()
	}
	p.tickBy(gs.grant.Expires)
}

// HolderRestarted marks the grants of earlier processes of the holder as orphans.
// The work that they sent may still run at the targets, so it is counted until
// its deadline or until a report shows that it has ended.
func (p *Pool) HolderRestarted(now time.Time, holder, boot string) {
	for _, gs := range p.byHolder[holder] {
		if gs.grant.BootID != boot && !gs.orphaned {
			p.markOrphan(gs)
		}
	}
	p.reconcileOrphans(now)
}

func (p *Pool) markOrphan(gs *grantState) {
	gs.orphaned = true
	gs.replica.held--
	gs.replica.orphans[gs] = struct{}{}
	p.tickBy(gs.grant.Deadline)
}

// Tick applies everything that is due: it expires grants, removes orphans past
// their deadlines, refuses overdue requests, and grants queued requests when the
// restrictions of a recovery have ended.
func (p *Pool) Tick(now time.Time) {
	p.nextTick = time.Time{}
	for _, gs := range p.grants {
		p.expireGrant(now, gs)
	}
	p.reconcileOrphans(now)
	p.refuseOverdue(now)
	p.grantQueued(now)
}

func (p *Pool) expireGrant(now time.Time, gs *grantState) {
	switch {
	case gs.orphaned && !gs.grant.Deadline.After(now):
		p.removeGrant(now, gs)
	case gs.orphaned:
		p.tickBy(gs.grant.Deadline)
	case gs.grant.Expires.After(now):
		p.tickBy(gs.grant.Expires)
	default:
		p.markOrphan(gs)
	}
}

// reconcileOrphans compares the orphans of all replicas with the newest reports.
func (p *Pool) reconcileOrphans(now time.Time) {
	for _, rs := range p.replicas {
		if len(rs.orphans) > 0 {
			p.reconcileReplicaOrphans(now, rs)
		}
	}
}

// reconcileReplicaOrphans removes the replica's orphans if a report that covers
// them shows no work. If the report shows less work than there are orphans, some
// have ended, but it does not tell which: all are kept, and only as many as may
// still run are counted.
func (p *Pool) reconcileReplicaOrphans(now time.Time, rs *replicaState) {
	rs.orphanWork = rs.replica.Inflight
	if p.warm(rs) {
		// The work of live holders is subtracted. Not on a cold replica, where a
		// single request too many does harm: all reported work may be orphans'.
		rs.orphanWork = max(0, rs.replica.Inflight-rs.recent.minHeld(now, rs.held))
	}
	for gs := range rs.orphans {
		if rs.orphanWork == 0 && rs.reportCovers(gs) {
			p.removeGrant(now, gs)
		}
	}
	rs.updateEndedOrphans()
}

// reportCovers reports whether the newest report was made after the last time at
// which the orphan's holder could have started its work.
func (rs *replicaState) reportCovers(gs *grantState) bool {
	return rs.replica.ReportedAt.After(gs.grant.Expires.Add(MaxReportLag))
}

// updateEndedOrphans counts the orphans in excess of the reported work.
func (rs *replicaState) updateEndedOrphans() {
	n := 0
	for gs := range rs.orphans {
		if rs.reportCovers(gs) {
			n++
		}
	}
	rs.endedOrphans = max(0, n-rs.orphanWork)
}
