package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestSharesStayWithinAllowance has all daemons retry as often as their shares
// permit and checks that the retries of every window stay within the allowance.
func TestSharesStayWithinAllowance(t *testing.T) {
	a := Allowance{Ratio: 0.2, Slack: 283, Window: 10 * time.Second}
	const daemons, rate, seconds = 15, 10, 40
	start := time.Now()
	budgets := make([]*SharedBudget, daemons)
	for i := range budgets {
		budgets[i] = NewSharedBudget(a, func() int { return daemons })
	}
	repeats := make([]int, seconds)
	for s := range seconds {
		now := start.Add(time.Duration(s) * time.Second)
		for _, b := range budgets {
			for range rate {
				b.Deposit("llm", now)
			}
			for b.TrySpend("llm", now) {
				repeats[s]++
			}
		}
	}
	allowed := int(a.Ratio*daemons*rate*10 + a.Slack)
	for s := 0; s+10 <= seconds; s++ {
		sum := 0
		for _, n := range repeats[s : s+10] {
			sum += n
		}
		must.LessEq(t, allowed, sum)
		must.Positive(t, sum)
	}
}

func TestServicesHaveSeparateShares(t *testing.T) {
	now := time.Now()
	b := NewSharedBudget(Allowance{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, func() int { return 1 })
	for b.TrySpend("x", now) { //nolint:revive // empties the share
	}
	must.True(t, b.TrySpend("y", now))
	must.False(t, b.TrySpend("x", now))
}
