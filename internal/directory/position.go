package directory

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/storepace"
)

// Topic identifies one of the store's topics that a Directory follows.
type Topic int

// The topics. Their order is part of the datagrams in package wire.
const (
	// OperatorTopic holds the configuration and the zones out of service.
	OperatorTopic Topic = iota
	// EnginesTopic holds the announcements of engines.
	EnginesTopic
	// DaemonsTopic holds the records written by daemons: their addresses and the
	// heads of groups.
	DaemonsTopic
	topicCount
)

const (
	// peerWait is the longest wait for a peer's report of a topic's end before the
	// conditions of awaitTurn are checked again. Reports arrive every few report
	// intervals.
	peerWait = 250 * time.Millisecond
	// minPeerWait is the shortest one, while another topic's read is under way.
	minPeerWait = 50 * time.Millisecond
)

// topicTiming holds the timing of reads of a topic.
type topicTiming struct {
	// longPoll is how long the store may delay the answer to a read until a record
	// is appended.
	longPoll time.Duration
	// minReadInterval is the minimum time between two reads.
	minReadInterval time.Duration
	// peerTrustFactor times ConfigBound is the age up to which the confirmation of a
	// position is relied on; 0 for storepace.TrustedAge.
	peerTrustFactor float64
	// pushWait is how long to wait for the push of records that are known to exist
	// before asking a peer for them, and then before reading them from the store.
	pushWait time.Duration
}

// topicTimings is indexed by Topic. The platform's specification requires a
// configuration or the removal of an engine to take effect within 2 s. The records
// of daemons affect only the division of budgets and the next planner. The read
// interval of the engines' topic lets one read return the announcements of all
// members of a group.
var topicTimings = [topicCount]topicTiming{
	OperatorTopic: {longPoll: 500 * time.Millisecond, pushWait: 120 * time.Millisecond},
	EnginesTopic:  {longPoll: 500 * time.Millisecond, minReadInterval: 150 * time.Millisecond, pushWait: 120 * time.Millisecond},
	DaemonsTopic:  {longPoll: 2 * time.Second, minReadInterval: 250 * time.Millisecond, peerTrustFactor: 3, pushWait: 500 * time.Millisecond},
}

// Cursor is a position in a topic.
type Cursor struct {
	// Era is the highest era of the store heard of.
	Era uint64
	// Next is the offset of the next record to read.
	Next uint64
	// Known is false until the topic has been read for the first time in the era, and
	// after it was truncated.
	Known bool
	// ConfirmedAt is the latest boot time at which the applied records are known to have
	// been all of the topic's, in this era or an earlier one.
	ConfirmedAt time.Duration
}

// Position returns the position of the next record to read.
func (c Cursor) Position() Position { return Position{c.Era, c.Next} }

// topicPosition is the cursor of one topic, guarded by its own lock.
type topicPosition struct {
	mu     sync.Mutex
	cursor Cursor
	// ends holds the ends of the topic beyond the cursor that the store or a peer has
	// stated, in ascending order. reportedLate is set while this daemon has been behind them
	// for long.
	ends         []knownEnd
	reportedLate bool
	// readAt is the boot time from which this daemon reads the topic after a restore, if
	// it does not read for others. graceUntil is that until which what a restored store
	// lacks counts as not written again yet.
	readAt, graceUntil time.Duration
	// contact is what is known of the store's reads of the topic.
	contact storeContact
	// wake receives a value when a peer has reported the end of the topic.
	wake chan struct{}
	// confirmedAt is the cursor's ConfirmedAt in nanoseconds as of the last release of the
	// lock, 0 if nothing is known. Requests read it without the lock, which is held while
	// records are applied.
	confirmedAt atomic.Int64
}

func newTopicPosition() *topicPosition {
	return &topicPosition{wake: make(chan struct{}, 1), contact: storeContact{servedAt: boottime.Now()}}
}

