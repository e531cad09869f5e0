// Package replica defines what can be sent work: a complete group of engines or
// one VM of a plain service. It is pure.
package replica

import (
	"strconv"
	"time"
)

// Status says whether a replica may receive work.
type Status uint8

// The statuses of a replica.
const (
	// Broken means that a member is missing or does not report as expected.
	Broken Status = iota
	// Loading means that all members are at work on becoming ready.
	Loading
	// Serving means that all members freshly report as expected.
	Serving
	// Draining means that no new work may be sent: a member leaves, its failure
	// domain is withdrawn, or the group is about to end.
	Draining
)

// String returns the status's name.
func (s Status) String() string {
	switch s {
	case Loading:
		return "loading"
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	default:
		return "broken"
	}
}

// Replica is one unit that can be sent work.
type Replica struct {
	// ID is unique within the pool; see GroupID and ServiceID.
	ID   string
	Pool string
	// Group is the fencing number; 0 for a plain service.
	Group uint64
	// Incarnation changes when any member boots anew: the replica is then cold.
	Incarnation string
	// Leader is the VM that takes requests, Addr its host:port.
	Leader        string
	Addr          string
	FailureDomain string
	Status        Status
	// Reason says why the replica does not serve.
	Reason string
	// Inflight is the leader's report, which lags; ReportedAt is its arrival.
	Inflight   int
	ReportedAt time.Time
}

// GroupID returns the replica id of a group.
func GroupID(fence uint64) string { return "group-" + strconv.FormatUint(fence, 10) }

// ServiceID returns the replica id of a plain service's VM.
func ServiceID(vm string) string { return "vm-" + vm }
