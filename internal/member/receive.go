package member

import "time"

// Receive takes a message in.
func (d *Detector) Receive(m *Message, now time.Time) []Action {
	d.notice(now)
	if m.Sender.ID == d.self.ID {
		d.own(m)
		return d.flush(now)
	}
	if !valid(m.Sender) || len(m.Updates) > MaxUpdates || len(m.Metas) > MaxMetas {
		return d.flush(now)
	}
	delete(d.contacts, m.Sender.Addr)
	before := d.self.Incarnation
	back := d.greet(now, m.Sender)
	for _, u := range m.Updates {
		d.apply(now, u)
	}
	d.learnAll(m, now)
	d.tell(now, m.Sender)
	if d.self.Incarnation != before && m.Kind != Ping {
		// Ping is answered anyway; whoever else accused us hears it now.
		d.send(now, m.Sender.Addr, Message{Kind: Sync}, nil)
	}
	d.answer(now, m)
	if back || m.FullSync {
		d.share(now, m.Sender.ID)
	}
	return d.flush(now)
}

// greet takes in the sender's own record and reports whether the sender was
// taken for dead and is live again.
func (d *Detector) greet(now time.Time, sender Node) bool {
	e := d.members[sender.ID]
	gone := e != nil && !e.node.Live()
	d.apply(now, Update{Node: sender})
	return gone && e.node.Live()
}

// own handles a message under this daemon's identity: an echo of its own, one
// of an earlier process, or another process with the same settings.
func (d *Detector) own(m *Message) {
	if m.Sender.BootID != d.self.BootID && m.Sender.Incarnation >= d.self.Incarnation {
		d.event(Event{Kind: Duplicate, Node: m.Sender})
		d.applySelf(m.Sender)
	}
}

func (d *Detector) learnAll(m *Message, now time.Time) {
	d.learn(m.Sender.ID, m.Meta, now)
	for _, u := range m.Metas {
		if u.ID != d.self.ID && u.Age >= 0 {
			d.learn(u.ID, u.Meta, now.Add(-u.Age))
		}
	}
}

// tell lets a sender know that it is believed to be dead, suspect or an earlier
// process, so that it can refute.
func (d *Detector) tell(now time.Time, sender Node) {
	e := d.members[sender.ID]
	if e == nil || sender.Status == Left {
		return
	}
	accused := e.node.BootID != sender.BootID || e.node.Status != Alive
	if accused && e.node.Incarnation >= sender.Incarnation {
		d.sendSync(sender.Addr, []Update{{Node: e.node, ReportedBy: e.accuser()}})
	}
}

func (d *Detector) answer(now time.Time, m *Message) {
	switch m.Kind {
	case Ping:
		d.send(now, m.Sender.Addr, Message{Kind: Ack, Seq: m.Seq}, nil)
	case PingRequest:
		d.relayPing(now, m)
	case Ack:
		d.acked(now, m)
	case Nack:
		d.nacked(m)
	case Sync:
	}
}
