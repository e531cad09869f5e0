package group

import (
	"slices"
	"time"
)

// Observation is what one daemon knows about a VM by asking it.
type Observation struct {
	// Watched is since when this daemon asks the VM.
	Watched time.Time
	// Report is the last one, At its arrival; At is zero before the first.
	Report Report
	At     time.Time
	// Since is when the VM began to report its state, group and fence.
	Since time.Time
	// FailingSince is the first failed attempt after the last report; zero
	// while the last attempt succeeded.
	FailingSince time.Time
	// Refused means that the last attempt met a closed port.
	Refused bool
	// Flaps are the ends of recent outages, oldest first.
	Flaps []time.Time
	// SlowSince is since when the VM has been slower than its group; zero if not.
	SlowSince time.Time
	// Sent is the last order sent to the VM, SentAt when, and Acked whether the
	// engine took it.
	Sent   Order
	SentAt time.Time
	Acked  bool
	// EndedSince is when this daemon first saw the VM's reservation ended, and
	// EndedBoot the boot id with which the VM served the group, if known.
	EndedSince time.Time
	EndedBoot  string
}

// Heard returns the observation after a report that arrived at now.
func (o Observation) Heard(r Report, now time.Time, p Policy) Observation {
	rebooted := !o.At.IsZero() && o.Report.BootID != r.BootID
	outage := !o.FailingSince.IsZero() && now.Sub(o.FailingSince) > p.FreshFor
	o.Flaps = recent(o.Flaps, now, p.FlapWindow)
	if !o.At.IsZero() && (rebooted || outage) {
		o.Flaps = append(o.Flaps, now)
	}
	if rebooted {
		o.SlowSince = time.Time{}
		o.Sent, o.SentAt, o.Acked = Order{}, time.Time{}, false
	}
	if old := o.Report; rebooted || o.At.IsZero() || old.State != r.State || old.Group != r.Group || old.Fence != r.Fence {
		o.Since = now
	}
	o.Report, o.At = r, now
	o.FailingSince, o.Refused = time.Time{}, false
	return o
}

// Missed returns the observation after a failed attempt at now.
func (o Observation) Missed(refused bool, now time.Time) Observation {
	if o.FailingSince.IsZero() {
		o.FailingSince = now
	}
	o.Refused = refused
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
	return !o.At.IsZero() && now.Sub(o.At) <= p.FreshFor
}

// lost reports whether attempts fail and the last report no longer counts. A
// daemon that was itself paused has stale reports but no failed attempts, and
// concludes nothing.
func (o Observation) lost(now time.Time, p Policy) bool {
	if o.FailingSince.IsZero() {
		return false
	}
	return o.Refused || !o.fresh(now, p)
}

func (o Observation) slow(now time.Time, p Policy) bool {
	return !o.SlowSince.IsZero() && now.Sub(o.SlowSince) >= p.SlowAfter
}

func (o Observation) cached(weights string) bool {
	return slices.Contains(o.Report.Cached, weights)
}
