package retry

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Bounds of a budget.
const (
	// floorPerSecond is the rate of retries that any route may make, so that a
	// route with little traffic can retry at all.
	floorPerSecond = 1.0
	// maxSaved bounds the retries that a route can save up.
	maxSaved = 20.0
	// rounding forgives what adding up ratios loses.
	rounding = 1e-6
)

// Budget is a token bucket of retries: each first attempt adds the route's
// ratio, time adds the floor, each retry takes one.
type Budget struct {
	saved float64
	at    time.Time
}

// First counts a first attempt.
func (b *Budget) First(now time.Time, ratio float64) {
	b.refill(now)
	b.saved = min(maxSaved, b.saved+ratio)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.saved < 1-rounding {
		return false
	}
	b.saved = max(0, b.saved-1)
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.at.IsZero() {
		b.saved, b.at = 1, now
		return
	}
	b.saved = min(maxSaved, b.saved+now.Sub(b.at).Seconds()*floorPerSecond)
	b.at = now
}

// Budgets has a budget for each route. It is safe for concurrent use; each
// budget is under its own lock.
type Budgets struct{ routes *shard.Map[*lockedBudget] }

type lockedBudget struct {
	mu sync.Mutex
	b  Budget
}

// NewBudgets returns budgets for all routes.
func NewBudgets() *Budgets { return &Budgets{routes: shard.NewMap[*lockedBudget]()} }

// First counts a first attempt of a route with the given ratio.
func (bs *Budgets) First(now time.Time, route string, ratio float64) {
	l := bs.of(route)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.b.First(now, ratio)
}

// Spend takes one retry from the route's budget.
func (bs *Budgets) Spend(now time.Time, route string) bool {
	l := bs.of(route)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Spend(now)
}

func (bs *Budgets) of(route string) *lockedBudget {
	return bs.routes.GetOrMake(route, func() *lockedBudget { return &lockedBudget{} })
}
