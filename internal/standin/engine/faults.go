package engine

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
)

// Faults are the lasting faults of one VM.
type Faults struct {
	// StepFactor multiplies the time of a step; 1 is healthy.
	StepFactor float64 `json:"straggle,omitempty"`
	// DelayMS delays each answer.
	DelayMS int `json:"delay_ms,omitempty"`
	// DelayEvery delays every n-th answer further, by LateMs.
	DelayEvery   int `json:"late_every,omitempty"`
	DelayEveryMS int `json:"late_ms,omitempty"`
	// SwapResponseEvery gives every n-th request the answer of the one before it.
	SwapResponseEvery int `json:"mixup_every,omitempty"`
	// Poison crashes the VM on prompts that contain it.
	Poison string `json:"poison,omitempty"`
	// Draining asks for no new work.
	Draining bool `json:"draining,omitempty"`
}

// delay is the time that answer number n waits.
func (b Faults) delay(n int) time.Duration {
	ms := b.DelayMS
	if hitsNth(b.DelayEvery, n) {
		ms += b.DelayEveryMS
	}
	return time.Duration(ms) * time.Millisecond
}

func hitsNth(every, n int) bool { return every > 0 && n%every == 0 }

func (v *vm) poison() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.behaviour.Poison
}

// SetFaults replaces the lasting faults.
func (v *vm) SetFaults(b Faults) {
	if b.StepFactor <= 0 {
		b.StepFactor = 1
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.behaviour = b
}

// Status returns the true state.
func (v *vm) Status() machines.Status[Faults] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return machines.Status[Faults]{
		VM: v.info.ID, Addr: v.info.Addr, BootID: v.report.BootID, State: string(v.report.State),
		FencingToken: v.report.Fence, PoweredOff: v.power.Off(), Answering: v.host.Answering(), Faults: v.behaviour,
	}
}

// TurnCold makes the VM cold without a word.
func (v *vm) TurnCold() {
	v.mu.Lock()
	s := v.session
	v.mu.Unlock()
	s.gauge.ResetToCold()
	v.note(journal.VMTurnedCold, "")
}
