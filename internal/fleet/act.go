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
	// submitTimeout bounds one submission; a record that is appended later is
	// still judged by its place in the stream.
	submitTimeout = 5 * time.Second
	// submitsAtOnce bounds the submissions of one plan under way.
	submitsAtOnce = 8
	// proposeBackoff is the wait after a failed or refused proposal; it doubles
	// up to maxProposeBackoff.
	proposeBackoff    = 250 * time.Millisecond
	maxProposeBackoff = 5 * time.Second
)

// proposer submits the records of one plan at a time.
type proposer struct {
	due []*state.Record
	// busy is true while records are under way, failed tells how they ended.
	busy      atomic.Bool
	failed    atomic.Bool
	backoff   time.Duration
	notBefore time.Time
}

// carryOut sends an order or queues a proposal.
func (w *worker) carryOut(ctx context.Context, a group.Action, now time.Time) {
	switch a := a.(type) {
	case group.SendOrder:
		w.sendOrder(ctx, a, now)
	case group.ProposeForm:
		w.queue(&state.Record{Form: &a.Form})
	case group.ProposeRetire:
		w.queue(&state.Record{Retire: &a.Retire})
	case group.ProposeRelease:
		w.queue(&state.Record{Release: &a.Release})
	case group.Wait:
		if a.WeightStoreBusy {
			raise(w.m.storeAwaited)
		}
		klog.V(2).InfoS("Waiting", "pool", w.pool, "subject", a.Subject, "reason", a.Reason, "until", a.Until)
	}
}

func (w *worker) queue(rec *state.Record) { w.proposer.due = append(w.proposer.due, rec) }

// propose submits the plan's records unless those of an earlier plan are under
// way: the next plan is made from their verdicts.
func (w *worker) propose(ctx context.Context, now time.Time) {
	p := &w.proposer
	due := p.due
	p.due = nil
	if len(due) == 0 || p.busy.Load() || now.Before(p.notBefore) {
		return
	}
	if p.failed.Swap(false) {
		p.backoff = min(maxProposeBackoff, max(proposeBackoff, 2*p.backoff))
		p.notBefore = now.Add(p.backoff)
		return
	}
	p.backoff = p.backoff / 2
	p.busy.Store(true)
	w.running.Go(func() {
		w.submit(ctx, due)
		p.busy.Store(false)
		raise(w.dirty)
	})
}

func (w *worker) submit(ctx context.Context, due []*state.Record) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(submitsAtOnce)
	for _, rec := range due {
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
		klog.ErrorS(err, "Proposal without verdict", args...)
		return
	}
	klog.InfoS("Proposal decided", append(args, "accepted", v.Accepted, "reason", v.Reason, "position", v.Pos.String())...)
}

// sendOrder notes the order as sent and sends it in the background.
func (w *worker) sendOrder(ctx context.Context, a group.SendOrder, now time.Time) {
	w.noteOrder(a, now, false)
	w.stats.Orders++
	wake := w.watchers[a.VM].wake
	w.running.Go(func() {
		if !w.m.enter(ctx) {
			return
		}
		defer w.m.leave()
		if !w.current(a, now) {
			return
		}
		err := w.m.opts.Engines.SendOrder(ctx, a.Addr, toOrder(a.Order))
		klog.V(1).InfoS("Order sent", "pool", w.pool, "vm", a.VM, "load", a.Order.Load, "fence", a.Order.Fence, "err", err)
		if err == nil {
			w.noteOrder(a, now, true)
		} else if !fault.Is(err, fault.Conflict) {
			klog.ErrorS(err, "Order failed", "pool", w.pool, "vm", a.VM, "fence", a.Order.Fence)
		}
		raise(wake)
	})
}

// current reports whether the order is still right just before it is sent: a
// daemon that was paused must not send what it decided long ago.
func (w *worker) current(a group.SendOrder, decided time.Time) bool {
	if time.Since(decided) > group.MaxOrderAge-target.OrderTimeout {
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

func (w *worker) noteOrder(a group.SendOrder, at time.Time, acked bool) {
	w.obs.Update(a.VM, func(o group.Observation, ok bool) (group.Observation, bool) {
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
