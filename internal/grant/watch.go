package grant

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/limit"
)

// run follows members, configuration rows and replicas until ctx is done.
func (h *Home) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return onChange(ctx, h.opt.Members.Changed, h.membersChanged) })
	g.Go(func() error { return onChange(ctx, h.opt.Pools.Changed, h.refreshTenures) })
	g.Go(func() error { return onChange(ctx, h.opt.Replicas.Changed, h.refreshTenures) })
	return g.Wait()
}

// onChange calls fn once and after each change. It reads the channel before
// calling fn, so that a change during the call is not missed.
func onChange(ctx context.Context, changed func() <-chan struct{}, fn func()) error {
	for {
		next := changed()
		fn()
		select {
		case <-ctx.Done():
			return nil
		case <-next:
		}
	}
}

// refreshTenures applies the present configuration, replicas and visibility to all
// tenures.
func (h *Home) refreshTenures() {
	for _, t := range h.activeTenures() {
		t.withPool(func(now time.Time, p *limit.Pool) { h.refreshPool(now, t, p) })
	}
}

// activeTenures lists the tenures that have not ended.
func (h *Home) activeTenures() []*tenure {
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
	p.Configure(now, h.poolConfig(t.id.Pool))
	// The visibility is read before the members: every daemon that it counts as
	// visible is then among the live ones and is asked before it takes effect.
	visibility := h.opt.visibility()
	h.recoverFromNewMembers(now, t, p)
	p.SetVisibility(now, visibility)
	reps := h.sliceReplicas(t)
	if len(reps) == 0 && (now.Sub(t.startedAt) < replicaWatchStartup || !h.owns(t)) {
		// A watch that has just started has no replicas yet, and a daemon that is no
		// longer the owner has stopped its watch: keep the last known replicas.
		return
	}
	p.SetReplicas(now, reps)
}

// replicaWatchStartup is the time that the watch of a pool's replicas needs to
// deliver the first list.
const replicaWatchStartup = 2 * time.Second

func (h *Home) poolConfig(pool string) limit.Config {
	row, ok := h.opt.Pools.Pool(pool)
	if !ok {
		return limit.Config{}
	}
	return limit.Config{Limit: row.Pool.Limit, ColdLimit: row.Pool.ColdLimit, Withdrawn: row.Pool.Withdrawn}
}

func (h *Home) owns(t *tenure) bool {
	return h.owner(t.id.Pool, t.id.Slice) == h.opt.Members.Self()
}

// membersChanged hands over the pools whose owner has changed.
func (h *Home) membersChanged() {
	if h.opt.LocalLimits {
		return
	}
	if !h.lastLive.replace(h.opt.Members.Live()) {
		return
	}
	h.memberChanges.Add(1)
	for _, t := range h.activeTenures() {
		if !h.owns(t) {
			go h.handOver(context.Background(), t, h.owner(t.id.Pool, t.id.Slice))
		}
	}
	h.refreshTenures()
}

// recoverFromNewMembers asks daemons that became live during the tenure for their
// holdings.
func (h *Home) recoverFromNewMembers(now time.Time, t *tenure, p *limit.Pool) {
	if h.opt.LocalLimits {
		return
	}
	live, _ := h.peers()
	fresh := t.recordContacted(live)
	if len(fresh) == 0 {
		return
	}
	p.AddHolders(now, live, fresh)
	for _, id := range fresh {
		go h.collectHoldings(t, id)
	}
}
