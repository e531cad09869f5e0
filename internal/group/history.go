package group

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// History holds what a pool's home, the daemon that manages the pool, derives
// from successive snapshots. It is not handed over: the next home measures all
// durations from its own start, so its waits can be too long but never too short.
type History struct {
	// groups holds the groups of past snapshots until all their VMs are released.
	groups map[uint64]state.Group
	// ended holds the VMs whose reservation has ended and is not released yet.
	ended map[string]endedVM
	// slow is when each slow VM was first seen to be slow.
	slow map[string]time.Time
	// draining is when each draining group was first seen to drain.
	draining map[uint64]time.Time
}

// endedVM is a VM of an ended group: the group's fencing token, when its end
// was first seen, and the VM's boot id as a member, if known.
type endedVM struct {
	fence  uint64
	since  time.Time
	bootID string
}

// NewHistory returns an empty History.
func NewHistory() *History {
	return &History{
		groups:   make(map[uint64]state.Group),
		ended:    make(map[string]endedVM),
		slow:     make(map[string]time.Time),
		draining: make(map[uint64]time.Time),
	}
}

// Track updates the history from the snapshot and adds to its observations since
// when a reservation has ended and since when a VM has been slow. It also sets
// since when each group has been draining, as of the last TrackDraining.
func (h *History) Track(s *Snapshot, p Policy) {
	h.trackGroups(s, p)
	h.trackEnded(s)
	for vm, o := range s.Observations {
		e := h.ended[vm]
		o.EndedSince, o.EndedBootID = e.since, e.bootID
		o.SlowSince = h.slow[vm]
		s.Observations[vm] = o
	}
	s.DrainingSince = h.draining
}

func (h *History) trackGroups(s *Snapshot, p Policy) {
	slow := make(map[string]time.Time)
	for _, g := range s.Groups {
		h.groups[g.ID] = g
		h.copySlowSince(g, s)
	}
	for vm, since := range stragglers(s.Groups, s.Observations, s.Now, p) {
		if !since.IsZero() {
			slow[vm] = since
		}
	}
	// A VM that is in no group any more counts as slow for the flap window, so
	// that new groups prefer other VMs.
	for vm, since := range h.slow {
		r, held := s.Reservations[vm]
		if (!held || r.Ended) && s.Now.Sub(since) < p.FlapWindow {
			slow[vm] = since
		}
	}
	h.slow = slow
}

func (h *History) copySlowSince(g state.Group, s *Snapshot) {
	for _, m := range g.Members {
		o := s.Observations[m.VM]
		o.SlowSince = h.slow[m.VM]
		s.Observations[m.VM] = o
	}
}

func (h *History) trackEnded(s *Snapshot) {
	ended := make(map[string]endedVM)
	held := make(map[uint64]bool)
	for vm, r := range s.Reservations {
		held[r.Group] = true
		if !r.Ended {
			continue
		}
		e, known := h.ended[vm]
		if !known || e.fence != r.Group {
			e = endedVM{fence: r.Group, since: s.Now, bootID: h.memberBootID(r.Group, vm)}
		}
		ended[vm] = e
	}
	h.ended = ended
	for id := range h.groups {
		if !held[id] {
			delete(h.groups, id)
		}
	}
}

func (h *History) memberBootID(id uint64, vm string) string {
	for _, m := range h.groups[id].Members {
		if m.VM == vm {
			return m.BootID
		}
	}
	return ""
}

// TrackDraining records since when each group has been draining, and sets it in
// the snapshot.
func (h *History) TrackDraining(s *Snapshot, assessments []Assessment) {
	draining := make(map[uint64]time.Time)
	for _, a := range assessments {
		if a.Status != replica.Draining {
			continue
		}
		draining[a.Group] = s.Now
		if since, ok := h.draining[a.Group]; ok {
			draining[a.Group] = since
		}
	}
	h.draining = draining
	s.DrainingSince = draining
}
