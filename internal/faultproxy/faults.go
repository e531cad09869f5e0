// Package faultproxy is a TCP and UDP proxy that injects faults into the traffic
// between two processes. Each link forwards one listen address to one target and
// has its own set of faults. The proxy does not parse the traffic.
package faultproxy

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Direction is the direction of traffic through a link.
type Direction int

const (
	// ToTarget is traffic from the client to the target.
	ToTarget Direction = iota
	// ToClient is traffic from the target to the client.
	ToClient
)

// AllResponses is the value of Faults.DropResponses that drops every response.
const AllResponses = -1

// Faults is the set of faults of one link. The zero value injects none. Data that
// a TCP link holds back is not lost: as with TCP retransmission, it is delivered
// once the fault is cleared, if the connection is still open. A UDP link drops
// datagrams instead of holding them back.
type Faults struct {
	// Refuse closes the listener of a TCP link, so that new connections are refused. A
	// UDP link drops all datagrams.
	Refuse bool `json:"refuse,omitempty"`
	// DelayMS is the latency added in each direction, in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// HoldToTarget and HoldToClient block all traffic in the named direction.
	HoldToTarget bool `json:"hold_to_target,omitempty"`
	HoldToClient bool `json:"hold_to_client,omitempty"`
	// BlackHole forwards the first BlackHoleAfter bytes of each connection and
	// direction and blocks all later ones.
	BlackHole      bool  `json:"black_hole,omitempty"`
	BlackHoleAfter int64 `json:"black_hole_after,omitempty"`
	// DropResponses is the number of responses still to be dropped, or
	// AllResponses. A TCP link resets the connection when the target starts to
	// respond, so the target has received the request; a UDP link drops one
	// datagram from the target.
	DropResponses int `json:"drop_answers,omitempty"`
	// ClientIPs limits all faults but Refuse to clients with these IP addresses;
	// empty means all clients.
	ClientIPs []string `json:"from,omitempty"`
}

// faultState holds the current faults of a link and signals each change.
type faultState struct {
	mu      sync.Mutex
	current Faults
	changed chan struct{} // closed and replaced when the faults change
}

func newFaultState() *faultState { return &faultState{changed: make(chan struct{})} }

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.changed
}

// takeResponseDrop reports whether the next response must be dropped, and counts
// it against DropResponses.
func (s *faultState) takeResponseDrop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.DropResponses > 0 {
		s.current.DropResponses--
		return true
	}
	return s.current.DropResponses == AllResponses
}

// forClient returns the faults that apply to the client.
func (f Faults) forClient(client net.IP) Faults {
	if len(f.ClientIPs) == 0 || slices.Contains(f.ClientIPs, client.String()) {
		return f
	}
	return Faults{Refuse: f.Refuse}
}

// allowedBytes returns how many more bytes may be forwarded in direction d of a
// connection that has forwarded n bytes so far; a negative result means no limit.
func (f Faults) allowedBytes(d Direction, n int64) int64 {
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
