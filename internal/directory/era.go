package directory

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// Position is an offset in a topic. The era of the store rises each time that the store
// is restored from an older copy and assigns offsets anew, so offsets of different eras
// can't be compared. A store without eras is in era 0.
type Position struct{ Era, Offset uint64 }

const (
	// rereadSpread is the period over which the daemons that do not read for others read
	// the topics after a restore, so that a large fleet does not call the store at once.
	// It leaves half a second of the 2 s within which a configuration must be in force.
	rereadSpread = 1500 * time.Millisecond
	// restoreGrace is how long after a restore the records that the older copy lacks
	// count as not written again yet.
	restoreGrace = removalGrace
)

var (
	// errRestored reports that the store began a new era during a read.
	errRestored = errors.New("the store was restored from an older copy during the read")
	// errEarlierEra reports an answer of an era that has ended.
	errEarlierEra = errors.New("the answer of the store is of an era that has ended")
	// errStaleAnswer reports an answer that states an end before records that were read.
	errStaleAnswer = errors.New("the answer of the store is older than what was read")
)

// rereadDelay returns the time after the notice of a new era at which a daemon that does
// not read for others reads the topics. phase is its random part of the period, from 0 to
// 1. It addresses a restore in a fleet of hundreds of daemons.
func rereadDelay(phase float64) time.Duration {
	return time.Duration(phase * float64(rereadSpread))
}

// Era returns the highest era of the store that this daemon has heard of.
func (d *Directory) Era() uint64 { return d.era.Load() }

// EraSince returns the boot time at which this daemon first heard of the era.
func (d *Directory) EraSince() time.Duration { return time.Duration(d.eraSince.Load()) }

// ObserveEra records an era of the store that an answer of the store or a peer has named.
// A higher one than before invalidates all positions: records of an earlier era may be
// lost, and their offsets assigned anew. The state is kept until records of the new era
// supersede it.
func (d *Directory) ObserveEra(era uint64) {
	if era <= d.era.Load() || !d.enterEra(era) {
		return
	}
	klog.InfoS("store restored from an older copy", "era", era)
	select {
	case d.restored <- struct{}{}:
	default: // settle is to be woken already
	}
	d.opts.OnRestore(era)
}

// enterEra invalidates the positions of earlier eras. It reports whether this daemon has
// read a topic in one of them.
func (d *Directory) enterEra(era uint64) (restored bool) {
	d.eraMu.Lock()
	defer d.eraMu.Unlock()
	if era <= d.era.Load() {
		return false
	}
	now := boottime.Now()
	readAt := now + rereadDelay(d.opts.RereadPhase())
	for t, pos := range d.positions {
		pos.withLock(func() {
			if !pos.enterEra(era, now, readAt) {
				return
			}
			restored = true
			switch Topic(t) {
			case EnginesTopic:
				d.removalsDeferredUntil = max(d.removalsDeferredUntil, now+restoreGrace)
			case DaemonsTopic:
				// What was recorded in the earlier era may be lost.
				d.recordedAddrs.Clear()
				d.recordedHeads.Clear()
			}
		})
	}
	d.eraSince.Store(int64(now))
	d.era.Store(era)
	return restored
}

// enterEra invalidates the position if it is of an earlier era, and reports whether the
// topic was read in it. The caller holds the lock.
func (t *topicPosition) enterEra(era uint64, now, readAt time.Duration) bool {
	if era <= t.cursor.Era {
		return false
	}
	wasRead := t.cursor.Known || t.cursor.ConfirmedAt > 0
	// The state was current at ConfirmedAt, whatever happens to the store after that.
	t.cursor = Cursor{Era: era, ConfirmedAt: t.cursor.ConfirmedAt}
	t.ends = nil
	if wasRead {
		t.readAt, t.graceUntil = readAt, now+restoreGrace
	}
	return wasRead
}

// untilReread returns how long this daemon leaves it to its peers to read the topic after
// a restore.
func (t *topicPosition) untilReread(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readAt - now
}

// inGrace reports whether records may be missing from the topic or be of an older copy,
// because the store was restored less than restoreGrace ago. The caller holds the lock.
func (t *topicPosition) inGrace(now time.Duration) bool { return now < t.graceUntil }

