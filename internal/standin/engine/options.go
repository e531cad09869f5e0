// Package engine is a stand-in for model engines: one process plays one or many
// VMs, each with a listener of its own. It follows the protocol in package
// target, batches, warms up, falls over when pushed too hard, and journals what
// it really did. It takes no decision of the system under test.
package engine

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
)

// MissingMemberPolicy says what a leader does with its streams while a member of its
// group is missing.
type MissingMemberPolicy string

// The policies.
const (
	// StallStreams holds the streams.
	StallStreams MissingMemberPolicy = "stall"
	// ResetStreams resets them.
	ResetStreams MissingMemberPolicy = "cut"
)

// Options set up the engines of one process.
type Options struct {
	// Control is the host:port of the control server: journal and faults.
	Control string
	// VMs are the machines to play; an empty Addr is bound to a free port.
	VMs []platform.VM
	// Timing sets how long things take.
	Timing Timing
	// Capacity sets what one leader bears.
	Capacity capacity.Settings
	// WeightsURL is the weight store; "" loads by a local timer.
	WeightsURL string
	// IgnoreFencing takes orders in whatever order they arrive.
	IgnoreFencing bool
	// OnMissingMember says what happens to streams of an incomplete group.
	OnMissingMember MissingMemberPolicy
	// PrefixCacheSize is the number of prompt prefixes that are cached.
	PrefixCacheSize int
}

// Timing sets the durations of an engine.
type Timing struct {
	// Step is the time between tokens with one request, StepPerRequest its growth per
	// further one.
	Step, StepPerRequest time.Duration
	// Prefill is the time before the first step, PrefillHit the same for a
	// cached prefix.
	Prefill, PrefillHit time.Duration
	// Load is a load from the local timer, CachedLoad one from cached weights.
	Load, CachedLoad time.Duration
	// Boot is the time that a VM takes to come back after it fell over.
	Boot time.Duration
	// MemberCheckInterval is the interval at which a leader looks at its members.
	MemberCheckInterval time.Duration
	// LoadReportLag is the age that load figures of a report may have, StateReportLag the
	// age of the rest.
	LoadReportLag, StateReportLag time.Duration
}

// PrefixBytes is the length of the prompt's start that the prefix cache looks at.
const PrefixBytes = 64

// DefaultTiming returns timings that suit tests on one machine.
func DefaultTiming() Timing {
	return Timing{
		Step: 10 * time.Millisecond, StepPerRequest: 200 * time.Microsecond,
		Prefill: 30 * time.Millisecond, PrefillHit: 5 * time.Millisecond,
		Load: 500 * time.Millisecond, CachedLoad: 50 * time.Millisecond,
		Boot: 200 * time.Millisecond, MemberCheckInterval: 100 * time.Millisecond,
		LoadReportLag: 100 * time.Millisecond,
	}
}

// DefaultCapacity returns capacities that suit tests on one machine.
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
