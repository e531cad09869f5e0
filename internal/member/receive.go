package member

import "time"

// Receive handles a message and returns the resulting actions.
func (d *Detector) Receive(m *Message, now time.Time) []Action {
	d.detectPause(now)
	if m.Sender.ID == d.self.ID {
		d.handleOwnIdentity(m)
		return d.takeActions(now)
	}
	if !validNode(m.Sender) || len(m.Updates) > MaxUpdates || len(m.Metas) > MaxMetas {
		return d.takeActions(now)
	}
	delete(d.candidates, m.Sender.Addr)
	before := d.self.Incarnation
	rejoined := d.applySenderRecord(now, m.Sender)
	for _, u := range m.Updates {
		d.applyUpdate(now, u)
	}
	d.applyMetas(m, now)
	d.sendConflictingRecord(now, m.Sender)
	if d.self.Incarnation != before && m.Kind != Ping {
		// An update in the message made this daemon refute it. The Ack to a Ping
		// carries the new record anyway; other senders get it in a Sync at once.
		d.send(now, m.Sender.Addr, Message{Kind: Sync}, nil)
	}
	d.handleKind(now, m)
	if rejoined || m.FullSync {
		d.syncMember(now, m.Sender.ID)
	}
	return d.takeActions(now)
}

// applySenderRecord merges the sender's own record and reports whether the
// sender was dead or had left and is live again.
func (d *Detector) applySenderRecord(now time.Time, sender Node) bool {
	e := d.members[sender.ID]
	wasGone := e != nil && !e.node.Live()
	d.applyUpdate(now, Update{Node: sender})
	return wasGone && e.node.Live()
}

// handleOwnIdentity handles a message under this daemon's own id. Its sender
// is this process, an earlier process of this daemon, or another process that
// is configured with the same id. A sender with another boot id whose
// incarnation is not lower is reported as a duplicate.
func (d *Detector) handleOwnIdentity(m *Message) {
	if m.Sender.BootID != d.self.BootID && m.Sender.Incarnation >= d.self.Incarnation {
		d.emit(Event{Kind: Duplicate, Node: m.Sender})
		d.applySelfUpdate(m.Sender)
	}
}

// applyMetas stores the Meta of the sender and those that it forwards.
func (d *Detector) applyMetas(m *Message, now time.Time) {
	d.applyMeta(m.Sender.ID, m.Meta, now)
	for _, u := range m.Metas {
		if u.ID != d.self.ID && u.Age >= 0 {
			d.applyMeta(u.ID, u.Meta, now.Add(-u.Age))
		}
	}
}

// sendConflictingRecord sends the sender its record in this detector's table
// if that record calls it suspect, dead or another process and its own one
// does not supersede it, so that the sender can refute it.
func (d *Detector) sendConflictingRecord(now time.Time, sender Node) {
	e := d.members[sender.ID]
	if e == nil || sender.Status == Left {
		return
	}
	conflicting := e.node.BootID != sender.BootID || e.node.Status != Alive
	if conflicting && e.node.Incarnation >= sender.Incarnation {
		d.sendSync(sender.Addr, []Update{{Node: e.node, ReportedBy: e.suspicionReporter()}})
	}
}

// handleKind responds to a message according to its kind.
func (d *Detector) handleKind(now time.Time, m *Message) {
	switch m.Kind {
	case Ping:
		d.send(now, m.Sender.Addr, Message{Kind: Ack, Seq: m.Seq}, nil)
	case PingRequest:
		d.relayPing(now, m)
	case Ack:
		d.handleAck(now, m)
	case Nack:
		d.handleNack(m)
	case Sync:
	}
}
