package directory

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/pause"
)

const (
	// retryPause and retryPauseMax bound the pause after a failed read.
	retryPause    = 100 * time.Millisecond
	retryPauseMax = 500 * time.Millisecond
	// outageAfter is how long reads must have failed for the store to count as
	// having been away.
	outageAfter = time.Second
	// lapseGrace is how long after the store's return an entry that lapsed
	// meanwhile may come back; the platform promises about two seconds.
	lapseGrace = 2200 * time.Millisecond
)

// step reads what is new of a topic. whole means that the records are the
// newest of each key, so that keys without one are gone. next is the offset to
// go on from, which was the topic's end at the boot time at or later. The
// position is advanced by the caller, as the records are applied.
func (d *Directory) step(t Topic) (records []Record, next uint64, whole bool, at time.Duration, err error) {
	begun := boottime.Now()
	name := d.opts.Topics.name(t)
	c := d.tracks[t].get()
	if !c.Known {
		records, next, err = d.opts.Log.ReadLatest(name)
		return records, next, true, begun, err
	}
	wait := pacings[t].wait
	if d.tracks[t].behind() {
		wait = 0
	}
	records, _, err = d.opts.Log.Read(name, c.Next, wait)
	var cut *TruncatedError
	if errors.As(err, &cut) {
		klog.InfoS("topic was truncated; reading the newest records", "topic", name, "offset", c.Next)
		d.tracks[t].reset()
		records, next, err = d.opts.Log.ReadLatest(name)
		return records, next, true, begun, err
	}
	if n := len(records); n > 0 {
		return records, records[n-1].Offset + 1, false, begun, err
	}
	// The store waited before it said that there is nothing.
	return nil, c.Next, false, min(begun+wait, boottime.Now()), err
}

// follow reads a topic until ctx ends, except while others do so for this
// daemon, and applies what is new.
func (d *Directory) follow(ctx context.Context, t Topic) error {
	r := reach{topic: d.opts.Topics.name(t)}
	for ctx.Err() == nil {
		d.guided(ctx, t)
		began := time.Now()
		records, next, whole, at, err := d.step(t)
		if err != nil {
			pause.For(ctx, r.failed(err))
			continue
		}
		returned := r.succeeded()
		if !whole && len(records) > 0 {
			// Before the new position is known to others, so that they do not read.
			d.opts.OnRead(t, records[0].Offset, records)
		}
		d.tracks[t].commit(records, next, whole, at, func(fresh []Record) {
			if returned && t == EnginesTopic {
				d.graceUntil = time.Now().Add(lapseGrace)
			}
			d.apply(t, fresh, whole)
		})
		pause.For(ctx, pacings[t].pace-time.Since(began))
	}
	return nil
}

// apply takes records of a topic in, read here or passed on. It runs under the
// lock of the topic's position.
func (d *Directory) apply(t Topic, records []Record, whole bool) {
	switch t {
	case OperatorTopic:
		d.applyOperator(records, whole)
	case EnginesTopic:
		d.applyEngines(records, whole)
		d.loaded.Store(true)
	case DaemonsTopic:
		d.applyNotes(records)
	}
}

// reach tracks whether the store answers, and logs when that changes.
type reach struct {
	topic string
	since time.Time // of the first failure in a row
	lost  bool
	pause time.Duration
}

// failed notes a failed read and returns the pause before the next one.
func (r *reach) failed(err error) time.Duration {
	now := time.Now()
	if r.since.IsZero() {
		r.since, r.pause = now, retryPause
	}
	if !r.lost && now.Sub(r.since) >= outageAfter {
		r.lost = true
		klog.ErrorS(err, "store lost", "topic", r.topic, "failing_ms", now.Sub(r.since).Milliseconds())
	}
	r.pause = min(2*r.pause, retryPauseMax)
	return r.pause
}

// succeeded notes a read and reports whether the store came back after an outage.
func (r *reach) succeeded() bool {
	back := r.lost
	if back {
		klog.InfoS("store regained", "topic", r.topic, "away_ms", time.Since(r.since).Milliseconds())
	}
	*r = reach{topic: r.topic}
	return back
}

func (d *Directory) applyOperator(records []Record, whole bool) {
	out := map[string]bool{}
	for _, rec := range records {
		change, err := d.opts.Decoder.Operator(rec)
		switch {
		case err != nil:
			klog.ErrorS(err, "operator's record ignored", "key", rec.Key, "offset", rec.Offset)
		case change == nil:
		case change.Config != nil:
			d.adopt(change.Config)
		default:
			out[change.Zone] = change.OutOfService
			d.setZone(change.Zone, change.OutOfService)
		}
	}
	if !whole {
		return
	}
	for _, zone := range d.zonesOut() {
		if !out[zone] {
			d.setZone(zone, false)
		}
	}
}

