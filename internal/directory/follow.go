package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/storepace"
)

const (
	// minRetryDelay and maxRetryDelay limit the exponential backoff after failed
	// first reads; the others are paced by package storepace.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxPartialReads is the number of answers in a row with a part of the records after
	// which a daemon reads the newest record of each key instead, so that a backlog that
	// grows faster than it is read comes to an end.
	maxPartialReads = 2
)

// readNext reads the records of a topic after its position, and waits for them for up to
// wait. If the position is unknown or restart is set, it reads the newest record of each
// key. The caller advances the position when it applies the records.
func (d *Directory) readNext(t Topic, wait time.Duration, restart bool) (*topicRead, error) {
	begun := boottime.Now()
	name := d.opts.Topics.name(t)
	c := d.positions[t].snapshot()
	if !c.Known || restart {
		return d.readLatest(t, begun)
	}
	records, end, err := d.opts.Log.Read(name, c.Next, wait)
	answer := storeAnswer{from: c.Next, records: len(records), end: end.Offset, begun: begun, answered: boottime.Now(), wait: wait}
	var truncated *TruncatedError
	if errors.As(err, &truncated) {
		end.Era = truncated.Era
	}
	if d.ObserveEra(end.Era); d.positions[t].snapshot().Era != c.Era && (err == nil || truncated != nil) {
		return nil, errRestored
	}
	if err == nil && end.Era < c.Era {
		return nil, errEarlierEra
	}
	if err == nil && answer.isStale() {
		return nil, errStaleAnswer
	}
	if truncated != nil {
		klog.InfoS("topic was truncated; reading the newest records", "topic", name, "offset", c.Next)
		d.positions[t].invalidate()
		return d.readLatest(t, begun)
	}
	if err != nil {
		return nil, err
	}
	r := &topicRead{records: records, next: Position{c.Era, c.Next + uint64(len(records))}}
	r.end, r.at = answer.provenEnd()
	return r, nil
}

// readLatest reads the newest record of each key of a topic.
func (d *Directory) readLatest(t Topic, begun time.Duration) (*topicRead, error) {
	records, next, err := d.opts.Log.ReadLatest(d.opts.Topics.name(t))
	d.ObserveEra(next.Era)
	if err == nil && next.Era < d.Era() {
		err = errEarlierEra
	}
	if err != nil {
		return nil, err
	}
	answer := storeAnswer{records: len(records), end: next.Offset, full: true, begun: begun, answered: boottime.Now()}
	r := &topicRead{records: records, next: next, full: true}
	r.end, r.at = answer.provenEnd()
	return r, nil
}

// followTopic reads a topic and applies its records until ctx ends. It does not
// read while peers read the topic for this daemon, or while the pacer keeps it from that.
func (d *Directory) followTopic(ctx context.Context, t Topic) error {
	retryDelay := minRetryDelay
	// partialReads is the number of answers in a row that held a part of the records.
	partialReads := 0
	for ctx.Err() == nil {
		verdict, ok := d.awaitTurn(ctx, t, partialReads > 0)
		if !ok {
			return nil
		}
		wait := topicTimings[t].longPoll
		if verdict.NoWait || d.positions[t].hasUnread() {
			wait = 0
		}
		began, begunAt := time.Now(), boottime.Now()
		d.opts.OnCall(t, verdict.Cause)
		r, err := d.readNext(t, wait, partialReads >= maxPartialReads)
		answered, restored := boottime.Now(), errors.Is(err, errRestored)
		d.pacer.End(verdict, answered, answered-begunAt-wait, err == nil || restored, rand.Float64())
		d.wakeFollowers()
		if restored {
			continue
		}
		if err != nil {
			d.recordFailure(t, answered)
			if verdict.Cause == storepace.FirstRead {
				retryDelay = min(2*retryDelay, maxRetryDelay)
				pause.For(ctx, retryDelay)
			}
			continue
		}
		retryDelay = minRetryDelay
		d.positions[t].commitRead(r, func(fresh []Record) {
			d.recordServed(t, begunAt, boottime.Now())
			d.apply(t, r.next.Era, fresh, r.full)
			if r.full && d.positions[t].inGrace(boottime.Now()) {
				go d.opts.OnReadLatest(t, r.next, r.records)
			}
		})
		if len(r.records) > 0 {
			d.recordApplied(t, len(r.records), boottime.Now()-answered)
		}
		if !r.full && len(r.records) > 0 {
			d.opts.OnRead(t, Position{r.next.Era, r.records[0].Offset}, r.next)
		}
		if !r.isPartial() {
			partialReads = 0
			pause.For(ctx, topicTimings[t].minReadInterval-time.Since(began))
			continue
		}
		partialReads++
		d.opts.OnPartialRead(t)
		klog.InfoS("a read returned a part of the records", "topic", d.opts.Topics.name(t), "next", r.next.Offset, "end", r.end,
			"confirmed_ms_ago", (answered - d.Cursor(t).ConfirmedAt).Milliseconds())
		if len(r.records) == 0 {
			pause.For(ctx, minRetryDelay) // the next answer may be as empty
		}
	}
	return nil
}

