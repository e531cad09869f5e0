package daemon

import (
	"sync/atomic"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// lifecycle is the daemon's current phase.
type lifecycle struct{ phase atomic.Int32 }

// Phases of a daemon.
const (
	phaseRunning int32 = iota
	// phaseLeaving means that the daemon still serves requests but is not ready.
	phaseLeaving
	// phaseDrained means that the daemon refuses all requests.
	phaseDrained
)

func newLifecycle() *lifecycle { return &lifecycle{} }

func (l *lifecycle) setLeaving() { l.phase.Store(phaseLeaving) }
func (l *lifecycle) setDrained() { l.phase.Store(phaseDrained) }

// checkReady returns nil while the load balancer should send requests to this daemon.
func (l *lifecycle) checkReady() error {
	if l.phase.Load() == phaseRunning {
		return nil
	}
	return errShuttingDown()
}

// checkServing returns nil while the daemon accepts requests.
func (l *lifecycle) checkServing() error {
	if l.phase.Load() != phaseDrained {
		return nil
	}
	return errShuttingDown()
}

func errShuttingDown() error {
	return fault.Refuse(fault.ShuttingDown, "send the request to another daemon", "daemon is shutting down")
}
