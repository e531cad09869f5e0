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

// vm plays one machine.
type vm struct {
	info    platform.VM
	opts    Options
	host    *host.Host
	power   *machines.Power
	journal *journal.Journal

	mu        sync.Mutex
	boot      *incarnation
	behaviour Faults
	requests  int // arrivals, for faults that hit every n-th
	previous  oracle.ServiceResponse
}

// incarnation is the time between two boots.
type incarnation struct {
	id    string
	gauge *capacity.Limiter
	over  chan struct{} // closed at its end
	once  sync.Once
	fell  atomic.Bool // the VM fell over in this incarnation
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

// Power returns the VM's switch.
func (v *vm) Power() *machines.Power { return v.power }

// Halt breaks off what runs.
func (v *vm) Halt() {
	if v.power.Off() {
		v.note(journal.VMKilled, "")
	}
	v.mu.Lock()
	b := v.boot
	v.mu.Unlock()
	b.end()
}

func (b *incarnation) end() {
	b.once.Do(func() { close(b.over) })
	b.gauge.Close()
}

// Boot begins a new incarnation.
func (v *vm) Boot(reason string) {
	v.mu.Lock()
	v.boot = &incarnation{id: ids.New(), gauge: capacity.New(v.opts.Capacity), over: make(chan struct{})}
	v.mu.Unlock()
	v.note(journal.VMBooted, reason)
}

// entry returns a journal entry of the VM as it is. v.mu is held.
func (v *vm) entry(ev journal.Event) journal.Entry {
	r := v.boot.gauge.Snapshot(time.Now())
	return journal.Entry{
		Event: ev, VM: v.info.ID, BootID: v.boot.id,
		Inflight: r.Running, Limit: r.Limit, Cold: r.Cold, Draining: v.behaviour.Draining,
	}
}

func (v *vm) note(ev journal.Event, reason string) {
	v.mu.Lock()
	e := v.entry(ev)
	v.mu.Unlock()
	e.Reason = reason
	v.journal.Add(e)
}

// fallOver breaks the VM, once per boot; it comes back by itself after its boot
// time.
func (v *vm) fallOver(b *incarnation, reason string) {
	if !b.fell.CompareAndSwap(false, true) {
		return
	}
	v.note(journal.VMCrashed, reason)
	v.power.Crash(reason)
}

func (v *vm) report() target.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.boot.gauge.Snapshot(time.Now())
	return target.Report{
		VM: v.info.ID, BootID: v.boot.id, State: target.EngineReady,
		Inflight: g.Running, Queued: g.Waiting, Draining: v.behaviour.Draining,
	}
}

// Info returns the VM as the platform lists it.
func (v *vm) Info() platform.VM { return v.info }

// Host returns the VM's server.
func (v *vm) Host() *host.Host { return v.host }

// SetFaults replaces the lasting faults.
func (v *vm) SetFaults(b Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.behaviour = b
}

// Status returns the true state.
func (v *vm) Status() machines.Status[Faults] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return machines.Status[Faults]{
		VM: v.info.ID, Addr: v.info.Addr, BootID: v.boot.id, State: string(target.EngineReady),
		PoweredOff: v.power.Off(), Answering: v.host.Answering(), Faults: v.behaviour,
	}
}

// TurnCold makes the VM cold without a word.
func (v *vm) TurnCold() {
	v.mu.Lock()
	g := v.boot.gauge
	v.mu.Unlock()
	g.ResetToCold()
	v.note(journal.VMTurnedCold, "")
}
