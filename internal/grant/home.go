package grant

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/ids"
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
}

// acquire answers a request for a grant once it is decided, or when ctx ends.
func (h *Home) acquire(ctx context.Context, m *wire.Acquire) *wire.Acquired {
	t, owner := h.serving(m.Request.Pool, m.Slice)
	if t == nil {
		return &wire.Acquired{Moved: true, Home: owner}
	}
	reply := t.acquire(m.Request)
	select {
	case a := <-reply:
		return a
	case <-ctx.Done():
		t.cancel(m.Request.Holder, m.Request.ID)
		return &wire.Acquired{Refused: wire.FromFault(fault.Refuse(fault.Timeout, "give the request more time", "the request ended while it waited"))}
	}
}

// serving returns the tenure that may grant, which begins with the first
// request; otherwise the daemon to ask.
func (h *Home) serving(pool string, slice int) (*tenure, string) {
	key := Key(pool, slice)
	if t, ok := h.tenures.Get(key); ok {
		successor, ended := t.ended()
		if !ended {
			return t, ""
		}
		if h.defers(t, successor) {
			return nil, successor
		}
	}
	owner := h.opt.Members.Owner(key)
	if !h.opt.Local && owner != h.opt.Members.Self() {
		return nil, owner
	}
	return h.begin(pool, slice), ""
}

// defers reports whether an ended tenure still points to its successor: until
// the members change, two daemons that disagree on them would otherwise take
// the pool from each other without end.
func (h *Home) defers(t *tenure, successor string) bool {
	return h.moves.Load() == t.endedAt && slices.Contains(h.opt.Members.Live(), successor)
}

// begin starts a tenure, or returns the one that another request just began.
func (h *Home) begin(pool string, slice int) *tenure {
	var t *tenure
	created := false
	h.tenures.Update(Key(pool, slice), func(old *tenure, ok bool) (*tenure, bool) {
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
	id := limit.Identity{Pool: pool, Slice: slice, Home: h.opt.Members.Self(), Term: ids.New()}
	return newTenure(id, h.config(pool))
}

// start gives a tenure its replicas and asks every daemon what it holds.
func (h *Home) start(t *tenure) {
	live := h.opt.Members.Live()
	_, total := h.opt.Standing.VisibleShare()
	t.do(func(now time.Time, p *limit.Pool) {
		p.SetStanding(now, h.opt.standing())
		if !h.opt.Local {
			p.Recover(now, live, total-len(live))
		}
		h.refreshPool(now, t, p)
	})
	if h.opt.Local {
		return
	}
	for _, id := range live {
		go h.collect(t, id)
	}
}

// collect announces the tenure to one daemon and takes what it holds.
func (h *Home) collect(t *tenure, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req := &wire.Takeover{Pool: t.id.Pool, Slice: t.id.Slice, Home: t.id.Home, Term: t.id.Term}
	resp := &wire.Holdings{}
	if id == h.opt.Members.Self() {
		resp = h.takeover(req)
	} else if err := h.opt.Caller.Call(ctx, h.opt.Members.Addr(id), req, resp); err != nil {
		t.do(func(now time.Time, p *limit.Pool) { p.Silent(now, id) })
		return
	}
	t.do(func(now time.Time, p *limit.Pool) { take(now, p, resp) })
}

func take(now time.Time, p *limit.Pool, m *wire.Holdings) {
	p.Held(now, m.Held)
	if m.Table != nil {
		p.HandedOver(now, *m.Table)
	}
}

// takeover yields the pool to its new home, if this daemon had it, and answers
// with all that this daemon knows of it.
func (h *Home) takeover(m *wire.Takeover) *wire.Holdings {
	resp := &wire.Holdings{Pool: m.Pool, Slice: m.Slice}
	if t, ok := h.tenures.Get(Key(m.Pool, m.Slice)); ok && t.id.Term != m.Term {
		resp.Table = t.yield(m.Home, h.moves.Load())
	}
	resp.Held = h.client.takeover(m)
	return resp
}

func (h *Home) cancel(from string, m *wire.Cancel) {
	if t, ok := h.tenures.Get(Key(m.Pool, m.Slice)); ok {
		t.cancel(from, m.Request)
	}
}

// release reports false if another daemon is the pool's home. An owner without
// a tenure has nothing to give back to: its tenure will begin with what the
// holders then hold.
func (h *Home) release(m *wire.Release) bool {
	key := Key(m.Pool, m.Slice)
	t, ok := h.tenures.Get(key)
	if !ok {
		return h.opt.Members.Owner(key) == h.opt.Members.Self()
	}
	if _, ended := t.ended(); ended {
		return false
	}
	t.do(func(now time.Time, p *limit.Pool) {
		for _, r := range m.Releases {
			p.Release(now, r)
		}
	})
	return true
}

func (h *Home) renew(from string, m *wire.Renew) *wire.Renewed {
	resp := &wire.Renewed{}
	for _, r := range m.Renewals {
		t, ok := h.tenures.Get(Key(r.Pool, r.Slice))
		if !ok {
			continue
		}
		t.do(func(now time.Time, p *limit.Pool) {
			if len(p.Renew(now, from, r)) > 0 {
				resp.Unknown = append(resp.Unknown, wire.PoolSlice{Pool: r.Pool, Slice: r.Slice})
			}
		})
	}
	return resp
}

// push takes the grants of a holder that was silent when the tenure began.
func (h *Home) push(m *wire.Holdings) {
	if t, ok := h.tenures.Get(Key(m.Pool, m.Slice)); ok {
		t.do(func(now time.Time, p *limit.Pool) { take(now, p, m) })
	}
}
