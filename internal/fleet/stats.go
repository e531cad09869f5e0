package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// PoolStats are the statistics of a pool since this daemon became its home.
type PoolStats struct {
	Pool string
	// Serving, Loading, Broken and Draining are the current numbers of replicas.
	Serving, Loading, Broken, Draining int
	// Spares is the current number of VMs that are up and belong to no group.
	Spares int
	// Downtime is the sum, over the groups that are not being drained, of the time
	// in which they did not serve.
	Downtime time.Duration
	// StrandedTime is the sum, over VMs that are up, of the time in which they were
	// reserved by a group that does not serve or has ended.
	StrandedTime time.Duration
	// Orders is the number of orders sent.
	Orders uint64
}

// Stats returns the statistics of the pools whose home this daemon is, sorted
// by pool.
func (m *Manager) Stats() []PoolStats {
	var out []PoolStats
	m.published.Range(func(_ string, p publishedPool) bool {
		out = append(out, p.stats)
		return true
	})
	slices.SortFunc(out, func(a, b PoolStats) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}

// updateStats adds the time since the last step to the totals, weighted with
// the counts of the last step, then updates the counts.
func (w *worker) updateStats(s group.Snapshot, assessments []group.Assessment) {
	if !w.statsAt.IsZero() {
		elapsed := s.Now.Sub(w.statsAt)
		w.stats.Downtime += elapsed * time.Duration(w.stats.Broken+w.stats.Loading)
		w.stats.StrandedTime += elapsed * time.Duration(w.strandedVMs)
	}
	w.statsAt = s.Now
	w.stats.Serving, w.stats.Loading, w.stats.Broken, w.stats.Draining = 0, 0, 0, 0
	downGroups := make(map[uint64]bool)
	for _, a := range assessments {
		switch a.Status {
		case replica.Serving:
			w.stats.Serving++
		case replica.Draining:
			w.stats.Draining++
		case replica.Loading:
			w.stats.Loading++
			downGroups[a.Group] = true
		default:
			w.stats.Broken++
			downGroups[a.Group] = true
		}
	}
	w.stats.Spares, w.strandedVMs = 0, 0
	for vm, o := range s.Observations {
		if o.ReportedAt.IsZero() || !o.FailingSince.IsZero() {
			continue
		}
		r, held := s.Reservations[vm]
		if !held {
			w.stats.Spares++
		} else if r.Ended || downGroups[r.Group] {
			w.strandedVMs++
		}
	}
}

// publish stores the assessments and statistics for readers and signals a
// change of the assessments. A newer report of the same state counts as a
// change too, since package limit ends the wait after a replica's crash, and bounds
// the unknown work on a cold replica, only by a later report and not by elapsed
// time.
func (w *worker) publish(assessments []group.Assessment) {
	old, published := w.m.published.Get(w.pool)
	w.m.published.Set(w.pool, publishedPool{worker: w, assessments: assessments, stats: w.stats})
	if !published || !slices.Equal(old.assessments, assessments) {
		w.m.changed.signal()
	}
}

// updateReportRates selects the short report interval for VMs that do not
// respond or whose group does not serve or has ended, until they have been
// unresponsive for maxFastPolling.
func (w *worker) updateReportRates(s group.Snapshot, assessments []group.Assessment) {
	notServing := make(map[uint64]bool)
	for _, a := range assessments {
		notServing[a.Group] = a.Status == replica.Loading || a.Status == replica.Broken
	}
	for vm, wt := range w.watchers {
		o, r := s.Observations[vm], s.Reservations[vm]
		failing := !o.FailingSince.IsZero()
		fast := failing || r.Ended || notServing[r.Group] && r != (state.Reservation{})
		if failing && s.Now.Sub(o.FailingSince) > maxFastPolling {
			fast = false
		}
		if fast && !wt.fast.Swap(true) {
			notify(wt.wake)
		}
		wt.fast.Store(fast)
	}
}
