package service

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
	"github.com/ragwortquay/ragwortquay/internal/standin/host"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
	"github.com/ragwortquay/ragwortquay/internal/standin/oracle"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// vm is one simulated service VM.
type vm struct {
	info    platform.VM
	opts    Options
	host    *host.Host
	power   *machines.Power
	journal *journal.Journal

	mu               sync.Mutex
	incarnation      *incarnation
	faults           Faults
	requestCount     int // requests so far, for faults that hit every n-th one
	previousResponse oracle.ServiceResponse
}

// incarnation is the state of a VM from one boot to the next.
type incarnation struct {
	id      string
	limiter *capacity.Limiter
	ended   chan struct{} // closed when the VM is halted
	endOnce sync.Once
	crashed atomic.Bool // set by a crash, so that there is at most one per incarnation
}

func newVM(info platform.VM, o Options, j *journal.Journal) (*vm, error) {
	addr := info.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	h, err := host.New(addr)
	if err != nil {
		return nil, err
	}
	info.Addr = h.Addr()
	info.State = platform.VMLive
	v := &vm{info: info, opts: o, host: h, journal: j}
	v.power = machines.NewPower(h, v, o.BootTime)
	v.Boot("first start")
	return v, nil
}

// Power returns the VM's power switch.
func (v *vm) Power() *machines.Power { return v.power }

// Halt aborts all running and queued requests.
func (v *vm) Halt() {
	if v.power.Off() {
		v.recordEvent(journal.VMKilled, "")
	}
	v.mu.Lock()
	current := v.incarnation
	v.mu.Unlock()
	current.end()
}

func (i *incarnation) end() {
	i.endOnce.Do(func() { close(i.ended) })
	i.limiter.Close()
}

// Boot starts a new incarnation with a new boot id and a cold limiter.
func (v *vm) Boot(reason string) {
	v.mu.Lock()
	v.incarnation = &incarnation{id: ids.New(), limiter: capacity.New(v.opts.Capacity), ended: make(chan struct{})}
	v.mu.Unlock()
	v.recordEvent(journal.VMBooted, reason)
}

// journalEntry returns an entry with the VM's current state. v.mu must be held.
func (v *vm) journalEntry(event journal.Event) journal.Entry {
	state := v.incarnation.limiter.Snapshot(time.Now())
	return journal.Entry{
		Event: event, VM: v.info.ID, BootID: v.incarnation.id,
		Inflight: state.Running, Limit: state.Limit, Cold: state.Cold, Draining: v.faults.Draining,
	}
}

func (v *vm) recordEvent(event journal.Event, reason string) {
	v.mu.Lock()
	e := v.journalEntry(event)
	v.mu.Unlock()
	e.Reason = reason
	v.journal.Add(e)
}

// crash takes the VM down, at most once per incarnation. It reboots by itself
// after its boot time.
func (v *vm) crash(i *incarnation, reason string) {
	if !i.crashed.CompareAndSwap(false, true) {
		return
	}
	v.recordEvent(journal.VMCrashed, reason)
	v.power.Crash(reason)
}

func (v *vm) report() target.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.incarnation.limiter.Snapshot(time.Now())
	return target.Report{
		VM: v.info.ID, BootID: v.incarnation.id, State: target.EngineReady,
		Inflight: state.Running, Queued: state.Waiting, Draining: v.faults.Draining,
	}
}

// Info returns the VM's row of the platform's VM list.
func (v *vm) Info() platform.VM { return v.info }

// Host returns the VM's HTTP server.
func (v *vm) Host() *host.Host { return v.host }

// SetFaults replaces the persistent faults.
func (v *vm) SetFaults(f Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
}

// Status returns the VM's actual state.
func (v *vm) Status() machines.Status[Faults] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return machines.Status[Faults]{
		VM: v.info.ID, Addr: v.info.Addr, BootID: v.incarnation.id, State: string(target.EngineReady),
		PoweredOff: v.power.Off(), Reachable: v.host.Reachable(), Faults: v.faults,
	}
}

// TurnCold resets the concurrency limit to that of a cold start, without a reboot
// or a report.
func (v *vm) TurnCold() {
	v.mu.Lock()
	limiter := v.incarnation.limiter
	v.mu.Unlock()
	limiter.ResetToCold()
	v.recordEvent(journal.VMTurnedCold, "")
}
