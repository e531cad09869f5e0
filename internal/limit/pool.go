package limit

import (
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
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
	standing Standing
	recovery recovery
	units    map[string]*unit
	holds    map[string]*hold
	// byRequest finds a grant by its holder and request.
	byRequest map[string]*hold
	memories  map[string]Memory
	queue     queue
	answers   []Answer
	speed     speed
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
		standing:  Standing{MayUseCold: true},
		units:     make(map[string]*unit),
		holds:     make(map[string]*hold),
		byRequest: make(map[string]*hold),
		memories:  make(map[string]Memory),
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
	}
	p.serve(now)
}

// SetStanding takes the rule for this side of a partition.
func (p *Pool) SetStanding(now time.Time, s Standing) {
	p.standing = s
	p.serve(now)
}

// SetReplicas takes the pool's replicas as they are watched now. One that is
// missing gets no more work; it is forgotten when nothing runs on it.
func (p *Pool) SetReplicas(now time.Time, reps []replica.Replica) {
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
		if u.known() == 0 {
			delete(p.units, id)
		}
	}
	p.settleOrphans(now)
	p.serve(now)
}

func (p *Pool) setReplica(now time.Time, r replica.Replica) {
	u := p.unit(r.ID)
	u.report(r, now)
	if u.ramp.incarnation == r.Incarnation {
		return
	}
	u.ramp.begin(r.Incarnation, p.cfg.ColdLimit)
	if m, ok := p.memories[r.ID]; ok && m.Incarnation == r.Incarnation {
		u.ramp.level = m.Level
		u.ramp.clamp(p.cfg)
	}
}

func (p *Pool) unit(id string) *unit {
	u, ok := p.units[id]
	if !ok {
		u = &unit{rep: replica.Replica{ID: id, Pool: p.name}}
		p.units[id] = u
	}
	return u
}

// add counts a new grant.
func (p *Pool) add(now time.Time, h *hold) {
	p.holds[h.grant.ID] = h
	p.byRequest[requestKey(h.grant.Holder, h.grant.Request)] = h
	h.unit.held++
	h.unit.alone = h.unit.alone || h.grant.Alone
	h.unit.peaks.note(now, h.unit.known())
	if h.unit.used() >= h.unit.ramp.level {
		h.unit.lastFull = now
	}
	p.dueBy(h.grant.Expires)
}

// drop ends a grant for good.
func (p *Pool) drop(now time.Time, h *hold) {
	u := h.unit
	u.peaks.note(now, u.known())
	if u.used() >= u.ramp.level {
		u.lastFull = now
	}
	delete(p.holds, h.grant.ID)
	delete(p.byRequest, requestKey(h.grant.Holder, h.grant.Request))
	if h.orphan {
		u.orphans--
	} else {
		u.held--
	}
	if h.grant.Alone || u.known() == 0 {
		u.alone = false
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

// Next returns when Tick has something to do; zero if never.
func (p *Pool) Next(now time.Time) time.Time {
	t := p.due
	if r, ok := p.recovery.next(now); ok && (t.IsZero() || r.Before(t)) {
		t = r
	}
	return t
}

// Answers returns the decisions on queued requests since the last call.
func (p *Pool) Answers() []Answer {
	a := p.answers
	p.answers = nil
	return a
}
