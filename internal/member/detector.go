package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Detector is one daemon's view of the members.
type Detector struct {
	opt  Options
	rand *rand.Rand
	self Node
	meta Meta

	members map[string]*entry
	// order is the shuffled round of probes, next the place in it.
	order []string
	next  int

	probes     map[uint64]*probe
	relays     map[uint64]*relay
	broadcasts map[string]*broadcast
	contacts   map[string]int // tries, by address not yet heard from
	seq        uint64
	health     int
	leaving    bool

	// pulls counts the requests for all members since the start.
	pulls    int
	nextPull time.Time
	// news is set while a fact waits that was not yet sent to anyone at once.
	news      bool
	hurriedAt time.Time

	nextProbe   time.Time
	nextContact time.Time
	nextDead    time.Time
	// due is when Tick was last promised to be called; zero before the first call.
	due time.Time

	// touched are the members whose record or meta changed since Touched.
	touched map[string]struct{}
	out     []Action
}

// entry is a member other than this daemon.
type entry struct {
	node      Node
	since     time.Time // of the status
	shared    time.Time // when all that is known was last sent to it
	suspicion *suspicion
	meta      Meta
}

// New returns a detector that knows nobody. Call Tick at once.
func New(o Options, now time.Time) (*Detector, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	d := &Detector{
		opt:        o,
		rand:       o.Rand,
		self:       Node{ID: o.ID, Addr: o.Addr, BootID: o.BootID, Incarnation: o.Incarnation},
		members:    make(map[string]*entry),
		probes:     make(map[uint64]*probe),
		relays:     make(map[uint64]*relay),
		broadcasts: make(map[string]*broadcast),
		contacts:   make(map[string]int),
		touched:    make(map[string]struct{}),
	}
	// A random start keeps answers to an earlier process from being taken for ours.
	d.seq = d.rand.Uint64() >> 16
	d.nextProbe, d.nextContact, d.nextDead = now, now, now.Add(d.opt.Interval)
	d.nextPull = d.nextDead
	for _, addr := range o.Seeds {
		if addr != o.Addr {
			d.contacts[addr] = 0
		}
	}
	return d, nil
}

// Self returns this daemon's own record.
func (d *Detector) Self() Node { return d.self }

// SetMeta sets what this daemon says of itself with each message.
func (d *Detector) SetMeta(m Meta) { d.meta = m }

// Members returns all known members but this one, sorted by id.
func (d *Detector) Members() []Node {
	nodes := make([]Node, 0, len(d.members))
	for _, id := range sorted(d.members) {
		nodes = append(nodes, d.members[id].node)
	}
	return nodes
}

// Member returns what is known of a member.
func (d *Detector) Member(id string) (Node, bool) {
	e, ok := d.members[id]
	if !ok {
		return Node{}, false
	}
	return e.node, true
}

// TakeChanged returns the members whose record or meta changed since the last call.
func (d *Detector) TakeChanged() []string {
	if len(d.touched) == 0 {
		return nil
	}
	ids := sorted(d.touched)
	clear(d.touched)
	return ids
}

// Meta returns what the member last said of itself.
func (d *Detector) Meta(id string) (Meta, bool) {
	e, ok := d.members[id]
	if !ok || e.meta.UnixMS == 0 {
		return Meta{}, false
	}
	return e.meta, true
}

// HealthScore returns the local health score: 0 is well, more means that this
// daemon itself is slow or badly connected.
func (d *Detector) HealthScore() int { return d.health }

// Tick does what is due. Call it at Due.
func (d *Detector) Tick(now time.Time) []Action {
	d.notice(now)
	d.tickProbes(now)
	d.tickRelays(now)
	d.tickSuspicions(now)
	d.tickRound(now)
	d.tickContacts(now)
	d.tickPull(now)
	d.tickDead(now)
	return d.flush(now)
}

// NextTick returns when Tick must be called next.
func (d *Detector) NextTick() time.Time { return d.due }

// flush hands over the collected actions and computes the next due time.
func (d *Detector) flush(now time.Time) []Action {
	d.hurry(now)
	due := earliest(d.nextProbe, d.nextContact)
	due = earliest(due, d.nextDead)
	if d.pulls < startPulls {
		due = earliest(due, d.nextPull)
	}
	for _, p := range d.probes {
		due = earliest(due, p.deadline())
	}
	for _, r := range d.relays {
		due = earliest(due, r.expires)
	}
	for _, e := range d.members {
		if e.suspicion != nil {
			due = earliest(due, e.suspicion.deadline)
		}
	}
	if due.Before(now) {
		due = now
	}
	d.due = due
	out := d.out
	d.out = nil
	return out
}

// sorted returns the map's keys in order, so that a run depends on its inputs only.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (d *Detector) event(e Event) { d.out = append(d.out, Action{Event: &e}) }

// send completes a message and addresses it. about, if set, is the belief that
// the receiver should hear first, so that it can refute it.
func (d *Detector) send(now time.Time, to string, m Message, about *Update) {
	m.Sender, m.Meta = d.self, d.meta
	if about != nil {
		m.Updates = append(m.Updates, *about)
	}
	m.Updates = d.piggyback(m.Updates)
	if m.Kind != Sync {
		m.Metas = d.sampleMetas(now)
	}
	d.out = append(d.out, Action{Send: &Send{To: to, Message: m}})
}

func (d *Detector) nextSeq() uint64 {
	d.seq++
	return d.seq
}

// live counts the live members, this one included.
func (d *Detector) live() int {
	n := 1
	for _, e := range d.members {
		if e.node.Live() {
			n++
		}
	}
	return n
}

// sample returns up to n random members that satisfy keep.
func (d *Detector) sample(n int, keep func(*entry) bool) []*entry {
	var all []*entry
	for _, id := range sorted(d.members) {
		if e := d.members[id]; keep(e) {
			all = append(all, e)
		}
	}
	d.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}
