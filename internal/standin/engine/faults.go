package engine

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
)

// Faults are the persistent faults of one VM.
type Faults struct {
	// StepFactor multiplies the duration of a decoding step; 1 is normal speed.
	StepFactor float64 `json:"straggle,omitempty"`
	// DelayMS delays the start of each response.
	DelayMS int `json:"delay_ms,omitempty"`
	// DelayEvery delays every n-th response by a further DelayEveryMS.
	DelayEvery   int `json:"late_every,omitempty"`
	DelayEveryMS int `json:"late_ms,omitempty"`
	// SwapResponseEvery gives every n-th request the response of the one before it.
	SwapResponseEvery int `json:"mixup_every,omitempty"`
	// Poison is a text that crashes the VM if a prompt contains it.
	Poison string `json:"poison,omitempty"`
	// Draining makes the VM report that it drains. It still serves requests.
	Draining bool `json:"draining,omitempty"`
}

// delay returns how long the response to the n-th request is delayed.
func (f Faults) delay(n int) time.Duration {
	ms := f.DelayMS
	if isNth(f.DelayEvery, n) {
		ms += f.DelayEveryMS
	}
	return time.Duration(ms) * time.Millisecond
}

// isNth reports whether a fault that hits every given number of requests hits the
// n-th one.
func isNth(every, n int) bool { return every > 0 && n%every == 0 }

func (v *vm) poisonText() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.faults.Poison
}

// SetFaults replaces the persistent faults. A StepFactor of 0 or less means 1.
func (v *vm) SetFaults(f Faults) {
	if f.StepFactor <= 0 {
		f.StepFactor = 1
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
}

// Status returns the VM's actual state, without the lag of its report.
func (v *vm) Status() machines.Status[Faults] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return machines.Status[Faults]{
		VM: v.info.ID, Addr: v.info.Addr, BootID: v.report.BootID, State: string(v.report.State),
		FencingToken: v.report.Fence, PoweredOff: v.power.Off(), Reachable: v.host.Reachable(), Faults: v.faults,
	}
}

// TurnCold resets the concurrency limit to that of a cold start, without a reboot
// or a report.
func (v *vm) TurnCold() {
	v.mu.Lock()
	s := v.session
	v.mu.Unlock()
	s.limiter.ResetToCold()
	v.recordEvent(journal.VMTurnedCold, "")
}
