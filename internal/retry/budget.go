package retry

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Limits of a budget.
const (
	// minRetriesPerSecond is granted to every route, so that a route with little
	// traffic can retry at all.
	minRetriesPerSecond = 1.0
	// maxTokens is the capacity of the bucket, and so the largest burst of retries.
	maxTokens = 20.0
	// roundingTolerance compensates for the floating-point error of summed ratios.
	roundingTolerance = 1e-6
)

// Budget is a token bucket that limits the retries of one route. A first attempt
// adds the route's ratio of retries to requests, each second adds
// minRetriesPerSecond, and a retry takes one token. A new budget holds one token.
type Budget struct {
	tokens     float64
	refilledAt time.Time
}

// Deposit adds ratio tokens for a first attempt.
func (b *Budget) Deposit(now time.Time, ratio float64) {
	b.refill(now)
	b.tokens = min(maxTokens, b.tokens+ratio)
}

// TrySpend takes one token and reports whether there was one.
func (b *Budget) TrySpend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1-roundingTolerance {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens, b.refilledAt = 1, now
		return
	}
	b.tokens = min(maxTokens, b.tokens+now.Sub(b.refilledAt).Seconds()*minRetriesPerSecond)
	b.refilledAt = now
}

// RouteBudgets holds a budget per route. It is safe for concurrent use; each
// budget has its own lock.
type RouteBudgets struct{ routes *shard.Map[*lockedBudget] }

type lockedBudget struct {
	mu     sync.Mutex
	budget Budget
}

// NewRouteBudgets returns a RouteBudgets that creates the budget of a route when
// it is first used.
func NewRouteBudgets() *RouteBudgets { return &RouteBudgets{routes: shard.NewMap[*lockedBudget]()} }

// Deposit adds ratio tokens to the route's budget for a first attempt.
func (bs *RouteBudgets) Deposit(now time.Time, route string, ratio float64) {
	l := bs.budgetFor(route)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Deposit(now, ratio)
}

// TrySpend takes one token from the route's budget and reports whether there was
// one.
func (bs *RouteBudgets) TrySpend(now time.Time, route string) bool {
	l := bs.budgetFor(route)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.TrySpend(now)
}

func (bs *RouteBudgets) budgetFor(route string) *lockedBudget {
	return bs.routes.GetOrMake(route, func() *lockedBudget { return &lockedBudget{} })
}
