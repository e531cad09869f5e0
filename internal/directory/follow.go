package directory

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/pause"
)

const (
	// minRetryDelay and maxRetryDelay limit the exponential backoff after failed
	// reads.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// outageThreshold is how long reads must fail before the store counts as
	// unavailable.
	outageThreshold = time.Second
	// removalGrace is how long removals of engines are deferred after an outage of
	// the store. Entries that expired during the outage are announced again; the
	// platform guarantees this within about two seconds.
	removalGrace = 2200 * time.Millisecond
)

// readNext reads the records of a topic after its position. If full is set, the
// records are the newest of each key, and keys without a record do not exist. next
// is the offset of the next read; it was the end of the topic at boot time at or
// later. The caller advances the position when it applies the records.
func (d *Directory) readNext(t Topic) (records []Record, next uint64, full bool, at time.Duration, err error) {
	begun := boottime.Now()
	name := d.opts.Topics.name(t)
	c := d.positions[t].snapshot()
	if !c.Known {
		records, next, err = d.opts.Log.ReadLatest(name)
		return records, next, true, begun, err
	}
	wait := topicTimings[t].longPoll
	if d.positions[t].hasUnread() {
		wait = 0
	}
	records, _, err = d.opts.Log.Read(name, c.Next, wait)
	var truncated *TruncatedError
	if errors.As(err, &truncated) {
		klog.InfoS("topic was truncated; reading the newest records", "topic", name, "offset", c.Next)
		d.positions[t].invalidate()
		records, next, err = d.opts.Log.ReadLatest(name)
		return records, next, true, begun, err
	}
	if n := len(records); n > 0 {
		return records, records[n-1].Offset + 1, false, begun, err
	}
	// An empty answer proves that there was no record for the whole long poll.
	return nil, c.Next, false, min(begun+wait, boottime.Now()), err
}

// followTopic reads a topic and applies its records until ctx ends. It does not
// read while peers read the topic for this daemon.
func (d *Directory) followTopic(ctx context.Context, t Topic) error {
	r := storeStatus{topic: d.opts.Topics.name(t)}
	for ctx.Err() == nil {
		d.awaitPeerReads(ctx, t)
		began := time.Now()
		records, next, full, at, err := d.readNext(t)
		if err != nil {
			pause.For(ctx, r.recordFailure(err))
			continue
		}
		recovered := r.recordSuccess()
		if !full && len(records) > 0 {
			// The records are pushed before peers learn of the new position, so that
			// the peers do not read them from the store.
			d.opts.OnRead(t, records[0].Offset, records)
		}
		d.positions[t].commitRead(records, next, full, at, func(fresh []Record) {
			if recovered && t == EnginesTopic {
				d.removalsDeferredUntil = time.Now().Add(removalGrace)
			}
			d.apply(t, fresh, full)
		})
		pause.For(ctx, topicTimings[t].minReadInterval-time.Since(began))
	}
	return nil
}

// apply applies records of a topic, either read from the store or pushed by a
// peer. The caller holds the lock of the topic's position.
func (d *Directory) apply(t Topic, records []Record, full bool) {
	switch t {
	case OperatorTopic:
		d.applyOperator(records, full)
	case EnginesTopic:
		d.applyEngines(records, full)
		d.enginesRead.Store(true)
	case DaemonsTopic:
		d.applyDaemonRecords(records)
	}
}

// storeStatus tracks whether reads of a topic succeed, and logs outages of the
// store.
type storeStatus struct {
	topic string
	// failingSince is the time of the first of the consecutive failures, or zero.
	failingSince time.Time
	// down is set once the reads have failed for outageThreshold.
	down       bool
	retryDelay time.Duration
}

// recordFailure records a failed read and returns the delay before the next read.
func (r *storeStatus) recordFailure(err error) time.Duration {
	now := time.Now()
	if r.failingSince.IsZero() {
		r.failingSince, r.retryDelay = now, minRetryDelay
	}
	if !r.down && now.Sub(r.failingSince) >= outageThreshold {
		r.down = true
		klog.ErrorS(err, "store lost", "topic", r.topic, "failing_ms", now.Sub(r.failingSince).Milliseconds())
	}
	r.retryDelay = min(2*r.retryDelay, maxRetryDelay)
	return r.retryDelay
}

// recordSuccess records a successful read and reports whether it ended an outage.
func (r *storeStatus) recordSuccess() bool {
	recovered := r.down
	if recovered {
		klog.InfoS("store regained", "topic", r.topic, "away_ms", time.Since(r.failingSince).Milliseconds())
	}
	*r = storeStatus{topic: r.topic}
	return recovered
}

func (d *Directory) applyOperator(records []Record, full bool) {
	out := map[string]bool{}
	for _, rec := range records {
		change, err := d.opts.Decoder.Operator(rec)
		switch {
		case err != nil:
			klog.ErrorS(err, "invalid record of an operator ignored", "key", rec.Key, "offset", rec.Offset)
		case change == nil:
		case change.Config != nil:
			d.applyConfig(change.Config)
		default:
			out[change.Zone] = change.OutOfService
			d.setZone(change.Zone, change.OutOfService)
		}
	}
	if !full {
		return
	}
	for _, zone := range d.zonesOutOfService() {
		if !out[zone] {
			d.setZone(zone, false)
		}
	}
}

