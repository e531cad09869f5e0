// Package engine is a stand-in for model engines. One process simulates one or
// more VMs, each with its own listener. It implements the protocol of package
// target, batches requests, warms up, crashes under overload, and journals what it
// did. It shares no decision logic with the system under test.
package engine

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
)

// MissingMemberPolicy is what a leader does with its streams while a member of its
// group is missing.
type MissingMemberPolicy string

// Policies for a missing member.
const (
	// StallStreams suspends the streams until all members serve again.
	StallStreams MissingMemberPolicy = "stall"
	// ResetStreams resets the connections of the streams.
	ResetStreams MissingMemberPolicy = "cut"
)

// Options configure the engines of one process.
type Options struct {
	// Control is the host:port of the control server for faults and the journal.
	Control string
	// VMs are the VMs to simulate. One with an empty Addr listens on a free port.
	VMs []platform.VM
	// Timing is the durations of loads, steps and reboots.
	Timing Timing
	// Capacity is the concurrency limit of one leader.
	Capacity capacity.Settings
	// WeightsURL is the base URL of the weight store. If it is empty, a load takes
	// Timing.Load instead.
	WeightsURL string
	// IgnoreFencing accepts orders with an outdated fencing token.
	IgnoreFencing bool
	// OnMissingMember is the policy for the streams of an incomplete group.
	OnMissingMember MissingMemberPolicy
	// PrefixCacheSize is the number of prompt prefixes in the cache.
	PrefixCacheSize int
}

// Timing is the durations of an engine's operations.
type Timing struct {
	// Step is the duration of a decoding step with one request, StepPerRequest its
	// growth per further request in the batch.
	Step, StepPerRequest time.Duration
	// Prefill is the time before the first decoding step, PrefillHit that time for
	// a prompt with a cached prefix.
	Prefill, PrefillHit time.Duration
	// Load is the duration of a load without a weight store, CachedLoad that of a
	// load with cached weights.
	Load, CachedLoad time.Duration
	// Boot is the time that a VM needs to reboot after a crash.
	Boot time.Duration
	// MemberCheckInterval is the interval at which a leader checks its members.
	MemberCheckInterval time.Duration
	// LoadReportLag is the maximum age of the load figures in a report,
	// StateReportLag that of its other fields.
	LoadReportLag, StateReportLag time.Duration
}

// PrefixBytes is the length of the prompt prefix that is the key of the prefix
// cache.
const PrefixBytes = 64

// DefaultTiming returns the timing that is used if Options give none. It suits
// tests on one machine.
func DefaultTiming() Timing {
	return Timing{
		Step: 10 * time.Millisecond, StepPerRequest: 200 * time.Microsecond,
		Prefill: 30 * time.Millisecond, PrefillHit: 5 * time.Millisecond,
		Load: 500 * time.Millisecond, CachedLoad: 50 * time.Millisecond,
		Boot: 200 * time.Millisecond, MemberCheckInterval: 100 * time.Millisecond,
		LoadReportLag: 100 * time.Millisecond,
	}
}

// DefaultCapacity returns the capacity that is used if Options give none. It suits
// tests on one machine.
func DefaultCapacity() capacity.Settings {
	return capacity.Settings{ColdLimit: 2, WarmLimit: 32, GrowthPerRequest: 1, QueueLimit: 256}
}

func (o Options) withDefaults() Options {
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
	if o.Capacity == (capacity.Settings{}) {
		o.Capacity = DefaultCapacity()
	}
	if o.OnMissingMember == "" {
		o.OnMissingMember = StallStreams
	}
	if o.PrefixCacheSize <= 0 {
		o.PrefixCacheSize = 64
	}
	if o.Timing.MemberCheckInterval <= 0 {
		o.Timing.MemberCheckInterval = DefaultTiming().MemberCheckInterval
	}
	return o
}
