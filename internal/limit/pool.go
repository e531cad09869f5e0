package limit

import (
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Pool is the state of one pool, or of one slice of it, at its home.
type Pool struct {
	name  string
	slice int
	home  string
	// term names this tenure of the home; grant ids start with it.
	term     string
	seq      uint64
	cfg      Config
	standing Visibility
	recovery recovery
	units    map[string]*unit
	holds    map[string]*hold
	// byRequest finds a grant by its holder and request.
	byRequest map[string]*hold
	// byHolder has the grants of each holder by id.
	byHolder map[string]map[string]*hold
	memories map[string]ReplicaLevel
	queue    queue
	answers  []Decision
	speed    speed
	// watched is set once replicas came from the home's own watch.
	watched bool
	// reserved is the replica kept free of new work for a request that must
	// run alone; "" if there is none.
	reserved string
	// due is no later than the earliest expiry of a grant or queued request.
	due time.Time
}

// hold is a grant as its home keeps it.
type hold struct {
	grant Grant
	unit  *unit
	at    time.Time
	// orphan means that the grant expired while its request may still run.
	orphan bool
}

// Identity names a pool's home and its tenure.
type Identity struct {
	Pool  string
	Slice int
	Home  string
	Term  string
}

// New returns a pool without replicas, whose home sees all daemons.
func New(id Identity, cfg Config) *Pool {
	return &Pool{
		name: id.Pool, slice: id.Slice, home: id.Home, term: id.Term, cfg: cfg,
		standing:  Visibility{MayUseCold: true},
		units:     make(map[string]*unit),
		holds:     make(map[string]*hold),
		byRequest: make(map[string]*hold),
		byHolder:  make(map[string]map[string]*hold),
		memories:  make(map[string]ReplicaLevel),
		queue:     newQueue(),
	}
}

// Term returns the tenure's name.
func (p *Pool) Term() string { return p.term }

// Configure takes the limits of the pool's row.
func (p *Pool) Configure(now time.Time, cfg Config) {
	p.cfg = cfg
	for _, u := range p.units {
		u.ramp.clamp(cfg)
		p.watchOpen(now, u)
	}
	p.serve(now)
}

// SetVisibility takes the rule for this side of a partition.
func (p *Pool) SetVisibility(now time.Time, s Visibility) {
	p.standing = s
	p.serve(now)
}

// SetReplicas takes the pool's replicas as they are watched now. One that is
// missing gets no more work; it is forgotten when it has been gone for long
// and nothing runs on it.
func (p *Pool) SetReplicas(now time.Time, reps []replica.Replica) {
	p.watched = true
	present := make(map[string]struct{}, len(reps))
	for _, r := range reps {
		present[r.ID] = struct{}{}
		p.setReplica(now, r)
	}
	for id, u := range p.units {
		if _, ok := present[id]; ok {
			continue
		}
		u.rep.Status = replica.Broken
		p.watchOpen(now, u)
		if u.held+len(u.orphans) == 0 && u.closedFor(now) > coolAfter {
			delete(p.units, id)
		}
	}
	p.settleOrphans(now)
	p.serve(now)
}

func (p *Pool) setReplica(now time.Time, r replica.Replica) {
	u := p.unit(r.ID)
	u.report(r, now)
	p.sound(u)
	p.watchOpen(now, u)
	if u.ramp.incarnation == r.Incarnation {
		return
	}
	u.ramp.begin(r.Incarnation, p.cfg.ColdLimit)
	if m, ok := p.memories[r.ID]; ok && m.Incarnation == r.Incarnation {
		u.ramp.recall(m, p.cfg)
	}
}

func (p *Pool) unit(id string) *unit {
	u, ok := p.units[id]
	if !ok {
		u = &unit{rep: replica.Replica{ID: id, Pool: p.name}, orphans: make(map[*hold]struct{}), hash: shard.Hash(id)}
		p.units[id] = u
	}
	return u
}

// add counts a new grant.
func (p *Pool) add(now time.Time, h *hold) {
	p.holds[h.grant.ID] = h
	h.unit.spans.note(now, h.unit.held, h.unit.known())
	p.byRequest[requestKey(h.grant.Holder, h.grant.Request)] = h
	if p.byHolder[h.grant.Holder] == nil {
		p.byHolder[h.grant.Holder] = make(map[string]*hold)
	}
	p.byHolder[h.grant.Holder][h.grant.ID] = h
	h.unit.held++
	h.unit.spans.note(now, h.unit.held, h.unit.known())
	h.unit.alone = h.unit.alone || h.grant.Exclusive
	if h.unit.used() >= h.unit.ramp.level {
		h.unit.lastFull = now
	}
	p.dueBy(h.grant.Expires)
}

// drop ends a grant for good.
func (p *Pool) drop(now time.Time, h *hold) {
	u := h.unit
	u.spans.note(now, u.held, u.known())
	if u.used() >= u.ramp.level {
		u.lastFull = now
	}
	p.forget(h)
	if h.orphan {
		delete(u.orphans, h)
		u.excuse()
	} else {
		u.held--
	}
	u.spans.note(now, u.held, u.known())
	if h.grant.Exclusive || u.known() == 0 {
		u.alone = false
	}
}

func (p *Pool) forget(h *hold) {
	g := &h.grant
	delete(p.holds, g.ID)
	if key := requestKey(g.Holder, g.Request); p.byRequest[key] == h {
		delete(p.byRequest, key)
	}
	delete(p.byHolder[g.Holder], g.ID)
	if len(p.byHolder[g.Holder]) == 0 {
		delete(p.byHolder, g.Holder)
	}
}

func (p *Pool) nextID() string {
	p.seq++
	return p.term + "." + strconv.FormatUint(p.seq, 10)
}

func (p *Pool) dueBy(t time.Time) {
	if p.due.IsZero() || t.Before(p.due) {
		p.due = t
	}
}

// NextTick returns when Tick has something to do; zero if never.
func (p *Pool) NextTick(now time.Time) time.Time {
	t := p.due
	if r, ok := p.recovery.next(now); ok && (t.IsZero() || r.Before(t)) {
		t = r
	}
	return t
}

// TakeDecisions returns the decisions on queued requests since the last call.
func (p *Pool) TakeDecisions() []Decision {
	a := p.answers
	p.answers = nil
	return a
}
