package site

import (
	"fmt"
	"sync"
)

// journal is what all engines of a store saw, for checks. It has its own lock.
type journal struct {
	mu      sync.Mutex
	engines map[string]*Engine
	runs    []Execution
	// taken are the joins that took a member of a group whose head was open.
	taken []string
}

func (s *Store) register(e *Engine) {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	s.journal.engines[e.c.ID] = e
}

func (s *Store) noteRun(r Execution) {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	s.journal.runs = append(s.journal.runs, r)
}

// Executions returns the starts of requests at all engines so far.
func (s *Store) Executions() []Execution {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	return append([]Execution(nil), s.journal.runs...)
}

// DisruptiveJoins returns the joins that took a member of a group whose head was open.
func (s *Store) DisruptiveJoins() []string {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	return append([]string(nil), s.journal.taken...)
}

// noteJoin looks whether a join takes the engine from a group that serves. It
// holds no two engines' locks at a time.
func (s *Store) noteJoin(e *Engine, o orderCall) {
	e.mu.Lock()
	was, stale := e.group, o.Fence < e.fence || o.Epoch < e.epoch
	e.mu.Unlock()
	if was.Name == "" || was.Name == o.Group || stale {
		return
	}
	s.journal.mu.Lock()
	head := s.journal.engines[was.members[0]]
	s.journal.mu.Unlock()
	if head == nil || head.down.Load() {
		return
	}
	head.mu.Lock()
	open := head.group.Name == was.Name && head.group.State == "open"
	head.mu.Unlock()
	if !open {
		return
	}
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	s.journal.taken = append(s.journal.taken, fmt.Sprintf("%s joined %s while its group %s was open at %s", e.c.ID, o.Group, was.Name, head.c.ID))
}
