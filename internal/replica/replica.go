// Package replica defines the unit to which requests are sent: a complete group
// of engines, or one VM of a plain service. It holds types only and does no I/O.
package replica

import (
	"strconv"
	"time"
)

// Status tells whether a replica may be sent requests.
type Status uint8

// The statuses of a replica.
const (
	// Broken means that a member does not answer, has rebooted, or has not been
	// observed yet.
	Broken Status = iota
	// Loading means that all members answer, and at least one is not ready yet.
	Loading
	// Serving means that the latest reports of all members are recent and show
	// them ready for this group.
	Serving
	// Draining means that the replica must get no new requests: a member is
	// leaving, its failure domain is withdrawn, or the group is to be replaced.
	Draining
)

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

// Replica is one unit to which requests can be sent.
type Replica struct {
	// ID is unique within the pool; see GroupID and ServiceID.
	ID   string
	Pool string
	// Group is the group's id, which is also its fencing token; 0 for a plain
	// service.
	Group uint64
	// Incarnation changes when any member reboots. A replica with a new incarnation
	// is cold: it starts again at the pool's cold limit.
	Incarnation string
	// Leader is the VM that accepts requests, and Addr its host:port.
	Leader        string
	Addr          string
	FailureDomain string
	Status        Status
	// Reason explains a Status other than Serving; empty if the replica serves.
	Reason string
	// Inflight is the number of requests in flight in the leader's last report,
	// which lags; ReportedAt is the arrival time of that report.
	Inflight   int
	ReportedAt time.Time
}

// GroupID returns the replica id of the group with the given fencing token.
func GroupID(fence uint64) string { return "group-" + strconv.FormatUint(fence, 10) }

// ServiceID returns the replica id of a plain service's VM, which is a replica by
// itself.
func ServiceID(vm string) string { return "vm-" + vm }
