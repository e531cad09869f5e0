package member

import "time"

const (
	// indirectProbes is the number of members asked to ping a target that did not
	// respond to this daemon.
	indirectProbes = 3
	// probeTimeouts is the length of a probe in probe timeouts: one for the
	// direct Ack and one for the indirect probes.
	probeTimeouts = 2
	// nackTimeoutNum and nackTimeoutDen give the wait of a relay as a fraction
	// of the probe timeout, so that its Nack arrives before the requester's
	// deadline.
	nackTimeoutNum, nackTimeoutDen = 4, 5
)

// probe is an outstanding probe of one member.
type probe struct {
	target     string
	indirectAt time.Time // when the indirect probes are due
	expires    time.Time
	indirect   bool // whether the indirect probes were sent
	// relaysAsked counts the relays that were sent a PingRequest, nacks their
	// Nacks.
	relaysAsked, nacks int
}

// nextDeadline returns when the probe next needs attention.
func (p *probe) nextDeadline() time.Time {
	if p.indirect {
		return p.expires
	}
	return p.indirectAt
}

// relay is an outstanding ping on behalf of another member.
type relay struct {
	requesterID   string
	requesterAddr string
	requesterSeq  uint64
	target        string
	expires       time.Time
}

// tickProbeRound starts the next probe of the round if it is due.
func (d *Detector) tickProbeRound(now time.Time) {
	if now.Before(d.nextProbe) {
		return
	}
	d.nextProbe = now.Add(d.scaleByHealth(d.opt.Interval))
	if d.leaving {
		return
	}
	if e := d.nextProbeTarget(); e != nil {
		d.startProbe(now, e)
	}
}

// nextProbeTarget returns the next member in the shuffled probe order. Every
// live member is probed once per round, which bounds the time to the first
// probe of a dead one.
func (d *Detector) nextProbeTarget() *entry {
	for range 2 {
		for d.probePos < len(d.probeOrder) {
			e := d.members[d.probeOrder[d.probePos]]
			d.probePos++
			if e != nil && e.node.Live() && !d.probeInFlight(e.node.ID) {
				return e
			}
		}
		d.newProbeRound()
	}
	return nil
}

// newProbeRound shuffles the live members into a new probe order.
func (d *Detector) newProbeRound() {
	d.probeOrder, d.probePos = d.probeOrder[:0], 0
	for _, e := range d.sample(len(d.members), func(e *entry) bool { return e.node.Live() }) {
		d.probeOrder = append(d.probeOrder, e.node.ID)
	}
}

// probeInFlight reports whether a probe of the member is outstanding.
func (d *Detector) probeInFlight(id string) bool {
	for _, p := range d.probes {
		if p.target == id {
			return true
		}
	}
	return false
}

// ProbeNow probes a member out of turn, for example because a call to it
// failed.
func (d *Detector) ProbeNow(id string, now time.Time) []Action {
	d.detectPause(now)
	if e := d.members[id]; e != nil && e.node.Live() && !d.probeInFlight(id) {
		d.startProbe(now, e)
	}
	return d.takeActions(now)
}

// startProbe sends a Ping to a member and awaits its Ack.
func (d *Detector) startProbe(now time.Time, e *entry) {
	seq := d.nextSeq()
	d.probes[seq] = &probe{
		target:     e.node.ID,
		indirectAt: now.Add(d.scaleByHealth(d.opt.ProbeTimeout)),
		expires:    now.Add(d.scaleByHealth(probeTimeouts * d.opt.ProbeTimeout)),
	}
	d.send(now, e.node.Addr, Message{Kind: Ping, Seq: seq}, d.probeUpdate(e))
}

