package relay

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/retry"
)

// A silent stream must not be cut if the retry budget allows no other attempt.
func TestSilentStreamIsKeptWithoutRetryBudget(t *testing.T) {
	for _, slack := range []float64{0, 100} {
		budget := retry.NewSharedBudget(retry.Allowance{Ratio: 0, Slack: slack, Window: time.Second}, func() int { return 1 })
		r := New(Options{
			RetryBudget: budget, Tracker: balance.NewTracker("n", func() int { return 1 }, func() time.Duration { return 0 }),
			OnSuspect: func(string, catalog.GroupID) {},
		})
		j := &job{
			Relay: r, ctx: t.Context(), req: &Request{}, service: "llm",
			route: &catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2},
		}
		ctx, cancel := context.WithCancel(t.Context())
		w := j.startWatchdog(balance.Choice{Candidate: balance.Candidate{Head: &catalog.Engine{ID: "i-1"}}}, cancel)
		w.stop()
		w.startedAt = time.Now().Add(-time.Minute)
		before := budget.Remaining("llm")
		w.check()
		w.stop()
		must.Eq(t, slack > 0, ctx.Err() != nil)
		must.Eq(t, slack > 0, w.stalled.Load())

		j.retryReserved = w.stalled.Load()
		must.Eq(t, slack > 0, j.reserveRetry(true, "silent"))
		must.LessEq(t, 1.1, before-budget.Remaining("llm"), must.Sprint("one retry is taken from the budget once"))
		cancel()
	}
}