// ApplyLatest applies the newest record of each key, which a peer has read, unless this
// daemon has a position in the era already. end is where the peer reads on.
func (d *Directory) ApplyLatest(t Topic, end Position, records []Record) {
	if t < 0 || t >= topicCount {
		return
	}
	d.ObserveEra(end.Era)
	d.positions[t].applyLatest(end, func() { d.apply(t, end.Era, records, true) })
}

// applyLatest moves an unknown cursor to end. apply is called with the lock held.
func (t *topicPosition) applyLatest(end Position, apply func()) {
	t.mu.Lock()
	defer t.unlock()
	if t.cursor.Known || end.Era != t.cursor.Era {
		return
	}
	t.cursor.Known, t.cursor.Next = true, end.Offset
	apply()
	t.confirmReachedEnds()
	t.signal()
}

// settle applies the records that were held when the time within which they could be
// superseded has passed, until ctx ends.
func (d *Directory) settle(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.restored:
		case <-timer.C:
		}
		if wait := d.applyHeld(boottime.Now()); wait > 0 {
			timer.Reset(wait)
		}
	}
}

// applyHeld applies the held records whose time has come, and returns the time until the
// next ones are due.
func (d *Directory) applyHeld(now time.Duration) (wait time.Duration) {
	for _, t := range []Topic{OperatorTopic, DaemonsTopic} {
		pos := d.positions[t]
		pos.withLock(func() {
			if pos.inGrace(now) {
				wait = max(wait, pos.graceUntil-now)
				return
			}
			if t == OperatorTopic {
				for zone, out := range d.heldZones {
					d.setZone(zone, out)
				}
				clear(d.heldZones)
				return
			}
			for _, n := range d.heldDaemonRecords {
				d.setDaemonRecord(n)
			}
			clear(d.heldDaemonRecords)
		})
	}
	return wait
}

// announcementVersion orders the announcements of one engine id.
type announcementVersion struct {
	startMS, heartbeat int64
	// era is the era in which the announcement was applied.
	era uint64
}

// announcementContext is what decides, besides the versions, whether an announcement
// supersedes the last one of its engine.
type announcementContext struct {
	// era is that of the announcement; full is set if it comes from a read of the newest
	// record of each key.
	era  uint64
	full bool
	// present is set if the engine is known, and not removed since its last announcement.
	present bool
}

// supersedes reports whether the announcement e is applied after the one with version
// was. It addresses restores of the store: the older copy may have an announcement of an
// engine that is gone or draining by now, so after a restore a repeated version does not
// bring an engine back, and one that the copy may have had changes nothing but that the
// engine drains.
func supersedes(e *catalog.Engine, was announcementVersion, c announcementContext) bool {
	if e.StartUnixMS != was.startMS {
		return e.StartUnixMS > was.startMS
	}
	if e.HeartbeatSeq != was.heartbeat {
		return e.HeartbeatSeq > was.heartbeat
	}
	if c.era == was.era {
		return true
	}
	return c.present && (!c.full || e.Draining)
}

// RecordedAddr returns the address of a daemon that the store has in the current era. It
// reports false if the topic has not been read in it, or has no such record.
func (d *Directory) RecordedAddr(daemon string) (string, bool) { return d.recordedAddrs.Get(daemon) }

// UnrecordedHeads returns the known heads that the store does not have in the current era,
// by group name.
func (d *Directory) UnrecordedHeads() map[string]*catalog.Engine {
	out := d.Heads()
	d.recordedHeads.Range(func(group string, _ struct{}) bool {
		delete(out, group)
		return true
	})
	return out
}

// noteRecorded records that the store has a record of a daemon or of a head, or that it
// was deleted.
func (d *Directory) noteRecorded(n *DaemonRecord) {
	switch {
	case n.Group != "" && n.Head == nil:
		d.recordedHeads.Delete(n.Group)
	case n.Group != "":
		d.recordedHeads.Set(n.Group, struct{}{})
	case n.Addr == "":
		d.recordedAddrs.Delete(n.Daemon)
	default:
		d.recordedAddrs.Set(n.Daemon, n.Addr)
	}
}
