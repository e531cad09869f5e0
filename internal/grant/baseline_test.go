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

// figures are what one run showed.
type figures struct {
	broken, ran, most int
	ok, refused       int
}

func (f figures) String() string {
	return fmt.Sprintf("%d of %d requests were too many for a cold target (at most %d at once); callers: %d granted, %d refused",
		f.broken, f.ran, f.most, f.ok, f.refused)
}

// domainReturns loads 15 daemons before 6 cold targets. After a while the
// targets of one failure domain are withdrawn; they come back booted anew.
func domainReturns(t *testing.T, local bool) (f figures) {
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
		time.AfterFunc(25*time.Second, c.bringBack)
		s := &tally{}
		c.load(s, 60, 40*time.Second, 300*time.Millisecond)
		f = figures{broken: c.broken(), ok: s.ok, refused: s.refused}
		for _, tg := range c.targets {
			f.ran += tg.ran
			f.most = max(f.most, tg.most)
		}
	})
	return f
}

// withdraw takes a failure domain out.
func (c *cluster) withdraw(domain string) {
	c.update(func() { c.pool.Withdrawn = []string{domain} })
}

// bringBack ends all withdrawals. The targets concerned have booted meanwhile,
// but for those that are still at work.
func (c *cluster) bringBack() {
	c.update(func() {
		for _, t := range c.targets {
			if c.pool.IsWithdrawn(t.rep.FailureDomain) && t.gauge.Read(time.Now()).Running == 0 {
				t.rep.Incarnation = ids.New()
				t.gauge.Reset()
			}
		}
		c.pool.Withdrawn = nil
	})
}

// TestAgainstLocalLimits compares homes with daemons that each keep the limits
// by themselves.
func TestAgainstLocalLimits(t *testing.T) {
	homes := domainReturns(t, false)
	local := domainReturns(t, true)
	t.Logf("homes: %s", homes)
	t.Logf("local: %s", local)
	must.Eq(t, 0, homes.broken)
	must.Eq(t, 0, homes.refused)
	must.Positive(t, local.broken)
}
