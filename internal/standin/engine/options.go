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

// MissingPolicy says what a leader does with its streams while a member of its
// group is missing.
type MissingPolicy string

// The policies.
const (
	// Stall holds the streams.
	Stall MissingPolicy = "stall"
	// CutStreams resets them.
	CutStreams MissingPolicy = "cut"
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
	// Missing says what happens to streams of an incomplete group.
	Missing MissingPolicy
	// Prefixes is the number of prompt prefixes that are cached.
	Prefixes int
}

// Timing sets the durations of an engine.
type Timing struct {
	// Step is the time between tokens with one request, StepPer its growth per
	// further one.
	Step, StepPer time.Duration
	// Prefill is the time before the first step, PrefillHit the same for a
	// cached prefix.
	Prefill, PrefillHit time.Duration
	// Load is a load from the local timer, Reload one from cached weights.
	Load, Reload time.Duration
	// Boot is the time that a VM takes to come back after it fell over.
	Boot time.Duration
	// Check is the interval at which a leader looks at its members.
	Check time.Duration
	// LoadLag is the age that load figures of a report may have, StateLag the
	// age of the rest.
	LoadLag, StateLag time.Duration
}

// PrefixBytes is the length of the prompt's start that the prefix cache looks at.
const PrefixBytes = 64

// DefaultTiming returns timings that suit tests on one machine.
func DefaultTiming() Timing {
	return Timing{
		Step: 10 * time.Millisecond, StepPer: 200 * time.Microsecond,
		Prefill: 30 * time.Millisecond, PrefillHit: 5 * time.Millisecond,
		Load: 500 * time.Millisecond, Reload: 50 * time.Millisecond,
		Boot: 200 * time.Millisecond, Check: 100 * time.Millisecond,
		LoadLag: 100 * time.Millisecond,
	}
}

// DefaultCapacity returns capacities that suit tests on one machine.
func DefaultCapacity() capacity.Settings {
	return capacity.Settings{Cold: 2, Warm: 32, PerDone: 1, Queue: 256}
}

func (o Options) withDefaults() Options {
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
	if o.Capacity == (capacity.Settings{}) {
		o.Capacity = DefaultCapacity()
	}
	if o.Missing == "" {
		o.Missing = Stall
	}
	if o.Prefixes <= 0 {
		o.Prefixes = 64
	}
	if o.Timing.Check <= 0 {
		o.Timing.Check = DefaultTiming().Check
	}
	return o
}
