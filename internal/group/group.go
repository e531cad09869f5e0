// Package group decides how VMs form replica groups, how broken groups are
// repaired and whether a group may be sent requests. Assess and Plan are pure
// functions from a snapshot and a policy to assessments and actions; they do no
// I/O. Safety does not depend on a current snapshot: the state machine of the
// control stream rejects a record that is based on an outdated one.
package group

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

// Snapshot is the input of Assess and Plan for one pool.
type Snapshot struct {
	Now time.Time
	// AppliedFence is the fencing token of the last applied record. The record
	// of a VM's group with a higher token has not been applied here yet, so Plan
	// sends no orders to that VM.
	AppliedFence uint64
	// Pool is the current row of the pool. PoolExists is false after the row was
	// dropped; Pool then has only the name.
	Pool       table.Pool
	PoolExists bool
	// Groups are the pool's groups that have not ended.
	Groups []state.Group
	// Reservations holds the reservations of the VMs in VMs and Observations.
	Reservations map[string]state.Reservation
	// VMs holds the VMs of the pool and of its groups, as last listed by the
	// platform.
	VMs map[string]VM
	// VMsListed is false until the platform's VM list has been read once.
	VMsListed    bool
	Observations map[string]Observation
	// DrainingSince is when each draining group was first seen to drain.
	DrainingSince map[uint64]time.Time
	WeightStore   WeightStore
}

// VM is one entry of the platform's VM list.
type VM struct {
	ID            string
	Addr          string
	FailureDomain string
	FabricDomain  string
	// Leaving means that the platform is about to remove the VM.
	Leaving bool
	// UnlistedSince is when the VM disappeared from the list; zero while listed.
	UnlistedSince time.Time
}

// WeightStore is the load of the shared store of model weights, as the store
// reports it.
type WeightStore struct {
	// Concurrent is the number of VMs that may fetch at once; 0 if unknown.
	Concurrent int
	// Active is the number of fetches in progress, over all pools.
	Active int
}

// EngineState is the state that a VM's engine reports.
type EngineState uint8

// The states of an engine.
const (
	// Free engines have no model and no group.
	Free EngineState = iota
	// Loading engines fetch or load the weights of a model.
	Loading
	// Ready engines have loaded the model that they were ordered to load.
	Ready
)

// Report is one status report of a VM's engine.
type Report struct {
	BootID  string
	State   EngineState
	Group   uint64
	Fence   uint64
	Rank    int
	Model   string
	Version string
	// Inflight and Queued are request counts; they lag behind the engine.
	Inflight int
	Queued   int
	// StepTime is the recent time between tokens; 0 while idle.
	StepTime time.Duration
	// Cached holds the WeightsKey of each set of weights that the VM need not
	// fetch again.
	Cached []string
	// Draining means that the VM has asked to be sent no new requests.
	Draining bool
}

// WeightsKey returns the key of a model's version in Report.Cached.
func WeightsKey(model, version string) string { return model + "@" + version }

// Order instructs a VM's engine to load or unload a model.
type Order struct {
	// Load is true to load Model at Version, false to unload.
	Load    bool
	Fence   uint64
	Model   string
	Version string
	Rank    int
	// Members are the group's addresses in rank order.
	Members []string
}

// Action is one step of a plan.
type Action interface{ action() }

// ProposeForm proposes a record that forms a group.
type ProposeForm struct{ Form state.Form }

// ProposeRetire proposes a record that ends a group.
type ProposeRetire struct{ Retire state.Retire }

// ProposeRelease proposes a record that releases a VM of an ended group.
type ProposeRelease struct{ Release state.Release }

// SendOrder sends an order to a VM.
type SendOrder struct {
	VM    string
	Addr  string
	Order Order
	// Prefetch marks a load on a spare, which is in no group, so that a later
	// repair needs no fetch.
	Prefetch bool
}

// Wait states that Plan takes no action on Subject before Until. If Until is
// zero, it takes none before the snapshot changes.
type Wait struct {
	Subject string
	Reason  string
	Until   time.Time
	// WeightStoreBusy means that a fetch waits for a slot of the weight store,
	// whose load should be polled again.
	WeightStoreBusy bool
}

func (ProposeForm) action()    {}
func (ProposeRetire) action()  {}
func (ProposeRelease) action() {}
func (SendOrder) action()      {}
func (Wait) action()           {}
