package limit

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
)

// ReplicaLevel is a replica's concurrency level as observed at a time.
type ReplicaLevel struct {
	Replica     string
	Incarnation string
	Level       int
	ObservedAt  time.Time `msgpack:"At"`
}

// Holdings lists what one holder has from earlier homes of the pool.
type Holdings struct {
	Holder string
	BootID string `msgpack:"Boot"`
	Grants []Grant
	// Levels are the newest levels observed in grants.
	Levels []ReplicaLevel
	// Witnessed are the grants of other holders that this daemon is the witness
	// of.
	Witnessed []Grant `msgpack:"Notes"`
	// LastHome and LastTerm are the latest tenure that the holder knew before.
	LastHome string
	LastTerm string
}

// Snapshot is the state that a home passes to the next one.
type Snapshot struct {
	Grants []Grant
	Levels []ReplicaLevel
	// Untracked bounds the work under grants that are missing from Grants because
	// their holders never reported them.
	Untracked []UntrackedWork `msgpack:"Strangers"`
	// Replicas are the pool's replicas as last known. The new home uses them
	// until its own watch has delivered a list.
	Replicas []replica.Replica
	// Complete is set if the home had no unresolved recovery of its own: all
	// work is in Grants or bounded by Untracked.
	Complete bool
}

// ApplyHoldings takes one holder's answer. The holder's list is authoritative for
// its grants: those of earlier homes that are not listed were released or will
// never reach it.
func (p *Pool) ApplyHoldings(now time.Time, h Holdings) {
	p.recovery.recordAnswer(&h, p.term)
	p.adoptIfUnanswered(now, h.Witnessed)
	listed := make(map[string]struct{}, len(h.Grants))
	for i := range h.Grants {
		listed[h.Grants[i].ID] = struct{}{}
		p.adoptGrant(now, h.Grants[i])
	}
	for id, gs := range p.byHolder[h.Holder] {
		if _, ok := listed[id]; !ok && gs.grant.BootID == h.BootID && gs.grant.Term != p.term {
			p.removeGrant(now, gs)
		}
	}
	p.HolderRestarted(now, h.Holder, h.BootID)
	p.MergeLevels(h.Levels)
	p.grantQueued(now)
}

// ApplySnapshot takes the state of the previous home. It is used for holders that
// have not answered themselves.
func (p *Pool) ApplySnapshot(now time.Time, s Snapshot) {
	if !p.hasReplicas {
		for _, r := range s.Replicas {
			p.setReplica(now, r)
		}
	}
	p.adoptIfUnanswered(now, s.Grants)
	p.recovery.complete = p.recovery.complete || (s.Complete && !p.recovery.afterPartition)
	p.recovery.updateUnresolved()
	p.applyUntrackedWork(s.Untracked)
	p.MergeLevels(s.Levels)
	p.grantQueued(now)
}

// adoptIfUnanswered adopts the grants of holders that have not answered
// themselves.
func (p *Pool) adoptIfUnanswered(now time.Time, grants []Grant) {
	for i := range grants {
		if !p.recovery.answeredFor(&grants[i]) {
			p.adoptGrant(now, grants[i])
		}
	}
}

// MergeLevels takes levels that other daemons observed. The newest one for an
// incarnation wins.
func (p *Pool) MergeLevels(levels []ReplicaLevel) {
	for _, l := range levels {
		old, ok := p.levels[l.Replica]
		if ok && !l.ObservedAt.After(old.ObservedAt) {
			continue
		}
		p.levels[l.Replica] = l
		if rs, known := p.replicas[l.Replica]; known && rs.ramp.incarnation == l.Incarnation {
			rs.ramp.restore(l, p.cfg)
		}
	}
}

// adoptGrant takes over a grant that another home made, with a full lifetime: its
// holder needs time to learn of this home before it can renew the grant here.
func (p *Pool) adoptGrant(now time.Time, g Grant) {
	if _, ok := p.grants[g.ID]; ok {
		return
	}
	gs := &grantState{grant: g, replica: p.replica(g.Replica), addedAt: now}
	gs.grant.Expires = now.Add(GrantTTL)
	p.addGrant(now, gs)
}

// Snapshot returns the pool's state for the home that takes over.
func (p *Pool) Snapshot(now time.Time) Snapshot {
	var s Snapshot
	s.Untracked, s.Complete = p.untrackedWork()
	for _, gs := range p.grants {
		s.Grants = append(s.Grants, gs.grant)
	}
	for id, rs := range p.replicas {
		s.Replicas = append(s.Replicas, rs.replica)
		if rs.ramp.incarnation != "" {
			s.Levels = append(s.Levels, ReplicaLevel{Replica: id, Incarnation: rs.ramp.incarnation, Level: rs.ramp.level, ObservedAt: now})
		}
	}
	return s
}
