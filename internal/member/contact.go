package member

import "time"

const (
	// contactsPerTurn bounds the unknown addresses tried at once.
	contactsPerTurn = 3
	// contactTries is how often an address is tried that is not a seed.
	contactTries = 100
	// contactTurns is the number of intervals between two turns once others are known.
	contactTurns = 5
	// deadTurns is the number of intervals between two messages to dead members.
	deadTurns = 3
	// startPulls is the number of requests for all members after the start.
	startPulls = 5
	// farewells is the number of members told directly of a departure.
	farewells = 8
)

// AddPeer names an address where a member is said to run.
func (d *Detector) AddPeer(id, addr string, now time.Time) []Action {
	if id == d.self.ID || addr == d.self.Addr || addr == "" || len(addr) > MaxAddrBytes {
		return nil
	}
	if e := d.members[id]; e != nil && e.node.Addr == addr {
		return nil
	}
	if len(d.contacts) < maxMembers {
		d.contacts[addr] = 0
		d.nextContact = earliest(d.nextContact, now.Add(d.opt.Interval))
	}
	return d.flush(now)
}

// RemovePeer forgets an address that AddPeer named.
func (d *Detector) RemovePeer(addr string) { delete(d.contacts, addr) }

// tickContacts tries some addresses that nobody has answered from. Seeds come
// back once they are neither known nor live, so that daemons that were apart
// for longer than dead members are kept find each other again.
func (d *Detector) tickContacts(now time.Time) {
	if now.Before(d.nextContact) {
		return
	}
	d.nextContact = now.Add(d.contactInterval())
	if d.leaving {
		return
	}
	d.restoreSeeds()
	addrs := sorted(d.contacts)
	d.rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, addr := range addrs[:min(contactsPerTurn, len(addrs))] {
		d.contacts[addr]++
		d.send(now, addr, Message{Kind: Ping, Seq: d.nextSeq(), FullSync: true}, nil)
	}
}

func (d *Detector) contactInterval() time.Duration {
	if d.live() == 1 {
		return d.opt.Interval
	}
	return contactTurns * d.opt.Interval
}

func (d *Detector) restoreSeeds() {
	live := map[string]bool{d.self.Addr: true}
	for _, e := range d.members {
		if e.node.Live() {
			live[e.node.Addr] = true
		}
	}
	for _, addr := range d.opt.Seeds {
		if !live[addr] {
			d.contacts[addr] = 0
		}
	}
	for addr, tries := range d.contacts {
		if live[addr] || tries >= contactTries {
			delete(d.contacts, addr)
		}
	}
}

// tickPull asks members for all that they know, a few times after the start at
// doubling intervals: when many daemons start together, the first one that
// answers does not know them all yet.
func (d *Detector) tickPull(now time.Time) {
	if d.pulls >= startPulls || now.Before(d.nextPull) {
		return
	}
	d.nextPull = now.Add(d.opt.Interval << d.pulls)
	for _, e := range d.sample(1, func(e *entry) bool { return e.node.Status == Alive }) {
		d.pulls++
		d.send(now, e.node.Addr, Message{Kind: Ping, Seq: d.nextSeq(), FullSync: true}, nil)
	}
}

// tickDead sends a message to one dead member now and then, and forgets those
// that have been dead for long.
func (d *Detector) tickDead(now time.Time) {
	if now.Before(d.nextDead) {
		return
	}
	d.nextDead = now.Add(deadTurns * d.opt.Interval)
	for id, e := range d.members {
		if !e.node.Live() && now.Sub(e.since) >= d.opt.DeadRetention {
			delete(d.members, id)
			d.touched[id] = struct{}{}
			delete(d.broadcasts, id)
		}
	}
	if d.leaving {
		return
	}
	for _, e := range d.sample(1, func(e *entry) bool { return e.node.Status == Dead }) {
		about := &Update{Node: e.node}
		d.send(now, e.node.Addr, Message{Kind: Ping, Seq: d.nextSeq()}, about)
	}
}

// Leave tells some members that this daemon ends. The rest hear it from them.
func (d *Detector) Leave(now time.Time) []Action {
	d.leaving = true
	d.self.Status = Left
	clear(d.probes)
	clear(d.broadcasts)
	d.spread(Update{Node: d.self})
	for _, e := range d.sample(farewells, func(e *entry) bool { return e.node.Live() }) {
		d.send(now, e.node.Addr, Message{Kind: Sync}, nil)
	}
	return d.flush(now)
}
