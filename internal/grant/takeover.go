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

// holdingsRetryDelay is the delay before a daemon that did not answer a Takeover is
// asked again.
const holdingsRetryDelay = 250 * time.Millisecond

// collectHoldings announces the tenure to one daemon and applies its holdings. It
// retries until the daemon answers, is no longer live, or ColdHoldoff has passed,
// after which the daemon's earlier grants no longer matter.
func (h *Home) collectHoldings(t *tenure, id string) {
	until := time.Now().Add(limit.ColdHoldoff)
	for !h.requestHoldings(t, id) {
		if _, ended := t.ended(); ended || time.Now().After(until) {
			return
		}
		if !slices.Contains(h.opt.Members.Live(), id) {
			return
		}
		pause.For(context.Background(), holdingsRetryDelay)
	}
}

// requestHoldings reports whether the daemon answered.
func (h *Home) requestHoldings(t *tenure, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req := &wire.Takeover{Pool: t.id.Pool, Slice: t.id.Slice, Home: t.id.Home, Term: t.id.Term}
	resp := &wire.Holdings{}
	if id == h.opt.Members.Self() {
		resp = h.takeover(req)
	} else if err := h.opt.Caller.Call(ctx, h.opt.Members.Addr(id), req, resp); err != nil {
		t.withPool(func(now time.Time, p *limit.Pool) { p.MarkUnresponsive(now, id) })
		return false
	}
	if resp.LaterTerm != "" {
		h.yieldToLaterTenure(t, resp)
		return true
	}
	t.withPool(func(now time.Time, p *limit.Pool) { applyHoldings(now, p, resp) })
	return true
}

func applyHoldings(now time.Time, p *limit.Pool, m *wire.Holdings) {
	if m.Snapshot != nil {
		p.ApplySnapshot(now, *m.Snapshot)
	}
	p.ApplyHoldings(now, m.Held)
}

// yieldToLaterTenure ends a tenure when some daemon knows a later one, and starts
// another one after it if this daemon is still the owner.
func (h *Home) yieldToLaterTenure(t *tenure, m *wire.Holdings) {
	h.client.holderState(t.id.Pool, t.id.Slice).recordTenure(m.LaterHome, m.LaterTerm)
	if !t.yield(m.LaterHome, h.memberChanges.Load()) {
		return
	}
	if h.owner(t.id.Pool, t.id.Slice) == h.opt.Members.Self() {
		h.beginTenure(t.id.Pool, t.id.Slice)
	}
}

// takeover yields the pool to its new home, if this daemon was the home, and
// returns all that this daemon knows of it. It does not yield to an earlier tenure.
func (h *Home) takeover(m *wire.Takeover) *wire.Holdings {
	resp := &wire.Holdings{Pool: m.Pool, Slice: m.Slice}
	h.client.reportHoldings(m, resp)
	if resp.LaterTerm != "" {
		return resp
	}
	if t, ok := h.tenures.Get(SliceKey(m.Pool, m.Slice)); ok && t.id.Term < m.Term {
		t.yield(m.Home, h.memberChanges.Load())
		resp.Snapshot = t.takeSnapshot(m.Home)
	}
	return resp
}

// Drain hands over every pool to the daemon that owns it when this one is excluded.
// It returns when these daemons have received the handovers or ctx is done.
func (h *Home) Drain(ctx context.Context) {
	h.draining.Store(true)
	var wg sync.WaitGroup
	for _, t := range h.activeTenures() {
		wg.Go(func() { h.handOver(ctx, t, h.owner(t.id.Pool, t.id.Slice)) })
	}
	wg.Wait()
}

// owner returns the daemon that should be the home. A draining daemon excludes
// itself.
func (h *Home) owner(pool string, slice int) string {
	if h.opt.LocalLimits {
		return h.opt.Members.Self()
	}
	if !h.draining.Load() {
		return h.opt.Members.Owner(SliceKey(pool, slice))
	}
	others := slices.DeleteFunc(slices.Clone(h.opt.Members.Live()), func(id string) bool { return id == h.opt.Members.Self() })
	return ids.Owner(SliceKey(pool, slice), others)
}

// handOver ends a tenure and asks another daemon to take over the pool. The
// snapshot is kept here until that daemon's Takeover arrives.
func (h *Home) handOver(ctx context.Context, t *tenure, to string) {
	if to == "" || to == h.opt.Members.Self() || !t.yield(to, h.memberChanges.Load()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &wire.Handover{Pool: t.id.Pool, Slice: t.id.Slice, Term: t.id.Term}
	// If the call fails, the new home takes over when it gets its first request.
	_ = h.opt.Caller.Call(ctx, h.opt.Members.Addr(to), req, &wire.Ack{})
}

// acceptHandover starts a tenure that follows the sender's.
func (h *Home) acceptHandover(m *wire.Handover, from string) {
	h.client.holderState(m.Pool, m.Slice).recordTenure(from, m.Term)
	if t := h.beginTenure(m.Pool, m.Slice); t.id.Term < m.Term {
		h.restartTenure(t, m.Term)
	}
}

// restartTenure ends a tenure that is earlier than another one which no longer
// grants, and starts a new tenure after both.
func (h *Home) restartTenure(t *tenure, later string) {
	h.client.holderState(t.id.Pool, t.id.Slice).recordTenure("", later)
	if t.yield("", h.memberChanges.Load()) && h.owner(t.id.Pool, t.id.Slice) == h.opt.Members.Self() {
		h.beginTenure(t.id.Pool, t.id.Slice)
	}
}

// memberList holds the live daemons at the last membership change.
type memberList struct {
	mu  sync.Mutex
	ids []string
}

// replace stores the list and reports whether it has changed.
func (l *memberList) replace(live []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(l.ids, live) {
		return false
	}
	l.ids = slices.Clone(live)
	return true
}
