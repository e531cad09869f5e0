package site

import (
	"fmt"
	"sync"
)

// journal records events of all engines of a store for the checks of tests. Its
// lock is separate from those of the store and the engines.
type journal struct {
	mu         sync.Mutex
	engines    map[string]*Engine
	executions []Execution
	// disruptiveJoins describes the joins that took a member from a group whose
	// head was open for requests.
	disruptiveJoins []string
}

func (s *Store) registerEngine(e *Engine) {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	s.journal.engines[e.config.ID] = e
}

func (s *Store) recordExecution(r Execution) {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	s.journal.executions = append(s.journal.executions, r)
}

// Executions returns the executions at all engines so far.
func (s *Store) Executions() []Execution {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	return append([]Execution(nil), s.journal.executions...)
}

// DisruptiveJoins returns descriptions of the joins that took a member from a
// group whose head was open for requests.
func (s *Store) DisruptiveJoins() []string {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	return append([]string(nil), s.journal.disruptiveJoins...)
}

// recordDisruptiveJoin records a join that takes the engine from another group
// whose head is open. It never holds the locks of two engines at a time, which
// could deadlock.
func (s *Store) recordDisruptiveJoin(e *Engine, o orderRequest) {
	e.mu.Lock()
	previous, stale := e.group, o.FencingToken < e.fencingToken || o.Epoch < e.epoch
	e.mu.Unlock()
	if previous.Name == "" || previous.Name == o.Group || stale {
		return
	}
	s.journal.mu.Lock()
	head := s.journal.engines[previous.members[0]]
	s.journal.mu.Unlock()
	if head == nil || head.crashed.Load() {
		return
	}
	head.mu.Lock()
	open := head.group.Name == previous.Name && head.group.State == "open"
	head.mu.Unlock()
	if !open {
		return
	}
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	s.journal.disruptiveJoins = append(s.journal.disruptiveJoins, fmt.Sprintf("%s joined %s while its group %s was open at %s", e.config.ID, o.Group, previous.Name, head.config.ID))
}
