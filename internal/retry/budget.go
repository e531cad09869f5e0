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

// Deposit counts a first attempt.
func (b *Budget) Deposit(now time.Time, ratio float64) {
	b.refill(now)
	b.saved = min(maxSaved, b.saved+ratio)
}

// TrySpend takes one retry and reports whether there was one.
func (b *Budget) TrySpend(now time.Time) bool {
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

// RouteBudgets has a budget for each route. It is safe for concurrent use; each
// budget is under its own lock.
type RouteBudgets struct{ routes *shard.Map[*lockedBudget] }

type lockedBudget struct {
	mu sync.Mutex
	b  Budget
}

// NewRouteBudgets returns budgets for all routes.
func NewRouteBudgets() *RouteBudgets { return &RouteBudgets{routes: shard.NewMap[*lockedBudget]()} }

// Deposit counts a first attempt of a route with the given ratio.
func (bs *RouteBudgets) Deposit(now time.Time, route string, ratio float64) {
	l := bs.of(route)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.b.Deposit(now, ratio)
}

// TrySpend takes one retry from the route's budget.
func (bs *RouteBudgets) TrySpend(now time.Time, route string) bool {
	l := bs.of(route)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.TrySpend(now)
}

func (bs *RouteBudgets) of(route string) *lockedBudget {
	return bs.routes.GetOrMake(route, func() *lockedBudget { return &lockedBudget{} })
}
