package member

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// retransmissions scales how often an update is sent, per decade of members.
const retransmissions = 3

const (
	// hurried is the number of members that hear of news at once.
	hurried = 3
	// hurryShare is the number of times per interval that news may go out at once.
	hurryShare = 20
)

// broadcast is an update that is still to be passed on.
type broadcast struct {
	update Update
	sent   int
}

// spread queues an update; it replaces an older one about the same member.
func (d *Detector) spread(u Update) {
	d.broadcasts[u.Node.ID] = &broadcast{update: u}
	d.news = true
}

// piggyback fills updates with the least sent ones of the queue.
func (d *Detector) piggyback(updates []Update) []Update {
	if len(d.broadcasts) == 0 {
		return updates
	}
	queue := make([]*broadcast, 0, len(d.broadcasts))
	for _, b := range d.broadcasts {
		queue = append(queue, b)
	}
	slices.SortFunc(queue, func(a, b *broadcast) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.update.Node.ID, b.update.Node.ID))
	})
	limit := retransmissions * int(math.Ceil(math.Log10(float64(d.live()+1))))
	for _, b := range queue {
		if len(updates) >= MaxUpdates {
			break
		}
		updates = append(updates, b.update)
		if b.sent++; b.sent >= limit {
			delete(d.broadcasts, b.update.Node.ID)
		}
	}
	return updates
}

// hurry passes news on at once instead of with the next probe. A member does so
// once per fact, which costs it the same whatever their number, and not more
// often than hurryShare of the interval, which bounds a burst of facts.
func (d *Detector) hurry(now time.Time) {
	if !d.news || now.Sub(d.hurriedAt) < d.opt.Interval/hurryShare {
		return
	}
	d.news, d.hurriedAt = false, now
	for _, e := range d.sample(hurried, func(e *entry) bool { return e.node.Status == Alive }) {
		d.send(now, e.node.Addr, Message{Kind: Sync}, nil)
	}
}

// share sends all that is known to a member that has just joined or come back,
// so that both sides of a healed partition hear what they believe of each
// other. It does so at most once per interval, whoever asks.
func (d *Detector) share(now time.Time, to string) {
	e := d.members[to]
	if e == nil || now.Sub(e.shared) < d.opt.Interval {
		return
	}
	e.shared = now
	d.shareWith(e.node.Addr)
}

func (d *Detector) shareWith(to string) {
	var chunk []Update
	for _, e := range d.sample(len(d.members), func(*entry) bool { return true }) {
		chunk = append(chunk, Update{Node: e.node, ReportedBy: e.accuser()})
		if len(chunk) == MaxUpdates {
			d.sendSync(to, chunk)
			chunk = nil
		}
	}
	if len(chunk) > 0 {
		d.sendSync(to, chunk)
	}
}

func (d *Detector) sendSync(to string, updates []Update) {
	m := Message{Kind: Sync, Sender: d.self, Meta: d.meta, Updates: updates}
	d.out = append(d.out, Action{Send: &Send{To: to, Message: m}})
}

// sampleMetas passes some metas of others on: every member hears of all others
// far more often than it exchanges messages with each.
func (d *Detector) sampleMetas(now time.Time) []MetaUpdate {
	var metas []MetaUpdate
	known := func(e *entry) bool { return e.node.Live() && e.meta.UnixMS != 0 }
	for _, e := range d.sample(MaxMetas, known) {
		metas = append(metas, MetaUpdate{ID: e.node.ID, Age: now.Sub(e.meta.UpdatedAt), Meta: e.meta})
	}
	return metas
}

// learn keeps a meta that is newer than the one known.
func (d *Detector) learn(id string, m Meta, at time.Time) {
	e := d.members[id]
	if e == nil || m.UnixMS <= e.meta.UnixMS {
		return
	}
	m.UpdatedAt = at
	e.meta = m
	d.touched[id] = struct{}{}
}
