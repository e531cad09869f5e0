package fleet

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// history is what a worker remembers beyond the last reports.
type history struct {
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

func newHistory() history {
	return history{
		groups:   make(map[uint64]state.Group),
		ended:    make(map[string]endedVM),
		slow:     make(map[string]time.Time),
		draining: make(map[uint64]time.Time),
	}
}

// track adds to the snapshot's observations what only time shows: since when a
// reservation has been over, and since when a member has been slow.
func (h *history) track(s *group.Snapshot, p group.Policy) {
	h.trackGroups(s, p)
	h.trackEnded(s)
	for vm, o := range s.Observations {
		e := h.ended[vm]
		o.EndedSince, o.EndedBoot = e.since, e.boot
		o.SlowSince = h.slow[vm]
		s.Observations[vm] = o
	}
}

func (h *history) trackGroups(s *group.Snapshot, p group.Policy) {
	slow := make(map[string]time.Time)
	for _, g := range s.Groups {
		h.groups[g.ID] = g
		h.overlaySlow(g, s)
		for vm, since := range group.Slow(g, s.Observations, s.Now, p) {
			if !since.IsZero() {
				slow[vm] = since
			}
		}
	}
	// A VM that left its group stays known as slow until it boots anew or joins
	// another group.
	for vm, since := range h.slow {
		if r, held := s.Reservations[vm]; !held || r.Ended {
			slow[vm] = since
		}
	}
	h.slow = slow
}

func (h *history) overlaySlow(g state.Group, s *group.Snapshot) {
	for _, m := range g.Members {
		o := s.Observations[m.VM]
		o.SlowSince = h.slow[m.VM]
		s.Observations[m.VM] = o
	}
}

func (h *history) trackEnded(s *group.Snapshot) {
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

func (h *history) boot(id uint64, vm string) string {
	for _, m := range h.groups[id].Members {
		if m.VM == vm {
			return m.BootID
		}
	}
	return ""
}

// drains notes since when each group has been draining.
func (h *history) drains(judged []group.Judged, now time.Time) {
	draining := make(map[uint64]time.Time)
	for _, j := range judged {
		if j.Status != replica.Draining {
			continue
		}
		draining[j.Group] = now
		if since, ok := h.draining[j.Group]; ok {
			draining[j.Group] = since
		}
	}
	h.draining = draining
}
