package planner

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

const (
	// loadWindow is the period over which the platform limits the number of started
	// loads.
	loadWindow = 5 * time.Second
	// loadRateShare is the fraction of the published load rate that one planner
	// uses, since loads of the previous planner may fall into the same window.
	loadRateShare = 0.55
)

// stagedLoad is a load of a model onto an engine's host.
type stagedLoad struct {
	service, model string
	// engineStart is the start time of the engine's process in Unix milliseconds.
	engineStart int64
	since       time.Time
	// until is when the load counts as failed if it has not ended.
	until time.Time
}

// loadState is the state of a load.
type loadState uint8

const (
	loadRunning loadState = iota
	loadFinished
	// loadLost means that the engine has left or started again.
	loadLost
)

var loadStateNames = [...]string{"load running", "load finished", "load lost with its engine"}

// String returns the message that logs the state.
func (s loadState) String() string { return loadStateNames[s] }

// stateAt returns the state of the load at its engine, which is nil if it does not
// announce itself.
func (l *stagedLoad) stateAt(e *catalog.Engine) loadState {
	switch {
	case e == nil || e.StartUnixMS != l.engineStart:
		return loadLost
	case e.HasStaged(l.model):
		return loadFinished
	default:
		return loadRunning
	}
}

// leaseHistory holds the times of the last two changes of the planners' lease that
// this process observed.
type leaseHistory struct {
	// joinedAt is when this process became a candidate. Earlier changes are unknown.
	joinedAt                   time.Time
	lastChange, previousChange time.Time
}

// record records the result of a renewal; changed means that the lease was assigned
// anew since the last one.
func (h *leaseHistory) record(changed bool, now time.Time) {
	if h.joinedAt.IsZero() {
		h.joinedAt = now
		return
	}
	if changed {
		h.lastChange, h.previousChange = now, h.lastChange
	}
}

// predecessorsInWindow reports whether two planners before this one may have
// started loads within the loadWindow that ends now.
func (h *leaseHistory) predecessorsInWindow(now time.Time) bool {
	if now.Sub(h.joinedAt) < loadWindow {
		return true
	}
	return !h.previousChange.IsZero() && now.Sub(h.previousChange) < loadWindow
}

// loadBudget limits the number of loads that this planner starts within a
// loadWindow. It is safe for concurrent use.
type loadBudget struct {
	mu sync.Mutex
	// spent holds the start times of loads within the window.
	spent []time.Time
	// predecessorsAt is the last time at which the loads of two earlier planners had
	// to be assumed within the window.
	predecessorsAt time.Time
}

// available returns the number of loads that may start now.
func (b *loadBudget) available(spec *catalog.EngineSpec, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.spent) > 0 && now.Sub(b.spent[0]) > loadWindow {
		b.spent = b.spent[1:]
	}
	limit := spec.LoadsPerSecond * loadWindow.Seconds()
	allowed := int(loadRateShare * limit)
	if now.Sub(b.predecessorsAt) < loadWindow {
		// Each of two earlier planners may have started the same number of loads,
		// but no more than run concurrently.
		allowed = min(allowed, int(limit)-2*min(allowed, spec.MaxConcurrentLoads))
	}
	return max(0, allowed-len(b.spent))
}

// spend records the start of n loads.
func (b *loadBudget) spend(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range n {
		b.spent = append(b.spent, now)
	}
}

// reserveForPredecessors reduces the budget of the window that begins now by the
// loads that two earlier planners may have started.
func (b *loadBudget) reserveForPredecessors(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.predecessorsAt = now
}
