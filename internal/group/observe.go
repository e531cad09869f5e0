package group

import (
	"slices"
	"time"
)

// Observation holds what one daemon has observed of a VM by polling it.
type Observation struct {
	// WatchedSince is when this daemon began to poll the VM.
	WatchedSince time.Time
	// Report is the last report, and ReportedAt its arrival time, which is zero
	// before the first report.
	Report     Report
	ReportedAt time.Time
	// StateSince is when the VM began to report its current state, group and
	// fencing token.
	StateSince time.Time
	// FailingSince is the time of the first failed poll after the last report;
	// zero if the last poll succeeded.
	FailingSince time.Time
	// ConnRefused means that the VM refused the connection of the last poll.
	ConnRefused bool
	// Flaps holds the ends of recent outages, oldest first.
	Flaps []time.Time
	// SlowSince is since when the VM has been slower than its group; zero if it
	// is not.
	SlowSince time.Time
	// LastOrder is the last order sent to the VM, LastOrderAt the time of sending,
	// and LastOrderAcked whether the engine accepted it.
	LastOrder      Order
	LastOrderAt    time.Time
	LastOrderAcked bool
	// EndedSince is when this daemon first saw the VM's reservation ended, and
	// EndedBootID the VM's boot id as a member of the ended group, if known.
	EndedSince  time.Time
	EndedBootID string
}

// WithReport returns the observation updated by a report that arrived at now. A
// reboot, or an outage longer than ReportTTL, counts as a flap.
func (o Observation) WithReport(r Report, now time.Time, p Policy) Observation {
	rebooted := !o.ReportedAt.IsZero() && o.Report.BootID != r.BootID
	outage := !o.FailingSince.IsZero() && now.Sub(o.FailingSince) > p.ReportTTL
	o.Flaps = timesWithin(o.Flaps, now, p.FlapWindow)
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

// WithFailure returns the observation updated by a poll that failed at now;
// refused means that the VM refused the connection.
func (o Observation) WithFailure(refused bool, now time.Time) Observation {
	if o.FailingSince.IsZero() {
		o.FailingSince = now
	}
	o.ConnRefused = refused
	return o
}

// timesWithin returns the times that are at most window before now.
func timesWithin(times []time.Time, now time.Time, window time.Duration) []time.Time {
	i := slices.IndexFunc(times, func(t time.Time) bool { return now.Sub(t) <= window })
	if i < 0 {
		return nil
	}
	return slices.Clone(times[i:])
}

// usableFrom returns when a flapping VM may join a group again; zero if there is
// no backoff. The backoff starts with the second outage within FlapWindow and
// doubles with each further one.
func (o Observation) usableFrom(now time.Time, p Policy) time.Time {
	flaps := timesWithin(o.Flaps, now, p.FlapWindow)
	if len(flaps) < 2 {
		return time.Time{}
	}
	backoff := p.FlapBackoff
	for range len(flaps) - 2 {
		backoff = min(2*backoff, p.FlapBackoffMax)
	}
	return flaps[len(flaps)-1].Add(backoff)
}

// fresh reports whether the last report is recent enough to be used.
func (o Observation) fresh(now time.Time, p Policy) bool {
	return !o.ReportedAt.IsZero() && now.Sub(o.ReportedAt) <= p.ReportTTL
}

// unresponsive reports whether polls fail and the VM either refuses connections or
// has no recent report. A stale report alone is not enough: a daemon that was
// itself paused has stale reports, but no failed polls.
func (o Observation) unresponsive(now time.Time, p Policy) bool {
	if o.FailingSince.IsZero() {
		return false
	}
	return o.ConnRefused || !o.fresh(now, p)
}

// slow reports whether the VM has been slow for at least SlowAfter.
func (o Observation) slow(now time.Time, p Policy) bool {
	return !o.SlowSince.IsZero() && now.Sub(o.SlowSince) >= p.SlowAfter
}

func (o Observation) cached(weights string) bool {
	return slices.Contains(o.Report.Cached, weights)
}
