package grant

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/limit"
)

// run follows members, rows and replicas until ctx ends.
func (h *Home) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return follow(ctx, h.opt.Members.Changed, h.membersChanged) })
	g.Go(func() error { return follow(ctx, h.opt.Pools.Changed, h.refresh) })
	g.Go(func() error { return follow(ctx, h.opt.Replicas.Changed, h.refresh) })
	return g.Wait()
}

// follow calls act after each change. The channel is read before acting, so
// that a change during the action is not missed.
func follow(ctx context.Context, changed func() <-chan struct{}, act func()) error {
	for {
		next := changed()
		act()
		select {
		case <-ctx.Done():
			return nil
		case <-next:
		}
	}
}

// refresh gives every tenure the rows, replicas and standing in force.
func (h *Home) refresh() {
	for _, t := range h.serve() {
		t.do(func(now time.Time, p *limit.Pool) { h.refreshPool(now, t, p) })
	}
}

// serve lists the tenures that have not ended.
func (h *Home) serve() []*tenure {
	var ts []*tenure
	h.tenures.Range(func(_ string, t *tenure) bool {
		if _, ended := t.ended(); !ended {
			ts = append(ts, t)
		}
		return true
	})
	return ts
}

func (h *Home) refreshPool(now time.Time, t *tenure, p *limit.Pool) {
	p.Configure(now, h.config(t.id.Pool))
	// The standing is read first: daemons that it counts in are then among the
	// live ones, and are asked before it is put to use.
	standing := h.opt.standing()
	h.askFresh(now, t, p)
	p.SetVisibility(now, standing)
	reps := h.replicas(t)
	if len(reps) == 0 && (now.Sub(t.began) < watchDelay || !h.owns(t)) {
		// A watch that has just begun has seen nothing yet, and a daemon that is
		// no longer the owner has ended its own: the replicas known last stand.
		return
	}
	p.SetReplicas(now, reps)
}

// watchDelay is the time that the watch of a pool's replicas needs at first.
const watchDelay = 2 * time.Second

func (h *Home) config(pool string) limit.Config {
	row, ok := h.opt.Pools.Pool(pool)
	if !ok {
		return limit.Config{}
	}
	return limit.Config{Limit: row.Pool.Limit, ColdLimit: row.Pool.ColdLimit, Withdrawn: row.Pool.Withdrawn}
}

func (h *Home) owns(t *tenure) bool {
	return h.owner(t.id.Pool, t.id.Slice) == h.opt.Members.Self()
}

// membersChanged hands the pools that moved to their new homes.
func (h *Home) membersChanged() {
	if h.opt.LocalLimits {
		return
	}
	if !h.seen.replace(h.opt.Members.Live()) {
		return
	}
	h.moves.Add(1)
	for _, t := range h.serve() {
		if !h.owns(t) {
			go h.handOver(context.Background(), t, h.owner(t.id.Pool, t.id.Slice))
		}
	}
	h.refresh()
}

// askFresh asks daemons that came into sight during the tenure what they hold.
func (h *Home) askFresh(now time.Time, t *tenure, p *limit.Pool) {
	if h.opt.LocalLimits {
		return
	}
	live, _ := h.peers()
	fresh := t.unasked(live)
	if len(fresh) == 0 {
		return
	}
	p.AddHolders(now, live, fresh)
	for _, id := range fresh {
		go h.collect(t, id)
	}
}
