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

// A grant is known to its home and to its holder. If both are in one failure
// domain, a daemon in another domain, the witness, records the grant before the
// holder gets it. After the failure of a whole domain some daemon then still knows
// every grant, and a new home need not wait for work that may still be running.

// Timing and retries of the messages to witnesses.
const (
	// witnessTimeout limits the wait for a witness.
	witnessTimeout = 250 * time.Millisecond
	// maxWitnessTries is the number of daemons tried as the witness of a grant.
	maxWitnessTries = 3
	// witnessBackoff is how long a daemon that did not answer is not chosen as a
	// witness if there are others.
	witnessBackoff = 5 * time.Second
	// endedFlushDelay is the delay before ended grants that no other message has
	// carried are sent to their witnesses.
	endedFlushDelay = 100 * time.Millisecond
)

// witnesses tracks which daemons are witnesses of this home's grants.
type witnesses struct {
	avoidUntil *shard.Map[time.Time]

	mu sync.Mutex
	// byGrant maps each witnessed grant to its witness.
	byGrant map[string]string
	// ended has, for each witness, the grants that it no longer needs to keep.
	ended          map[string][]string
	flushScheduled bool
}

func newWitnesses() *witnesses {
	return &witnesses{
		avoidUntil: shard.NewMap[time.Time](),
		byGrant:    make(map[string]string),
		ended:      make(map[string][]string),
	}
}

// recordAtWitness records the grant at a witness if it needs one. It reports
// false if no witness answered; the grant must then not be used.
func (h *Home) recordAtWitness(ctx context.Context, t *tenure, g *limit.Grant) bool {
	domains := h.domains()
	ownDomain := domains.get(h.opt.Members.Self())
	if h.opt.LocalLimits || domains.get(g.Holder) != ownDomain {
		return true
	}
	majority := h.opt.Visibility.MayUseCold()
	candidates := slices.DeleteFunc(slices.Clone(h.opt.Members.Live()), func(id string) bool { return domains.get(id) == ownDomain })
	if len(candidates) == 0 {
		// No daemon of another failure domain is live here. If another side of a
		// partition takes this domain for failed, it gives the cold replicas to its
		// own holders. A cold grant is therefore only safe on the majority's side,
		// both before and after the list of live daemons was read.
		return !g.Cold || (majority && h.opt.Visibility.MayUseCold())
	}
	for range maxWitnessTries {
		witness := h.chooseWitness(t, candidates)
		if witness == "" {
			return false
		}
		if h.sendToWitness(ctx, t, g, witness) {
			return true
		}
		candidates = slices.DeleteFunc(candidates, func(id string) bool { return id == witness })
	}
	return false
}

// chooseWitness returns the highest ranked candidate for the slice. Daemons that
// recently did not answer are only chosen if there are no others.
func (h *Home) chooseWitness(t *tenure, candidates []string) string {
	now := time.Now()
	responsive := slices.DeleteFunc(slices.Clone(candidates), func(id string) bool {
		until, ok := h.witnesses.avoidUntil.Get(id)
		return ok && now.Before(until)
	})
	if len(responsive) == 0 {
		responsive = candidates
	}
	return ids.Owner(SliceKey(t.id.Pool, t.id.Slice), responsive)
}

func (h *Home) sendToWitness(ctx context.Context, t *tenure, g *limit.Grant, witness string) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	m := &wire.WitnessUpdate{
		Pool: t.id.Pool, Slice: t.id.Slice, Home: t.id.Home, Term: t.id.Term,
		Grants: []limit.Grant{*g}, Ended: h.witnesses.takeEnded(witness),
	}
	if err := h.opt.Caller.Call(ctx, h.opt.Members.Addr(witness), m, &wire.Ack{}); err != nil {
		h.witnesses.avoidUntil.Set(witness, time.Now().Add(witnessBackoff))
		return false
	}
	h.witnesses.add(g.ID, witness)
	return true
}

// forgetWitnessed arranges for witnesses to drop grants that were released.
func (h *Home) forgetWitnessed(t *tenure, releases []limit.Release) {
	if !h.witnesses.end(releases) {
		return
	}
	time.AfterFunc(endedFlushDelay, func() { h.flushEnded(t) })
}

// flushEnded sends the ended grants that no other message has carried.
func (h *Home) flushEnded(t *tenure) {
	for witness, ended := range h.witnesses.takeAllEnded() {
		m := &wire.WitnessUpdate{Pool: t.id.Pool, Slice: t.id.Slice, Home: t.id.Home, Term: t.id.Term, Ended: ended}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		// If the call fails, the witness drops the grants after their deadlines.
		_ = h.opt.Caller.Call(ctx, h.opt.Members.Addr(witness), m, &wire.Ack{})
		cancel()
	}
}

func (w *witnesses) add(grant, witness string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byGrant[grant] = witness
}

// end marks released grants as ended. It reports whether the caller must schedule
// flushEnded.
func (w *witnesses) end(releases []limit.Release) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range releases {
		if witness, ok := w.byGrant[r.Grant]; ok {
			delete(w.byGrant, r.Grant)
			w.ended[witness] = append(w.ended[witness], r.Grant)
		}
	}
	schedule := len(w.ended) > 0 && !w.flushScheduled
	w.flushScheduled = w.flushScheduled || schedule
	return schedule
}

func (w *witnesses) takeEnded(witness string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ended := w.ended[witness]
	delete(w.ended, witness)
	return ended
}

func (w *witnesses) takeAllEnded() map[string][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := w.ended
	w.ended, w.flushScheduled = make(map[string][]string), false
	return all
}
