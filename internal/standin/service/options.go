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
	// Work is the time that one request takes.
	Work time.Duration
	// Boot is the time that a VM takes to come back after it fell over.
	Boot time.Duration
	// Capacity sets what one VM bears.
	Capacity capacity.Settings
}

// Behaviour are the lasting faults of one VM.
type Behaviour struct {
	// DelayMs delays each answer, after the request ran.
	DelayMs int `json:"delay_ms,omitempty"`
	// LateEvery delays every n-th answer further, by LateMs.
	LateEvery int `json:"late_every,omitempty"`
	LateMs    int `json:"late_ms,omitempty"`
	// CloseOnNth closes a connection at its n-th request, without an answer;
	// CloseAfterRun runs the request before.
	CloseOnNth    int  `json:"close_on_nth,omitempty"`
	CloseAfterRun bool `json:"close_after_run,omitempty"`
	// LoseEvery runs every n-th request and never answers it.
	LoseEvery int `json:"lose_every,omitempty"`
	// NotRunEvery refuses every n-th request before it runs.
	NotRunEvery int `json:"not_run_every,omitempty"`
	// MixupEvery gives every n-th request the answer of the one before it.
	MixupEvery int `json:"mixup_every,omitempty"`
	// Draining asks for no new work.
	Draining bool `json:"draining,omitempty"`
}

// Fleet is the services of one process with their control server.
type Fleet = machines.Set[Behaviour]

// FaultRequest selects services and breaks them.
type FaultRequest = machines.FaultRequest[Behaviour]

// DefaultCapacity returns capacities that suit tests on one machine.
func DefaultCapacity() capacity.Settings {
	return capacity.Settings{Cold: 8, Warm: 64, PerDone: 1, Queue: 256}
}

// defaultBoot is the time to come back, unless the options say otherwise.
const defaultBoot = 200 * time.Millisecond

// New binds all VMs and the control server and starts to serve.
func New(o Options) (*Fleet, error) {
	if o.Capacity == (capacity.Settings{}) {
		o.Capacity = DefaultCapacity()
	}
	if o.Boot <= 0 {
		o.Boot = defaultBoot
	}
	j := journal.New()
	var ms []machines.Machine[Behaviour]
	for _, info := range o.VMs {
		v, err := newVM(info, o, j)
		if err != nil {
			machines.Stop(ms)
			return nil, err
		}
		ms = append(ms, v)
	}
	return machines.New(o.Control, j, ms)
}
