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
)

const (
	// operatorWait is the store's time to wait for an operator's record. Its
	// end renews the confirmation that the configuration is the newest, which
	// must happen well within the bound for a configuration (2 s on the sheets).
	operatorWait = time.Second
	// engineWait is the store's time to wait for an engine's announcement. Entries
	// change only when more than the heartbeat does, so it often runs out; what
	// is planned needs to know that nothing has changed.
	engineWait = 700 * time.Millisecond
	// engineInterval paces the reads of engines' announcements. A change is
	// known within it, against bounds of 2 s for a leaving engine.
	engineInterval = 300 * time.Millisecond
	// noteWait is the store's time to wait for a daemon's note. A read returns as
	// soon as there is one; a longer wait only saves calls.
	noteWait = 8 * time.Second
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

// cursor is the position in one topic.
type cursor struct {
	topic string
	next  uint64
	known bool
}

// step reads what is new. whole means that the records are the newest of each
// key, so that keys without one are gone.
func (d *Directory) step(c *cursor, wait time.Duration) (records []Record, whole bool, err error) {
	if !c.known {
		records, end, err := d.opts.Log.Newest(c.topic)
		if err != nil {
			return nil, false, err
		}
		c.next, c.known = end, true
		return records, true, nil
	}
	records, _, err = d.opts.Log.Read(c.topic, c.next, wait)
	var cut *TruncatedError
	if errors.As(err, &cut) {
		klog.InfoS("topic was truncated; reading the newest records", "topic", c.topic, "offset", c.next)
		c.known = false
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	if n := len(records); n > 0 {
		c.next = records[n-1].Offset + 1
	}
	return records, false, nil
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (d *Directory) followOperator(ctx context.Context) error {
	c := cursor{topic: d.opts.Topics.Operator}
	r := reach{topic: c.topic}
	for ctx.Err() == nil {
		begun := boottime.Now()
		records, whole, err := d.step(&c, operatorWait)
		if err != nil {
			sleep(ctx, r.failed(err))
			continue
		}
		r.succeeded()
		if !c.known {
			continue
		}
		d.applyOperator(records, whole)
		d.confirmed.Store(max(int64(begun), d.confirmed.Load()))
	}
	return nil
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
			out[change.Zone] = change.Out
			d.setZone(change.Zone, change.Out)
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
	c.Index()
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
	if out == d.ZoneOut(zone) {
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

func (d *Directory) followEngines(ctx context.Context) error {
	c := cursor{topic: d.opts.Topics.Engines}
	r := reach{topic: c.topic}
	var graceUntil time.Time
	for ctx.Err() == nil {
		began := time.Now()
		begun := boottime.Now()
		records, whole, err := d.step(&c, engineWait)
		if err != nil {
			sleep(ctx, r.failed(err))
			continue
		}
		if r.succeeded() {
			graceUntil = time.Now().Add(lapseGrace)
		}
		d.applyEngines(records, whole, graceUntil)
		if c.known {
			d.enginesAt.Store(int64(begun))
			d.loaded.Store(true)
		}
		sleep(ctx, engineInterval-time.Since(began))
	}
	return nil
}

// applyEngines takes announcements in. A removal is believed at once, but
// within the grace time after an outage only when it ends.
func (d *Directory) applyEngines(records []Record, whole bool, graceUntil time.Time) {
	changed := false
	present := map[string]bool{}
	for _, rec := range records {
		present[rec.Key] = len(rec.Value) > 0
		if len(rec.Value) == 0 {
			changed = d.remove(rec.Key, graceUntil) || changed
			continue
		}
		changed = d.announce(rec) || changed
	}
	if whole {
		for _, id := range d.engineIDs() {
			if !present[id] {
				changed = d.remove(id, graceUntil) || changed
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

func (d *Directory) remove(id string, graceUntil time.Time) bool {
	e, ok := d.engines.Get(id)
	if !ok {
		return false
	}
	if time.Now().Before(graceUntil) {
		d.pending.Set(id, graceUntil)
		return false
	}
	d.engines.Delete(id)
	d.pending.Delete(id)
	klog.InfoS("engine gone", "engine", id, "service", e.Service, "zone", e.Zone, "group", e.Member.Group.Name, "rank", e.Member.Rank)
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
		changed = d.remove(id, time.Time{}) || changed
		d.pending.Delete(id)
	}
	return changed
}

// announce takes an engine's entry in and reports whether more than its
// heartbeat changed. An entry that can't be read names no engine to use.
func (d *Directory) announce(rec Record) bool {
	e, err := d.opts.Decoder.Engine(rec)
	if err != nil {
		klog.ErrorS(err, "engine's entry ignored", "key", rec.Key, "offset", rec.Offset)
		_, known := d.engines.Get(rec.Key)
		d.engines.Delete(rec.Key)
		return known
	}
	if was, ok := d.last.Get(e.ID); ok && (e.Born < was.born || (e.Born == was.born && e.Beat < was.beat)) {
		return false
	}
	d.last.Set(e.ID, identity{e.Born, e.Beat})
	d.pending.Delete(e.ID)
	e.SeenAt = time.Now()
	old, known := d.engines.Get(e.ID)
	d.engines.Set(e.ID, e)
	if !known {
		klog.InfoS("engine announced", "engine", e.ID, "service", e.Service, "zone", e.Zone, "domain", e.Domain, "addr", e.Addr)
		return true
	}
	if e.Draining && !old.Draining {
		klog.InfoS("engine drains", "engine", e.ID, "service", e.Service)
	}
	if e.Member != old.Member {
		klog.InfoS("engine's group changed", "engine", e.ID, "group", e.Member.Group.Name, "epoch", e.Member.Group.Epoch,
			"rank", e.Member.Rank, "state", e.Member.State.String(), "was_group", old.Member.Group.Name, "was_state", old.Member.State.String())
	}
	return true
}

func (d *Directory) followNotes(ctx context.Context) error {
	c := cursor{topic: d.opts.Topics.Notes}
	r := reach{topic: c.topic}
	for ctx.Err() == nil {
		records, _, err := d.step(&c, noteWait)
		if err != nil {
			sleep(ctx, r.failed(err))
			continue
		}
		r.succeeded()
		for _, rec := range records {
			d.applyNote(rec)
		}
	}
	return nil
}

func (d *Directory) applyNote(rec Record) {
	n, err := d.opts.Decoder.Note(rec)
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
