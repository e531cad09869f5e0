package member

import "time"

// supersedes reports whether record a replaces record b of the same member.
// The order is total, so that all members converge on the same record.
func supersedes(a, b Node) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.BootID != b.BootID {
		return a.BootID > b.BootID
	}
	return a.Status > b.Status
}

// validNode reports whether a record from the network is within the limits.
func validNode(n Node) bool {
	return n.ID != "" && len(n.ID) <= MaxIDBytes &&
		n.Addr != "" && len(n.Addr) <= MaxAddrBytes &&
		n.BootID != "" && len(n.BootID) <= maxBootIDBytes && n.Status <= Left
}

// applyUpdate merges an update into the member table. If it changes a record,
// it queues the update for dissemination and emits an event.
func (d *Detector) applyUpdate(now time.Time, u Update) {
	if !validNode(u.Node) || len(u.ReportedBy) > MaxIDBytes {
		return
	}
	if u.Node.ID == d.self.ID {
		d.applySelfUpdate(u.Node)
		return
	}
	e := d.members[u.Node.ID]
	if e == nil {
		d.addMember(now, u)
		return
	}
	if e.suspicion != nil && e.node == u.Node {
		d.confirmSuspicion(e, u)
		return
	}
	if supersedes(u.Node, e.node) {
		d.replaceRecord(now, e, u)
	}
}

// applySelfUpdate refutes a record that wrongly describes this daemon as
// suspect, dead, left or another process.
func (d *Detector) applySelfUpdate(n Node) {
	current := n.Status == Alive && n.BootID == d.self.BootID
	if n.Incarnation < d.self.Incarnation || d.leaving {
		return
	}
	if current {
		d.self.Incarnation = n.Incarnation
		return
	}
	if n.Status == Suspect || n.Status == Dead {
		d.degradeHealth(1)
	}
	d.refute(n.Incarnation)
}

// refute raises this daemon's incarnation above the given one and queues its
// record for dissemination.
func (d *Detector) refute(incarnation uint64) {
	d.self.Incarnation = max(d.self.Incarnation, incarnation) + 1
	d.queueUpdate(Update{Node: d.self})
}

// addMember adds an unknown member. A member that is dead or has left is
// recorded without an event, so that an older record cannot make it live
// again.
func (d *Detector) addMember(now time.Time, u Update) {
	if len(d.members) >= maxMembers {
		return
	}
	e := &entry{node: u.Node, statusSince: now}
	d.members[u.Node.ID] = e
	d.changedMembers[u.Node.ID] = struct{}{}
	if !u.Node.Live() {
		return
	}
	d.insertInProbeOrder(u.Node.ID)
	d.queueUpdate(u)
	d.emit(Event{Kind: Joined, Node: u.Node})
	if u.Node.Status == Suspect {
		d.startSuspicion(now, e, u)
	}
}

// insertInProbeOrder places a new member at a random position among those
// still to be probed in this round.
func (d *Detector) insertInProbeOrder(id string) {
	d.probeOrder = append(d.probeOrder, id)
	last := len(d.probeOrder) - 1
	at := d.probePos + d.rand.IntN(last-d.probePos+1)
	d.probeOrder[at], d.probeOrder[last] = d.probeOrder[last], d.probeOrder[at]
}

// confirmSuspicion counts a further reporter of a suspicion.
func (d *Detector) confirmSuspicion(e *entry, u Update) {
	if u.ReportedBy != "" && e.suspicion.confirm(u.ReportedBy) {
		d.queueUpdate(u)
	}
}

// replaceRecord replaces the record of a known member with a superseding one.
func (d *Detector) replaceRecord(now time.Time, e *entry, u Update) {
	old := e.node
	e.node, e.statusSince, e.suspicion = u.Node, now, nil
	d.changedMembers[u.Node.ID] = struct{}{}
	d.queueUpdate(u)
	if old.BootID != u.Node.BootID {
		e.meta = Meta{}
	}
	if u.Node.Status == Suspect {
		d.startSuspicion(now, e, u)
		return
	}
	if kind := eventKind(old, u.Node); kind != 0 {
		d.emit(Event{Kind: kind, Node: u.Node, ReportedBy: u.ReportedBy})
	}
	if !old.Live() && u.Node.Live() {
		d.insertInProbeOrder(u.Node.ID)
	}
}

// startSuspicion starts the suspicion timeout of a member, and may verify a
// suspicion that another member reported.
func (d *Detector) startSuspicion(now time.Time, e *entry, u Update) {
	e.suspicion = d.newSuspicion(now, u.ReportedBy)
	d.emit(Event{Kind: Suspected, Node: u.Node, ReportedBy: u.ReportedBy})
	if u.ReportedBy != d.self.ID {
		d.maybeVerifySuspicion(now, e)
	}
}

// eventKind returns the kind of event for a record that changed from old to
// one with a status other than Suspect; 0 if the change causes no event.
func eventKind(old, now Node) EventKind {
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
