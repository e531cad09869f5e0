package engine

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
)

// Behaviour are the lasting faults of one VM.
type Behaviour struct {
	// Straggle multiplies the time of a step; 1 is healthy.
	Straggle float64 `json:"straggle,omitempty"`
	// DelayMs delays each answer.
	DelayMs int `json:"delay_ms,omitempty"`
	// LateEvery delays every n-th answer further, by LateMs.
	LateEvery int `json:"late_every,omitempty"`
	LateMs    int `json:"late_ms,omitempty"`
	// MixupEvery gives every n-th request the answer of the one before it.
	MixupEvery int `json:"mixup_every,omitempty"`
	// Poison crashes the VM on prompts that contain it.
	Poison string `json:"poison,omitempty"`
	// Draining asks for no new work.
	Draining bool `json:"draining,omitempty"`
}

// delay is the time that answer number n waits.
func (b Behaviour) delay(n int) time.Duration {
	ms := b.DelayMs
	if hitsNth(b.LateEvery, n) {
		ms += b.LateMs
	}
	return time.Duration(ms) * time.Millisecond
}

func hitsNth(every, n int) bool { return every > 0 && n%every == 0 }

func (v *vm) poison() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.behaviour.Poison
}

// Behave replaces the lasting faults.
func (v *vm) Behave(b Behaviour) {
	if b.Straggle <= 0 {
		b.Straggle = 1
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.behaviour = b
}

// Status returns the true state.
func (v *vm) Status() machines.Status[Behaviour] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return machines.Status[Behaviour]{
		VM: v.info.ID, Addr: v.info.Addr, BootID: v.report.BootID, State: string(v.report.State),
		Fence: v.report.Fence, Dead: v.power.Off(), Answering: v.host.Answering(), Behaviour: v.behaviour,
	}
}

// GoCold makes the VM cold without a word.
func (v *vm) GoCold() {
	v.mu.Lock()
	s := v.session
	v.mu.Unlock()
	s.gauge.Reset()
	v.note(journal.TurnedCold, "")
}
