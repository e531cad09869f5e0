package machines

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/host"
)

// PowerHandler is what a machine does when it loses and gets power.
type PowerHandler interface {
	// Halt breaks off what runs.
	Halt()
	// Boot starts anew: a new boot id and nothing of what was.
	Boot(reason string)
}

// Power switches one machine off and on.
type Power struct {
	host   *host.Host
	inside PowerHandler
	// bootTime is how long a machine that fell over takes to come back.
	bootTime time.Duration

	mu  sync.Mutex
	off bool // until Revive; a machine that fell over is not off
}

// NewPower returns the switch of a machine that is on.
func NewPower(h *host.Host, in PowerHandler, bootTime time.Duration) *Power {
	return &Power{host: h, inside: in, bootTime: bootTime}
}

// Off reports whether the machine was killed and not revived.
func (p *Power) Off() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.off
}

func (p *Power) set(off bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.off = off
}

// Kill switches the machine off.
func (p *Power) Kill() {
	p.set(true)
	p.host.Kill()
	p.inside.Halt()
}

// Revive boots the machine anew.
func (p *Power) Revive() error {
	p.set(false)
	p.inside.Halt()
	p.inside.Boot("revived")
	return p.host.Revive()
}

// Crash breaks the machine; it comes back by itself after its boot time.
func (p *Power) Crash(reason string) {
	p.host.Kill()
	p.inside.Halt()
	time.AfterFunc(p.bootTime, func() { p.comeBack(reason) })
}

func (p *Power) comeBack(reason string) {
	if p.Off() {
		return
	}
	p.inside.Boot(reason)
	_ = p.host.Revive() // its port may be taken: then the machine stays down
	if p.Off() {
		p.host.Kill()
	}
}
