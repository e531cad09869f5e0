package grant

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/limit"
)

// line is what this daemon holds of one pool or slice, under its own lock.
type line struct {
	pool  string
	slice int

	mu sync.Mutex
	// term is the latest tenure known, home its daemon. Grants of earlier
	// tenures that arrive afterwards are not accepted: the later home was told
	// without them, and has given their room to others.
	term string
	home string
	// before is the tenure known before that one.
	before tenureName
	seq    uint64
	// told is the last request whose end an empty renewal has told the home.
	told    uint64
	pending map[string]struct{}
	held    map[string]limit.Grant
	levels  map[string]limit.ReplicaLevel
	// notes are grants between a home and a holder in one failure domain, which
	// this daemon remembers in case both are lost. They are swept when their
	// number reaches sweep.
	notes map[string]limit.Grant
	sweep int
	// ended are the grants to give back; sending is set while one goroutine
	// does so.
	ended   []limit.Release
	sending bool
}

func newLine(pool string, slice int) *line {
	return &line{
		pool: pool, slice: slice,
		pending: make(map[string]struct{}),
		held:    make(map[string]limit.Grant),
		levels:  make(map[string]limit.ReplicaLevel),
		notes:   make(map[string]limit.Grant),
		sweep:   minSweep,
	}
}

// expect registers a request before it is sent and returns its number.
func (l *line) expect(request string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	l.pending[request] = struct{}{}
	return l.seq
}

func (l *line) unexpect(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, request)
}

// accept takes a grant that arrived and reports whether it may be used.
func (l *line) accept(g limit.Grant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.Term < l.term {
		return false
	}
	l.know(g.Home, g.Term)
	l.held[g.ID] = g
	l.remember(limit.ReplicaLevel{Replica: g.Replica, Incarnation: g.Incarnation, Level: g.Level, ObservedAt: g.GrantedAt})
	return true
}

func (l *line) remember(m limit.ReplicaLevel) {
	if old, ok := l.levels[m.Replica]; !ok || m.ObservedAt.After(old.ObservedAt) {
		l.levels[m.Replica] = m
	}
}

// release moves a grant to those that are given back. It reports whether the
// caller has to start the sender.
func (l *line) release(now time.Time, r limit.Release) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, ok := l.held[r.Grant]
	if !ok {
		return false
	}
	delete(l.held, r.Grant)
	if r.Result.Outcome == limit.Crashed || r.Result.Outcome == limit.Overloaded {
		// The home may die before it tells anybody that the replica is cold.
		l.remember(limit.ReplicaLevel{Replica: g.Replica, Incarnation: g.Incarnation, ObservedAt: now})
	}
	l.ended = append(l.ended, r)
	start := !l.sending
	l.sending = true
	return start
}

// takeover notes a new tenure and returns what is held. If a later tenure is
// known it returns that one instead.
func (l *line) takeover(home, term string) (held limit.Holdings, laterHome, laterTerm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term < l.term {
		return limit.Holdings{}, l.home, l.term
	}
	l.know(home, term)
	held.LastHome, held.LastTerm = l.before.home, l.before.term
	held.Witnessed = slices.Collect(maps.Values(l.notes))
	held.Grants = slices.Collect(maps.Values(l.held))
	held.Levels = slices.Collect(maps.Values(l.levels))
	return held, "", ""
}

// see notes that a tenure exists.
func (l *line) see(home, term string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.know(home, term)
}

// tenureName names a tenure and its home.
type tenureName struct{ home, term string }

// know raises the latest tenure known.
func (l *line) know(home, term string) {
	if term > l.term {
		l.before = tenureName{l.home, l.term}
		l.home, l.term = home, term
	}
}

// latest returns the latest tenure known; empty if there is none.
func (l *line) latest() (home, term string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home, l.term
}

func (l *line) latestTerm() string {
	_, term := l.latest()
	return term
}

// settled reports whether the home has been told of the end of every request
// up to seq, so that an empty renewal would tell it nothing.
func (l *line) settled(seq uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.told >= seq
}

// settle notes a renewal that the home has received.
func (l *line) settle(r limit.Renewal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(r.Grants) == 0 && len(r.Pending) == 0 {
		l.told = max(l.told, r.Seq)
	}
}

// renewal lists what is held and waited for.
func (l *line) renewal(boot string) limit.Renewal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return limit.Renewal{
		Pool: l.pool, Slice: l.slice, Boot: boot, Seq: l.seq,
		Grants:  slices.Collect(maps.Keys(l.held)),
		Pending: slices.Collect(maps.Keys(l.pending)),
	}
}

// takeEnded removes and returns the grants to give back. With none left the
// sender has to stop.
func (l *line) takeEnded() []limit.Release {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.ended
	l.ended = nil
	l.sending = len(e) > 0
	return e
}

// putEnded returns releases that did not reach the home.
func (l *line) putEnded(e []limit.Release) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = append(e, l.ended...)
}
