package group

import "time"

// RepairStrategy names a way to mend a broken group.
type RepairStrategy uint8

// The ways to mend a broken group.
const (
	// SpareOrMerge takes a spare, or else makes one group of several broken
	// ones, so that as few VMs as possible wait for those that are missing.
	SpareOrMerge RepairStrategy = iota
	// OwnMember waits for the lost member, however long that takes.
	OwnMember
	// SpareAtOnce takes a spare as soon as a member is missing, never merges.
	SpareAtOnce
)

// String returns the repair's name.
func (r RepairStrategy) String() string {
	switch r {
	case OwnMember:
		return "own-member"
	case SpareAtOnce:
		return "spare-at-once"
	default:
		return "spare-or-merge"
	}
}

// MaxOrderAge is longer than an order can be under way: a sender gives up
// well before. A VM is released no sooner than this after its group ended.
const MaxOrderAge = 3 * time.Second

// Policy holds the knobs of Judge and Plan.
type Policy struct {
	Repair RepairStrategy
	// ReportTTL is how long a report counts.
	ReportTTL time.Duration
	// ObserveWindow is how long a VM that was never heard of gets to report
	// before it counts as lost.
	ObserveWindow time.Duration
	// SilentGrace is how long a member that does not answer is waited for before
	// it is replaced; it counts from the first failed attempt. A member whose
	// port refuses connections is not waited for: its process has ended.
	SilentGrace time.Duration
	// OrderResend is the wait before an order without effect is sent again.
	OrderResend time.Duration
	// FetchTimeout is how long a VM that fetches weights it is to load anyway is
	// left to it, rather than ordered to begin again.
	FetchTimeout time.Duration
	// DisablePrefetch leaves spares without weights until they are needed.
	DisablePrefetch bool
	// MinDrainTime is how long a group is drained at least: reports lag.
	MinDrainTime time.Duration
	// DrainTimeout is how long requests in flight may hold up a replacement.
	DrainTimeout time.Duration
	// GoneAfter is how long a VM must be off the list to count as gone.
	GoneAfter time.Duration
	// FlapWindow is how long an outage of a VM is remembered.
	FlapWindow time.Duration
	// FlapBackoff is the wait after a VM's second outage within the window; it
	// doubles with each further one, up to FlapBackoffMax.
	FlapBackoff    time.Duration
	FlapBackoffMax time.Duration
	// SlowFactor over the median step of the group's other members, for
	// SlowAfter, makes a member a straggler.
	SlowFactor float64
	SlowAfter  time.Duration
	// RollingShare is the share of a pool's groups that may be out of service
	// at once for a new model or version; at least one group always may.
	RollingShare float64
}

// DefaultPolicy returns the policy that daemons use.
func DefaultPolicy() Policy {
	return Policy{
		Repair:         SpareOrMerge,
		ReportTTL:      2 * time.Second,
		ObserveWindow:  3 * time.Second,
		OrderResend:    time.Second,
		FetchTimeout:   10 * time.Minute,
		MinDrainTime:   2 * time.Second,
		DrainTimeout:   30 * time.Second,
		GoneAfter:      10 * time.Second,
		FlapWindow:     10 * time.Minute,
		FlapBackoff:    10 * time.Second,
		FlapBackoffMax: 5 * time.Minute,
		SlowFactor:     2,
		SlowAfter:      20 * time.Second,
		RollingShare:   0.25,
	}
}