// apply applies records of a topic, either read from the store or pushed by a peer, and
// keeps them for peers unless they are the newest of each key. The caller holds the lock of
// the topic's position.
func (d *Directory) apply(t Topic, era uint64, records []Record, full bool) {
	var supersedes []bool
	switch t {
	case OperatorTopic:
		supersedes = d.applyOperator(records, full)
	case EnginesTopic:
		d.applyEngines(records, full)
		d.enginesRead.Store(true)
	case DaemonsTopic:
		d.applyDaemonRecords(records, full)
	}
	if full {
		return
	}
	if n := d.history[t].Add(era, records, supersedes); n > 0 {
		d.opts.OnSuperseded(t, n)
	}
}

// applyOperator applies records of the operators' topic. It returns which of them say all
// that the earlier ones of their keys said: those of zones and, as versions rise, those of
// configurations that were decoded. Announcements of engines are ordered by more than their
// offsets, so none of them does.
func (d *Directory) applyOperator(records []Record, full bool) (supersedes []bool) {
	supersedes = make([]bool, len(records))
	newest := d.config.Load()
	out := map[string]bool{}
	if full {
		for _, zone := range d.zonesOutOfService() {
			out[zone] = false
		}
	}
	for i, rec := range records {
		change, err := d.opts.Decoder.Operator(rec)
		switch {
		case err != nil:
			klog.ErrorS(err, "invalid record of an operator ignored", "key", rec.Key, "offset", rec.Offset)
		case change == nil:
		case change.Config != nil:
			if newest == nil || change.Config.Version >= newest.Version {
				newest, supersedes[i] = change.Config, true
			}
		default:
			out[change.Zone], supersedes[i] = change.OutOfService, true
		}
	}
	d.applyConfig(newest)
	hold := full && d.positions[OperatorTopic].inGrace(boottime.Now())
	for zone, out := range out {
		if hold && out != d.ZoneOutOfService(zone) {
			d.heldZones[zone] = out
			continue
		}
		delete(d.heldZones, zone)
		d.setZone(zone, out)
	}
	return supersedes
}

// applyConfig makes c the current configuration, unless it is nil or the current one has
// the same or a higher version.
func (d *Directory) applyConfig(c *catalog.Config) {
	if old := d.config.Load(); c == nil || old != nil && old.Version >= c.Version {
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
// effect immediately, except around an outage of the store; see removeOrDefer.
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
		changed = d.applyAnnouncement(rec, full, log) || changed
	}
	if full {
		for _, id := range d.engineIDs() {
			if !present[id] {
				changed = d.removeOrDefer(id, log) || changed
			}
		}
	}
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

// applyAnnouncement applies the announcement of an engine and reports whether a
// view changed. An entry is rewritten only when a field other than the heartbeat
// changes, so every applied announcement counts as a change. An engine whose
// announcement can't be decoded is removed.
func (d *Directory) applyAnnouncement(rec Record, full bool, log *changeLog) bool {
	e, err := d.opts.Decoder.Engine(rec)
	if err != nil {
		d.logInvalid(rec, err)
		if full && d.positions[EnginesTopic].inGrace(boottime.Now()) {
			// The record may be older than the engine's last announcement.
			return d.removeOrDefer(rec.Key, log)
		}
		d.pendingRemovals.Delete(rec.Key)
		return d.removeNow(rec.Key, log)
	}
	old, known := d.engines.Get(e.ID)
	era := d.positions[EnginesTopic].cursor.Era
	if was, ok := d.versions.Get(e.ID); ok && !supersedes(e, was, announcementContext{era: era, full: full, present: known}) {
		return false
	}
	d.invalid.Delete(e.ID)
	d.versions.Set(e.ID, announcementVersion{e.StartUnixMS, e.HeartbeatSeq, era})
	d.pendingRemovals.Delete(e.ID)
	e.SeenAt = time.Now()
	e.Draining = e.Draining || d.leaving.binds(e.ID, e.StartUnixMS)
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

func (d *Directory) applyDaemonRecords(records []Record, full bool) {
	if full {
		d.recordedAddrs.Clear()
		d.recordedHeads.Clear()
	}
	hold := full && d.positions[DaemonsTopic].inGrace(boottime.Now())
	for _, rec := range records {
		n, err := d.opts.Decoder.DaemonRecord(rec)
		if err != nil {
			klog.ErrorS(err, "invalid record of a daemon ignored", "key", rec.Key)
		}
		if err != nil || n == nil {
			continue
		}
		d.noteRecorded(n)
		if hold {
			d.heldDaemonRecords[rec.Key] = n
			continue
		}
		delete(d.heldDaemonRecords, rec.Key)
		d.setDaemonRecord(n)
	}
}

func (d *Directory) setDaemonRecord(n *DaemonRecord) {
	switch {
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
