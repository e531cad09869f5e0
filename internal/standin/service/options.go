// Package service is a stand-in for plain services, some of whose requests must
// not be executed twice. Its response is a pure function of the request, and it
// journals each execution. It shares no decision logic with the system under test.
package service

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
)

// Options configure the services of one process.
type Options struct {
	// Control is the host:port of the control server for faults and the journal.
	Control string
	// VMs are the VMs to simulate. One with an empty Addr listens on a free port.
	VMs []platform.VM
	// WorkTime is the execution time of a request.
	WorkTime time.Duration
	// BootTime is the time that a VM needs to reboot after a crash.
	BootTime time.Duration
	// Capacity is the concurrency limit of one VM.
	Capacity capacity.Settings
}

// Faults are the persistent faults of one VM.
type Faults struct {
	// DelayMS delays each response after the execution.
	DelayMS int `json:"delay_ms,omitempty"`
	// DelayEvery delays every n-th response by a further DelayEveryMS.
	DelayEvery   int `json:"late_every,omitempty"`
	DelayEveryMS int `json:"late_ms,omitempty"`
	// CloseOnNth resets a connection at its n-th request, without a response. The
	// request is executed before only with CloseAfterRun.
	CloseOnNth    int  `json:"close_on_nth,omitempty"`
	CloseAfterRun bool `json:"close_after_run,omitempty"`
	// DropResponseEvery executes every n-th request without ever responding.
	DropResponseEvery int `json:"lose_every,omitempty"`
	// RefuseEvery refuses every n-th request without executing it.
	RefuseEvery int `json:"not_run_every,omitempty"`
	// SwapResponseEvery gives every n-th request the response of the one before it.
	SwapResponseEvery int `json:"mixup_every,omitempty"`
	// Draining makes the VM report that it drains. It still executes requests.
	Draining bool `json:"draining,omitempty"`
}

// Fleet is the service VMs of one process with their control server.
type Fleet = machines.Fleet[Faults]

// FaultRequest selects service VMs and injects faults into them.
type FaultRequest = machines.FaultRequest[Faults]

// DefaultCapacity returns the capacity that is used if Options give none. It suits
// tests on one machine.
func DefaultCapacity() capacity.Settings {
	return capacity.Settings{ColdLimit: 8, WarmLimit: 64, GrowthPerRequest: 1, QueueLimit: 256}
}

// defaultBootTime is used if Options give no BootTime.
const defaultBootTime = 200 * time.Millisecond

// New starts to serve all VMs and the control server.
func New(o Options) (*Fleet, error) {
	if o.Capacity == (capacity.Settings{}) {
		o.Capacity = DefaultCapacity()
	}
	if o.BootTime <= 0 {
		o.BootTime = defaultBootTime
	}
	j := journal.New()
	var vms []machines.Machine[Faults]
	for _, info := range o.VMs {
		v, err := newVM(info, o, j)
		if err != nil {
			machines.StopAll(vms)
			return nil, err
		}
		vms = append(vms, v)
	}
	return machines.New(o.Control, j, vms)
}
