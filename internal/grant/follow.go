package grant

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/wire"
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
	p.SetStanding(now, h.opt.standing())
	// A daemon that is no longer the owner watches no replicas either; the last
	// known ones stand until the new home has taken over.
	if h.owns(t) {
		p.SetReplicas(now, h.replicas(t))
	}
}

func (h *Home) config(pool string) limit.Config {
	row, ok := h.opt.Pools.Pool(pool)
	if !ok {
		return limit.Config{}
	}
	return limit.Config{Limit: row.Pool.Limit, ColdLimit: row.Pool.ColdLimit, Withdrawn: row.Pool.Withdrawn}
}

func (h *Home) owns(t *tenure) bool {
	return h.opt.Local || h.opt.Members.Owner(Key(t.id.Pool, t.id.Slice)) == h.opt.Members.Self()
}

// membersChanged hands the pools that moved to their new homes.
func (h *Home) membersChanged() {
	h.moves.Add(1)
	if h.opt.Local {
		return
	}
	for _, t := range h.serve() {
		if owner := h.opt.Members.Owner(Key(t.id.Pool, t.id.Slice)); owner != "" && owner != h.opt.Members.Self() {
			go h.handOver(context.Background(), t, owner)
		}
	}
	h.refresh()
}

// handOver asks another daemon to take the pool over, which it does by its
// Takeover; this daemon goes on until then.
func (h *Home) handOver(ctx context.Context, t *tenure, to string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &wire.Handover{Pool: t.id.Pool, Slice: t.id.Slice}
	// If the call fails the new home takes over with its first request.
	_ = h.opt.Caller.Call(ctx, h.opt.Members.Addr(to), req, &wire.Done{})
}