// unlock publishes the time of confirmation and releases the lock.
func (t *topicPosition) unlock() {
	at := t.cursor.ConfirmedAt
	if !t.cursor.Known && t.cursor.Era == 0 {
		at = 0
	}
	t.confirmedAt.Store(int64(at))
	t.mu.Unlock()
}

func (t *topicPosition) snapshot() Cursor {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cursor
}

// commitRead applies the records returned by a read and advances the cursor. Records
// that a peer has pushed in the meantime are skipped, since an older record must not
// overwrite a newer one, and so is a read of an era that has ended. apply is called with
// the position's lock held.
func (t *topicPosition) commitRead(r *topicRead, apply func([]Record)) {
	t.mu.Lock()
	defer t.unlock()
	records, next := r.records, r.next
	switch {
	case next.Era != t.cursor.Era, !r.full && !t.cursor.Known, r.full && t.cursor.Known && next.Offset < t.cursor.Next:
		return
	case r.full:
		// The topic may have been truncated to less than ends that were stated before.
		t.ends = slices.DeleteFunc(t.ends, func(e knownEnd) bool { return e.heardAt <= r.at })
		t.cursor = Cursor{Era: next.Era, Known: true, Next: next.Offset, ConfirmedAt: t.cursor.ConfirmedAt}
	default:
		for len(records) > 0 && records[0].Offset < t.cursor.Next {
			records = records[1:]
		}
		t.cursor.Next = max(t.cursor.Next, next.Offset)
	}
	apply(records)
	t.learnEnd(r.end, r.at, boottime.Now())
}

// withLock calls fn with the position's lock held.
func (t *topicPosition) withLock(fn func()) {
	t.mu.Lock()
	defer t.unlock()
	fn()
}

// invalidate discards the cursor; the next read returns the newest record of each
// key.
func (t *topicPosition) invalidate() {
	t.mu.Lock()
	defer t.unlock()
	t.cursor.Known = false
}

// confirmEnd records a peer's observation that the topic ended at end at boot
// time at, unless it is of another era or before the cursor.
func (t *topicPosition) confirmEnd(end Position, at time.Duration) {
	t.mu.Lock()
	defer t.unlock()
	if end.Era != t.cursor.Era {
		return
	}
	if end.Offset >= t.cursor.Next {
		t.learnEnd(end.Offset, at, boottime.Now())
	}
	t.signal()
}

// signal wakes the goroutine that waits for peers.
func (t *topicPosition) signal() {
	select {
	case t.wake <- struct{}{}:
	default: // the waiting goroutine has a wake-up pending
	}
}

// hasUnread reports whether the topic is known to have records after the cursor.
func (t *topicPosition) hasUnread() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.ends) > 0 && t.ends[len(t.ends)-1].end > t.cursor.Next
}

// applyPushed applies the records pushed by a peer that lie after the cursor. It
// ignores a push that starts after the cursor, since that would skip records.
// apply is called with the position's lock held.
func (t *topicPosition) applyPushed(from Position, records []Record, apply func([]Record)) {
	t.mu.Lock()
	defer t.unlock()
	next := from.Offset + uint64(len(records))
	if !t.cursor.Known || from.Era != t.cursor.Era || from.Offset > t.cursor.Next || next <= t.cursor.Next {
		return
	}
	apply(records[t.cursor.Next-from.Offset:])
	t.cursor.Next = next
	t.confirmReachedEnds()
}

// Cursor returns the position in a topic.
func (d *Directory) Cursor(t Topic) Cursor { return d.positions[t].snapshot() }

// ConfirmEnd records a peer's observation that a topic ended at a position at boot time
// at of this machine. A time in the future and an era that has ended are ignored.
func (d *Directory) ConfirmEnd(t Topic, end Position, at time.Duration) {
	d.ObserveEra(end.Era)
	if at > boottime.Now() || end.Era < d.Era() {
		return
	}
	d.positions[t].withLock(func() { d.recordServed(t, at, at) })
	d.positions[t].confirmEnd(end, at)
}

