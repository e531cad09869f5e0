package member

import "time"

// supersedes reports whether fact a replaces fact b about the same member. The
// order is total, so that all members settle on the same fact.
func supersedes(a, b Node) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.BootID != b.BootID {
		return a.BootID > b.BootID
	}
	return a.Status > b.Status
}

func valid(n Node) bool {
	return n.ID != "" && len(n.ID) <= MaxIDBytes &&
		n.Addr != "" && len(n.Addr) <= MaxAddrBytes &&
		n.BootID != "" && len(n.BootID) <= maxBootBytes && n.Status <= Left
}

// apply takes a fact in, passes it on if it is news, and tells of the change.
func (d *Detector) apply(now time.Time, u Update) {
	if !valid(u.Node) || len(u.ReportedBy) > MaxIDBytes {
		return
	}
	if u.Node.ID == d.self.ID {
		d.applySelf(u.Node)
		return
	}
	e := d.members[u.Node.ID]
	if e == nil {
		d.applyNew(now, u)
		return
	}
	if e.suspicion != nil && e.node == u.Node {
		d.confirm(e, u)
		return
	}
	if supersedes(u.Node, e.node) {
		d.replace(now, e, u)
	}
}

// applySelf refutes what others wrongly believe of this daemon.
func (d *Detector) applySelf(n Node) {
	current := n.Status == Alive && n.BootID == d.self.BootID
	if n.Incarnation < d.self.Incarnation || d.leaving {
		return
	}
	if current {
		d.self.Incarnation = n.Incarnation
		return
	}
	if n.Status == Suspect || n.Status == Dead {
		d.worsen(1)
	}
	d.refute(n.Incarnation)
}

// refute announces this daemon under an incarnation above the given one.
func (d *Detector) refute(incarnation uint64) {
	d.self.Incarnation = max(d.self.Incarnation, incarnation) + 1
	d.spread(Update{Node: d.self})
}

// applyNew adds an unknown member. One that is dead or left is remembered
// silently, so that older facts about it can't bring it back.
func (d *Detector) applyNew(now time.Time, u Update) {
	if len(d.members) >= maxMembers {
		return
	}
	e := &entry{node: u.Node, since: now}
	d.members[u.Node.ID] = e
	d.touched[u.Node.ID] = struct{}{}
	if !u.Node.Live() {
		return
	}
	d.insert(u.Node.ID)
	d.spread(u)
	d.event(Event{Kind: Joined, Node: u.Node})
	if u.Node.Status == Suspect {
		d.suspect(now, e, u)
	}
}

// insert gives a new member a random place in what is left of the round.
func (d *Detector) insert(id string) {
	d.order = append(d.order, id)
	last := len(d.order) - 1
	at := d.next + d.rand.IntN(last-d.next+1)
	d.order[at], d.order[last] = d.order[last], d.order[at]
}

func (d *Detector) confirm(e *entry, u Update) {
	if u.ReportedBy != "" && e.suspicion.confirm(u.ReportedBy) {
		d.spread(u)
	}
}

// replace makes u the belief about e.
func (d *Detector) replace(now time.Time, e *entry, u Update) {
	old := e.node
	e.node, e.since, e.suspicion = u.Node, now, nil
	d.touched[u.Node.ID] = struct{}{}
	d.spread(u)
	if old.BootID != u.Node.BootID {
		e.meta = Meta{}
	}
	if u.Node.Status == Suspect {
		d.suspect(now, e, u)
		return
	}
	if kind := change(old, u.Node); kind != 0 {
		d.event(Event{Kind: kind, Node: u.Node, ReportedBy: u.ReportedBy})
	}
	if !old.Live() && u.Node.Live() {
		d.insert(u.Node.ID)
	}
}

func (d *Detector) suspect(now time.Time, e *entry, u Update) {
	e.suspicion = d.newSuspicion(now, u.ReportedBy)
	d.event(Event{Kind: Suspected, Node: u.Node, ReportedBy: u.ReportedBy})
	if u.ReportedBy != d.self.ID {
		d.verify(now, e)
	}
}

// change names the event for a member that went from old to a status other
// than Suspect; 0 if nothing changed that matters.
func change(old, now Node) EventKind {
	switch {
	case now.Status == Dead && old.Live():
		return Died
	case now.Status == Left && old.Live():
		return Departed
	case !now.Live():
		return 0
	case old.BootID != now.BootID && old.Live():
		return Restarted
	case old.Status == Suspect:
		return Refuted
	case old.Status == Dead && old.BootID == now.BootID:
		return Rejoined
	case !old.Live():
		return Joined
	default:
		return 0
	}
}
