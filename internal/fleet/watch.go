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

// longLost is how long a VM must be away to be asked at the usual interval
// again, though its group is broken.
const longLost = 10 * time.Second

// watcher asks one VM for its report, again and again.
type watcher struct {
	vm string
	// fast selects the short interval.
	fast atomic.Bool
	// wake asks for a report at once.
	wake   chan struct{}
	cancel context.CancelFunc
}

// watch starts a watcher. The first reports are spread over one interval.
func (w *worker) watch(ctx context.Context, vm string) *watcher {
	ctx, cancel := context.WithCancel(ctx)
	wt := &watcher{vm: vm, wake: make(chan struct{}, 1), cancel: cancel}
	w.obs.Set(vm, group.Observation{WatchedSince: time.Now()})
	w.running.Go(func() { w.ask(ctx, wt) })
	return wt
}

func (w *worker) ask(ctx context.Context, wt *watcher) {
	timer := time.NewTimer(rand.N(w.m.opts.FastReportInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-wt.wake:
		}
		if w.askOnce(ctx, wt.vm) {
			// The connection may be at fault rather than the VM: a new one tells.
			w.askOnce(ctx, wt.vm)
		}
		timer.Reset(w.interval(wt))
	}
}

// interval spreads the reports by up to a tenth.
func (w *worker) interval(wt *watcher) time.Duration {
	d := time.Duration(w.every.Load())
	if wt.fast.Load() {
		d = w.m.opts.FastReportInterval
	}
	return d - rand.N(d/10+1)
}

// askOnce makes one attempt and notes what it shows. It reports whether the
// attempt failed in a new way.
func (w *worker) askOnce(ctx context.Context, vm string) bool {
	entry, known := w.m.vms.Get(vm)
	if !known || !w.m.enter(ctx) {
		return false
	}
	r, err := w.m.opts.Engines.Report(ctx, entry.Addr)
	w.m.leave()
	if ctx.Err() != nil {
		return false
	}
	if err == nil && r.VM != "" && r.VM != vm {
		err = fault.New(fault.BadInput, "check the VM list", "VM %s answers at the address of %s", r.VM, vm)
	}
	changed := w.note(vm, r, err, time.Now())
	if changed {
		raise(w.dirty)
	}
	return changed && err != nil
}

// enter takes one of the slots for calls to VMs; leave gives it back.
func (m *Manager) enter(ctx context.Context) bool {
	select {
	case m.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *Manager) leave() { <-m.slots }

// note updates the VM's observation and reports whether a plan may change.
func (w *worker) note(vm string, r target.Report, err error, now time.Time) bool {
	changed := false
	w.obs.Update(vm, func(o group.Observation, ok bool) (group.Observation, bool) {
		if !ok {
			return o, false
		}
		next := o
		if err == nil {
			next = o.WithReport(fromReport(r), now, w.policy())
		} else {
			next = o.WithFailure(refused(err), now)
		}
		changed = differs(o, next)
		return next, true
	})
	return changed
}

// refused reports whether the target's port is closed.
func refused(err error) bool {
	e := fault.As(err)
	return e.Kind == fault.Unavailable && e.Outcome == fault.NotRun
}

// differs reports whether b may lead to another plan than a. Load figures and
// arrival times alone do not.
func differs(a, b group.Observation) bool {
	if a.ReportedAt.IsZero() != b.ReportedAt.IsZero() || a.FailingSince.IsZero() != b.FailingSince.IsZero() || a.ConnRefused != b.ConnRefused {
		return true
	}
	x, y := a.Report, b.Report
	idle := (x.Inflight+x.Queued == 0) == (y.Inflight+y.Queued == 0)
	return !idle || x.BootID != y.BootID || x.State != y.State || x.Group != y.Group || x.Fence != y.Fence ||
		x.Rank != y.Rank || x.Model != y.Model || x.Version != y.Version || x.Draining != y.Draining ||
		!slices.Equal(x.Cached, y.Cached)
}