// probeUpdate returns the update to send along with a probe of e. For a
// suspect it is the suspicion, which e can then refute. Otherwise it is the
// record of another random member: over time, this repairs losses that the
// bounded number of retransmissions of an update leaves; nil if there is no
// other member.
func (d *Detector) probeUpdate(e *entry) *Update {
	if e.node.Status != Alive {
		return &Update{Node: e.node, ReportedBy: e.suspicionReporter()}
	}
	other := d.sample(1, func(o *entry) bool { return o != e })
	if len(other) == 0 {
		return nil
	}
	return &Update{Node: other[0].node, ReportedBy: other[0].suspicionReporter()}
}

// tickProbes sends the indirect probes that are due and fails expired probes.
func (d *Detector) tickProbes(now time.Time) {
	for _, seq := range sortedKeys(d.probes) {
		p := d.probes[seq]
		switch {
		case !now.Before(p.expires):
			delete(d.probes, seq)
			d.probeFailed(now, p)
		case !p.indirect && !now.Before(p.indirectAt):
			p.indirect = true
			d.sendIndirectProbes(now, seq, p)
		}
	}
}

// sendIndirectProbes asks random members to ping the target of a probe.
func (d *Detector) sendIndirectProbes(now time.Time, seq uint64, p *probe) {
	e := d.members[p.target]
	if e == nil {
		return
	}
	relays := d.sample(indirectProbes, func(o *entry) bool { return o.node.Status == Alive && o != e })
	p.relaysAsked = len(relays)
	for _, r := range relays {
		m := Message{Kind: PingRequest, Seq: seq, Target: p.target, TargetAddr: e.node.Addr}
		d.send(now, r.node.Addr, m, nil)
	}
}

// probeFailed marks the target as suspect. If relays were asked and none sent
// a Nack, the fault may be this daemon's own connection, and its health score
// gets worse.
func (d *Detector) probeFailed(now time.Time, p *probe) {
	if p.relaysAsked > 0 && p.nacks == 0 {
		d.degradeHealth(1)
	}
	e := d.members[p.target]
	if e == nil || !e.node.Live() {
		return
	}
	suspect := e.node
	suspect.Status = Suspect
	d.applyUpdate(now, Update{Node: suspect, ReportedBy: d.self.ID})
}

// tickRelays sends a Nack for each relayed ping whose target did not respond
// in time.
func (d *Detector) tickRelays(now time.Time) {
	for _, seq := range sortedKeys(d.relays) {
		r := d.relays[seq]
		if now.Before(r.expires) {
			continue
		}
		delete(d.relays, seq)
		d.send(now, r.requesterAddr, Message{Kind: Nack, Seq: r.requesterSeq, Target: r.target}, nil)
	}
}

// relayPing pings the target of a PingRequest.
func (d *Detector) relayPing(now time.Time, m *Message) {
	if m.Target == "" || len(m.TargetAddr) > MaxAddrBytes || len(d.relays) >= maxMembers {
		return
	}
	seq := d.nextSeq()
	d.relays[seq] = &relay{
		requesterID: m.Sender.ID, requesterAddr: m.Sender.Addr, requesterSeq: m.Seq, target: m.Target,
		expires: now.Add(d.opt.ProbeTimeout * nackTimeoutNum / nackTimeoutDen),
	}
	d.send(now, m.TargetAddr, Message{Kind: Ping, Seq: seq}, nil)
}

// handleAck completes the relay or probe to which the Ack belongs.
func (d *Detector) handleAck(now time.Time, m *Message) {
	if r := d.relays[m.Seq]; r != nil && r.target == m.Sender.ID {
		delete(d.relays, m.Seq)
		record := &Update{Node: m.Sender}
		d.send(now, r.requesterAddr, Message{Kind: Ack, Seq: r.requesterSeq, Target: r.target}, record)
		return
	}
	p := d.probes[m.Seq]
	if p == nil || (m.Sender.ID != p.target && m.Target != p.target) {
		return
	}
	delete(d.probes, m.Seq)
	d.improveHealth()
}

// handleNack counts a Nack of a relay.
func (d *Detector) handleNack(m *Message) {
	if p := d.probes[m.Seq]; p != nil && p.target == m.Target {
		p.nacks++
	}
}
