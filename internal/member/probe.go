package member

import "time"

const (
	// indirectProbes is the number of members asked to probe on our behalf.
	indirectProbes = 3
	// probeParts is the length of a probe in direct timeouts: one for the direct
	// answer, one for the indirect ones.
	probeParts = 2
	// nackShare and nackOf place a relay's Nack before the asker's deadline.
	nackShare, nackOf = 4, 5
)

// probe is a question to one member that awaits its answer.
type probe struct {
	target   string
	asked    time.Time // when others are asked, unless that was done
	expires  time.Time
	indirect bool
	// expected and nacks count the relays asked and those that said Nack.
	expected, nacks int
}

func (p *probe) deadline() time.Time {
	if p.indirect {
		return p.expires
	}
	return p.asked
}

// relay is a ping sent on another member's behalf.
type relay struct {
	origin  string
	addr    string
	seq     uint64
	target  string
	expires time.Time
}

// tickRound starts the next probe of the round.
func (d *Detector) tickRound(now time.Time) {
	if now.Before(d.nextProbe) {
		return
	}
	d.nextProbe = now.Add(d.scaled(d.opt.Interval))
	if d.leaving {
		return
	}
	if e := d.nextTarget(); e != nil {
		d.probe(now, e)
	}
}

// nextTarget walks the shuffled round: every live member is probed once per
// round, so the time to the first probe of a dead one is bounded.
func (d *Detector) nextTarget() *entry {
	for range 2 {
		for d.next < len(d.order) {
			e := d.members[d.order[d.next]]
			d.next++
			if e != nil && e.node.Live() && !d.probing(e.node.ID) {
				return e
			}
		}
		d.newRound()
	}
	return nil
}

func (d *Detector) newRound() {
	d.order, d.next = d.order[:0], 0
	for _, e := range d.sample(len(d.members), func(e *entry) bool { return e.node.Live() }) {
		d.order = append(d.order, e.node.ID)
	}
}

func (d *Detector) probing(id string) bool {
	for _, p := range d.probes {
		if p.target == id {
			return true
		}
	}
	return false
}

// ProbeNow probes a member out of turn, for example because a call to it failed.
func (d *Detector) ProbeNow(id string, now time.Time) []Action {
	d.notice(now)
	if e := d.members[id]; e != nil && e.node.Live() && !d.probing(id) {
		d.probe(now, e)
	}
	return d.flush(now)
}

func (d *Detector) probe(now time.Time, e *entry) {
	seq := d.nextSeq()
	d.probes[seq] = &probe{
		target:  e.node.ID,
		asked:   now.Add(d.scaled(d.opt.ProbeTimeout)),
		expires: now.Add(d.scaled(probeParts * d.opt.ProbeTimeout)),
	}
	d.send(now, e.node.Addr, Message{Kind: Ping, Seq: seq}, d.accusation(e))
}

// accusation is the belief that a member must hear to refute it; nil if it is
// alive, when one record of another member goes along instead: over time, this
// repairs whatever the bounded retransmission of updates has missed.
func (d *Detector) accusation(e *entry) *Update {
	if e.node.Status != Alive {
		return &Update{Node: e.node, ReportedBy: e.accuser()}
	}
	other := d.sample(1, func(o *entry) bool { return o != e })
	if len(other) == 0 {
		return nil
	}
	return &Update{Node: other[0].node, ReportedBy: other[0].accuser()}
}

func (d *Detector) tickProbes(now time.Time) {
	for _, seq := range sorted(d.probes) {
		p := d.probes[seq]
		switch {
		case !now.Before(p.expires):
			delete(d.probes, seq)
			d.probeFailed(now, p)
		case !p.indirect && !now.Before(p.asked):
			p.indirect = true
			d.askOthers(now, seq, p)
		}
	}
}

func (d *Detector) askOthers(now time.Time, seq uint64, p *probe) {
	e := d.members[p.target]
	if e == nil {
		return
	}
	relays := d.sample(indirectProbes, func(o *entry) bool { return o.node.Status == Alive && o != e })
	p.expected = len(relays)
	for _, r := range relays {
		m := Message{Kind: PingRequest, Seq: seq, Target: p.target, TargetAddr: e.node.Addr}
		d.send(now, r.node.Addr, m, nil)
	}
}

// probeFailed accuses the target. Missing Nacks speak against this daemon.
func (d *Detector) probeFailed(now time.Time, p *probe) {
	if p.expected > 0 && p.nacks == 0 {
		d.worsen(1)
	}
	e := d.members[p.target]
	if e == nil || !e.node.Live() {
		return
	}
	accused := e.node
	accused.Status = Suspect
	d.apply(now, Update{Node: accused, ReportedBy: d.self.ID})
}

func (d *Detector) tickRelays(now time.Time) {
	for _, seq := range sorted(d.relays) {
		r := d.relays[seq]
		if now.Before(r.expires) {
			continue
		}
		delete(d.relays, seq)
		d.send(now, r.addr, Message{Kind: Nack, Seq: r.seq, Target: r.target}, nil)
	}
}

func (d *Detector) relayPing(now time.Time, m *Message) {
	if m.Target == "" || len(m.TargetAddr) > MaxAddrBytes || len(d.relays) >= maxMembers {
		return
	}
	seq := d.nextSeq()
	d.relays[seq] = &relay{
		origin: m.Sender.ID, addr: m.Sender.Addr, seq: m.Seq, target: m.Target,
		expires: now.Add(d.opt.ProbeTimeout * nackShare / nackOf),
	}
	d.send(now, m.TargetAddr, Message{Kind: Ping, Seq: seq}, nil)
}

// acked settles the probe or relay that the Ack answers.
func (d *Detector) acked(now time.Time, m *Message) {
	if r := d.relays[m.Seq]; r != nil && r.target == m.Sender.ID {
		delete(d.relays, m.Seq)
		about := &Update{Node: m.Sender}
		d.send(now, r.addr, Message{Kind: Ack, Seq: r.seq, Target: r.target}, about)
		return
	}
	p := d.probes[m.Seq]
	if p == nil || (m.Sender.ID != p.target && m.Target != p.target) {
		return
	}
	delete(d.probes, m.Seq)
	d.improve()
}

func (d *Detector) nacked(m *Message) {
	if p := d.probes[m.Seq]; p != nil && p.target == m.Target {
		p.nacks++
	}
}
