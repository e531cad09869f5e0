package group

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// History is what a home remembers of a pool beyond the last reports. It is
// forgotten with the home: a new one begins to wait anew, never too short.
type History struct {
	// groups are those seen in force, kept until their VMs are released.
	groups   map[uint64]state.Group
	ended    map[string]endedVM
	slow     map[string]time.Time
	draining map[uint64]time.Time
}

// endedVM is a VM of an ended group.
type endedVM struct {
	fence uint64
	since time.Time
	boot  string
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

// Track adds to the snapshot's observations what only time shows: since when a
// reservation has been over, since when a member has been slow, and since when a
// group has been drained as of the last Drains.
func (h *History) Track(s *Snapshot, p Policy) {
	h.trackGroups(s, p)
	h.trackEnded(s)
	for vm, o := range s.Observations {
		e := h.ended[vm]
		o.EndedSince, o.EndedBootID = e.since, e.boot
		o.SlowSince = h.slow[vm]
		s.Observations[vm] = o
	}
	s.DrainingSince = h.draining
}

func (h *History) trackGroups(s *Snapshot, p Policy) {
	slow := make(map[string]time.Time)
	for _, g := range s.Groups {
		h.groups[g.ID] = g
		h.overlaySlow(g, s)
	}
	for vm, since := range stragglers(s.Groups, s.Observations, s.Now, p) {
		if !since.IsZero() {
			slow[vm] = since
		}
	}
	// A VM that left its group stays known as slow for a while, so that it is
	// not the first choice of the next group.
	for vm, since := range h.slow {
		r, held := s.Reservations[vm]
		if (!held || r.Ended) && s.Now.Sub(since) < p.FlapWindow {
			slow[vm] = since
		}
	}
	h.slow = slow
}

func (h *History) overlaySlow(g state.Group, s *Snapshot) {
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
			e = endedVM{fence: r.Group, since: s.Now, boot: h.boot(r.Group, vm)}
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

func (h *History) boot(id uint64, vm string) string {
	for _, m := range h.groups[id].Members {
		if m.VM == vm {
			return m.BootID
		}
	}
	return ""
}

// TrackDraining notes since when each group has been draining.
func (h *History) TrackDraining(s *Snapshot, judged []Assessment) {
	draining := make(map[uint64]time.Time)
	for _, j := range judged {
		if j.Status != replica.Draining {
			continue
		}
		draining[j.Group] = s.Now
		if since, ok := h.draining[j.Group]; ok {
			draining[j.Group] = since
		}
	}
	h.draining = draining
	s.DrainingSince = draining
}
