package directory

import (
	"context"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/pause"
)

// Topic is one of the topics that a directory follows.
type Topic int

// The topics.
const (
	OperatorTopic Topic = iota
	EnginesTopic
	DaemonsTopic
	topicCount
)

const (
	// guidedPause bounds a wait for such a word; the next one comes within a few
	// report intervals, or reading begins.
	guidedPause = 250 * time.Millisecond
)

// pacing says how a topic is read.
type pacing struct {
	// wait is the store's time to wait for a record.
	wait time.Duration
	// pace is the least time between two reads.
	pace time.Duration
	// guidedPart is the part of the bound for a configuration for which another
	// daemon's word on the topic's end is relied on: longer than the readers'
	// wait, and short enough to read the store before what is in it is due.
	guidedPart float64
	// passPause is the time that records which are known to exist get to be
	// passed on before the store is read for them.
	passPause time.Duration
}

// pacings are those of the topics. Configurations and leaving engines are due
// within 2 s on the sheets; notes matter for shares of budgets and the next
// planner only. The engines' pace gathers the announcements of a group's members.
var pacings = [topicCount]pacing{
	OperatorTopic: {wait: 500 * time.Millisecond, guidedPart: 0.7, passPause: 120 * time.Millisecond},
	EnginesTopic:  {wait: 500 * time.Millisecond, pace: 150 * time.Millisecond, guidedPart: 0.7, passPause: 120 * time.Millisecond},
	DaemonsTopic:  {wait: 2 * time.Second, pace: 250 * time.Millisecond, guidedPart: 3, passPause: 500 * time.Millisecond},
}

// Cursor is how far a topic has been followed.
type Cursor struct {
	// Next is the offset of the next record.
	Next uint64
	// Known is false before the first read.
	Known bool
	// ConfirmedAt is the boot time at which Next was the topic's end.
	ConfirmedAt time.Duration
}

// track is the position in one topic, under its own lock.
type track struct {
	mu     sync.Mutex
	cursor Cursor
	// end is the farthest end that another daemon told of.
	end  uint64
	wake chan struct{}
}

func newTrack() *track { return &track{wake: make(chan struct{}, 1)} }

func (t *track) get() Cursor {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cursor
}

// commit applies what a read has returned; next was the topic's end at the boot
// time at. Records that another
// daemon has passed on meanwhile are left out: an older one must not undo a
// newer one. apply runs under the lock of the topic's position.
func (t *track) commit(records []Record, next uint64, whole bool, at time.Duration, apply func([]Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if whole {
		t.cursor = Cursor{Known: true, Next: next}
	} else {
		for len(records) > 0 && records[0].Offset < t.cursor.Next {
			records = records[1:]
		}
		t.cursor.Next = max(t.cursor.Next, next)
	}
	apply(records)
	t.cursor.ConfirmedAt = max(t.cursor.ConfirmedAt, at)
}

// reset forgets the position; the newest records are read next.
func (t *track) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cursor.Known = false
}

// confirm takes another daemon's word that the topic ended at next at a time.
func (t *track) confirm(next uint64, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end = max(t.end, next)
	if t.cursor.Known && next == t.cursor.Next {
		t.cursor.ConfirmedAt = max(t.cursor.ConfirmedAt, at)
	}
	select {
	case t.wake <- struct{}{}:
	default: // a wake-up is pending
	}
}

// behind reports whether a record is known to exist that was not read.
func (t *track) behind() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end > t.cursor.Next
}

// extend applies records that another daemon passed on, if they follow what
// was read. apply runs under the lock of the topic's position.
func (t *track) extend(from uint64, records []Record, apply func([]Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := from + uint64(len(records))
	if !t.cursor.Known || from > t.cursor.Next || next <= t.cursor.Next {
		return
	}
	apply(records[t.cursor.Next-from:])
	t.cursor.Next = next
}

// Cursor returns how far a topic has been followed.
func (d *Directory) Cursor(t Topic) Cursor { return d.tracks[t].get() }

// ConfirmEnd takes another daemon's word that a topic ended at next at a boot time
// of this machine. A time to come is no word.
func (d *Directory) ConfirmEnd(t Topic, next uint64, at time.Duration) {
	if at <= boottime.Now() {
		d.tracks[t].confirm(next, at)
	}
}

// ApplyPushed takes records of a topic that another daemon has read. A topic that this
// release does not know is left alone.
func (d *Directory) ApplyPushed(t Topic, from uint64, records []Record) {
	if t < 0 || t >= topicCount {
		return
	}
	d.tracks[t].extend(from, records, func(fresh []Record) { d.apply(t, fresh, false) })
}

// guided waits while others follow the topic and nothing is missing here. It
// returns at once where this daemon must read the store itself.
func (d *Directory) guided(ctx context.Context, t Topic) {
	tr := d.tracks[t]
	for ctx.Err() == nil {
		c := tr.get()
		old := boottime.Now()-c.ConfirmedAt > time.Duration(pacings[t].guidedPart*float64(d.opts.ConfigBound))
		if !c.Known || old || d.opts.IsReader() {
			return
		}
		if !tr.behind() {
			tr.wait(ctx, guidedPause)
			continue
		}
		pause.For(ctx, pacings[t].passPause)
		if tr.behind() {
			return
		}
	}
}

// wait waits for another daemon's word, at most for d.
func (t *track) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-t.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}
