package grant

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// askAgain spaces the questions to a daemon that did not answer a take-over.
const askAgain = 250 * time.Millisecond

// collect announces the tenure to one daemon and takes what it holds. It asks
// again until the daemon answers, is gone, or can't matter any more.
func (h *Home) collect(t *tenure, id string) {
	until := time.Now().Add(limit.ColdHoldoff)
	for !h.ask(t, id) {
		if _, ended := t.ended(); ended || time.Now().After(until) {
			return
		}
		if !slices.Contains(h.opt.Members.Live(), id) {
			return
		}
		pause.For(context.Background(), askAgain)
	}
}

// ask reports whether the daemon answered.
func (h *Home) ask(t *tenure, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req := &wire.Takeover{Pool: t.id.Pool, Slice: t.id.Slice, Home: t.id.Home, Term: t.id.Term}
	resp := &wire.Holdings{}
	if id == h.opt.Members.Self() {
		resp = h.takeover(req)
	} else if err := h.opt.Caller.Call(ctx, h.opt.Members.Addr(id), req, resp); err != nil {
		t.do(func(now time.Time, p *limit.Pool) { p.MarkUnresponsive(now, id) })
		return false
	}
	if resp.LaterTerm != "" {
		h.superseded(t, resp)
		return true
	}
	t.do(func(now time.Time, p *limit.Pool) { take(now, p, resp) })
	return true
}

func take(now time.Time, p *limit.Pool, m *wire.Holdings) {
	if m.Table != nil {
		p.ApplySnapshot(now, *m.Table)
	}
	p.ApplyHoldings(now, m.Held)
}

// superseded ends a tenure that some daemon knows a later one of, and begins
// one after that if this daemon still is the owner.
func (h *Home) superseded(t *tenure, m *wire.Holdings) {
	h.client.line(t.id.Pool, t.id.Slice).see(m.LaterHome, m.LaterTerm)
	if !t.yield(m.LaterHome, h.moves.Load()) {
		return
	}
	if h.owner(t.id.Pool, t.id.Slice) == h.opt.Members.Self() {
		h.begin(t.id.Pool, t.id.Slice)
	}
}

// takeover yields the pool to its new home, if this daemon had it, and answers
// with all that this daemon knows of it. A later tenure yields to no earlier.
func (h *Home) takeover(m *wire.Takeover) *wire.Holdings {
	resp := &wire.Holdings{Pool: m.Pool, Slice: m.Slice}
	h.client.takeover(m, resp)
	if resp.LaterTerm != "" {
		return resp
	}
	if t, ok := h.tenures.Get(SliceKey(m.Pool, m.Slice)); ok && t.id.Term < m.Term {
		t.yield(m.Home, h.moves.Load())
		resp.Table = t.takeTable(m.Home)
	}
	return resp
}

// Drain hands every pool on to the daemon that owns it without this one. It
// returns when they have been told, or when ctx ends.
func (h *Home) Drain(ctx context.Context) {
	h.leaving.Store(true)
	var wg sync.WaitGroup
	for _, t := range h.serve() {
		wg.Go(func() { h.handOver(ctx, t, h.owner(t.id.Pool, t.id.Slice)) })
	}
	wg.Wait()
}

// owner returns the daemon that should be the home. A daemon that is leaving
// no longer counts itself.
func (h *Home) owner(pool string, slice int) string {
	if h.opt.LocalLimits {
		return h.opt.Members.Self()
	}
	if !h.leaving.Load() {
		return h.opt.Members.Owner(SliceKey(pool, slice))
	}
	others := slices.DeleteFunc(slices.Clone(h.opt.Members.Live()), func(id string) bool { return id == h.opt.Members.Self() })
	return ids.Owner(SliceKey(pool, slice), others)
}

// handOver ends a tenure and asks another daemon to take the pool over. The
// pool's state waits here for its Takeover.
func (h *Home) handOver(ctx context.Context, t *tenure, to string) {
	if to == "" || to == h.opt.Members.Self() || !t.yield(to, h.moves.Load()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &wire.Handover{Pool: t.id.Pool, Slice: t.id.Slice, Term: t.id.Term}
	// If the call fails the new home takes over with its first request.
	_ = h.opt.Caller.Call(ctx, h.opt.Members.Addr(to), req, &wire.Ack{})
}

// handedOver begins a tenure after the sender's.
func (h *Home) handedOver(m *wire.Handover, from string) {
	h.client.line(m.Pool, m.Slice).see(from, m.Term)
	if t := h.begin(m.Pool, m.Slice); t.id.Term < m.Term {
		h.restart(t, m.Term)
	}
}

// restart ends a tenure that has been overtaken by one that no longer serves,
// and begins another after both.
func (h *Home) restart(t *tenure, later string) {
	h.client.line(t.id.Pool, t.id.Slice).see("", later)
	if t.yield("", h.moves.Load()) && h.owner(t.id.Pool, t.id.Slice) == h.opt.Members.Self() {
		h.begin(t.id.Pool, t.id.Slice)
	}
}

// liveSet remembers the live daemons at the last change.
type liveSet struct {
	mu  sync.Mutex
	ids []string
}

// replace stores the list and reports whether it differs from the one before.
func (s *liveSet) replace(live []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.ids, live) {
		return false
	}
	s.ids = slices.Clone(live)
	return true
}
