package group

import "time"

// RepairStrategy selects how a broken group is replaced.
type RepairStrategy uint8

// The repair strategies.
const (
	// SpareOrMerge uses spares, and if there are too few, merges several broken
	// groups into one, so that as few VMs as possible wait for failed members.
	SpareOrMerge RepairStrategy = iota
	// OwnMember waits for the failed member to return, without a time limit.
	OwnMember
	// SpareAtOnce uses spares, like SpareOrMerge, but never merges groups.
	SpareAtOnce
)

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

// MaxOrderAge is an upper bound on the time that an order can be in flight:
// senders time out well before. A VM is not released sooner than this after the
// end of its group, so that no late order of the group can reach it.
const MaxOrderAge = 3 * time.Second

// Policy holds the parameters of Assess and Plan.
type Policy struct {
	Repair RepairStrategy
	// ReportTTL is how long a report remains valid.
	ReportTTL time.Duration
	// ObserveWindow is how long a daemon that has just begun to poll a VM waits
	// for the VM's first report before the VM counts as unresponsive.
	ObserveWindow time.Duration
	// UnresponsiveGrace is how long an unresponsive member is waited for before it
	// is replaced, from the first failed poll. A member that refuses connections is
	// replaced at once, since its process has ended.
	UnresponsiveGrace time.Duration
	// OrderResend is the interval after which an order that has shown no effect
	// is sent again.
	OrderResend time.Duration
	// FetchTimeout is how long a VM that already fetches the weights it needs is
	// sent no new load order, which would restart the fetch.
	FetchTimeout time.Duration
	// DisablePrefetch turns off the prefetching of weights by spares.
	DisablePrefetch bool
	// MinDrainTime is the minimum time for which a group is drained, because the
	// reported number of requests lags.
	MinDrainTime time.Duration
	// DrainTimeout is how long requests in flight may delay a replacement.
	DrainTimeout time.Duration
	// RemovedAfter is how long a VM must be absent from the platform's VM list to
	// count as removed.
	RemovedAfter time.Duration
	// FlapWindow is how long an outage of a VM counts as a recent one.
	FlapWindow time.Duration
	// FlapBackoff is how long a VM may join no group after its second outage
	// within FlapWindow; it doubles with each further one, up to FlapBackoffMax.
	FlapBackoff    time.Duration
	FlapBackoffMax time.Duration
	// A member is a straggler if its step time has been at least SlowFactor times
	// the median of the group's other members for SlowAfter.
	SlowFactor float64
	SlowAfter  time.Duration
	// RollingShare is the share of a pool's groups that a rolling update may take
	// out of service at once; it always permits one group.
	RollingShare float64
}

// DefaultPolicy returns the policy of the daemons.
func DefaultPolicy() Policy {
	return Policy{
		Repair:         SpareOrMerge,
		ReportTTL:      2 * time.Second,
		ObserveWindow:  3 * time.Second,
		OrderResend:    time.Second,
		FetchTimeout:   10 * time.Minute,
		MinDrainTime:   2 * time.Second,
		DrainTimeout:   30 * time.Second,
		RemovedAfter:   10 * time.Second,
		FlapWindow:     10 * time.Minute,
		FlapBackoff:    10 * time.Second,
		FlapBackoffMax: 5 * time.Minute,
		SlowFactor:     2,
		SlowAfter:      20 * time.Second,
		RollingShare:   0.25,
	}
}
