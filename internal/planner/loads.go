package planner

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

const (
	// loadWindow is the time over which loads are counted.
	loadWindow = 5 * time.Second
	// loadPart is the part of the published rate of loads that is used: loads of
	// one earlier planner may count in the same window.
	loadPart = 0.55
)

// leaseChanges remembers when the planners' lease was dealt anew, as far as
// this process, a candidate since joined, has seen it.
type leaseChanges struct {
	joined         time.Time
	last, previous time.Time
}

// note takes what a renewal told.
func (c *leaseChanges) note(changed bool, now time.Time) {
	if c.joined.IsZero() {
		c.joined = now
		return
	}
	if changed {
		c.last, c.previous = now, c.last
	}
}

// crowded reports whether two planners before this one may have started loads
// within the window that ends now.
func (c *leaseChanges) crowded(now time.Time) bool {
	if now.Sub(c.joined) < loadWindow {
		return true
	}
	return !c.previous.IsZero() && now.Sub(c.previous) < loadWindow
}

// loadBudget keeps the start of loads below the published rate.
type loadBudget struct {
	mu    sync.Mutex
	spent []time.Time
	// crowded is when two earlier planners were last known to count as well.
	crowded time.Time
}

// available returns how many loads may start now.
func (b *loadBudget) available(spec *catalog.EngineSpec, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.spent) > 0 && now.Sub(b.spent[0]) > loadWindow {
		b.spent = b.spent[1:]
	}
	all := spec.LoadsPerSecond * loadWindow.Seconds()
	part := int(loadPart * all)
	if now.Sub(b.crowded) < loadWindow {
		// Each of two planners before this one may have started as many.
		part = min(part, int(all)-2*min(part, spec.MaxConcurrentLoads))
	}
	return max(0, part-len(b.spent))
}

func (b *loadBudget) take(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range n {
		b.spent = append(b.spent, now)
	}
}

// share leaves room in the window for what two earlier planners may have started.
func (b *loadBudget) share(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crowded = now
}
