// Package member is the failure detector of the daemons: probes in round-robin
// order, indirect probes, suspicion and incarnations, and facts spread with the
// probes at a cost per daemon that does not grow with their number (SWIM: Das,
// Gupta and Motivala, 2002), with the local health of Lifeguard (Dadgar,
// Phillips and Currey, 2017) for an observer that is itself slow. What it says
// is a hint, never a proof: two daemons may disagree on who is live.
//
// The package is pure. Messages, times and random numbers come in, actions go
// out; package gossip carries them. A Detector is not safe for concurrent use.
package member

import (
	"math/rand/v2"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Status is what is believed of a member.
type Status uint8

// The statuses. At equal incarnations the higher one wins.
const (
	// Alive is the status of a member that nobody accuses.
	Alive Status = iota
	// Suspect means that a probe failed and the member may still refute it.
	Suspect
	// Dead means that nobody refuted the suspicion in time.
	Dead
	// Left means that the member said that it ends.
	Left
)

// String returns the status's name.
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

// Node is what is known of one member.
type Node struct {
	ID   string
	Addr string
	// BootID names the process; a restarted member has a new one.
	BootID string
	// Incarnation orders facts about the member. Only the member itself raises it.
	Incarnation uint64
	Status      Status
}

// Live reports whether the node counts as live: suspects do until they are dead.
func (n Node) Live() bool { return n.Status == Alive || n.Status == Suspect }

// Meta is what a member says of its own view of the control stream.
type Meta struct {
	Epoch  uint32
	Offset uint64
	Digest uint64
	// LogAge is the time since the member last read the log.
	LogAge time.Duration
	// UnixMS is the member's clock, in Unix milliseconds: it orders a member's metas.
	UnixMS int64
	// UpdatedAt is when the member said it, by the reader's clock.
	UpdatedAt time.Time
}

// Limits on what peers can make this daemon store and send.
const (
	// MaxIDBytes and MaxAddrBytes keep a message within one datagram.
	MaxIDBytes   = 63
	MaxAddrBytes = 63
	maxBootBytes = 32
	// maxMembers bounds the table, dead members included.
	maxMembers = 4096
	// MaxUpdates and MaxMetas bound a message.
	MaxUpdates = 5
	MaxMetas   = 3
)

// Options configure a Detector; zero times take defaults.
type Options struct {
	ID     string
	Addr   string
	BootID string
	// Incarnation is the first one; it need not exceed that of an earlier boot.
	Incarnation uint64
	// Seeds are addresses to start from.
	Seeds []string
	// Interval is the time between two probes.
	Interval time.Duration
	// ProbeTimeout is the wait for a direct answer, before others are asked.
	ProbeTimeout time.Duration
	// DeadRetention is how long a dead member is remembered and still contacted.
	DeadRetention time.Duration
	// Rand shuffles and samples.
	Rand *rand.Rand
}

const (
	defaultInterval = time.Second
	defaultKeep     = 10 * time.Minute
	// probeShare is the part of the interval that a direct answer may take.
	probeShare = 4
)

func (o *Options) complete() error {
	if o.ID == "" || len(o.ID) > MaxIDBytes {
		return fault.Invalid("daemon.id", "use 1 to 63 bytes", "%d bytes", len(o.ID))
	}
	if o.Addr == "" || len(o.Addr) > MaxAddrBytes {
		return fault.Invalid("listen.peers", "use host:port of at most 63 bytes", "%d bytes", len(o.Addr))
	}
	if o.BootID == "" || len(o.BootID) > maxBootBytes {
		return fault.Invalid("boot id", "use 1 to 32 bytes", "%d bytes", len(o.BootID))
	}
	if o.Interval <= 0 {
		o.Interval = defaultInterval
	}
	if o.ProbeTimeout <= 0 {
		o.ProbeTimeout = o.Interval / probeShare
	}
	if o.DeadRetention <= 0 {
		o.DeadRetention = defaultKeep
	}
	return nil
}
