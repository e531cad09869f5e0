package admission

import "time"

const (
	// SlotLength is the length of a slot of reserved work, half of the shortest
	// published target latency.
	SlotLength = 100 * time.Millisecond
	// Slots is the number of slots for which work is reserved, from the current one. It
	// covers a third of the longest published deadline, 8 s.
	Slots = 27
)

// Fact is a value with the age of the oldest observation in it.
type Fact[T any] struct {
	Value T
	Age   time.Duration
}

// Snapshot is what a daemon knows of a model at one moment.
type Snapshot struct {
	Capacity Fact[Capacity]
	// NewDemand is the new work that clients request of all daemons, by urgency.
	NewDemand Fact[[]UrgencyRate]
	// Reserved is the work that all daemons have reserved for clients that were refused.
	// The first slot is the current one, of which SlotElapsed has passed.
	Reserved    Fact[[Slots]float64]
	SlotElapsed time.Duration
}

// Capacity is the capacity of a model's serving groups.
type Capacity struct {
	// Groups is their number; each does one second of work in a second.
	Groups int
	// Excess is the work, in seconds of a group, by which their backlog is over the
	// bound for new requests.
	Excess float64
}

// UrgencyRate is the rate of new work of one urgency, in seconds of a group per second.
type UrgencyRate struct {
	Urgency int
	Rate    float64
}
