// Package service is a stand-in for plain services, whose calls may not all be
// repeated. Its answer is a pure function of the request, and it journals each
// execution. It takes no decision of the system under test.
package service

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
)

// Options set up the services of one process.
type Options struct {
	// Control is the host:port of the control server: journal and faults.
	Control string
	// VMs are the machines to play; an empty Addr is bound to a free port.
	VMs []platform.VM
	// WorkTime is the time that one request takes.
	WorkTime time.Duration
	// BootTime is the time that a VM takes to come back after it fell over.
	BootTime time.Duration
	// Capacity sets what one VM bears.
	Capacity capacity.Settings
}

// Faults are the lasting faults of one VM.
type Faults struct {
	// DelayMS delays each answer, after the request ran.
	DelayMS int `json:"delay_ms,omitempty"`
	// DelayEvery delays every n-th answer further, by LateMs.
	DelayEvery   int `json:"late_every,omitempty"`
	DelayEveryMS int `json:"late_ms,omitempty"`
	// CloseOnNth closes a connection at its n-th request, without an answer;
	// CloseAfterRun runs the request before.
	CloseOnNth    int  `json:"close_on_nth,omitempty"`
	CloseAfterRun bool `json:"close_after_run,omitempty"`
	// DropResponseEvery runs every n-th request and never answers it.
	DropResponseEvery int `json:"lose_every,omitempty"`
	// RefuseEvery refuses every n-th request before it runs.
	RefuseEvery int `json:"not_run_every,omitempty"`
	// SwapResponseEvery gives every n-th request the answer of the one before it.
	SwapResponseEvery int `json:"mixup_every,omitempty"`
	// Draining asks for no new work.
	Draining bool `json:"draining,omitempty"`
}

// Fleet is the services of one process with their control server.
type Fleet = machines.Fleet[Faults]

// FaultRequest selects services and breaks them.
type FaultRequest = machines.FaultRequest[Faults]

// DefaultCapacity returns capacities that suit tests on one machine.
func DefaultCapacity() capacity.Settings {
	return capacity.Settings{ColdLimit: 8, WarmLimit: 64, GrowthPerRequest: 1, QueueLimit: 256}
}

// defaultBoot is the time to come back, unless the options say otherwise.
const defaultBoot = 200 * time.Millisecond

// New binds all VMs and the control server and starts to serve.
func New(o Options) (*Fleet, error) {
	if o.Capacity == (capacity.Settings{}) {
		o.Capacity = DefaultCapacity()
	}
	if o.BootTime <= 0 {
		o.BootTime = defaultBoot
	}
	j := journal.New()
	var ms []machines.Machine[Faults]
	for _, info := range o.VMs {
		v, err := newVM(info, o, j)
		if err != nil {
			machines.StopAll(ms)
			return nil, err
		}
		ms = append(ms, v)
	}
	return machines.New(o.Control, j, ms)
}
