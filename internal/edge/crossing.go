package edge

import (
	"sync"

	"github.com/ragwortquay/ragwortquay/internal/balance"
)

const (
	// crossingPeriod is the number of steps over which crossings are counted for a log
	// line, and minCrossingRequests the least number of requests in them.
	crossingPeriod      = 10
	minCrossingRequests = 10
	// crossingBegins and crossingEnds are the shares of requests sent to other zones at
	// which that is logged. They differ, so that a share near one of them is not logged
	// again and again.
	crossingBegins = 0.2
	crossingEnds   = 0.1
)

// crossingCounts counts the requests that are sent to other zones. It is safe for
// concurrent use.
type crossingCounts struct {
	mu       sync.Mutex
	steps    int
	requests int
	byReason map[balance.Crossing]int
	// crossing is set while requests are reported to cross zones.
	crossing bool
}

// crossingChange is a change of the share of requests that are sent to other zones.
type crossingChange struct {
	crossing bool
	requests int
	byReason map[balance.Crossing]int
}

// record counts a request that was sent to an engine.
func (c *crossingCounts) record(reason balance.Crossing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byReason == nil {
		c.byReason = map[balance.Crossing]int{}
	}
	c.requests++
	if reason != balance.NotCrossed {
		c.byReason[reason]++
	}
}

// step ends a period after every crossingPeriod calls, and reports whether requests have
// begun or ceased to cross zones in it.
func (c *crossingCounts) step() (crossingChange, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.steps++; c.steps < crossingPeriod {
		return crossingChange{}, false
	}
	out := crossingChange{c.crossing, c.requests, c.byReason}
	c.steps, c.requests, c.byReason = 0, 0, nil
	if out.requests < minCrossingRequests {
		return out, false
	}
	sum := 0
	for _, n := range out.byReason {
		sum += n
	}
	share := float64(sum) / float64(out.requests)
	c.crossing = share >= crossingBegins || c.crossing && share >= crossingEnds
	changed := out.crossing != c.crossing
	out.crossing = c.crossing
	return out, changed
}
