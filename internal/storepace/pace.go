// Package storepace decides when a daemon may call the metadata store, so that the
// calls of the fleet stay bounded while the store is disrupted.
//
// Two readers call the store on behalf of all. While nobody is served, the readers
// retry, and the other daemons take turns, each at a random moment. A daemon that is
// served becomes a reader, and the others follow it again. The decisions take times,
// random numbers and evidence as arguments. Times are boot times of this daemon.
package storepace

import (
	"sync"
	"time"
)

const (
	// trustedFraction of the bound on configurations is the age up to which a
	// confirmation counts as fresh. In a calm fleet of 350 it reaches 1.0 s: a long poll
	// of 0.5 s, and 0.25 s each for the way to a reader and back. Readers of a store that
	// takes 0.8 s for each answer reach 1.6 s. A fresh daemon must be found, and heard of,
	// before requests with a key are refused.
	trustedFraction = 0.6
	// minRetryDelay and maxRetryDelay limit the exponential back-off of a daemon that
	// retries by itself.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// reprobeInterval is the interval at which a daemon that ranks as a reader, and that
	// the store turns away while it serves others, calls again.
	reprobeInterval = 4 * time.Second
	// burstTurns is the number of turns of the whole fleet in the first burstFraction of
	// the bound after confirmations have become stale. If the store serves a third of the
	// machines, none of 24 is served in 1 of 17,000 cases.
	burstTurns    = 24
	burstFraction = 1.0 / 3
	// burstInterval is the time after a disruption within which another one has no such
	// burst. A slow store lets confirmations become stale between any two reads.
	burstInterval = 10 * time.Second
	// slowAfter is how long the store takes beyond the long poll where it counts as slow.
	slowAfter = 300 * time.Millisecond
	// turnsPerSecond is the number of turns of the whole fleet per second after those.
	turnsPerSecond = 4
	// soloFraction and soloSpread, in parts of the bound, are how long a daemon that is
	// stale must have heard a fresh peer before it calls out of turn, and the random
	// addition to that. A peer that was served is followed within 0.75 s, and readers
	// that are no longer served report it within 0.75 s of the others.
	soloFraction = 1.0 / 3
	soloSpread   = 1.0 / 10
	// gapWaitPerDaemon times the number of daemons, but at most gapFraction of the bound, is
	// the least time for which a daemon leaves it to its peers to send records that exist;
	// the most is twice that. It covers the way of a push through a large fleet.
	gapWaitPerDaemon = 5 * time.Millisecond
	gapFraction      = 1.0 / 6
	// aloneAfter is how long no peer must have been heard before a daemon calls the
	// store by itself. It covers a change of the daemons that report to all.
	aloneAfter = 500 * time.Millisecond
)

// TrustedAge returns the age up to which a confirmation is fresh, where a configuration
// must be in force within bound.
func TrustedAge(bound time.Duration) time.Duration {
	return time.Duration(trustedFraction * float64(bound))
}

// Cause is why the store is called.
type Cause uint8

// The causes of calls.
const (
	// FirstRead is the first read of a topic, or the first one after its truncation.
	FirstRead Cause = iota
	// Reader is a read on behalf of all daemons.
	Reader
	// Turn is the turn of a daemon whose confirmation is stale.
	Turn
	// Gap is a read of records that exist and that no peer has sent.
	Gap
	// Alone is a read of a daemon that hears no peer.
	Alone
)

// String returns the name of the cause in metrics.
func (c Cause) String() string {
	return [...]string{"first_read", "reader", "turn", "gap", "alone"}[c]
}

// Path is the outcome of this daemon's own calls, over all topics.
type Path struct {
	// ServedAt and FailedAt are the ends of the last successful and of the last failed
	// call; 0 for none. First reads do not set ServedAt: when all daemons start at once,
	// all are served.
	ServedAt, FailedAt time.Duration
	// Failures is the number of failed calls since the last successful one. Calls that
	// fail at the same time count as one.
	Failures int
	// Slow is set if the last call took long beyond its long poll.
	Slow bool
	// BurstAt is when the last stale period began in which the fleet had its first turns
	// in quick succession; 0 for none.
	BurstAt time.Duration
}

