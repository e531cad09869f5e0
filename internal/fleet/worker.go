package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// maxStepInterval is the longest time between two assessments of a pool. It
// keeps the published load figures and expiry times current.
const maxStepInterval = time.Second

// worker manages one pool while this daemon is its home. Watchers and order
// calls update observations, each under the lock of its shard. The atomic
// fields and the channel are shared too; all other fields are used by the
// goroutine of run alone.
type worker struct {
	m            *Manager
	pool         string
	observations *shard.Map[group.Observation]
	// reportInterval is the normal interval between two reports of a VM, in
	// nanoseconds.
	reportInterval atomic.Int64
	// replan holds a token when a new plan is due.
	replan  chan struct{}
	running sync.WaitGroup

	watchers map[string]*watcher
	history  *group.History
	proposer proposer
	stats    PoolStats
	statsAt  time.Time
	// strandedVMs is the number of stranded VMs since statsAt.
	strandedVMs int
}

func newWorker(m *Manager, pool string) *worker {
	w := &worker{
		m: m, pool: pool,
		observations: shard.NewMap[group.Observation](),
		replan:       make(chan struct{}, 1),
		watchers:     make(map[string]*watcher),
		history:      group.NewHistory(),
		stats:        PoolStats{Pool: pool},
	}
	w.reportInterval.Store(int64(m.opts.ReportInterval))
	return w
}

// run plans at every change and at every deadline until ctx ends.
func (w *worker) run(ctx context.Context) {
	defer w.running.Wait()
	defer w.unpublish()
	timer := time.NewTimer(maxStepInterval)
	defer timer.Stop()
	for {
		viewChanged, inputs := w.m.opts.View.Changed(), w.m.inputsChanged.wait()
		if ctx.Err() != nil {
			return
		}
		timer.Reset(w.step(ctx, time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-viewChanged:
		case <-inputs:
		case <-w.replan:
		case <-timer.C:
		}
	}
}

// unpublish removes the results of this worker, whose daemon is no longer the
// pool's home. If it has become the home again, the results of the new worker
// stay.
func (w *worker) unpublish() {
	w.m.published.Update(w.pool, func(p publishedPool, ok bool) (publishedPool, bool) { return p, ok && p.worker != w })
	w.m.changed.signal()
}

// step makes one assessment and plan, carries the plan out, and returns the
// time until the next step.
func (w *worker) step(ctx context.Context, now time.Time) time.Duration {
	s := w.snapshot(now)
	w.history.Track(&s, w.policy())
	w.syncWatchers(ctx, s)
	assessments := group.Assess(s, w.policy())
	w.history.TrackDraining(&s, assessments)
	w.updateStats(s, assessments)
	w.publish(assessments)
	w.updateReportRates(s, assessments)
	next := now.Add(maxStepInterval)
	for _, a := range assessments {
		next = earliestAfter(next, a.ValidUntil, now)
	}
	for _, a := range group.Plan(s, w.policy()) {
		if wait, ok := a.(group.Wait); ok {
			next = earliestAfter(next, wait.Until, now)
		}
		w.perform(ctx, a, now)
	}
	w.submitPending(ctx, now)
	return earliestAfter(next, w.proposer.notBefore, now).Sub(now)
}

// earliestAfter returns the earlier of next and t, ignoring a t that is not
// after now.
func earliestAfter(next, t, now time.Time) time.Time {
	if t.After(now) && t.Before(next) {
		return t
	}
	return next
}

// policy returns the policy with a ReportTTL that covers two report intervals
// and the timeout of a report, since a large pool lengthens the interval.
func (w *worker) policy() group.Policy {
	p := w.m.opts.Policy
	p.ReportTTL = max(p.ReportTTL, 2*time.Duration(w.reportInterval.Load())+target.ReportTimeout)
	return p
}

// snapshot collects the input of a plan. It reads the stream position first,
// so that everything read after it is at least as new.
func (w *worker) snapshot(now time.Time) group.Snapshot {
	v := w.m.opts.View
	s := group.Snapshot{
		Now: now, AppliedFence: v.Position().Fence(), VMsListed: w.m.vmsListed.Load(),
		Reservations: v.Reservations(w.pool), Groups: v.Groups(w.pool),
		VMs: make(map[string]group.VM), Observations: make(map[string]group.Observation),
	}
	if s.Reservations == nil {
		s.Reservations = make(map[string]state.Reservation)
	}
	row, ok := v.Pool(w.pool)
	s.Pool, s.PoolExists = row.Pool, ok
	s.Pool.Name = w.pool
	if store := w.m.weightStoreLoad.Load(); store != nil {
		s.WeightStore = *store
	}
	for vm := range w.relevantVMs(s) {
		w.addVM(&s, vm)
	}
	return s
}

// relevantVMs returns the VMs of the pool's configuration, its groups and its
// reservations.
func (w *worker) relevantVMs(s group.Snapshot) map[string]struct{} {
	out := make(map[string]struct{}, len(s.Pool.VMs))
	for _, vm := range s.Pool.VMs {
		out[vm] = struct{}{}
	}
	for _, g := range s.Groups {
		for _, m := range g.Members {
			out[m.VM] = struct{}{}
		}
	}
	for vm := range s.Reservations {
		out[vm] = struct{}{}
	}
	return out
}

// addVM adds the list entry, reservation and observation of a VM to the
// snapshot.
func (w *worker) addVM(s *group.Snapshot, vm string) {
	if entry, ok := w.m.vms.Get(vm); ok {
		s.VMs[vm] = entry
	}
	if r, held := w.m.opts.View.Reservation(vm); held {
		s.Reservations[vm] = r
	} else {
		delete(s.Reservations, vm)
	}
	o, ok := w.observations.Get(vm)
	if !ok {
		o.WatchedSince = s.Now
	}
	s.Observations[vm] = o
}

// syncWatchers starts and stops watchers to match the VMs of the snapshot and
// sets their report interval.
func (w *worker) syncWatchers(ctx context.Context, s group.Snapshot) {
	n := time.Duration(len(s.Observations))
	w.reportInterval.Store(int64(max(w.m.opts.ReportInterval, n*time.Second/maxReportsPerSecond)))
	for vm := range s.Observations {
		if _, on := w.watchers[vm]; !on {
			w.watchers[vm] = w.startWatcher(ctx, vm)
		}
	}
	for vm, wt := range w.watchers {
		if _, wanted := s.Observations[vm]; !wanted {
			wt.cancel()
			delete(w.watchers, vm)
			w.observations.Delete(vm)
		}
	}
}
