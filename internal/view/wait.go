package view

import (
	"context"
	"sync"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// broadcast wakes all goroutines that wait for the next change.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{} // closed by notify; nil while nobody waits
}

func (s *broadcast) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *broadcast) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}

// publishedPosition is the position that readers see. It is set after the rows
// of its record are published, so a reader of the position also sees the rows.
type publishedPosition struct {
	mu      sync.RWMutex
	pos     state.Position
	started bool
}

func (h *publishedPosition) get() (state.Position, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.pos, h.started
}

func (h *publishedPosition) set(pos state.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pos, h.started = pos, true
}

// Changed returns a channel that is closed when Position changes next. To wait
// for a condition, call Changed first, then check the condition, then receive
// from the channel and start over.
func (v *View) Changed() <-chan struct{} { return v.changed.wait() }

// WaitPosition waits until the view has reached pos.
func (v *View) WaitPosition(ctx context.Context, pos state.Position) error {
	for {
		changed := v.Changed()
		if current, started := v.head.get(); started && !current.Before(pos) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Wrap(fault.Timeout, ctx.Err(), "check that the platform's log is reachable, then try again", "the view did not reach position %s in time", pos)
		}
	}
}

// WaitVerdict waits until the record with the given id is applied and returns
// the verdict.
func (v *View) WaitVerdict(ctx context.Context, recordID string) (state.Verdict, error) {
	for {
		changed := v.verdicts.Changed(recordID)
		if verdict, ok := v.verdicts.Get(recordID); ok {
			return verdict, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return state.Verdict{}, fault.Wrap(fault.Timeout, ctx.Err(), "look the record up in the audit", "record %s was not read back from the log in time", recordID)
		}
	}
}

// Verdict returns the verdict on a recent record, if there is one.
func (v *View) Verdict(recordID string) (state.Verdict, bool) { return v.verdicts.Get(recordID) }
