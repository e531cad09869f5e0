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

// Home answers for the pools whose home this daemon is.
type Home struct {
	opt     Options
	client  *Client
	tenures *shard.Map[*tenure]
	// moves counts the changes of membership.
	moves atomic.Uint64
	// leaving is set when this daemon hands its pools on before it ends.
	leaving  atomic.Bool
	deputies *deputies
	// seen are the live daemons at the last change.
	seen liveSet
}

// acquire answers a request for a grant once it is decided, or when ctx ends.
func (h *Home) acquire(ctx context.Context, m *wire.Acquire) *wire.AcquireResponse {
	t, owner := h.serving(m.Request.Pool, m.Slice)
	if t == nil {
		return &wire.AcquireResponse{NotHome: true, Home: owner}
	}
	if t.id.Term < m.Term {
		h.restart(t, m.Term)
		return &wire.AcquireResponse{NotHome: true}
	}
	if n := h.sliceCount(m.Request.Pool); n > 0 && m.Slice >= n {
		return &wire.AcquireResponse{NotHome: true, Slices: n}
	}
	select {
	case a := <-t.acquire(m.Request):
		a.Slices, a.QueueLength = h.sliceCount(m.Request.Pool), t.waiting()
		return h.confirm(ctx, t, m, a)
	case <-ctx.Done():
		t.cancel(m.Request.Holder, m.Request.ID)
		return &wire.AcquireResponse{Refused: wire.FromFault(fault.Refuse(fault.Timeout, "give the request more time", "the request ended while it waited"))}
	}
}

// confirm passes an answer on once a deputy knows of its grant, if it needs
// one. Otherwise the grant is withdrawn and the holder asks again.
func (h *Home) confirm(ctx context.Context, t *tenure, m *wire.Acquire, a *wire.AcquireResponse) *wire.AcquireResponse {
	if a.Grant == nil || h.note(ctx, t, a.Grant) {
		return a
	}
	t.cancel(m.Request.Holder, m.Request.ID)
	return &wire.AcquireResponse{NotHome: true, Home: t.id.Home}
}

// serving returns the tenure that may grant, which begins with the first
// request; otherwise the daemon to ask.
func (h *Home) serving(pool string, slice int) (*tenure, string) {
	key := SliceKey(pool, slice)
	if t, ok := h.tenures.Get(key); ok {
		successor, ended := t.ended()
		if !ended {
			return t, ""
		}
		if h.defers(t, successor) {
			return nil, successor
		}
	}
	owner := h.owner(pool, slice)
	if owner != h.opt.Members.Self() {
		return nil, owner
	}
	return h.begin(pool, slice), ""
}

// deferTime is how long an ended tenure points to its successor while the
// members stay the same. Two daemons that disagree on them would otherwise take
// the pool from each other without end.
const deferTime = time.Second

// defers reports whether an ended tenure still points to its successor.
func (h *Home) defers(t *tenure, successor string) bool {
	fresh := h.moves.Load() == t.endedMoves && time.Since(t.endedAt) < deferTime
	return fresh && slices.Contains(h.opt.Members.Live(), successor)
}

// begin starts a tenure, or returns the one that another request just began.
func (h *Home) begin(pool string, slice int) *tenure {
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
		h.start(t)
	}
	return t
}

func (h *Home) newTenure(pool string, slice int) *tenure {
	self := h.opt.Members.Self()
	_, last := h.client.line(pool, slice).latest()
	id := limit.Identity{Pool: pool, Slice: slice, Home: self, Term: nextTerm(last, self)}
	return newTenure(id, h.config(pool))
}

// start gives a tenure its replicas and asks every daemon what it holds.
func (h *Home) start(t *tenure) {
	live, gone := h.peers()
	t.do(func(now time.Time, p *limit.Pool) {
		if !h.opt.LocalLimits {
			t.unasked(live)
			p.StartRecovery(now, live, gone)
		}
		h.refreshPool(now, t, p)
	})
	if h.opt.LocalLimits {
		return
	}
	for _, p := range live {
		go h.collect(t, p.ID)
	}
}

func (h *Home) cancel(from string, m *wire.Cancel) {
	if t, ok := h.tenures.Get(SliceKey(m.Pool, m.Slice)); ok {
		t.cancel(from, m.Request)
	}
}

// release reports false if another daemon is the pool's home. An owner without
// a tenure has nothing to give back to: its tenure will begin with what the
// holders then hold.
func (h *Home) release(m *wire.Release) bool {
	key := SliceKey(m.Pool, m.Slice)
	t, ok := h.tenures.Get(key)
	if !ok {
		return h.owner(m.Pool, m.Slice) == h.opt.Members.Self()
	}
	if _, ended := t.ended(); ended {
		return false
	}
	t.do(func(now time.Time, p *limit.Pool) {
		for _, r := range m.Releases {
			p.Release(now, r)
		}
	})
	h.forget(t, m.Releases)
	return true
}

func (h *Home) renew(from string, m *wire.Renew) *wire.RenewResponse {
	resp := &wire.RenewResponse{}
	for _, r := range m.Renewals {
		t, ok := h.tenures.Get(SliceKey(r.Pool, r.Slice))
		if !ok {
			continue
		}
		t.do(func(now time.Time, p *limit.Pool) {
			if len(p.Renew(now, from, r)) > 0 {
				resp.Unknown = append(resp.Unknown, wire.Tenure{Pool: r.Pool, Slice: r.Slice, Term: t.id.Term})
			}
		})
	}
	return resp
}

// push takes the grants of a holder that was silent when the tenure began.
func (h *Home) push(m *wire.Holdings) {
	if t, ok := h.tenures.Get(SliceKey(m.Pool, m.Slice)); ok {
		t.do(func(now time.Time, p *limit.Pool) { take(now, p, m) })
	}
}
