package directory

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
)

const (
	// outageThreshold is how long the store must not be known to have served anybody to
	// count as away.
	outageThreshold = time.Second
	// removalGrace is how long removals of engines are deferred after an outage of
	// the store. Entries that expired during the outage are announced again; the
	// platform guarantees this within about two seconds.
	removalGrace = 2200 * time.Millisecond
	// deferralCheckInterval is the interval at which deferred removals are checked while
	// the store is away.
	deferralCheckInterval = 250 * time.Millisecond
	// tickInterval is the interval of the ticks by which a suspension of this process is
	// noticed.
	tickInterval = 200 * time.Millisecond
)

// storeContact is what is known of the store's reads of one topic. It covers the reads of
// all daemons: those that read for others state when they were served. Times are boot
// times.
type storeContact struct {
	// servedAt is the latest time at which the store is known to have served a read, or
	// the start of this daemon.
	servedAt time.Duration
	// failedAt is the time of this daemon's last failed read, or of the end of its last
	// suspension, in which it could not have noticed an outage. failingSince is that of
	// the first one after servedAt.
	failedAt, failingSince time.Duration
	// reportedLost is set once the outage in progress has been logged.
	reportedLost bool
}

// away reports whether the store is away, or may be: this daemon failed to read after the
// last time that anybody was served, which was outageThreshold ago.
func (c *storeContact) away(now time.Duration) bool {
	return c.failedAt > c.servedAt && now-c.servedAt >= outageThreshold
}

// failed records a failed read.
func (c *storeContact) failed(at time.Duration) {
	if c.failedAt <= c.servedAt {
		c.failingSince = at
	}
	c.failedAt = max(c.failedAt, at)
}

// served records that the store answered a read that began at begun, at answered. It
// returns how long the store had been away, or 0 if it had not been.
func (c *storeContact) served(begun, answered time.Duration) time.Duration {
	if answered <= c.servedAt {
		return 0
	}
	var outage time.Duration
	if c.away(begun) {
		outage = begun - c.servedAt
	}
	c.servedAt, c.reportedLost = answered, false
	return outage
}

// recordFailure records a failed read of a topic.
func (d *Directory) recordFailure(t Topic, at time.Duration) {
	d.positions[t].withLock(func() {
		c := &d.positions[t].contact
		c.failed(at)
		if failing := at - c.failingSince; failing >= outageThreshold && !c.reportedLost {
			c.reportedLost = true
			klog.InfoS("store lost", "topic", d.opts.Topics.name(t), "failing_ms", failing.Milliseconds())
		}
	})
}

// recordServed records that the store answered a read of a topic, by this daemon or a
// peer, that began at begun. After an outage it defers removals of engines. The caller
// holds the lock of the topic's position.
func (d *Directory) recordServed(t Topic, begun, answered time.Duration) {
	d.noticeSuspension(t)
	outage := d.positions[t].contact.served(begun, answered)
	if outage == 0 {
		return
	}
	klog.InfoS("store regained", "topic", d.opts.Topics.name(t), "away_ms", outage.Milliseconds())
	if t == EnginesTopic {
		d.removalsDeferredUntil = begun + removalGrace
	}
}

// noticeSuspension treats a suspension of this process as a failure to read: it may have
// missed an outage. The caller holds the lock of the topic's position.
func (d *Directory) noticeSuspension(t Topic) {
	now := boottime.Now()
	if tick := time.Duration(d.lastTick.Load()); tick > 0 && now-tick >= outageThreshold {
		d.positions[t].contact.failed(now)
	}
}

// tick notes at short intervals that this process runs, and logs topics that are late,
// until ctx ends.
func (d *Directory) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		now := boottime.Now()
		last := time.Duration(d.lastTick.Load())
		if last > 0 && now-last >= outageThreshold {
			klog.InfoS("this process did not run", "ms", (now - last).Milliseconds())
			for t := range topicCount {
				d.positions[t].withLock(func() { d.noticeSuspension(t) })
			}
		}
		d.lastTick.Store(int64(now))
		d.logLateTopics(now)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// removalsDeferred reports whether removals of engines are deferred: the store is away, or
// returned less than removalGrace ago. The caller holds the lock of the engines' topic
// position.
func (d *Directory) removalsDeferred(now time.Duration) bool {
	return now < d.removalsDeferredUntil || d.positions[EnginesTopic].contact.away(now)
}

// removeOrDefer removes an engine, or defers its removal around an outage of the store, in
// which entries expire though their engines live. It reports whether the engine was
// removed. An engine that is known to leave is removed at once.
func (d *Directory) removeOrDefer(id string, log *changeLog) bool {
	e, ok := d.engines.Get(id)
	if !ok {
		return false
	}
	d.noticeSuspension(EnginesTopic)
	if e.Draining || !d.removalsDeferred(boottime.Now()) {
		return d.removeNow(id, log)
	}
	d.pendingRemovals.Set(id, struct{}{})
	log.missing = append(log.missing, e)
	select {
	case d.deferred <- struct{}{}:
	default: // removeDeferred is to be woken already
	}
	return false
}

// removeDeferred carries out deferred removals when their time has come, until ctx ends.
// No record needs to arrive for that.
func (d *Directory) removeDeferred(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.deferred:
		case <-timer.C:
		}
		if wait, pending := d.removeDue(boottime.Now()); pending {
			timer.Reset(wait)
		}
	}
}

// removeDue removes the engines whose deferred removal is due. If removals are still
// deferred, it returns the time until the next check.
func (d *Directory) removeDue(now time.Duration) (wait time.Duration, pending bool) {
	d.positions[EnginesTopic].withLock(func() {
		if d.pendingRemovals.Len() == 0 {
			return
		}
		if d.removalsDeferred(now) {
			wait, pending = max(d.removalsDeferredUntil-now, deferralCheckInterval), true
			return
		}
		var due []string
		d.pendingRemovals.Range(func(id string, _ struct{}) bool {
			due = append(due, id)
			return true
		})
		log := &changeLog{}
		for _, id := range due {
			d.removeNow(id, log)
		}
		d.pendingRemovals.Clear()
		d.notify()
		log.write()
	})
	return wait, pending
}
