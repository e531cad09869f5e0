package view

import (
	"context"
	"sync"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// signal wakes all who wait for the next change.
type signal struct {
	mu sync.Mutex
	ch chan struct{} // nil while nobody waits
}

func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *signal) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}

// head is the last published position. It is set after the rows of its record,
// so a reader that saw the position also sees the rows.
type head struct {
	mu      sync.RWMutex
	pos     state.Position
	started bool
}

func (h *head) get() (state.Position, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.pos, h.started
}

func (h *head) set(pos state.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pos, h.started = pos, true
}

// Changed returns a channel that is closed at the next move of Position. Read
// it before checking the condition, then wait, then check again.
func (v *View) Changed() <-chan struct{} { return v.changed.wait() }

// WaitPosition waits until the view has folded pos.
func (v *View) WaitPosition(ctx context.Context, pos state.Position) error {
	for {
		changed := v.Changed()
		if at, started := v.head.get(); started && !at.Before(pos) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Wrap(fault.Timeout, ctx.Err(), "check the log's state and try again", "position %s was not reached", pos)
		}
	}
}

// WaitVerdict waits until the record with the given id is decided.
func (v *View) WaitVerdict(ctx context.Context, recordID string) (state.Verdict, error) {
	for {
		changed := v.verdicts.Changed(recordID)
		if verdict, ok := v.verdicts.Get(recordID); ok {
			return verdict, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return state.Verdict{}, fault.Wrap(fault.Timeout, ctx.Err(), "look the record up in the audit", "record %s was not read back", recordID)
		}
	}
}

// Verdict returns the verdict on a recent record.
func (v *View) Verdict(recordID string) (state.Verdict, bool) { return v.verdicts.Get(recordID) }
