package service

import (
	"sync"
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
	journal *journal.Journal

	mu        sync.Mutex
	dead      bool
	boot      *incarnation
	behaviour Behaviour
	requests  int // arrivals, for faults that hit every n-th
	previous  oracle.ServiceAnswer
}

// incarnation is the time between two boots.
type incarnation struct {
	id    string
	gauge *capacity.Gauge
	over  chan struct{} // closed at its end
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
	v.reboot("first start")
	return v, nil
}

// reboot begins a new incarnation.
func (v *vm) reboot(reason string) {
	v.mu.Lock()
	old := v.boot
	v.boot = &incarnation{id: ids.New(), gauge: capacity.New(v.opts.Capacity), over: make(chan struct{})}
	e := v.entry(journal.Boot)
	v.mu.Unlock()
	if old != nil {
		close(old.over)
		old.gauge.Close()
	}
	e.Reason = reason
	v.journal.Add(e)
}

// entry returns a journal entry of the VM as it is. v.mu is held.
func (v *vm) entry(ev journal.Event) journal.Entry {
	r := v.boot.gauge.Read(time.Now())
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

// fallOver breaks the VM; it comes back by itself after its boot time.
func (v *vm) fallOver(reason string) {
	v.note(journal.FellOver, reason)
	v.host.Kill()
	v.reboot(reason)
	time.AfterFunc(v.opts.Boot, func() {
		v.mu.Lock()
		dead := v.dead
		v.mu.Unlock()
		if !dead {
			_ = v.host.Revive()
		}
	})
}

func (v *vm) report() target.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.boot.gauge.Read(time.Now())
	return target.Report{
		VM: v.info.ID, BootID: v.boot.id, State: target.EngineReady,
		Inflight: g.Running, Queued: g.Waiting, Draining: v.behaviour.Draining,
	}
}

// Info returns the VM as the platform lists it.
func (v *vm) Info() platform.VM { return v.info }

// Host returns the VM's server.
func (v *vm) Host() *host.Host { return v.host }

// Behave replaces the lasting faults.
func (v *vm) Behave(b Behaviour) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.behaviour = b
}

// Status returns the true state.
func (v *vm) Status() machines.Status[Behaviour] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return machines.Status[Behaviour]{
		VM: v.info.ID, Addr: v.info.Addr, BootID: v.boot.id, State: string(target.EngineReady),
		Dead: v.dead, Answering: v.host.Answering(), Behaviour: v.behaviour,
	}
}

// GoCold makes the VM cold without a word.
func (v *vm) GoCold() {
	v.mu.Lock()
	g := v.boot.gauge
	v.mu.Unlock()
	g.Reset()
	v.note(journal.Boot, "cold without a boot")
}

// Kill ends the VM.
func (v *vm) Kill() {
	v.mu.Lock()
	v.dead = true
	v.mu.Unlock()
	v.host.Kill()
	v.reboot("killed")
}

// Revive starts the VM anew.
func (v *vm) Revive() error {
	v.mu.Lock()
	v.dead = false
	v.mu.Unlock()
	v.reboot("revived")
	return v.host.Revive()
}

// Stop ends the VM for good.
func (v *vm) Stop() {
	v.mu.Lock()
	v.dead = true
	v.mu.Unlock()
	v.reboot("stopped")
}
