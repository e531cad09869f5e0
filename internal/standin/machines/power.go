package machines

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/host"
)

// PowerHandler is implemented by a VM to react to power changes.
type PowerHandler interface {
	// Halt aborts all running requests and loads.
	Halt()
	// Boot starts a new incarnation with a new boot id and no earlier state.
	Boot(reason string)
}

// Power switches one VM off and on.
type Power struct {
	host    *host.Host
	handler PowerHandler
	// bootTime is the time that a crashed VM needs to reboot.
	bootTime time.Duration

	mu  sync.Mutex
	off bool // set from Kill to Revive; a crash doesn't set it
}

// NewPower returns the power switch of a VM that is on.
func NewPower(h *host.Host, handler PowerHandler, bootTime time.Duration) *Power {
	return &Power{host: h, handler: handler, bootTime: bootTime}
}

// Off reports whether the VM was killed and not revived since.
func (p *Power) Off() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.off
}

func (p *Power) setOff(off bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.off = off
}

// Kill powers the VM off until Revive.
func (p *Power) Kill() {
	p.setOff(true)
	p.host.Kill()
	p.handler.Halt()
}

// Revive boots the VM with a new incarnation, also if it was on.
func (p *Power) Revive() error {
	p.setOff(false)
	p.handler.Halt()
	p.handler.Boot("revived")
	return p.host.Revive()
}

// Crash takes the VM down; it reboots by itself after its boot time, unless it
// was killed meanwhile.
func (p *Power) Crash(reason string) {
	p.host.Kill()
	p.handler.Halt()
	time.AfterFunc(p.bootTime, func() { p.rebootAfterCrash(reason) })
}

func (p *Power) rebootAfterCrash(reason string) {
	if p.Off() {
		return
	}
	p.handler.Boot(reason)
	_ = p.host.Revive() // if its port is in use by now, the VM stays down
	if p.Off() {
		p.host.Kill()
	}
}
