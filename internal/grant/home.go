package grant

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Home decides on grants for the pools whose home this daemon is.
type Home struct {
	opt     Options
	client  *Client
	tenures *shard.Map[*tenure]
	// memberChanges counts the changes of membership.
	memberChanges atomic.Uint64
	// draining is set when this daemon hands over its pools before it exits.
	draining  atomic.Bool
	witnesses *witnesses
	// lastLive has the live daemons at the last membership change.
	lastLive memberList
}

// acquire handles a request for a grant. It returns when the request is decided or
// ctx is done.
func (h *Home) acquire(ctx context.Context, m *wire.Acquire) *wire.AcquireResponse {
	t, owner := h.activeTenure(m.Request.Pool, m.Slice)
	if t == nil {
		return &wire.AcquireResponse{NotHome: true, Home: owner}
	}
	if t.id.Term < m.Term {
		h.restartTenure(t, m.Term)
		return &wire.AcquireResponse{NotHome: true}
	}
	if n := h.sliceCount(m.Request.Pool); n > 0 && m.Slice >= n {
		return &wire.AcquireResponse{NotHome: true, Slices: n}
	}
	select {
	case resp := <-t.acquire(m.Request):
		resp.Slices, resp.QueueLength = h.sliceCount(m.Request.Pool), t.waiterCount()
		return h.confirmGrant(ctx, t, m, resp)
	case <-ctx.Done():
		t.cancel(m.Request.Holder, m.Request.ID)
		return &wire.AcquireResponse{Refused: wire.FromFault(fault.Refuse(fault.Timeout, "send the request with a longer deadline", "the request ended while it waited for a grant"))}
	}
}

// confirmGrant records a grant at a witness before it is returned to its holder.
// If that fails it cancels the grant, and the holder tries again.
func (h *Home) confirmGrant(ctx context.Context, t *tenure, m *wire.Acquire, resp *wire.AcquireResponse) *wire.AcquireResponse {
	if resp.Grant == nil || h.recordAtWitness(ctx, t, resp.Grant) {
		return resp
	}
	t.cancel(m.Request.Holder, m.Request.ID)
	return &wire.AcquireResponse{NotHome: true, Home: t.id.Home}
}

// activeTenure returns the tenure that may grant; the first request for a slice
// starts one. If there is none it returns nil and the daemon to ask.
func (h *Home) activeTenure(pool string, slice int) (*tenure, string) {
	key := SliceKey(pool, slice)
	if t, ok := h.tenures.Get(key); ok {
		successor, ended := t.ended()
		if !ended {
			return t, ""
		}
		if h.pointsToSuccessor(t, successor) {
			return nil, successor
		}
	}
	owner := h.owner(pool, slice)
	if owner != h.opt.Members.Self() {
		return nil, owner
	}
	return h.beginTenure(pool, slice), ""
}

// successorHintTTL is how long an ended tenure names its successor while the
// members do not change. Without it, two daemons that disagree on the members
// could take the pool from each other indefinitely.
const successorHintTTL = time.Second

// pointsToSuccessor reports whether an ended tenure still names its successor.
func (h *Home) pointsToSuccessor(t *tenure, successor string) bool {
	recent := h.memberChanges.Load() == t.memberChangesAtEnd && time.Since(t.endedAt) < successorHintTTL
	return recent && slices.Contains(h.opt.Members.Live(), successor)
}

// beginTenure starts a tenure, or returns the one that a concurrent request
// started.
func (h *Home) beginTenure(pool string, slice int) *tenure {
	var t *tenure
	created := false
	h.tenures.Update(SliceKey(pool, slice), func(old *tenure, ok bool) (*tenure, bool) {
		if ok {
			if _, ended := old.ended(); !ended {
				t = old
				return old, true
			}
		}
		t, created = h.newTenure(pool, slice), true
		return t, true
	})
	if created {
		h.startTenure(t)
	}
	return t
}

func (h *Home) newTenure(pool string, slice int) *tenure {
	self := h.opt.Members.Self()
	_, lastTerm := h.client.holderState(pool, slice).latestTenure()
	id := limit.Identity{Pool: pool, Slice: slice, Home: self, Term: nextTerm(lastTerm, self)}
	return newTenure(id, h.poolConfig(pool))
}

// startTenure gives a new tenure its replicas and asks every daemon for its
// holdings.
func (h *Home) startTenure(t *tenure) {
	live, unreachable := h.peers()
	t.withPool(func(now time.Time, p *limit.Pool) {
		if !h.opt.LocalLimits {
			t.recordContacted(live)
			p.StartRecovery(now, live, unreachable)
		}
		h.refreshPool(now, t, p)
	})
	if h.opt.LocalLimits {
		return
	}
	for _, p := range live {
		go h.collectHoldings(t, p.ID)
	}
}

func (h *Home) cancel(from string, m *wire.Cancel) {
	if t, ok := h.tenures.Get(SliceKey(m.Pool, m.Slice)); ok {
		t.cancel(from, m.Request)
	}
}

// release reports false if another daemon is the pool's home. An owner without a
// tenure has nothing to release: its tenure will start from what the holders then
// hold.
func (h *Home) release(m *wire.Release) bool {
	key := SliceKey(m.Pool, m.Slice)
	t, ok := h.tenures.Get(key)
	if !ok {
		return h.owner(m.Pool, m.Slice) == h.opt.Members.Self()
	}
	if _, ended := t.ended(); ended {
		return false
	}
	t.withPool(func(now time.Time, p *limit.Pool) {
		for _, r := range m.Releases {
			p.Release(now, r)
		}
	})
	h.forgetWitnessed(t, m.Releases)
	return true
}

func (h *Home) renew(from string, m *wire.Renew) *wire.RenewResponse {
	resp := &wire.RenewResponse{}
	for _, r := range m.Renewals {
		t, ok := h.tenures.Get(SliceKey(r.Pool, r.Slice))
		if !ok {
			continue
		}
		t.withPool(func(now time.Time, p *limit.Pool) {
			if len(p.Renew(now, from, r)) > 0 {
				resp.Unknown = append(resp.Unknown, wire.Tenure{Pool: r.Pool, Slice: r.Slice, Term: t.id.Term})
			}
		})
	}
	return resp
}

// receiveHoldings applies the grants that a holder pushed because this home did
// not know them.
func (h *Home) receiveHoldings(m *wire.Holdings) {
	if t, ok := h.tenures.Get(SliceKey(m.Pool, m.Slice)); ok {
		t.withPool(func(now time.Time, p *limit.Pool) { applyHoldings(now, p, m) })
	}
}
