package limit

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
)

// ReplicaLevel is what a holder remembers of a replica's level.
type ReplicaLevel struct {
	Replica     string
	Incarnation string
	Level       int
	ObservedAt  time.Time `msgpack:"At"`
}

// Holdings is what one holder has from earlier homes of the pool.
type Holdings struct {
	Holder string
	Boot   string
	Grants []Grant
	// Levels are the newest levels seen in grants.
	Levels []ReplicaLevel
	// Witnessed are grants of other holders that this daemon was told to remember.
	Witnessed []Grant `msgpack:"Notes"`
	// LastHome and LastTerm are the latest tenure that the holder knew before.
	LastHome string
	LastTerm string
}

// Snapshot is all that a home knew when another one took over.
type Snapshot struct {
	Grants []Grant
	Levels []ReplicaLevel
	// Untracked bounds work that no grant in the table explains.
	Untracked []UntrackedWork `msgpack:"Strangers"`
	// Replicas are the pool's replicas as the home saw them last. They stand
	// until the new home's own watch has seen them.
	Replicas []replica.Replica
	// Complete means that the home had nothing left to recover itself: all work
	// is in the table, or bounded by Strangers.
	Complete bool
}

// ApplyHoldings takes one holder's answer. The holder's own list is the truth about its
// grants: those it does not list were given back or will never reach it.
func (p *Pool) ApplyHoldings(now time.Time, h Holdings) {
	p.recovery.answer(&h, p.term)
	p.adoptUnspoken(now, h.Witnessed)
	listed := make(map[string]struct{}, len(h.Grants))
	for i := range h.Grants {
		listed[h.Grants[i].ID] = struct{}{}
		p.adopt(now, h.Grants[i])
	}
	for id, o := range p.byHolder[h.Holder] {
		if _, ok := listed[id]; !ok && o.grant.Boot == h.Boot && o.grant.Term != p.term {
			p.drop(now, o)
		}
	}
	p.HolderRestarted(now, h.Holder, h.Boot)
	p.MergeLevels(h.Levels)
	p.serve(now)
}

// ApplySnapshot takes the table of the home before this one. It speaks for the
// holders that have not answered.
func (p *Pool) ApplySnapshot(now time.Time, t Snapshot) {
	if !p.watched {
		for _, r := range t.Replicas {
			p.setReplica(now, r)
		}
	}
	p.adoptUnspoken(now, t.Grants)
	p.recovery.complete = p.recovery.complete || (t.Complete && !p.recovery.merging)
	p.recovery.judge()
	p.inherit(t.Untracked)
	p.MergeLevels(t.Levels)
	p.serve(now)
}

// adoptUnspoken adopts grants whose holders have not themselves told what they
// hold.
func (p *Pool) adoptUnspoken(now time.Time, grants []Grant) {
	for i := range grants {
		if !p.recovery.speaks(&grants[i]) {
			p.adopt(now, grants[i])
		}
	}
}

// MergeLevels takes levels that others saw; the newest one of an incarnation wins.
func (p *Pool) MergeLevels(levels []ReplicaLevel) {
	for _, m := range levels {
		old, ok := p.memories[m.Replica]
		if ok && !m.ObservedAt.After(old.ObservedAt) {
			continue
		}
		p.memories[m.Replica] = m
		if u, known := p.units[m.Replica]; known && u.ramp.incarnation == m.Incarnation {
			u.ramp.recall(m, p.cfg)
		}
	}
}

// adopt takes over a grant that another home made. Its holder, if it lives,
// renews it here; the full term gives it time to learn of this home.
func (p *Pool) adopt(now time.Time, g Grant) {
	if _, ok := p.holds[g.ID]; ok {
		return
	}
	h := &hold{grant: g, unit: p.unit(g.Replica), at: now}
	h.grant.Expires = now.Add(GrantTTL)
	p.add(now, h)
}

// Snapshot returns all that the pool knows, for the home that takes over.
func (p *Pool) Snapshot(now time.Time) Snapshot {
	var t Snapshot
	t.Untracked, t.Complete = p.strangers()
	for _, h := range p.holds {
		t.Grants = append(t.Grants, h.grant)
	}
	for id, u := range p.units {
		t.Replicas = append(t.Replicas, u.rep)
		if u.ramp.incarnation != "" {
			t.Levels = append(t.Levels, ReplicaLevel{Replica: id, Incarnation: u.ramp.incarnation, Level: u.ramp.level, ObservedAt: now})
		}
	}
	return t
}
