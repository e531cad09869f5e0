package limit

import (
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Pool is the admission state of one pool, or of one slice of it, at its home.
type Pool struct {
	name  string
	slice int
	home  string
	// term identifies this tenure of the home; grant ids start with it.
	term       string
	seq        uint64
	cfg        Config
	visibility Visibility
	recovery   recovery
	replicas   map[string]*replicaState
	grants     map[string]*grantState
	// byRequest indexes grants by requestKey.
	byRequest map[string]*grantState
	// byHolder indexes the grants of each holder by grant id.
	byHolder  map[string]map[string]*grantState
	levels    map[string]ReplicaLevel
	queue     queue
	decisions []Decision
	duration  durationEstimate
	// hasReplicas is set once the home's own replica watch has delivered a list.
	hasReplicas bool
	// reserved is the replica that gets no new work so that it becomes idle for
	// an exclusive request; "" if there is none.
	reserved string
	// nextTick is no later than the earliest expiry of a grant or queued request.
	nextTick time.Time
}

// grantState is a grant with the home's bookkeeping.
type grantState struct {
	grant   Grant
	replica *replicaState
	// addedAt is when this home made or adopted the grant.
	addedAt time.Time
	// orphaned is set while the request may still run although no holder renews
	// the grant: it expired, its holder restarted, or it was released after its
	// caller had disconnected from a cold replica.
	orphaned bool
}

// Identity identifies a pool's home and its tenure.
type Identity struct {
	Pool  string
	Slice int
	Home  string
	Term  string
}

// New returns a pool without replicas whose home sees all daemons.
func New(id Identity, cfg Config) *Pool {
	return &Pool{
		name: id.Pool, slice: id.Slice, home: id.Home, term: id.Term, cfg: cfg,
		visibility: Visibility{MayUseCold: true},
		replicas:   make(map[string]*replicaState),
		grants:     make(map[string]*grantState),
		byRequest:  make(map[string]*grantState),
		byHolder:   make(map[string]map[string]*grantState),
		levels:     make(map[string]ReplicaLevel),
		queue:      newQueue(),
	}
}

// Term returns the term of this tenure.
func (p *Pool) Term() string { return p.term }

// Configure applies the limits of the pool's configuration row.
func (p *Pool) Configure(now time.Time, cfg Config) {
	p.cfg = cfg
	for _, rs := range p.replicas {
		rs.ramp.clamp(cfg)
		p.updateAvailability(now, rs)
	}
	p.grantQueued(now)
}

// SetVisibility applies the limits for this side of a network partition.
func (p *Pool) SetVisibility(now time.Time, v Visibility) {
	p.visibility = v
	p.grantQueued(now)
}

// SetReplicas replaces the list of the pool's replicas. A replica that is missing
// from the list gets no more work. It is removed once it has been unavailable for
// coldAfterUnavailable and no grant for it is left.
func (p *Pool) SetReplicas(now time.Time, reps []replica.Replica) {
	p.hasReplicas = true
	present := make(map[string]struct{}, len(reps))
	for _, r := range reps {
		present[r.ID] = struct{}{}
		p.setReplica(now, r)
	}
	for id, rs := range p.replicas {
		if _, ok := present[id]; ok {
			continue
		}
		rs.replica.Status = replica.Broken
		p.updateAvailability(now, rs)
		if rs.held+len(rs.orphans) == 0 && rs.unavailableFor(now) > coldAfterUnavailable {
			delete(p.replicas, id)
		}
	}
	p.reconcileOrphans(now)
	p.grantQueued(now)
}

func (p *Pool) setReplica(now time.Time, r replica.Replica) {
	rs := p.replica(r.ID)
	rs.applyReport(r, now)
	p.updateUntrackedBound(rs)
	p.updateAvailability(now, rs)
	if rs.ramp.incarnation == r.Incarnation {
		return
	}
	rs.ramp.reset(r.Incarnation, p.cfg.ColdLimit)
	if l, ok := p.levels[r.ID]; ok && l.Incarnation == r.Incarnation {
		rs.ramp.restore(l, p.cfg)
	}
}

func (p *Pool) replica(id string) *replicaState {
	rs, ok := p.replicas[id]
	if !ok {
		rs = &replicaState{replica: replica.Replica{ID: id, Pool: p.name}, orphans: make(map[*grantState]struct{}), hash: shard.Hash(id)}
		p.replicas[id] = rs
	}
	return rs
}

// addGrant indexes a grant and counts it on its replica.
func (p *Pool) addGrant(now time.Time, gs *grantState) {
	p.grants[gs.grant.ID] = gs
	gs.replica.recent.record(now, gs.replica.held, gs.replica.attributed())
	p.byRequest[requestKey(gs.grant.Holder, gs.grant.Request)] = gs
	if p.byHolder[gs.grant.Holder] == nil {
		p.byHolder[gs.grant.Holder] = make(map[string]*grantState)
	}
	p.byHolder[gs.grant.Holder][gs.grant.ID] = gs
	gs.replica.held++
	gs.replica.recent.record(now, gs.replica.held, gs.replica.attributed())
	gs.replica.exclusive = gs.replica.exclusive || gs.grant.Exclusive
	if gs.replica.used() >= gs.replica.ramp.level {
		gs.replica.lastAtLevel = now
	}
	p.tickBy(gs.grant.Expires)
}

// removeGrant ends a grant and takes it off its replica's counts.
func (p *Pool) removeGrant(now time.Time, gs *grantState) {
	rs := gs.replica
	rs.recent.record(now, rs.held, rs.attributed())
	if rs.used() >= rs.ramp.level {
		rs.lastAtLevel = now
	}
	p.unindexGrant(gs)
	if gs.orphaned {
		delete(rs.orphans, gs)
		rs.updateEndedOrphans()
	} else {
		rs.held--
	}
	rs.recent.record(now, rs.held, rs.attributed())
	if gs.grant.Exclusive || rs.attributed() == 0 {
		rs.exclusive = false
	}
}

func (p *Pool) unindexGrant(gs *grantState) {
	g := &gs.grant
	delete(p.grants, g.ID)
	if key := requestKey(g.Holder, g.Request); p.byRequest[key] == gs {
		delete(p.byRequest, key)
	}
	delete(p.byHolder[g.Holder], g.ID)
	if len(p.byHolder[g.Holder]) == 0 {
		delete(p.byHolder, g.Holder)
	}
}

func (p *Pool) nextGrantID() string {
	p.seq++
	return p.term + "." + strconv.FormatUint(p.seq, 10)
}

func (p *Pool) tickBy(t time.Time) {
	if p.nextTick.IsZero() || t.Before(p.nextTick) {
		p.nextTick = t
	}
}

// NextTick returns when Tick must be called next; zero if never.
func (p *Pool) NextTick(now time.Time) time.Time {
	t := p.nextTick
	if r, ok := p.recovery.nextChange(now); ok && (t.IsZero() || r.Before(t)) {
		t = r
	}
	return t
}

// TakeDecisions returns the decisions on queued requests since the last call.
func (p *Pool) TakeDecisions() []Decision {
	decisions := p.decisions
	p.decisions = nil
	return decisions
}