// Failing reports whether the store turns this daemon away: a call has failed, and the
// last successful one was long before, in relation to the trusted age. A reader is
// served each half a second.
func (p *Path) Failing(trusted time.Duration) bool {
	return p.Failures > 0 && p.FailedAt-p.ServedAt > trusted*6/10
}

// Fleet is what a daemon knows of the fleet.
type Fleet struct {
	// Size is the number of daemons.
	Size int
	// Role is this daemon's part in reading the store.
	Role Role
	// PeersHeardAt is the last time at which a live peer was known; 0 for none.
	PeersHeardAt time.Duration
	// FreshPeerSince is since when a fresh peer has been heard; 0 while there is none.
	// FreshReader is set if one of the fresh peers is a reader.
	FreshPeerSince time.Duration
	FreshReader    bool
}

// Evidence is what the decision on a call of one topic rests on.
type Evidence struct {
	Now time.Duration
	// Bound is the time within which a configuration must be in force.
	Bound time.Duration
	// Known is set once the topic has been read, and cleared by a restore of the store.
	// ConfirmedAt is when the position was
	// last known to be its end, and TrustedAge how long that is relied on.
	Known       bool
	ConfirmedAt time.Duration
	TrustedAge  time.Duration
	// Unread is set if the topic has records that no peer has sent in time. UnreadSince is
	// when this daemon learned of them.
	Unread      bool
	UnreadSince time.Duration
	// ReadOn is set if the store has just answered with a part of the records.
	ReadOn bool
	Fleet  Fleet
}

// Verdict says when the store may be called next.
type Verdict struct {
	// Call is set if the store may be called now; else At is when it may be, if the
	// evidence stays as it is.
	Call  bool
	At    time.Duration
	Cause Cause
	// Probe is set for a call that must be the only one of this daemon.
	Probe bool
	// NoWait is set for a call that must not wait for records, so that its answer comes
	// at once.
	NoWait bool
}

// Decide returns when a daemon may call the store for a topic. It addresses a store that
// is busy, silent or slow: without it each daemon retried each topic by itself, and 107
// daemons made 7,380 calls instead of 2,000. phase, in [0, 1), is random and places this
// daemon among those that take turns.
func Decide(e *Evidence, path *Path, phase float64) Verdict {
	staleAt := e.ConfirmedAt + e.TrustedAge
	stale := e.Now >= staleAt
	alone := e.Fleet.PeersHeardAt == 0 || e.Now-e.Fleet.PeersHeardAt > aloneAfter
	v := Verdict{At: e.Now}
	switch {
	case !e.Known && (e.ConfirmedAt == 0 || path.Failures == 0):
		v.Cause = FirstRead
	case e.Fleet.Role == Reading:
		v.Cause, v.At, v.Probe = Reader, retryAt(e.Now, path), path.Failures > 0
		if alone {
			v.Cause = Alone
		}
	case e.ReadOn && path.Failures == 0:
		v.Cause = Gap
	case e.Unread && alone:
		v.Cause, v.At, v.Probe = Gap, retryAt(e.Now, path), path.Failures > 0
	case e.Unread && path.Failures == 0:
		v.Cause, v.At = Gap, max(e.Now, e.UnreadSince+gapWait(e, phase))
	case e.Unread:
		v.Cause, v.At, v.Probe = Gap, turnAt(e, staleAt, path, phase), true
	case e.Fleet.Role == Probing:
		v.Cause, v.At, v.Probe = Reader, path.FailedAt+reprobeInterval, true
	case !stale && e.Known:
		v.Cause, v.At = Turn, staleAt
	case path.Failures == 0 && path.ServedAt > 0 && e.Now-path.ServedAt < TrustedAge(e.Bound):
		// A call for another topic was served.
		v.Cause = Turn
	case alone:
		v.Cause, v.At, v.Probe = Alone, retryAt(e.Now, path), true
	default:
		v.Cause, v.At, v.Probe = Turn, turnAt(e, staleAt, path, phase), true
	}
	v.Call = v.At <= e.Now
	v.NoWait = v.Probe || path.Slow || stale
	return v
}

