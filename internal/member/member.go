// Package member implements the failure detector of the daemons. It follows SWIM
// (Das, Gupta and Motivala, 2002): round-robin probes, indirect probes, suspicion
// with incarnation numbers, and membership updates piggybacked on probes, at a
// cost per daemon that does not grow with the number of daemons. The local health
// score of Lifeguard (Dadgar, Phillips and Currey, 2017) allows for an observer
// that is itself slow. The membership is a hint, never a proof: two daemons may
// disagree on which members are live.
//
// The package performs no I/O and reads no clock. Its inputs are messages, times
// and random numbers, its outputs are actions that package gossip carries out. A
// Detector is not safe for concurrent use.
package member

import (
	"math/rand/v2"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Status is the state of a member as a detector knows it.
type Status uint8

// The statuses. Of two records of the same incarnation and process, the one with
// the higher status supersedes the other.
const (
	// Alive is the status of a member that no member suspects.
	Alive Status = iota
	// Suspect is the status of a member that failed a probe and may still refute
	// the suspicion.
	Suspect
	// Dead is the status of a member whose suspicion was not refuted in time.
	Dead
	// Left is the status of a member that announced its shutdown.
	Left
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "left"
	}
}

// Node is the record of one member.
type Node struct {
	ID   string
	Addr string
	// BootID identifies the process; a restarted member has a new one.
	BootID string
	// Incarnation orders the records of the member. Only the member itself raises it.
	Incarnation uint64
	Status      Status
}

// Live reports whether the member counts as live. A suspect does until it is
// declared dead.
func (n Node) Live() bool { return n.Status == Alive || n.Status == Suspect }

// Meta is the state that a member publishes about its view of the control
// stream.
type Meta struct {
	Epoch  uint32
	Offset uint64
	Digest uint64
	// LogAge is the time since the member last read the log, as of UpdatedAt.
	LogAge time.Duration
	// UnixMS is the member's wall clock, in Unix milliseconds, when it set the
	// Meta. It orders the Metas of one member.
	UnixMS int64
	// UpdatedAt is the local time to which the Meta applies.
	UpdatedAt time.Time
}

// Limits on the data that peers can make this daemon store and send.
const (
	// MaxIDBytes and MaxAddrBytes keep the largest record small enough for a
	// message to fit in one datagram.
	MaxIDBytes     = 63
	MaxAddrBytes   = 63
	maxBootIDBytes = 32
	// maxMembers bounds the member table, including dead members.
	maxMembers = 4096
	// MaxUpdates and MaxMetas bound the updates and metas in one message.
	MaxUpdates = 5
	MaxMetas   = 3
)

// Options configure a Detector. Interval, ProbeTimeout and DeadRetention
// default when they are zero.
type Options struct {
	ID     string
	Addr   string
	BootID string
	// Incarnation is the initial incarnation. It need not exceed that of an
	// earlier process, since the detector raises it when it receives a record
	// of that process.
	Incarnation uint64
	// Seeds are the addresses of peers to contact first.
	Seeds []string
	// Interval is the time between two probes of a healthy detector.
	Interval time.Duration
	// ProbeTimeout is the wait for a direct Ack before indirect probes are
	// sent.
	ProbeTimeout time.Duration
	// DeadRetention is how long a dead member is kept in the table and still
	// pinged.
	DeadRetention time.Duration
	// Rand shuffles the probe order and picks random members.
	Rand *rand.Rand
}

const (
	defaultInterval      = time.Second
	defaultDeadRetention = 10 * time.Minute
	// probeTimeoutDivisor gives the default ProbeTimeout as a fraction of
	// Interval.
	probeTimeoutDivisor = 4
)

// validate checks the options and fills in defaults.
func (o *Options) validate() error {
	if o.ID == "" || len(o.ID) > MaxIDBytes {
		return fault.Invalid("daemon.id", "use 1 to 63 bytes", "id has %d bytes", len(o.ID))
	}
	if o.Addr == "" || len(o.Addr) > MaxAddrBytes {
		return fault.Invalid("listen.peers", "use host:port of at most 63 bytes", "address has %d bytes", len(o.Addr))
	}
	if o.BootID == "" || len(o.BootID) > maxBootIDBytes {
		return fault.Invalid("boot id", "use 1 to 32 bytes", "boot id has %d bytes", len(o.BootID))
	}
	if o.Interval <= 0 {
		o.Interval = defaultInterval
	}
	if o.ProbeTimeout <= 0 {
		o.ProbeTimeout = o.Interval / probeTimeoutDivisor
	}
	if o.DeadRetention <= 0 {
		o.DeadRetention = defaultDeadRetention
	}
	return nil
}
