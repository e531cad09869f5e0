package limit

import "time"

// recovery is a new home's knowledge of what holders may have from the home
// before it. The zero value is a home that has nothing to recover.
type recovery struct {
	started time.Time
	// waiting are holders that were asked and have not answered.
	waiting map[string]struct{}
	// asked counts all holders, answered are those who have told what they hold.
	asked    int
	answered map[string]struct{}
	// complete means that the home before this one handed over all it knew.
	complete bool
}

// active reports whether some holder's grants may still be unknown.
func (r *recovery) active(now time.Time) bool {
	return !r.complete && len(r.answered) < r.asked && now.Before(r.started.Add(ColdQuiet))
}

// holds reports whether nothing at all may be granted yet.
func (r *recovery) holds(now time.Time) bool {
	return len(r.waiting) > 0 && now.Before(r.started.Add(AnswerWait))
}

func (r *recovery) mayUseCold(now time.Time) bool { return !r.active(now) }

// share leaves the part of a warm limit that silent holders may be using.
func (r *recovery) share(limit int, now time.Time) int {
	if r.holds(now) {
		return 0
	}
	if !r.active(now) {
		return limit
	}
	return Standing{MayUseCold: true, Seen: len(r.answered), Total: r.asked}.share(limit)
}

// next returns when the recovery's rules change by themselves.
func (r *recovery) next(now time.Time) (time.Time, bool) {
	if r.holds(now) {
		return r.started.Add(AnswerWait), true
	}
	if r.active(now) {
		return r.started.Add(ColdQuiet), true
	}
	return time.Time{}, false
}

// Memory is what a holder remembers of a replica's level.
type Memory struct {
	Replica     string
	Incarnation string
	Level       int
	At          time.Time
}

// Holdings is what one holder has from earlier homes of the pool.
type Holdings struct {
	Holder string
	Boot   string
	Grants []Grant
	// Levels are the newest levels seen in grants.
	Levels []Memory
}

// Table is all that a home knew when another one took over.
type Table struct {
	Grants []Grant
	Levels []Memory
	// Complete means that the home had nothing left to recover itself.
	Complete bool
}

// Recover puts the pool under recovery: it grants nothing until the reachable
// holders have answered, and leaves cold replicas alone until all have, or
// until whatever the silent ones had must have expired. unreachable counts
// holders that can't even be asked.
func (p *Pool) Recover(now time.Time, holders []string, unreachable int) {
	p.recovery = recovery{
		started:  now,
		waiting:  make(map[string]struct{}, len(holders)),
		asked:    len(holders) + max(0, unreachable),
		answered: make(map[string]struct{}, len(holders)),
	}
	for _, h := range holders {
		p.recovery.waiting[h] = struct{}{}
	}
}

// Held takes one holder's answer. The holder's own list is the truth about its
// grants: those it does not list were given back or will never reach it.
func (p *Pool) Held(now time.Time, h Holdings) {
	if _, ok := p.recovery.waiting[h.Holder]; ok {
		delete(p.recovery.waiting, h.Holder)
		p.recovery.answered[h.Holder] = struct{}{}
	}
	listed := make(map[string]struct{}, len(h.Grants))
	for i := range h.Grants {
		listed[h.Grants[i].ID] = struct{}{}
		p.adopt(now, h.Grants[i])
	}
	for id, o := range p.holds {
		if _, ok := listed[id]; !ok && o.grant.Holder == h.Holder && o.grant.Boot == h.Boot && o.grant.Term != p.term {
			p.drop(now, o)
		}
	}
	p.Remember(h.Levels)
	p.serve(now)
}

// HandedOver takes the table of the home before this one. It speaks for the
// holders that have not answered.
func (p *Pool) HandedOver(now time.Time, t Table) {
	for i := range t.Grants {
		if _, ok := p.recovery.answered[t.Grants[i].Holder]; !ok {
			p.adopt(now, t.Grants[i])
		}
	}
	p.recovery.complete = p.recovery.complete || t.Complete
	p.Remember(t.Levels)
	p.serve(now)
}

// Silent notes that a holder can't be asked; its share stays reserved.
func (p *Pool) Silent(now time.Time, holder string) {
	delete(p.recovery.waiting, holder)
	p.serve(now)
}

// Remember takes levels that others saw; the newest one of an incarnation wins.
func (p *Pool) Remember(levels []Memory) {
	for _, m := range levels {
		old, ok := p.memories[m.Replica]
		if ok && !m.At.After(old.At) {
			continue
		}
		p.memories[m.Replica] = m
		if u, known := p.units[m.Replica]; known && u.ramp.incarnation == m.Incarnation {
			u.ramp.level = m.Level
			u.ramp.clamp(p.cfg)
		}
	}
}

// adopt takes over a grant that another home made.
func (p *Pool) adopt(now time.Time, g Grant) {
	if _, ok := p.holds[g.ID]; ok {
		return
	}
	u := p.unit(g.Replica)
	h := &hold{grant: g, unit: u, at: now}
	// The holder is alive and will renew: give it time to learn of this home.
	h.grant.Expires = now.Add(GrantTTL)
	p.add(now, h)
}

// Export returns all that the pool knows, for the home that takes over.
func (p *Pool) Export(now time.Time) Table {
	t := Table{Complete: !p.recovery.active(now)}
	for _, h := range p.holds {
		t.Grants = append(t.Grants, h.grant)
	}
	for id, u := range p.units {
		if u.ramp.incarnation != "" {
			t.Levels = append(t.Levels, Memory{Replica: id, Incarnation: u.ramp.incarnation, Level: u.ramp.level, At: now})
		}
	}
	return t
}
