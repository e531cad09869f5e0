// Package group decides how VMs form replica groups, how broken groups are
// repaired and when a group may be sent work. It is pure: a typed snapshot and
// a policy in, typed actions out. It knows no transport and keeps no state; an
// action that came too late is refused by the fold of the control stream, so
// safety does not depend on the snapshot being current.
package group

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

// Snapshot is all that one plan for one pool looks at.
type Snapshot struct {
	Now time.Time
	// AppliedFence is the fencing number of the last folded record: what a VM reports
	// of later groups is not yet known here, and is left alone.
	AppliedFence uint64
	// Pool is the row in force; Exists is false once the row was dropped, and
	// Pool then carries only the name.
	Pool       table.Pool
	PoolExists bool
	// Groups are the pool's groups in force.
	Groups []state.Group
	// Reservations are those of the VMs in VMs and Observations.
	Reservations map[string]state.Reservation
	// VMs are the VMs of the pool and of its groups, as last listed.
	VMs map[string]VM
	// VMsListed is false until the VM list was read once.
	VMsListed    bool
	Observations map[string]Observation
	// DrainingSince says since when a group has been sent no new work.
	DrainingSince map[uint64]time.Time
	WeightStore   WeightStore
}

// VM is one entry of the platform's VM list.
type VM struct {
	ID            string
	Addr          string
	FailureDomain string
	FabricDomain  string
	// Leaving means that the platform is about to take the VM away.
	Leaving bool
	// UnlistedSince is when the VM dropped out of the list; zero while listed.
	UnlistedSince time.Time
}

// WeightStore is the weight store's view of its load.
type WeightStore struct {
	// Concurrent is the number of VMs that may fetch at once; 0 if unknown.
	Concurrent int
	// Active is the number of fetches under way, of all pools.
	Active int
}

// EngineState is what a VM's engine says that it does.
type EngineState uint8

// The states of an engine.
const (
	Free EngineState = iota
	Loading
	Ready
)

// Report is what a VM said of itself.
type Report struct {
	BootID  string
	State   EngineState
	Group   uint64
	Fence   uint64
	Rank    int
	Model   string
	Version string
	// Inflight and Queued lag behind what the engine does.
	Inflight int
	Queued   int
	// StepTime is the recent time between tokens; 0 while idle.
	StepTime time.Duration
	// Cached are weights that need no new fetch, as made by Weights.
	Cached []string
	// Draining means that the VM asks for no new work.
	Draining bool
}

// WeightsKey names a model's version as in Report.Cached.
func WeightsKey(model, version string) string { return model + "@" + version }

// Order tells a VM what to run.
type Order struct {
	// Load is true to load Model and Version, false to unload.
	Load    bool
	Fence   uint64
	Model   string
	Version string
	Rank    int
	// Members are the group's addresses in rank order.
	Members []string
}

// Action is one step that a plan asks for.
type Action interface{ action() }

// ProposeForm asks for a record that makes a group.
type ProposeForm struct{ Form state.Form }

// ProposeRetire asks for a record that ends a group.
type ProposeRetire struct{ Retire state.Retire }

// ProposeRelease asks for a record that frees a VM of an ended group.
type ProposeRelease struct{ Release state.Release }

// SendOrder asks for an order to a VM.
type SendOrder struct {
	VM    string
	Addr  string
	Order Order
	// Prefetch marks the load of a spare that is in no group: it fetches weights
	// that a repair will need.
	Prefetch bool
}

// Wait says that nothing is done about Subject for now, and until when. A zero
// Until waits for the next change of the snapshot.
type Wait struct {
	Subject string
	Reason  string
	Until   time.Time
	// WeightStoreBusy means that a fetch waits for the weight store: its load is worth
	// another look.
	WeightStoreBusy bool
}

func (ProposeForm) action()    {}
func (ProposeRetire) action()  {}
func (ProposeRelease) action() {}
func (SendOrder) action()      {}
func (Wait) action()           {}
