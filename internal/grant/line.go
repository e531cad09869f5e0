package grant

import (
	"maps"
	"slices"
	"sync"

	"github.com/ragwortquay/ragwortquay/internal/limit"
)

// line is what this daemon holds of one pool or slice, under its own lock.
type line struct {
	pool  string
	slice int

	mu sync.Mutex
	// term is the tenure that announced itself last. Grants of other tenures
	// that arrive afterwards are not accepted: the new home was told without
	// them, and has given their room to others.
	term string
	// home is the daemon of that tenure.
	home string
	seq  uint64
	// told is the last request whose end an empty renewal has told the home.
	told    uint64
	pending map[string]struct{}
	held    map[string]limit.Grant
	ended   []limit.Release
	levels  map[string]limit.Memory
}

func newLine(pool string, slice int) *line {
	return &line{
		pool: pool, slice: slice,
		pending: make(map[string]struct{}),
		held:    make(map[string]limit.Grant),
		levels:  make(map[string]limit.Memory),
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
	if l.term != "" && l.term != g.Term {
		return false
	}
	l.held[g.ID] = g
	if m, ok := l.levels[g.Replica]; !ok || g.At.After(m.At) {
		l.levels[g.Replica] = limit.Memory{Replica: g.Replica, Incarnation: g.Incarnation, Level: g.Level, At: g.At}
	}
	return true
}

// release moves a grant to those that are given back; false if it is not held.
func (l *line) release(r limit.Release) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.held[r.Grant]; !ok {
		return false
	}
	delete(l.held, r.Grant)
	l.ended = append(l.ended, r)
	return true
}

// takeover notes a new tenure and returns what is held.
func (l *line) takeover(home, term string) limit.Holdings {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.home, l.term = home, term
	return l.list()
}

// holdings returns what is held.
func (l *line) holdings() limit.Holdings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list()
}

func (l *line) list() limit.Holdings {
	return limit.Holdings{
		Grants: slices.Collect(maps.Values(l.held)),
		Levels: slices.Collect(maps.Values(l.levels)),
	}
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

// lastHome returns the home that announced itself last; "" if none has.
func (l *line) lastHome() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home
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

// takeEnded removes and returns the grants to give back.
func (l *line) takeEnded() []limit.Release {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.ended
	l.ended = nil
	return e
}

// putEnded returns releases that did not reach the home.
func (l *line) putEnded(e []limit.Release) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = append(e, l.ended...)
}