// gapWait returns for how long a daemon leaves it to its peers to send records that exist.
// It addresses a push that is lost on its way to a large part of the fleet: those that ask
// the store first can send the records to the others.
func gapWait(e *Evidence, phase float64) time.Duration {
	least := min(time.Duration(e.Fleet.Size)*gapWaitPerDaemon, time.Duration(gapFraction*float64(e.Bound)))
	return least + time.Duration(phase*float64(least))
}

// retryAt returns when a daemon that calls by itself does so next.
func retryAt(now time.Duration, path *Path) time.Duration {
	if path.Failures == 0 {
		return now
	}
	delay := maxRetryDelay
	if path.Failures < 3 {
		delay = minRetryDelay << path.Failures
	}
	return path.FailedAt + min(delay, maxRetryDelay)
}

// turnAt returns when the turn of a daemon comes whose confirmation became stale at
// staleAt.
func turnAt(e *Evidence, staleAt time.Duration, path *Path, phase float64) time.Duration {
	size := float64(max(e.Fleet.Size, 1))
	part := func(of float64) time.Duration { return time.Duration(of * float64(e.Bound)) }
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	tried := path.Failures > 0 && path.FailedAt > e.ConfirmedAt
	var at time.Duration
	burst := min(burstTurns, size)
	switch position := phase * size; {
	case tried:
		at = path.FailedAt + max(maxRetryDelay, seconds((0.5+phase)*size/turnsPerSecond))
	case path.BurstAt > 0 && staleAt > path.BurstAt && staleAt-path.BurstAt < burstInterval:
		at = staleAt + seconds(position/turnsPerSecond)
	case position < burst:
		at = staleAt + part(burstFraction*position/burst)
	default:
		at = staleAt + part(burstFraction) + seconds((position-burst)/turnsPerSecond)
	}
	if e.Fleet.FreshPeerSince > 0 {
		// Only this daemon, or few, do not hear those that are served, or the confirmation
		// of a new reader is on its way.
		since := max(staleAt, e.Fleet.FreshPeerSince)
		if tried {
			since = max(since, path.FailedAt)
		}
		solo := since + part(soloFraction+soloSpread*phase)
		if e.Fleet.FreshReader {
			return solo
		}
		at = min(at, solo)
	}
	return at
}

// Pacer paces the calls of one daemon for all topics. It is safe for concurrent use.
type Pacer struct {
	mu      sync.Mutex
	path    Path
	phase   float64
	drawnAt time.Duration
	// probing is set while a probe is under way.
	probing bool
}

// Begin decides on a call for a topic. If the verdict has Call set, the caller calls the
// store and then End. phase is a random number in [0, 1), which replaces the one in use
// while the topic is fresh.
func (p *Pacer) Begin(e *Evidence, phase float64) Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	staleAt := e.ConfirmedAt + e.TrustedAge
	if e.Now < staleAt && e.TrustedAge <= TrustedAge(e.Bound) && e.Now-p.drawnAt > e.Bound {
		p.phase, p.drawnAt = phase, e.Now
	}
	// A stale period in which more than a quarter of the burst has passed counts.
	if passed := e.Now - staleAt; e.Known && passed > time.Duration(burstFraction/4*float64(e.Bound)) && staleAt-p.path.BurstAt > burstInterval {
		p.path.BurstAt = staleAt
	}
	v := Decide(e, &p.path, p.phase)
	if v.Call && v.Probe {
		v.Call = !p.probing
		p.probing = true
	}
	return v
}

// End records the outcome of a call that ended at time at, and how long it took beyond its
// long poll. phase is a random number in [0, 1) for the next turn.
func (p *Pacer) End(v Verdict, at, took time.Duration, served bool, phase float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.Probe {
		p.probing = false
	}
	p.phase, p.drawnAt = phase, at
	if served {
		p.path.Failures, p.path.Slow = 0, took > slowAfter
		if v.Cause != FirstRead {
			p.path.ServedAt = at
		}
		return
	}
	if p.path.Failures == 0 || at-p.path.FailedAt >= minRetryDelay {
		p.path.Failures++
	}
	p.path.FailedAt = at
}

// Path returns the outcome of this daemon's calls so far.
func (p *Pacer) Path() Path {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.path
}
