package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Detector is one daemon's view of the membership.
type Detector struct {
	opt  Options
	rand *rand.Rand
	self Node
	meta Meta

	members map[string]*entry
	// probeOrder holds the ids of the members of the current round of probes,
	// shuffled; probePos is the index of the next one.
	probeOrder []string
	probePos   int

	probes      map[uint64]*probe
	relays      map[uint64]*relay
	broadcasts  map[string]*broadcast
	candidates  map[string]int // pings sent, by address from which no message has arrived
	seq         uint64
	healthScore int
	leaving     bool

	// fullSyncsSent counts the full syncs requested since the start.
	fullSyncsSent int
	nextFullSync  time.Time
	// unsentUpdate is true while a queued update awaits its eager send.
	unsentUpdate  bool
	lastEagerSend time.Time

	nextProbe      time.Time
	nextCandidates time.Time
	nextDeadPing   time.Time
	// nextTick is when the caller must call Tick next; zero before the first
	// call.
	nextTick time.Time

	// changedMembers holds the ids of members whose record or Meta has changed
	// since the last call of TakeChanged.
	changedMembers map[string]struct{}
	actions        []Action
}

// entry is the state of a member other than this daemon.
type entry struct {
	node         Node
	statusSince  time.Time // when the current record was stored
	lastFullSync time.Time // when all records were last sent to the member
	suspicion    *suspicion
	meta         Meta
}

// New returns a detector that knows no other member. The caller must call Tick
// at once.
func New(o Options, now time.Time) (*Detector, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	d := &Detector{
		opt:            o,
		rand:           o.Rand,
		self:           Node{ID: o.ID, Addr: o.Addr, BootID: o.BootID, Incarnation: o.Incarnation},
		members:        make(map[string]*entry),
		probes:         make(map[uint64]*probe),
		relays:         make(map[uint64]*relay),
		broadcasts:     make(map[string]*broadcast),
		candidates:     make(map[string]int),
		changedMembers: make(map[string]struct{}),
	}
	// A random first number prevents an Ack to an earlier process from matching a
	// probe of this one.
	d.seq = d.rand.Uint64() >> 16
	d.nextProbe, d.nextCandidates, d.nextDeadPing = now, now, now.Add(d.opt.Interval)
	d.nextFullSync = d.nextDeadPing
	for _, addr := range o.Seeds {
		if addr != o.Addr {
			d.candidates[addr] = 0
		}
	}
	return d, nil
}

// Self returns this daemon's own record.
func (d *Detector) Self() Node { return d.self }

// SetMeta sets the Meta that each message of this daemon carries.
func (d *Detector) SetMeta(m Meta) { d.meta = m }

// Members returns the records of all other known members, sorted by id.
func (d *Detector) Members() []Node {
	nodes := make([]Node, 0, len(d.members))
	for _, id := range sortedKeys(d.members) {
		nodes = append(nodes, d.members[id].node)
	}
	return nodes
}

// Member returns the record of a member and whether it is known.
func (d *Detector) Member(id string) (Node, bool) {
	e, ok := d.members[id]
	if !ok {
		return Node{}, false
	}
	return e.node, true
}

// TakeChanged returns the sorted ids of the members whose record or Meta has
// changed since the last call.
func (d *Detector) TakeChanged() []string {
	if len(d.changedMembers) == 0 {
		return nil
	}
	ids := sortedKeys(d.changedMembers)
	clear(d.changedMembers)
	return ids
}

// Meta returns the latest Meta of a member and whether there is one.
func (d *Detector) Meta(id string) (Meta, bool) {
	e, ok := d.members[id]
	if !ok || e.meta.UnixMS == 0 {
		return Meta{}, false
	}
	return e.meta, true
}

// HealthScore returns the local health score of Lifeguard: 0 means healthy, a
// higher score that this daemon itself is slow or badly connected.
func (d *Detector) HealthScore() int { return d.healthScore }

// Tick runs everything that is due and returns the resulting actions. Call it
// at NextTick.
func (d *Detector) Tick(now time.Time) []Action {
	d.detectPause(now)
	d.tickProbes(now)
	d.tickRelays(now)
	d.tickSuspicions(now)
	d.tickProbeRound(now)
	d.tickCandidates(now)
	d.tickFullSync(now)
	d.tickDead(now)
	return d.takeActions(now)
}

// NextTick returns when Tick must be called next.
func (d *Detector) NextTick() time.Time { return d.nextTick }

// takeActions returns the collected actions and recomputes the next tick.
func (d *Detector) takeActions(now time.Time) []Action {
	d.sendEagerly(now)
	due := earliest(d.nextProbe, d.nextCandidates)
	due = earliest(due, d.nextDeadPing)
	if d.fullSyncsSent < startupFullSyncs {
		due = earliest(due, d.nextFullSync)
	}
	for _, p := range d.probes {
		due = earliest(due, p.nextDeadline())
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
	d.nextTick = due
	out := d.actions
	d.actions = nil
	return out
}

// sortedKeys returns the keys of m in order, so that the detector's behaviour
// depends on its inputs only and not on the iteration order of maps.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (d *Detector) emit(e Event) { d.actions = append(d.actions, Action{Event: &e}) }

// send completes a message and queues it. first, if not nil, is the update
// that the message carries before the queued ones.
func (d *Detector) send(now time.Time, to string, m Message, first *Update) {
	m.Sender, m.Meta = d.self, d.meta
	if first != nil {
		m.Updates = append(m.Updates, *first)
	}
	m.Updates = d.piggyback(m.Updates)
	if m.Kind != Sync {
		m.Metas = d.sampleMetas(now)
	}
	d.actions = append(d.actions, Action{Send: &Send{To: to, Message: m}})
}

func (d *Detector) nextSeq() uint64 {
	d.seq++
	return d.seq
}

// liveCount returns the number of live members, including this daemon.
func (d *Detector) liveCount() int {
	n := 1
	for _, e := range d.members {
		if e.node.Live() {
			n++
		}
	}
	return n
}

// sample returns up to n random members for which keep returns true.
func (d *Detector) sample(n int, keep func(*entry) bool) []*entry {
	var all []*entry
	for _, id := range sortedKeys(d.members) {
		if e := d.members[id]; keep(e) {
			all = append(all, e)
		}
	}
	d.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}