// ApplyPushed applies records that a peer has read from a topic, beginning at
// position from. A topic that is unknown in this release and an era that has ended are
// ignored.
func (d *Directory) ApplyPushed(t Topic, from Position, records []Record) {
	if t < 0 || t >= topicCount {
		return
	}
	d.ObserveEra(from.Era)
	d.positions[t].applyPushed(from, records, func(fresh []Record) { d.apply(t, from.Era, fresh, false) })
}

// Records returns the records of a topic from a position on that are kept for peers, or nil
// if one of them is not. Those that later ones supersede have no key and no value.
func (d *Directory) Records(t Topic, from Position) []Record {
	if t < 0 || t >= topicCount {
		return nil
	}
	return d.history[t].From(from)
}

// RecordsToSend returns the records of a topic to be sent to peers when those from a
// position on are new. If the records supersede each other, they are all that are kept, so
// that a peer that has missed earlier ones can apply them too.
func (d *Directory) RecordsToSend(t Topic, from Position) []Record {
	if first, ok := d.history[t].First(); ok && t == OperatorTopic && first.Era == from.Era {
		from = first
	}
	return d.Records(t, from)
}

// awaitTurn blocks until this daemon may call the store for the topic, as package storepace
// decides, and returns the verdict; the caller reports the call's outcome to the pacer. It
// reports false if ctx has ended.
// If readOn is set, the store has just answered with a part of the topic's records.
func (d *Directory) awaitTurn(ctx context.Context, t Topic, readOn bool) (storepace.Verdict, bool) {
	pos := d.positions[t]
	missing := false
	for ctx.Err() == nil {
		c, now, fleet := pos.snapshot(), boottime.Now(), d.opts.Fleet()
		stale := now-c.ConfirmedAt > d.trustedAge(t)
		if wait := pos.untilReread(now); wait > 0 && (!c.Known || stale) && fleet.Role != storepace.Reading {
			// The store was restored, and a reader pushes what it has read.
			pos.waitForPeer(ctx, min(wait, peerWait))
			continue
		}
		behind := d.Behind(t)
		// A push that is arriving is waited for, within half of the bound.
		waits := behind < d.opts.ConfigBound/2 && d.opts.IsArriving(t)
		verdict := d.pacer.Begin(&storepace.Evidence{
			Now: now, Bound: d.opts.ConfigBound, Known: c.Known, ConfirmedAt: c.ConfirmedAt, TrustedAge: d.trustedAge(t),
			Unread: missing && pos.hasUnread() && !waits, UnreadSince: now - behind, ReadOn: readOn && pos.hasUnread(), Fleet: fleet,
		}, rand.Float64())
		if verdict.Call {
			return verdict, true
		}
		if missing = pos.hasUnread(); !missing {
			pos.waitForPeer(ctx, min(max(verdict.At-now, minPeerWait), peerWait))
			continue
		}
		pause.For(ctx, topicTimings[t].pushWait)
		if pos.hasUnread() && d.opts.RequestRecords(t, pos.snapshot().Position()) {
			pause.For(ctx, topicTimings[t].pushWait)
		}
	}
	return storepace.Verdict{}, false
}

// trustedAge returns the age up to which the confirmation of a position is relied on.
func (d *Directory) trustedAge(t Topic) time.Duration {
	if factor := topicTimings[t].peerTrustFactor; factor > 0 {
		return time.Duration(factor * float64(d.opts.ConfigBound))
	}
	return storepace.TrustedAge(d.opts.ConfigBound)
}

// wakeFollowers wakes the topics that wait for the outcome of another topic's read.
func (d *Directory) wakeFollowers() {
	for _, pos := range d.positions {
		select {
		case pos.wake <- struct{}{}:
		default: // a wake-up is pending
		}
	}
}

// waitForPeer blocks until a peer reports the end of the topic, at most for
// timeout.
func (t *topicPosition) waitForPeer(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-t.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}
