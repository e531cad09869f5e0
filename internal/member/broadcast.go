package member

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// retransmitMult is the number of times an update is sent, per factor of ten
// in the number of members.
const retransmitMult = 3

const (
	// eagerFanout is the number of members to which new updates are sent at
	// once.
	eagerFanout = 3
	// maxEagerSendsPerInterval bounds the eager sends per interval.
	maxEagerSendsPerInterval = 20
)

// broadcast is an update that is still to be disseminated.
type broadcast struct {
	update    Update
	transmits int
}

// queueUpdate queues an update for dissemination. It replaces a queued update
// about the same member.
func (d *Detector) queueUpdate(u Update) {
	d.broadcasts[u.Node.ID] = &broadcast{update: u}
	d.unsentUpdate = true
}

// piggyback appends queued updates, the least transmitted first, up to
// MaxUpdates.
func (d *Detector) piggyback(updates []Update) []Update {
	if len(d.broadcasts) == 0 {
		return updates
	}
	queue := make([]*broadcast, 0, len(d.broadcasts))
	for _, b := range d.broadcasts {
		queue = append(queue, b)
	}
	slices.SortFunc(queue, func(a, b *broadcast) int {
		return cmp.Or(cmp.Compare(a.transmits, b.transmits), cmp.Compare(a.update.Node.ID, b.update.Node.ID))
	})
	limit := retransmitMult * int(math.Ceil(math.Log10(float64(d.liveCount()+1))))
	for _, b := range queue {
		if len(updates) >= MaxUpdates {
			break
		}
		updates = append(updates, b.update)
		if b.transmits++; b.transmits >= limit {
			delete(d.broadcasts, b.update.Node.ID)
		}
	}
	return updates
}

// sendEagerly sends new updates at once instead of with the next probe. A
// member does so once per update, at a cost that does not grow with the number
// of members, and at most maxEagerSendsPerInterval times per interval, which
// bounds the cost of a burst of updates.
func (d *Detector) sendEagerly(now time.Time) {
	if !d.unsentUpdate || now.Sub(d.lastEagerSend) < d.opt.Interval/maxEagerSendsPerInterval {
		return
	}
	d.unsentUpdate, d.lastEagerSend = false, now
	for _, e := range d.sample(eagerFanout, func(e *entry) bool { return e.node.Status == Alive }) {
		d.send(now, e.node.Addr, Message{Kind: Sync}, nil)
	}
}

// syncMember sends all records to a member that has just joined or come back,
// so that both sides of a healed partition learn which of their records
// conflict and can refute them. It does so at most once per interval, however
// often the member requests it.
func (d *Detector) syncMember(now time.Time, id string) {
	e := d.members[id]
	if e == nil || now.Sub(e.lastFullSync) < d.opt.Interval {
		return
	}
	e.lastFullSync = now
	d.sendAllRecords(e.node.Addr)
}

// sendAllRecords sends the records of all members in Sync messages.
func (d *Detector) sendAllRecords(to string) {
	var chunk []Update
	for _, e := range d.sample(len(d.members), func(*entry) bool { return true }) {
		chunk = append(chunk, Update{Node: e.node, ReportedBy: e.suspicionReporter()})
		if len(chunk) == MaxUpdates {
			d.sendSync(to, chunk)
			chunk = nil
		}
	}
	if len(chunk) > 0 {
		d.sendSync(to, chunk)
	}
}

// sendSync sends the given updates and no queued ones.
func (d *Detector) sendSync(to string, updates []Update) {
	m := Message{Kind: Sync, Sender: d.self, Meta: d.meta, Updates: updates}
	d.actions = append(d.actions, Action{Send: &Send{To: to, Message: m}})
}

// sampleMetas returns the Metas of a few random members to forward. Each
// member thereby receives the Metas of all others far more often than it
// exchanges messages with them.
func (d *Detector) sampleMetas(now time.Time) []MetaUpdate {
	var metas []MetaUpdate
	known := func(e *entry) bool { return e.node.Live() && e.meta.UnixMS != 0 }
	for _, e := range d.sample(MaxMetas, known) {
		metas = append(metas, MetaUpdate{ID: e.node.ID, Age: now.Sub(e.meta.UpdatedAt), Meta: e.meta})
	}
	return metas
}

// applyMeta stores a Meta that is newer than the known one.
func (d *Detector) applyMeta(id string, m Meta, at time.Time) {
	e := d.members[id]
	if e == nil || m.UnixMS <= e.meta.UnixMS {
		return
	}
	m.UpdatedAt = at
	e.meta = m
	d.changedMembers[id] = struct{}{}
}
