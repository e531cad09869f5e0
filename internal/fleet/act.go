package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// Limits on proposals.
const (
	// submitTimeout bounds one submission. A record that is appended after the
	// timeout still gets its verdict by its position in the stream.
	submitTimeout = 5 * time.Second
	// maxConcurrentSubmits bounds the concurrent submissions of one plan.
	maxConcurrentSubmits = 8
	// minProposeBackoff is the first wait after a proposal that failed or was
	// rejected. The wait doubles with each further failure, up to
	// maxProposeBackoff, and halves with each submission without a preceding
	// failure.
	minProposeBackoff = 250 * time.Millisecond
	maxProposeBackoff = 5 * time.Second
)

// proposer submits the proposed records, those of one plan at a time.
type proposer struct {
	pending []*state.Record
	// submitting is true while records are being submitted. failed is true if
	// a record of the last submission failed or was rejected.
	submitting atomic.Bool
	failed     atomic.Bool
	backoff    time.Duration
	notBefore  time.Time
}

// perform carries out an action of a plan: it sends an order, queues a record
// for submission, or logs why the plan waits.
func (w *worker) perform(ctx context.Context, a group.Action, now time.Time) {
	switch a := a.(type) {
	case group.SendOrder:
		w.sendOrder(ctx, a, now)
	case group.ProposeForm:
		w.queueRecord(&state.Record{Form: &a.Form})
	case group.ProposeRetire:
		w.queueRecord(&state.Record{Retire: &a.Retire})
	case group.ProposeRelease:
		w.queueRecord(&state.Record{Release: &a.Release})
	case group.Wait:
		if a.WeightStoreBusy {
			notify(w.m.fetchesWaiting)
		}
		klog.V(2).InfoS("no action planned for the subject yet", "pool", w.pool, "subject", a.Subject, "reason", a.Reason, "until", a.Until)
	}
}

func (w *worker) queueRecord(rec *state.Record) { w.proposer.pending = append(w.proposer.pending, rec) }

// submitPending submits the records of the current plan. Records of a plan
// that is made while those of an earlier one are being submitted, or during
// the backoff, are dropped: a later plan is made from the verdicts.
func (w *worker) submitPending(ctx context.Context, now time.Time) {
	p := &w.proposer
	records := p.pending
	p.pending = nil
	if len(records) == 0 || p.submitting.Load() || now.Before(p.notBefore) {
		return
	}
	if p.failed.Swap(false) {
		p.backoff = min(maxProposeBackoff, max(minProposeBackoff, 2*p.backoff))
		p.notBefore = now.Add(p.backoff)
		return
	}
	p.backoff = p.backoff / 2
	p.submitting.Store(true)
	w.running.Go(func() {
		w.submitRecords(ctx, records)
		p.submitting.Store(false)
		notify(w.replan)
	})
}

// submitRecords submits records concurrently and waits for all verdicts.
func (w *worker) submitRecords(ctx context.Context, records []*state.Record) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxConcurrentSubmits)
	for _, rec := range records {
		rec.ID, rec.Author, rec.At = ids.New(), w.m.opts.Members.Self(), time.Now()
		g.Go(func() error {
			v, err := w.m.opts.Submitter.Submit(ctx, rec)
			if err != nil || !v.Accepted {
				w.proposer.failed.Store(true)
			}
			logProposal(w.pool, rec, v, err)
			return nil
		})
	}
	_ = g.Wait()
}

func logProposal(pool string, rec *state.Record, v state.Verdict, err error) {
	args := []any{"pool", pool, "record", rec.ID}
	switch {
	case rec.Form != nil:
		args = append(args, "form", rec.Form.Members, "replaces", rec.Form.Replaces, "why", rec.Form.Reason)
	case rec.Retire != nil:
		args = append(args, "retire", rec.Retire.Group, "why", rec.Retire.Reason)
	case rec.Release != nil:
		args = append(args, "release", rec.Release.VM, "fence", rec.Release.Fence, "evidence", rec.Release.Evidence)
	}
	if err != nil {
		klog.ErrorS(err, "proposal of a control record failed without a verdict", args...)
		return
	}
	klog.InfoS("proposal of a control record decided", append(args, "accepted", v.Accepted, "reason", v.Reason, "position", v.Pos.String())...)
}

// sendOrder records an order as sent and sends it in the background.
func (w *worker) sendOrder(ctx context.Context, a group.SendOrder, now time.Time) {
	w.recordOrder(a, now, false)
	w.stats.Orders++
	wake := w.watchers[a.VM].wake
	w.running.Go(func() {
		if !w.m.acquireCallSlot(ctx) {
			return
		}
		defer w.m.releaseCallSlot()
		if !w.orderStillValid(a, now) {
			return
		}
		err := w.m.opts.Engines.SendOrder(ctx, a.Addr, toOrder(a.Order))
		klog.V(1).InfoS("sent an order to an engine", "pool", w.pool, "vm", a.VM, "load", a.Order.Load, "fence", a.Order.Fence, "err", err)
		if err == nil {
			w.recordOrder(a, now, true)
		} else if !fault.Is(err, fault.Conflict) {
			klog.ErrorS(err, "order to an engine failed", "pool", w.pool, "vm", a.VM, "fence", a.Order.Fence)
		}
		notify(wake)
	})
}

// orderStillValid reports whether an order is still to be sent. It is checked
// just before the order is sent, so that a daemon that was paused does not
// send an outdated order.
func (w *worker) orderStillValid(a group.SendOrder, decidedAt time.Time) bool {
	if time.Since(decidedAt) > group.MaxOrderAge-target.OrderTimeout {
		return false
	}
	r, held := w.m.opts.View.Reservation(a.VM)
	active := held && !r.Ended
	if a.Prefetch {
		return !held
	}
	if a.Order.Load {
		return active && r.Group == a.Order.Fence
	}
	return !active
}

// recordOrder records an order in the observation of its VM, as sent or as
// acknowledged. An acknowledgement of an order that was followed by another
// one is ignored.
func (w *worker) recordOrder(a group.SendOrder, at time.Time, acked bool) {
	w.observations.Update(a.VM, func(o group.Observation, ok bool) (group.Observation, bool) {
		if !ok {
			return o, false
		}
		if acked && o.LastOrderAt != at {
			return o, true
		}
		o.LastOrder, o.LastOrderAt, o.LastOrderAcked = a.Order, at, acked
		if acked {
			o.LastOrderAt = time.Now()
		}
		return o, true
	})
}
