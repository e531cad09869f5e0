package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// home is one daemon that believes to be the pool's home.
type home struct {
	w       *world
	policy  Policy
	obs     map[string]Observation
	history *History
	// lag is the age of its view in ticks, delay that of what it sends.
	lag, delay int
	// unqueue hides the weight store's limit from the plan.
	unqueue   bool
	records   int
	busyUntil time.Time
	name      string
	judged    []Assessment
}

func newHome(w *world, name string, p Policy) *home {
	h := &home{w: w, policy: p, name: name, obs: make(map[string]Observation), history: NewHistory()}
	for vm := range w.vms {
		h.obs[vm] = Observation{WatchedSince: w.now}
	}
	return h
}

func (h *home) observe() {
	for vm, m := range h.w.vms {
		o := h.obs[vm]
		if m.up && !m.paused {
			h.obs[vm] = o.WithReport(m.report(vm), h.w.now, h.policy)
		} else {
			h.obs[vm] = o.WithFailure(!m.up, h.w.now)
		}
	}
}

func (h *home) view() *state.State {
	if h.lag == 0 || len(h.w.past) < h.lag {
		// Nothing older is kept: the view is current.
		return h.w.state
	}
	return h.w.past[len(h.w.past)-h.lag]
}

func (h *home) snapshot() Snapshot {
	st := h.view()
	row, ok := st.Pools["p"]
	s := Snapshot{
		Now: h.w.now, AppliedFence: st.Pos.Fence(), Pool: row.Pool, PoolExists: ok, Reservations: st.VMs, VMs: h.w.list,
		VMsListed: true, Observations: make(map[string]Observation), WeightStore: WeightStore{Concurrent: h.w.slots, Active: h.w.fetches()},
	}
	if h.unqueue {
		s.WeightStore = WeightStore{}
	}
	for _, g := range st.Groups {
		s.Groups = append(s.Groups, g)
	}
	slices.SortFunc(s.Groups, func(a, b state.Group) int { return cmp.Compare(a.ID, b.ID) })
	for vm, o := range h.obs {
		s.Observations[vm] = o
	}
	return s
}

// act observes, judges, plans and carries out.
func (h *home) act() {
	h.observe()
	s := h.snapshot()
	h.history.Track(&s, h.policy)
	h.judged = Assess(s, h.policy)
	h.history.TrackDraining(&s, h.judged)
	proposed := false
	for _, a := range Plan(s, h.policy) {
		if o, ok := a.(SendOrder); ok {
			h.send(o)
			continue
		}
		proposed = h.propose(a) || proposed
	}
	if proposed {
		h.busyUntil = h.w.now.Add(time.Duration(h.lag+h.delay+1) * tick)
	}
}

func (h *home) send(o SendOrder) {
	ob := h.obs[o.VM]
	ob.LastOrder, ob.LastOrderAt, ob.LastOrderAcked = o.Order, h.w.now, true
	h.obs[o.VM] = ob
	h.w.orders = append(h.w.orders, pending[SendOrder]{h.w.now.Add(time.Duration(h.delay) * tick), o})
}

func (h *home) propose(a Action) bool {
	rec := &state.Record{Author: h.name}
	switch a := a.(type) {
	case ProposeForm:
		rec.Form = &a.Form
	case ProposeRetire:
		rec.Retire = &a.Retire
	case ProposeRelease:
		rec.Release = &a.Release
	default:
		return false
	}
	if h.w.now.Before(h.busyUntil) {
		return false
	}
	h.records++
	rec.ID = fmt.Sprintf("%s-%d", h.name, h.records)
	h.w.records = append(h.w.records, pending[*state.Record]{h.w.now.Add(time.Duration(h.delay) * tick), rec})
	return true
}

func (h *home) serving() (out []uint64) {
	for _, j := range h.judged {
		if j.Status == replica.Serving {
			out = append(out, j.Group)
		}
	}
	return out
}
