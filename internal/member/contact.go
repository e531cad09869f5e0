package member

import "time"

const (
	// candidatesPerTick bounds the candidate addresses that are pinged at
	// once.
	candidatesPerTick = 3
	// maxCandidateAttempts is the number of pings to a candidate that does not
	// respond before it is dropped. Seeds are then added again.
	maxCandidateAttempts = 100
	// candidateIntervals is the number of intervals between two pings to
	// candidates once another member is live.
	candidateIntervals = 5
	// deadPingIntervals is the number of intervals between two pings to dead
	// members.
	deadPingIntervals = 3
	// startupFullSyncs is the number of full syncs requested after the start.
	startupFullSyncs = 5
	// leaveFanout is the number of members that Leave notifies directly.
	leaveFanout = 8
)

// AddPeer adds an address at which a member is expected to run to the
// candidates.
func (d *Detector) AddPeer(id, addr string, now time.Time) []Action {
	if id == d.self.ID || addr == d.self.Addr || addr == "" || len(addr) > MaxAddrBytes {
		return nil
	}
	if e := d.members[id]; e != nil && e.node.Addr == addr {
		return nil
	}
	if len(d.candidates) < maxMembers {
		d.candidates[addr] = 0
		d.nextCandidates = earliest(d.nextCandidates, now.Add(d.opt.Interval))
	}
	return d.takeActions(now)
}

// RemovePeer removes an address that AddPeer added.
func (d *Detector) RemovePeer(addr string) { delete(d.candidates, addr) }

// tickCandidates pings some candidates, the addresses from which no message
// has arrived yet. Seeds become candidates again whenever no live member has
// their address, so that daemons that were separated for longer than
// DeadRetention find each other again.
func (d *Detector) tickCandidates(now time.Time) {
	if now.Before(d.nextCandidates) {
		return
	}
	d.nextCandidates = now.Add(d.candidateInterval())
	if d.leaving {
		return
	}
	d.refreshCandidates()
	addrs := sortedKeys(d.candidates)
	d.rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, addr := range addrs[:min(candidatesPerTick, len(addrs))] {
		d.candidates[addr]++
		d.send(now, addr, Message{Kind: Ping, Seq: d.nextSeq(), FullSync: true}, nil)
	}
}

// candidateInterval returns the time to the next pings to candidates, which is
// shorter while this daemon knows no other live member.
func (d *Detector) candidateInterval() time.Duration {
	if d.liveCount() == 1 {
		return d.opt.Interval
	}
	return candidateIntervals * d.opt.Interval
}

// refreshCandidates adds the seeds that are not live members and drops
// candidates that are live members or did not respond to maxCandidateAttempts
// pings.
func (d *Detector) refreshCandidates() {
	live := map[string]bool{d.self.Addr: true}
	for _, e := range d.members {
		if e.node.Live() {
			live[e.node.Addr] = true
		}
	}
	for _, addr := range d.opt.Seeds {
		if !live[addr] {
			d.candidates[addr] = 0
		}
	}
	for addr, attempts := range d.candidates {
		if live[addr] || attempts >= maxCandidateAttempts {
			delete(d.candidates, addr)
		}
	}
}

// tickFullSync requests all records from a random member a few times after the
// start, at doubling intervals: when many daemons start together, the first
// one to respond does not know all members yet.
func (d *Detector) tickFullSync(now time.Time) {
	if d.fullSyncsSent >= startupFullSyncs || now.Before(d.nextFullSync) {
		return
	}
	d.nextFullSync = now.Add(d.opt.Interval << d.fullSyncsSent)
	for _, e := range d.sample(1, func(e *entry) bool { return e.node.Status == Alive }) {
		d.fullSyncsSent++
		d.send(now, e.node.Addr, Message{Kind: Ping, Seq: d.nextSeq(), FullSync: true}, nil)
	}
}

// tickDead pings one random dead member, in case it runs again, and removes
// members that have been dead or left for DeadRetention.
func (d *Detector) tickDead(now time.Time) {
	if now.Before(d.nextDeadPing) {
		return
	}
	d.nextDeadPing = now.Add(deadPingIntervals * d.opt.Interval)
	for id, e := range d.members {
		if !e.node.Live() && now.Sub(e.statusSince) >= d.opt.DeadRetention {
			delete(d.members, id)
			d.changedMembers[id] = struct{}{}
			delete(d.broadcasts, id)
		}
	}
	if d.leaving {
		return
	}
	for _, e := range d.sample(1, func(e *entry) bool { return e.node.Status == Dead }) {
		record := &Update{Node: e.node}
		d.send(now, e.node.Addr, Message{Kind: Ping, Seq: d.nextSeq()}, record)
	}
}

// Leave announces the shutdown of this daemon to some members, which
// disseminate it to the others.
func (d *Detector) Leave(now time.Time) []Action {
	d.leaving = true
	d.self.Status = Left
	clear(d.probes)
	clear(d.broadcasts)
	d.queueUpdate(Update{Node: d.self})
	for _, e := range d.sample(leaveFanout, func(e *entry) bool { return e.node.Live() }) {
		d.send(now, e.node.Addr, Message{Kind: Sync}, nil)
	}
	return d.takeActions(now)
}
