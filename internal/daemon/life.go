package daemon

import (
	"sync/atomic"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// life is the daemon's own phase: running, leaving (still serving, no longer
// ready), or drained (serving nothing).
type life struct{ phase atomic.Int32 }

const (
	phaseRunning int32 = iota
	phaseLeaving
	phaseDrained
)

func newLife() *life { return &life{} }

func (l *life) leave()   { l.phase.Store(phaseLeaving) }
func (l *life) drained() { l.phase.Store(phaseDrained) }

// ready returns nil while the balancer should send work.
func (l *life) ready() error {
	if l.phase.Load() == phaseRunning {
		return nil
	}
	return shuttingDown()
}

// serving returns nil while requests are accepted.
func (l *life) serving() error {
	if l.phase.Load() != phaseDrained {
		return nil
	}
	return shuttingDown()
}

func shuttingDown() error {
	return fault.Refuse(fault.ShuttingDown, "send the request to another daemon", "daemon is shutting down")
}
