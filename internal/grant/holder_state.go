package grant

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/limit"
)

// holderState is what this daemon holds of one slice of a pool.
type holderState struct {
	pool  string
	slice int

	mu sync.Mutex
	// term is the latest known tenure, home its daemon. Grants of earlier
	// tenures that arrive later are rejected: the later home was not told of
	// them and has given their capacity to others.
	term string
	home string
	// previous is the latest known tenure before term.
	previous tenureRef
	// seq is the number of the last request.
	seq uint64
	// acknowledgedSeq is the last request whose end the home knows from an empty
	// renewal.
	acknowledgedSeq uint64
	pending         map[string]struct{}
	held            map[string]limit.Grant
	levels          map[string]limit.ReplicaLevel
	// witnessed has the grants that this daemon is the witness of: their home
	// and their holder are in one failure domain and may fail together. The map
	// is swept when its size reaches sweepAt.
	witnessed map[string]limit.Grant
	sweepAt   int
	// releases are the grants to give back; sending is set while a goroutine
	// sends them.
	releases []limit.Release
	sending  bool
}

func newHolderState(pool string, slice int) *holderState {
	return &holderState{
		pool: pool, slice: slice,
		pending:   make(map[string]struct{}),
		held:      make(map[string]limit.Grant),
		levels:    make(map[string]limit.ReplicaLevel),
		witnessed: make(map[string]limit.Grant),
		sweepAt:   minWitnessedSweep,
	}
}

// addPending registers a request before it is sent and returns its number.
func (hs *holderState) addPending(request string) uint64 {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.seq++
	hs.pending[request] = struct{}{}
	return hs.seq
}

func (hs *holderState) removePending(request string) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	delete(hs.pending, request)
}

// accept takes a received grant and reports whether it may be used.
func (hs *holderState) accept(g limit.Grant) bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if g.Term < hs.term {
		return false
	}
	hs.advanceTerm(g.Home, g.Term)
	hs.held[g.ID] = g
	hs.recordLevel(limit.ReplicaLevel{Replica: g.Replica, Incarnation: g.Incarnation, Level: g.Level, ObservedAt: g.GrantedAt})
	return true
}

func (hs *holderState) recordLevel(m limit.ReplicaLevel) {
	if old, ok := hs.levels[m.Replica]; !ok || m.ObservedAt.After(old.ObservedAt) {
		hs.levels[m.Replica] = m
	}
}

// queueRelease queues a held grant for release. It reports whether the caller must
// start the sender.
func (hs *holderState) queueRelease(now time.Time, r limit.Release) bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	g, ok := hs.held[r.Grant]
	if !ok {
		return false
	}
	delete(hs.held, r.Grant)
	if r.Result.Outcome == limit.Crashed || r.Result.Outcome == limit.Overloaded {
		// The home may fail before it passes on that the replica is cold.
		hs.recordLevel(limit.ReplicaLevel{Replica: g.Replica, Incarnation: g.Incarnation, ObservedAt: now})
	}
	hs.releases = append(hs.releases, r)
	startSender := !hs.sending
	hs.sending = true
	return startSender
}

// recordTakeover records a new tenure and returns what this daemon holds. If it
// knows a later tenure it returns that one instead.
func (hs *holderState) recordTakeover(home, term string) (held limit.Holdings, laterHome, laterTerm string) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if term < hs.term {
		return limit.Holdings{}, hs.home, hs.term
	}
	hs.advanceTerm(home, term)
	held.LastHome, held.LastTerm = hs.previous.home, hs.previous.term
	held.Witnessed = slices.Collect(maps.Values(hs.witnessed))
	held.Grants = slices.Collect(maps.Values(hs.held))
	held.Levels = slices.Collect(maps.Values(hs.levels))
	return held, "", ""
}

// recordTenure records that a tenure exists.
func (hs *holderState) recordTenure(home, term string) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.advanceTerm(home, term)
}

// tenureRef identifies a tenure and its home.
type tenureRef struct{ home, term string }

// advanceTerm raises the latest known tenure.
func (hs *holderState) advanceTerm(home, term string) {
	if term > hs.term {
		hs.previous = tenureRef{hs.home, hs.term}
		hs.home, hs.term = home, term
	}
}

// latestTenure returns the latest known tenure; empty if there is none.
func (hs *holderState) latestTenure() (home, term string) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.home, hs.term
}

func (hs *holderState) latestTerm() string {
	_, term := hs.latestTenure()
	return term
}

// acknowledged reports whether the home knows that every request up to seq has
// ended, so that an empty renewal would tell it nothing new.
func (hs *holderState) acknowledged(seq uint64) bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.acknowledgedSeq >= seq
}

// recordRenewed records a renewal that the home has received.
func (hs *holderState) recordRenewed(r limit.Renewal) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if len(r.Grants) == 0 && len(r.Pending) == 0 {
		hs.acknowledgedSeq = max(hs.acknowledgedSeq, r.Seq)
	}
}

// renewal lists the held grants and the pending requests.
func (hs *holderState) renewal(boot string) limit.Renewal {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return limit.Renewal{
		Pool: hs.pool, Slice: hs.slice, BootID: boot, Seq: hs.seq,
		Grants:  slices.Collect(maps.Keys(hs.held)),
		Pending: slices.Collect(maps.Keys(hs.pending)),
	}
}

// takeReleases removes and returns the queued releases. If it returns none, the
// sender must stop.
func (hs *holderState) takeReleases() []limit.Release {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	releases := hs.releases
	hs.releases = nil
	hs.sending = len(releases) > 0
	return releases
}

// requeueReleases puts back releases that did not reach the home.
func (hs *holderState) requeueReleases(releases []limit.Release) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.releases = append(releases, hs.releases...)
}
