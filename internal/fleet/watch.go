package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// maxFastPolling is how long a VM must be unresponsive to be polled at the
// normal interval again although its group is broken.
const maxFastPolling = 10 * time.Second

// watcher polls the report of one VM.
type watcher struct {
	vm string
	// fast selects the short report interval.
	fast atomic.Bool
	// wake holds a token when a report is to be requested at once.
	wake   chan struct{}
	cancel context.CancelFunc
}

// startWatcher starts to poll a VM. The first report is requested after a
// random part of the fast interval, which spreads the reports of many VMs.
func (w *worker) startWatcher(ctx context.Context, vm string) *watcher {
	ctx, cancel := context.WithCancel(ctx)
	wt := &watcher{vm: vm, wake: make(chan struct{}, 1), cancel: cancel}
	w.observations.Set(vm, group.Observation{WatchedSince: time.Now()})
	w.running.Go(func() { w.pollLoop(ctx, wt) })
	return wt
}

// pollLoop requests reports of a VM until ctx ends.
func (w *worker) pollLoop(ctx context.Context, wt *watcher) {
	timer := time.NewTimer(rand.N(w.m.opts.FastReportInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-wt.wake:
		}
		if w.pollOnce(ctx, wt.vm) {
			// The failure may be that of the connection, not of the VM. The second
			// attempt uses a new connection.
			w.pollOnce(ctx, wt.vm)
		}
		timer.Reset(w.nextInterval(wt))
	}
}

// nextInterval returns the time to the next report, shortened at random by up
// to a tenth to spread the reports.
func (w *worker) nextInterval(wt *watcher) time.Duration {
	d := time.Duration(w.reportInterval.Load())
	if wt.fast.Load() {
		d = w.m.opts.FastReportInterval
	}
	return d - rand.N(d/10+1)
}

// pollOnce requests one report and records the result. It reports whether the
// attempt failed and the failure is a change that can affect the plan.
func (w *worker) pollOnce(ctx context.Context, vm string) bool {
	entry, known := w.m.vms.Get(vm)
	if !known || !w.m.acquireCallSlot(ctx) {
		return false
	}
	r, err := w.m.opts.Engines.Report(ctx, entry.Addr)
	w.m.releaseCallSlot()
	if ctx.Err() != nil {
		return false
	}
	if err == nil && r.VM != "" && r.VM != vm {
		err = fault.New(fault.BadInput, "check the VM list", "VM %s responded at the listed address of VM %s", r.VM, vm)
	}
	changed := w.observe(vm, r, err, time.Now())
	if changed {
		notify(w.replan)
	}
	return changed && err != nil
}

// acquireCallSlot waits for a slot for a call to a VM; false if ctx ends
// first.
func (m *Manager) acquireCallSlot(ctx context.Context) bool {
	select {
	case m.callSlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// releaseCallSlot returns a slot of acquireCallSlot.
func (m *Manager) releaseCallSlot() { <-m.callSlots }

// observe records the result of a report request in the VM's observation and
// reports whether it can affect the plan.
func (w *worker) observe(vm string, r target.Report, err error, now time.Time) bool {
	changed := false
	w.observations.Update(vm, func(o group.Observation, ok bool) (group.Observation, bool) {
		if !ok {
			return o, false
		}
		next := o
		if err == nil {
			next = o.WithReport(fromReport(r), now, w.policy())
		} else {
			next = o.WithFailure(isConnRefused(err), now)
		}
		changed = affectsPlan(o, next)
		return next, true
	})
	return changed
}

// isConnRefused reports whether err shows that the target's port is closed.
func isConnRefused(err error) bool {
	e := fault.As(err)
	return e.Kind == fault.Unavailable && e.Outcome == fault.NotRun
}

// affectsPlan reports whether the change of an observation from a to b can
// lead to another plan. Changes of the load figures, except between idle and
// busy, and of times do not.
func affectsPlan(a, b group.Observation) bool {
	if a.ReportedAt.IsZero() != b.ReportedAt.IsZero() || a.FailingSince.IsZero() != b.FailingSince.IsZero() || a.ConnRefused != b.ConnRefused {
		return true
	}
	x, y := a.Report, b.Report
	sameIdleState := (x.Inflight+x.Queued == 0) == (y.Inflight+y.Queued == 0)
	return !sameIdleState || x.BootID != y.BootID || x.State != y.State || x.Group != y.Group || x.Fence != y.Fence ||
		x.Rank != y.Rank || x.Model != y.Model || x.Version != y.Version || x.Draining != y.Draining ||
		!slices.Equal(x.Cached, y.Cached)
}