// adopt puts a configuration in force unless a newer one is.
func (d *Directory) adopt(c *catalog.Config) {
	if old := d.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	c.BuildIndex()
	d.config.Store(c)
	klog.InfoS("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services), "tenants", len(c.Tenants))
	d.rebuild()
}

func (d *Directory) zonesOut() []string {
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

// applyEngines takes announcements in. A removal is believed at once, but
// within the grace time after an outage only when it ends.
func (d *Directory) applyEngines(records []Record, whole bool) {
	changed := false
	present := map[string]bool{}
	for _, rec := range records {
		present[rec.Key] = len(rec.Value) > 0
		if len(rec.Value) == 0 {
			changed = d.remove(rec.Key) || changed
			continue
		}
		changed = d.announce(rec) || changed
	}
	if whole {
		for _, id := range d.engineIDs() {
			if !present[id] {
				changed = d.remove(id) || changed
			}
		}
	}
	changed = d.expire() || changed
	if changed {
		d.rebuild()
	}
}

func (d *Directory) engineIDs() []string {
	var ids []string
	d.engines.Range(func(id string, _ *catalog.Engine) bool {
		ids = append(ids, id)
		return true
	})
	return ids
}

func (d *Directory) remove(id string) bool {
	if time.Now().Before(d.graceUntil) {
		d.pending.Set(id, d.graceUntil)
		return false
	}
	return d.drop(id)
}

func (d *Directory) drop(id string) bool {
	e, ok := d.engines.Get(id)
	if !ok {
		return false
	}
	d.engines.Delete(id)
	d.pending.Delete(id)
	klog.InfoS("engine gone", "engine", id, "service", e.Service, "zone", e.Zone, "group", e.Membership.Group.Name, "rank", e.Membership.Rank)
	return true
}

// expire removes the entries whose grace time after an outage has ended.
func (d *Directory) expire() bool {
	var due []string
	now := time.Now()
	d.pending.Range(func(id string, until time.Time) bool {
		if !now.Before(until) {
			due = append(due, id)
		}
		return true
	})
	changed := false
	for _, id := range due {
		changed = d.drop(id) || changed
		d.pending.Delete(id)
	}
	return changed
}

// announce takes an engine's entry in and reports whether it is news: entries
// change only when more than the heartbeat does. An entry that can't be read names no engine to use.
func (d *Directory) announce(rec Record) bool {
	e, err := d.opts.Decoder.Engine(rec)
	if err != nil {
		klog.ErrorS(err, "engine's entry ignored", "key", rec.Key, "offset", rec.Offset)
		_, known := d.engines.Get(rec.Key)
		d.engines.Delete(rec.Key)
		return known
	}
	if was, ok := d.last.Get(e.ID); ok && (e.StartUnixMS < was.born || (e.StartUnixMS == was.born && e.HeartbeatSeq < was.beat)) {
		return false
	}
	d.last.Set(e.ID, identity{e.StartUnixMS, e.HeartbeatSeq})
	d.pending.Delete(e.ID)
	e.SeenAt = time.Now()
	old, known := d.engines.Get(e.ID)
	d.engines.Set(e.ID, e)
	if !known {
		klog.InfoS("engine announced", "engine", e.ID, "service", e.Service, "zone", e.Zone, "domain", e.FabricDomain, "addr", e.Addr)
		return true
	}
	if e.Draining && !old.Draining {
		klog.InfoS("engine drains", "engine", e.ID, "service", e.Service)
	}
	if e.Membership != old.Membership {
		klog.InfoS("engine's group changed", "engine", e.ID, "group", e.Membership.Group.Name, "epoch", e.Membership.Group.Epoch,
			"rank", e.Membership.Rank, "state", e.Membership.State.String(), "was_group", old.Membership.Group.Name, "was_state", old.Membership.State.String())
	}
	return true
}

func (d *Directory) applyNotes(records []Record) {
	for _, rec := range records {
		d.applyNote(rec)
	}
}

func (d *Directory) applyNote(rec Record) {
	n, err := d.opts.Decoder.DaemonRecord(rec)
	switch {
	case err != nil:
		klog.ErrorS(err, "daemon's record ignored", "key", rec.Key)
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

func sortEngines(engines []*catalog.Engine) {
	slices.SortFunc(engines, func(a, b *catalog.Engine) int { return strings.Compare(a.ID, b.ID) })
}
