package group

import (
	"slices"
	"time"
)

// Observation is what one daemon knows about a VM by asking it.
type Observation struct {
	// WatchedSince is since when this daemon asks the VM.
	WatchedSince time.Time
	// Report is the last one, At its arrival; At is zero before the first.
	Report     Report
	ReportedAt time.Time
	// StateSince is when the VM began to report its state, group and fence.
	StateSince time.Time
	// FailingSince is the first failed attempt after the last report; zero
	// while the last attempt succeeded.
	FailingSince time.Time
	// ConnRefused means that the last attempt met a closed port.
	ConnRefused bool
	// Flaps are the ends of recent outages, oldest first.
	Flaps []time.Time
	// SlowSince is since when the VM has been slower than its group; zero if not.
	SlowSince time.Time
	// LastOrder is the last order sent to the VM, SentAt when, and Acked whether the
	// engine took it.
	LastOrder      Order
	LastOrderAt    time.Time
	LastOrderAcked bool
	// EndedSince is when this daemon first saw the VM's reservation ended, and
	// EndedBoot the boot id with which the VM served the group, if known.
	EndedSince  time.Time
	EndedBootID string
}

// WithReport returns the observation after a report that arrived at now.
func (o Observation) WithReport(r Report, now time.Time, p Policy) Observation {
	rebooted := !o.ReportedAt.IsZero() && o.Report.BootID != r.BootID
	outage := !o.FailingSince.IsZero() && now.Sub(o.FailingSince) > p.ReportTTL
	o.Flaps = recent(o.Flaps, now, p.FlapWindow)
	if !o.ReportedAt.IsZero() && (rebooted || outage) {
		o.Flaps = append(o.Flaps, now)
	}
	if rebooted {
		o.SlowSince = time.Time{}
		o.LastOrder, o.LastOrderAt, o.LastOrderAcked = Order{}, time.Time{}, false
	}
	if old := o.Report; rebooted || o.ReportedAt.IsZero() || old.State != r.State || old.Group != r.Group || old.Fence != r.Fence {
		o.StateSince = now
	}
	o.Report, o.ReportedAt = r, now
	o.FailingSince, o.ConnRefused = time.Time{}, false
	return o
}

// WithFailure returns the observation after a failed attempt at now.
func (o Observation) WithFailure(refused bool, now time.Time) Observation {
	if o.FailingSince.IsZero() {
		o.FailingSince = now
	}
	o.ConnRefused = refused
	return o
}

func recent(times []time.Time, now time.Time, window time.Duration) []time.Time {
	i := slices.IndexFunc(times, func(t time.Time) bool { return now.Sub(t) <= window })
	if i < 0 {
		return nil
	}
	return slices.Clone(times[i:])
}

// usableFrom returns when a flapping VM may be used again: after its second
// outage within the window it must stay up for a time that doubles with each
// further one.
func (o Observation) usableFrom(now time.Time, p Policy) time.Time {
	flaps := recent(o.Flaps, now, p.FlapWindow)
	if len(flaps) < 2 {
		return time.Time{}
	}
	wait := p.FlapBackoff
	for range len(flaps) - 2 {
		wait = min(2*wait, p.FlapBackoffMax)
	}
	return flaps[len(flaps)-1].Add(wait)
}

func (o Observation) fresh(now time.Time, p Policy) bool {
	return !o.ReportedAt.IsZero() && now.Sub(o.ReportedAt) <= p.ReportTTL
}

// lost reports whether attempts fail and the last report no longer counts. A
// daemon that was itself paused has stale reports but no failed attempts, and
// concludes nothing.
func (o Observation) lost(now time.Time, p Policy) bool {
	if o.FailingSince.IsZero() {
		return false
	}
	return o.ConnRefused || !o.fresh(now, p)
}

func (o Observation) slow(now time.Time, p Policy) bool {
	return !o.SlowSince.IsZero() && now.Sub(o.SlowSince) >= p.SlowAfter
}

func (o Observation) cached(weights string) bool {
	return slices.Contains(o.Report.Cached, weights)
}
