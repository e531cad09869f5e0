package grant

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/limit"
)

// loadResult has the counts of one run.
type loadResult struct {
	overloads, requests, maxRunning int
	granted, refused                int
}

func (r loadResult) String() string {
	return fmt.Sprintf("%d of %d requests exceeded the capacity of a cold target (at most %d ran at once); callers: %d granted, %d refused",
		r.overloads, r.requests, r.maxRunning, r.granted, r.refused)
}

// simulateDomainReturn runs load through 15 daemons to 6 cold targets. Later the
// targets of one failure domain are withdrawn, and return with a new incarnation.
func simulateDomainReturn(t *testing.T, local bool) (r loadResult) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(2 * limit.ColdHoldoff)
		}()
		c := newCluster(ctx, 0, pool, targets(6, pool.ColdLimit, pool.Limit)...)
		for i := range 15 {
			c.start(fmt.Sprintf("d%02d", i), local)
		}
		time.AfterFunc(15*time.Second, func() { c.withdraw("f0") })
		time.AfterFunc(25*time.Second, c.endWithdrawals)
		stats := &callerStats{}
		c.runLoad(stats, 60, 40*time.Second, 300*time.Millisecond)
		r = loadResult{overloads: c.overloads(), granted: stats.granted, refused: stats.refused}
		for _, tg := range c.targets {
			r.requests += tg.requests
			r.maxRunning = max(r.maxRunning, tg.maxRunning)
		}
	})
	return r
}

// withdraw withdraws a failure domain from the pool.
func (c *cluster) withdraw(domain string) {
	c.update(func() { c.pool.Withdrawn = []string{domain} })
}

// endWithdrawals ends all withdrawals. Withdrawn targets that are idle have
// restarted meanwhile and are cold.
func (c *cluster) endWithdrawals() {
	c.update(func() {
		for _, t := range c.targets {
			if c.pool.IsWithdrawn(t.replica.FailureDomain) && t.limiter.Snapshot(time.Now()).Running == 0 {
				t.replica.Incarnation = ids.New()
				t.limiter.ResetToCold()
			}
		}
		c.pool.Withdrawn = nil
	})
}

// TestHomesAgainstLocalLimits checks that homes never overload a cold target under
// a load with which daemons that apply the limits by themselves do so.
func TestHomesAgainstLocalLimits(t *testing.T) {
	homes := simulateDomainReturn(t, false)
	local := simulateDomainReturn(t, true)
	t.Logf("homes: %s", homes)
	t.Logf("local: %s", local)
	must.Eq(t, 0, homes.overloads)
	must.Eq(t, 0, homes.refused)
	must.Positive(t, local.overloads)
}
