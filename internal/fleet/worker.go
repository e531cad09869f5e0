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

// publishEvery is the longest time between two judgements of a pool; it keeps
// the published load figures and times of validity current.
const publishEvery = time.Second

// worker cares for one pool while this daemon is its home. Watchers and orders
// write observations, each under its shard's lock; the rest belongs to run.
type worker struct {
	m    *Manager
	pool string
	obs  *shard.Map[group.Observation]
	// every is the interval between reports in nanoseconds.
	every atomic.Int64
	// dirty holds a token when a new plan is due.
	dirty   chan struct{}
	running sync.WaitGroup

	watchers map[string]*watcher
	history  *group.History
	proposer proposer
	stats    PoolStats
	statsAt  time.Time
	// stranded is the number of stranded VMs since statsAt.
	stranded int
}

func newWorker(m *Manager, pool string) *worker {
	w := &worker{
		m: m, pool: pool,
		obs:      shard.NewMap[group.Observation](),
		dirty:    make(chan struct{}, 1),
		watchers: make(map[string]*watcher),
		history:  group.NewHistory(),
		stats:    PoolStats{Pool: pool},
	}
	w.every.Store(int64(m.opts.ReportInterval))
	return w
}

// run plans on every change and at every deadline until ctx ends.
func (w *worker) run(ctx context.Context) {
	defer w.running.Wait()
	defer w.withdraw()
	timer := time.NewTimer(publishEvery)
	defer timer.Stop()
	for {
		viewChanged, inputs := w.m.opts.View.Changed(), w.m.inputs.wait()
		if ctx.Err() != nil {
			return
		}
		timer.Reset(w.step(ctx, time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-viewChanged:
		case <-inputs:
		case <-w.dirty:
		case <-timer.C:
		}
	}
}

// withdraw ends what was published: another daemon is home now. If the home
// came back meanwhile, what its new worker published stays.
func (w *worker) withdraw() {
	w.m.pools.Update(w.pool, func(p published, ok bool) (published, bool) { return p, ok && p.by != w })
	w.m.changed.signal()
}

// step judges and plans once and returns the time to the next step.
func (w *worker) step(ctx context.Context, now time.Time) time.Duration {
	s := w.snapshot(now)
	w.history.Track(&s, w.policy())
	w.syncWatchers(ctx, s)
	judged := group.Assess(s, w.policy())
	w.history.TrackDraining(&s, judged)
	w.count(s, judged)
	w.publish(judged)
	w.pace(s, judged)
	next := now.Add(publishEvery)
	for _, j := range judged {
		next = earlier(next, j.ValidUntil, now)
	}
	for _, a := range group.Plan(s, w.policy()) {
		if wait, ok := a.(group.Wait); ok {
			next = earlier(next, wait.Until, now)
		}
		w.carryOut(ctx, a, now)
	}
	w.propose(ctx, now)
	return earlier(next, w.proposer.notBefore, now).Sub(now)
}

// earlier returns the earlier of next and t, unless t is past or unset.
func earlier(next, t, now time.Time) time.Time {
	if t.After(now) && t.Before(next) {
		return t
	}
	return next
}

// policy stretches the life of reports with the interval at which they come.
func (w *worker) policy() group.Policy {
	p := w.m.opts.Policy
	p.ReportTTL = max(p.ReportTTL, 2*time.Duration(w.every.Load())+target.ReportTimeout)
	return p
}

// snapshot reads the position first: what is read after it is at least as new.
func (w *worker) snapshot(now time.Time) group.Snapshot {
	v := w.m.opts.View
	s := group.Snapshot{
		Now: now, AppliedFence: v.Position().Fence(), VMsListed: w.m.listed.Load(),
		Reservations: v.Reservations(w.pool), Groups: v.Groups(w.pool),
		VMs: make(map[string]group.VM), Observations: make(map[string]group.Observation),
	}
	if s.Reservations == nil {
		s.Reservations = make(map[string]state.Reservation)
	}
	row, ok := v.Pool(w.pool)
	s.Pool, s.PoolExists = row.Pool, ok
	s.Pool.Name = w.pool
	if store := w.m.store.Load(); store != nil {
		s.WeightStore = *store
	}
	for vm := range w.concerned(s) {
		w.describe(&s, vm)
	}
	return s
}

// concerned are the VMs of the pool's row, of its groups and its reservations.
func (w *worker) concerned(s group.Snapshot) map[string]struct{} {
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

func (w *worker) describe(s *group.Snapshot, vm string) {
	if entry, ok := w.m.vms.Get(vm); ok {
		s.VMs[vm] = entry
	}
	if r, held := w.m.opts.View.Reservation(vm); held {
		s.Reservations[vm] = r
	} else {
		delete(s.Reservations, vm)
	}
	o, ok := w.obs.Get(vm)
	if !ok {
		o.WatchedSince = s.Now
	}
	s.Observations[vm] = o
}

// syncWatchers starts and stops watchers and sets their interval.
func (w *worker) syncWatchers(ctx context.Context, s group.Snapshot) {
	n := time.Duration(len(s.Observations))
	w.every.Store(int64(max(w.m.opts.ReportInterval, n*time.Second/reportsPerSecond)))
	for vm := range s.Observations {
		if _, on := w.watchers[vm]; !on {
			w.watchers[vm] = w.watch(ctx, vm)
		}
	}
	for vm, wt := range w.watchers {
		if _, wanted := s.Observations[vm]; !wanted {
			wt.cancel()
			delete(w.watchers, vm)
			w.obs.Delete(vm)
		}
	}
}
