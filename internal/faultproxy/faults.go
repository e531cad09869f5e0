// Package faultproxy is a small TCP and UDP proxy that injects faults into the
// traffic between two processes. Each link forwards one address to one target
// and has its own switches. It does not look into what it forwards.
package faultproxy

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Direction is the way that bytes take through a link.
type Direction int

// The directions.
const (
	// ToTarget is from the side that connects to the side that listens.
	ToTarget Direction = iota
	// ToClient is the way back.
	ToClient
)

// AllResponses as Faults.DropAnswers loses every answer.
const AllResponses = -1

// Faults are the switches of one link. The zero value forwards faithfully.
// What a TCP link withholds is not lost: as on a real network, it arrives once
// the fault is healed, if the connection still stands.
type Faults struct {
	// Refuse closes the listener: new connections are refused.
	Refuse bool `json:"refuse,omitempty"`
	// DelayMS delays everything, in each direction.
	DelayMS int `json:"delay_ms,omitempty"`
	// HoldToTarget and HoldToClient let nothing pass in that direction.
	HoldToTarget bool `json:"hold_to_target,omitempty"`
	HoldToClient bool `json:"hold_to_client,omitempty"`
	// BlackHole lets BlackHoleAfter bytes of each connection and direction pass,
	// and nothing after them.
	BlackHole      bool  `json:"black_hole,omitempty"`
	BlackHoleAfter int64 `json:"black_hole_after,omitempty"`
	// DropResponses is the number of further answers that are lost: a TCP
	// connection is reset when its target begins to answer, so the request has
	// reached it; a UDP link drops a datagram. AllAnswers means all.
	DropResponses int `json:"drop_answers,omitempty"`
	// ClientIPs limits what is held, delayed or black-holed to clients with these IP
	// numbers; empty means all clients.
	ClientIPs []string `json:"from,omitempty"`
}

// switches are the faults in force and the signal of their change.
type switches struct {
	mu      sync.Mutex
	now     Faults
	changed chan struct{} // closed and replaced at each change
}

func newSwitches() *switches { return &switches{changed: make(chan struct{})} }

func (s *switches) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *switches) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now, s.changed
}

// takeAnswer reports whether one more answer is to be lost.
func (s *switches) takeAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now.DropResponses > 0 {
		s.now.DropResponses--
		return true
	}
	return s.now.DropResponses == AllResponses
}

// of returns the faults that hold for a client.
func (f Faults) of(client net.IP) Faults {
	if len(f.ClientIPs) == 0 || slices.Contains(f.ClientIPs, client.String()) {
		return f
	}
	return Faults{Refuse: f.Refuse}
}

// allowance is the number of bytes that may pass now in direction d of a
// connection that has passed n bytes; below zero it is without bound.
func (f Faults) allowance(d Direction, n int64) int64 {
	if f.holds(d) {
		return 0
	}
	if f.BlackHole {
		return max(f.BlackHoleAfter-n, 0)
	}
	return -1
}

func (f Faults) holds(d Direction) bool {
	if d == ToTarget {
		return f.HoldToTarget
	}
	return f.HoldToClient
}

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }
