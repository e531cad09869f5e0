package grant

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// A grant is known to its home and to its holder. If the two share a failure
// domain, a daemon outside it, the deputy, is told of the grant before the
// holder is: then the loss of one whole domain leaves every grant known to
// somebody, and a new home need not wait for what might still be running.

// Times and bounds of notes.
const (
	// noteTimeout bounds the wait for a deputy.
	noteTimeout = 250 * time.Millisecond
	// noteTries is how many deputies are tried for one grant.
	noteTries = 3
	// shunTime is how long a deputy that did not answer is passed over.
	shunTime = 5 * time.Second
	// forgetEvery spaces the messages that only end notes.
	forgetEvery = 100 * time.Millisecond
)

// deputies keeps account of the notes that other daemons have from this home.
type deputies struct {
	shunned *shard.Map[time.Time]

	mu sync.Mutex
	// by names the deputy of each noted grant.
	by map[string]string
	// ended are the notes that each deputy may forget.
	ended map[string][]string
	timer bool
}

func newDeputies() *deputies {
	return &deputies{
		shunned: shard.NewMap[time.Time](),
		by:      make(map[string]string),
		ended:   make(map[string][]string),
	}
}

// note tells a deputy of the grant if it needs one. It reports false if no
// deputy answered: the grant must then not be used.
func (h *Home) note(ctx context.Context, t *tenure, g *limit.Grant) bool {
	domains := h.domains()
	own := domains.of(h.opt.Members.Self())
	if h.opt.LocalLimits || domains.of(g.Holder) != own {
		return true
	}
	majority := h.opt.Visibility.MayUseCold()
	candidates := slices.DeleteFunc(slices.Clone(h.opt.Members.Live()), func(id string) bool { return domains.of(id) == own })
	if len(candidates) == 0 {
		// Elsewhere this domain may be taken for lost, and cold replicas given to
		// others: unless this is the majority, both before and after the look at
		// who lives, they are off limits.
		return !g.Cold || (majority && h.opt.Visibility.MayUseCold())
	}
	for range noteTries {
		to := h.deputy(t, candidates)
		if to == "" {
			return false
		}
		if h.noteAt(ctx, t, g, to) {
			return true
		}
		candidates = slices.DeleteFunc(candidates, func(id string) bool { return id == to })
	}
	return false
}

// deputy chooses the candidate that ranks next for the pool, passing over
// those that did not answer lately while there are others.
func (h *Home) deputy(t *tenure, candidates []string) string {
	now := time.Now()
	fit := slices.DeleteFunc(slices.Clone(candidates), func(id string) bool {
		until, ok := h.deputies.shunned.Get(id)
		return ok && now.Before(until)
	})
	if len(fit) == 0 {
		fit = candidates
	}
	return ids.Owner(SliceKey(t.id.Pool, t.id.Slice), fit)
}

func (h *Home) noteAt(ctx context.Context, t *tenure, g *limit.Grant, to string) bool {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	m := &wire.WitnessUpdate{
		Pool: t.id.Pool, Slice: t.id.Slice, Home: t.id.Home, Term: t.id.Term,
		Grants: []limit.Grant{*g}, Ended: h.deputies.takeEnded(to),
	}
	if err := h.opt.Caller.Call(ctx, h.opt.Members.Addr(to), m, &wire.Ack{}); err != nil {
		h.deputies.shunned.Set(to, time.Now().Add(shunTime))
		return false
	}
	h.deputies.noted(g.ID, to)
	return true
}

// forget lets deputies forget grants that were given back.
func (h *Home) forget(t *tenure, releases []limit.Release) {
	if !h.deputies.end(releases) {
		return
	}
	time.AfterFunc(forgetEvery, func() { h.sendEnded(t) })
}

// sendEnded sends what no note has carried along.
func (h *Home) sendEnded(t *tenure) {
	for to, ended := range h.deputies.takeAllEnded() {
		m := &wire.WitnessUpdate{Pool: t.id.Pool, Slice: t.id.Slice, Home: t.id.Home, Term: t.id.Term, Ended: ended}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		// Notes that are not ended by this end with the request's deadline.
		_ = h.opt.Caller.Call(ctx, h.opt.Members.Addr(to), m, &wire.Ack{})
		cancel()
	}
}

func (d *deputies) noted(grant, deputy string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.by[grant] = deputy
}

// end marks the notes of released grants as ended. It reports whether the
// caller has to arrange for sending them.
func (d *deputies) end(releases []limit.Release) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range releases {
		if to, ok := d.by[r.Grant]; ok {
			delete(d.by, r.Grant)
			d.ended[to] = append(d.ended[to], r.Grant)
		}
	}
	start := len(d.ended) > 0 && !d.timer
	d.timer = d.timer || start
	return start
}

func (d *deputies) takeEnded(to string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.ended[to]
	delete(d.ended, to)
	return e
}

func (d *deputies) takeAllEnded() map[string][]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.ended
	d.ended, d.timer = make(map[string][]string), false
	return all
}
