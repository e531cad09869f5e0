package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// PoolStats are a pool's figures since this daemon became its home.
type PoolStats struct {
	Pool string
	// Serving, Loading, Broken and Draining count replicas now.
	Serving, Loading, Broken, Draining int
	// Spares are VMs that are up and belong to no group now.
	Spares int
	// Downtime sums, over groups in force, the time in which they did not
	// serve though nobody had withdrawn them.
	Downtime time.Duration
	// StrandedTime sums, over VMs that are up, the time in which they were held
	// by a group that is incomplete or has ended.
	StrandedTime time.Duration
	// Orders counts orders sent.
	Orders uint64
}

// Stats returns the figures of the pools whose home this daemon is.
func (m *Manager) Stats() []PoolStats {
	var out []PoolStats
	m.pools.Range(func(_ string, p published) bool {
		out = append(out, p.stats)
		return true
	})
	slices.SortFunc(out, func(a, b PoolStats) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}

// count adds the time since the last step at the figures that held during it,
// then takes the new ones.
func (w *worker) count(s group.Snapshot, judged []group.Assessment) {
	if !w.statsAt.IsZero() {
		passed := s.Now.Sub(w.statsAt)
		w.stats.Downtime += passed * time.Duration(w.stats.Broken+w.stats.Loading)
		w.stats.StrandedTime += passed * time.Duration(w.stranded)
	}
	w.statsAt = s.Now
	w.stats.Serving, w.stats.Loading, w.stats.Broken, w.stats.Draining = 0, 0, 0, 0
	down := make(map[uint64]bool)
	for _, j := range judged {
		switch j.Status {
		case replica.Serving:
			w.stats.Serving++
		case replica.Draining:
			w.stats.Draining++
		case replica.Loading:
			w.stats.Loading++
			down[j.Group] = true
		default:
			w.stats.Broken++
			down[j.Group] = true
		}
	}
	w.stats.Spares, w.stranded = 0, 0
	for vm, o := range s.Observations {
		if o.ReportedAt.IsZero() || !o.FailingSince.IsZero() {
			continue
		}
		r, held := s.Reservations[vm]
		if !held {
			w.stats.Spares++
		} else if r.Ended || down[r.Group] {
			w.stranded++
		}
	}
}

// publish makes the judgement visible and tells those who wait for a change. A
// later report of the same state is a change too: homes release cold replicas
// and those found dead on the evidence of reports, not of time.
func (w *worker) publish(judged []group.Assessment) {
	old, had := w.m.pools.Get(w.pool)
	w.m.pools.Set(w.pool, published{by: w, replicas: judged, stats: w.stats})
	if !had || !slices.Equal(old.replicas, judged) {
		w.m.changed.signal()
	}
}

// pace asks VMs of groups that do not serve more often, until they have been
// away for long.
func (w *worker) pace(s group.Snapshot, judged []group.Assessment) {
	amiss := make(map[uint64]bool)
	for _, j := range judged {
		amiss[j.Group] = j.Status == replica.Loading || j.Status == replica.Broken
	}
	for vm, wt := range w.watchers {
		o, r := s.Observations[vm], s.Reservations[vm]
		away := !o.FailingSince.IsZero()
		fast := away || r.Ended || amiss[r.Group] && r != (state.Reservation{})
		if away && s.Now.Sub(o.FailingSince) > longLost {
			fast = false
		}
		if fast && !wt.fast.Swap(true) {
			raise(wt.wake)
		}
		wt.fast.Store(fast)
	}
}