// applyConfig makes c the current configuration, unless the current one has the
// same or a higher version.
func (d *Directory) applyConfig(c *catalog.Config) {
	if old := d.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	c.BuildIndex()
	d.config.Store(c)
	klog.InfoS("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services), "tenants", len(c.Tenants))
	d.setServices(c.Services)
}

func (d *Directory) zonesOutOfService() []string {
	var zones []string
	d.zones.Range(func(z string, _ struct{}) bool {
		zones = append(zones, z)
		return true
	})
	return zones
}

func (d *Directory) setZone(zone string, out bool) {
	if out == d.ZoneOutOfService(zone) {
		return
	}
	if out {
		d.zones.Set(zone, struct{}{})
	} else {
		d.zones.Delete(zone)
	}
	klog.InfoS("zone", "zone", zone, "out_of_service", out)
	d.notify()
}

// applyEngines applies announcements and removals of engines. A removal takes
// effect immediately, except in the grace period after an outage of the store,
// when it takes effect at the end of the period.
func (d *Directory) applyEngines(records []Record, full bool) {
	log := &changeLog{}
	changed := false
	present := map[string]bool{}
	for _, rec := range records {
		present[rec.Key] = len(rec.Value) > 0
		if len(rec.Value) == 0 {
			d.invalid.Delete(rec.Key)
			changed = d.removeOrDefer(rec.Key, log) || changed
			continue
		}
		changed = d.applyAnnouncement(rec, log) || changed
	}
	if full {
		for _, id := range d.engineIDs() {
			if !present[id] {
				changed = d.removeOrDefer(id, log) || changed
			}
		}
	}
	changed = d.removeExpired(log) || changed
	if changed {
		d.notify()
	}
	log.write()
}

func (d *Directory) engineIDs() []string {
	var ids []string
	d.engines.Range(func(id string, _ *catalog.Engine) bool {
		ids = append(ids, id)
		return true
	})
	return ids
}

// removeOrDefer removes an engine, or schedules its removal in the grace period
// after an outage. It reports whether the engine was removed.
func (d *Directory) removeOrDefer(id string, log *changeLog) bool {
	if time.Now().Before(d.removalsDeferredUntil) {
		d.pendingRemovals.Set(id, d.removalsDeferredUntil)
		return false
	}
	return d.removeNow(id, log)
}

func (d *Directory) removeNow(id string, log *changeLog) bool {
	e, ok := d.engines.Get(id)
	if !ok {
		return false
	}
	d.replaceEngine(e, nil, log)
	d.pendingRemovals.Delete(id)
	log.gone = append(log.gone, e)
	return true
}

// removeExpired removes the engines whose deferred removal is due, and reports
// whether there were any.
func (d *Directory) removeExpired(log *changeLog) bool {
	var due []string
	now := time.Now()
	d.pendingRemovals.Range(func(id string, until time.Time) bool {
		if !now.Before(until) {
			due = append(due, id)
		}
		return true
	})
	changed := false
	for _, id := range due {
		changed = d.removeNow(id, log) || changed
		d.pendingRemovals.Delete(id)
	}
	return changed
}

// applyAnnouncement applies the announcement of an engine and reports whether a
// view changed. An entry is rewritten only when a field other than the heartbeat
// changes, so every applied announcement counts as a change. An engine whose
// announcement can't be decoded is removed.
func (d *Directory) applyAnnouncement(rec Record, log *changeLog) bool {
	e, err := d.opts.Decoder.Engine(rec)
	if err != nil {
		d.logInvalid(rec, err)
		d.pendingRemovals.Delete(rec.Key)
		return d.removeNow(rec.Key, log)
	}
	if was, ok := d.versions.Get(e.ID); ok && (e.StartUnixMS < was.startMS || (e.StartUnixMS == was.startMS && e.HeartbeatSeq < was.heartbeat)) {
		return false
	}
	d.invalid.Delete(e.ID)
	d.versions.Set(e.ID, announcementVersion{e.StartUnixMS, e.HeartbeatSeq})
	d.pendingRemovals.Delete(e.ID)
	e.SeenAt = time.Now()
	e.Draining = e.Draining || d.leaving.binds(e.ID, e.StartUnixMS)
	old, known := d.engines.Get(e.ID)
	d.replaceEngine(old, e, log)
	switch {
	case !known:
		log.announced = append(log.announced, e)
	case e.Draining && !old.Draining:
		log.draining = append(log.draining, e)
	}
	return true
}

// maxInvalidEntries is the number of invalid entries whose errors are remembered.
const maxInvalidEntries = 1024

// logInvalid logs the error of an entry that cannot be decoded, once until the entry
// changes: its writer may renew it every second.
func (d *Directory) logInvalid(rec Record, err error) {
	if old, ok := d.invalid.Get(rec.Key); ok && old == err.Error() {
		return
	}
	if d.invalid.Len() >= maxInvalidEntries {
		d.invalid.Clear()
	}
	d.invalid.Set(rec.Key, err.Error())
	klog.ErrorS(err, "invalid announcement; it names no engine to use", "key", rec.Key, "offset", rec.Offset, "bytes", len(rec.Value))
}

func (d *Directory) applyDaemonRecords(records []Record) {
	for _, rec := range records {
		d.applyDaemonRecord(rec)
	}
}

func (d *Directory) applyDaemonRecord(rec Record) {
	n, err := d.opts.Decoder.DaemonRecord(rec)
	switch {
	case err != nil:
		klog.ErrorS(err, "invalid record of a daemon ignored", "key", rec.Key)
	case n == nil:
	case n.Group != "" && n.Head == nil:
		d.heads.Delete(n.Group)
	case n.Group != "":
		d.heads.Set(n.Group, n.Head)
	case n.Addr == "":
		d.daemons.Delete(n.Daemon)
	default:
		d.daemons.Set(n.Daemon, n.Addr)
	}
}
