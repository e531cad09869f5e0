package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// home simulates one daemon that acts as the pool's home.
type home struct {
	site         *simSite
	policy       Policy
	observations map[string]Observation
	history      *History
	// lag is the age of its view of the control state, and delay the time until
	// its records and orders arrive, both in ticks.
	lag, delay int
	// ignoreStoreLimit omits the weight store's limit from the snapshot.
	ignoreStoreLimit bool
	records          int
	busyUntil        time.Time
	name             string
	assessments      []Assessment
}

func newHome(site *simSite, name string, p Policy) *home {
	h := &home{site: site, policy: p, name: name, observations: make(map[string]Observation), history: NewHistory()}
	for vm := range site.vms {
		h.observations[vm] = Observation{WatchedSince: site.now}
	}
	return h
}

func (h *home) observe() {
	for vm, m := range h.site.vms {
		o := h.observations[vm]
		if m.up && !m.paused {
			h.observations[vm] = o.WithReport(m.report(vm), h.site.now, h.policy)
		} else {
			h.observations[vm] = o.WithFailure(!m.up, h.site.now)
		}
	}
}

func (h *home) view() *state.State {
	if h.lag == 0 || len(h.site.pastStates) < h.lag {
		// No state of that age is available, so the view is current.
		return h.site.state
	}
	return h.site.pastStates[len(h.site.pastStates)-h.lag]
}

func (h *home) snapshot() Snapshot {
	st := h.view()
	row, ok := st.Pools["p"]
	s := Snapshot{
		Now: h.site.now, AppliedFence: st.Pos.Fence(), Pool: row.Pool, PoolExists: ok, Reservations: st.VMs, VMs: h.site.vmList,
		VMsListed: true, Observations: make(map[string]Observation), WeightStore: WeightStore{Concurrent: h.site.storeSlots, Active: h.site.fetches()},
	}
	if h.ignoreStoreLimit {
		s.WeightStore = WeightStore{}
	}
	for _, g := range st.Groups {
		s.Groups = append(s.Groups, g)
	}
	slices.SortFunc(s.Groups, func(a, b state.Group) int { return cmp.Compare(a.ID, b.ID) })
	for vm, o := range h.observations {
		s.Observations[vm] = o
	}
	return s
}

// step polls the VMs, assesses the groups, and carries out the plan's actions. It
// proposes no further records until the last ones can be visible in its view.
func (h *home) step() {
	h.observe()
	s := h.snapshot()
	h.history.Track(&s, h.policy)
	h.assessments = Assess(s, h.policy)
	h.history.TrackDraining(&s, h.assessments)
	proposed := false
	for _, a := range Plan(s, h.policy) {
		if o, ok := a.(SendOrder); ok {
			h.send(o)
			continue
		}
		proposed = h.propose(a) || proposed
	}
	if proposed {
		h.busyUntil = h.site.now.Add(time.Duration(h.lag+h.delay+1) * tick)
	}
}

func (h *home) send(o SendOrder) {
	ob := h.observations[o.VM]
	ob.LastOrder, ob.LastOrderAt, ob.LastOrderAcked = o.Order, h.site.now, true
	h.observations[o.VM] = ob
	h.site.orders = append(h.site.orders, pending[SendOrder]{h.site.now.Add(time.Duration(h.delay) * tick), o})
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
	if h.site.now.Before(h.busyUntil) {
		return false
	}
	h.records++
	rec.ID = fmt.Sprintf("%s-%d", h.name, h.records)
	h.site.records = append(h.site.records, pending[*state.Record]{h.site.now.Add(time.Duration(h.delay) * tick), rec})
	return true
}

func (h *home) serving() (out []uint64) {
	for _, a := range h.assessments {
		if a.Status == replica.Serving {
			out = append(out, a.Group)
		}
	}
	return out
}
