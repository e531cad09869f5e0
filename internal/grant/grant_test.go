package grant

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

var pool = table.Pool{Name: "p", Limit: 16, ColdLimit: 2}

// runSimulated runs a test on a cluster in simulated time and stops the cluster
// at its end.
func runSimulated(t *testing.T, daemons, replicas int, do func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			// Calls in progress end by their timeouts.
			time.Sleep(2 * limit.ColdHoldoff)
		}()
		do(t, newCluster(ctx, daemons, pool, targets(replicas, pool.ColdLimit, pool.Limit)...))
	})
}

func TestGrantsThroughEveryDaemon(t *testing.T) {
	runSimulated(t, 3, 2, func(t *testing.T, c *cluster) {
		stats := &callerStats{}
		c.runLoad(stats, 10, 3*time.Second, 200*time.Millisecond)
		must.Eq(t, 30, stats.granted)
		must.Eq(t, 0, c.overloads())
	})
}

// TestTargetsAreNeverOverloaded runs load while daemons or networks fail. The
// targets start cold and detect overload by themselves.
func TestTargetsAreNeverOverloaded(t *testing.T) {
	cases := []struct {
		name string
		do   func(c *cluster)
		// maxGap is the longest allowed time without a grant.
		maxGap time.Duration
	}{
		{"no fault", func(*cluster) {}, 500 * time.Millisecond},
		{"the home is killed", func(c *cluster) { c.kill(c.home()) }, 2 * time.Second},
		{"two homes are killed in succession", func(c *cluster) {
			c.kill(c.home())
			time.Sleep(detectionTime + 200*time.Millisecond)
			c.kill(c.home())
		}, 2 * time.Second},
		{"a holder is killed", func(c *cluster) {
			for _, n := range c.live() {
				if n != c.home() {
					c.kill(n)
					return
				}
			}
		}, 500 * time.Millisecond},
		{"the home moves as daemons join", func(c *cluster) {
			before := c.home()
			for _, id := range []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"} {
				c.start(id, false)
				if c.home() != before {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}, 500 * time.Millisecond},
		{"the home shuts down gracefully", func(c *cluster) { c.leave(c.home()) }, 500 * time.Millisecond},
		{"the home's failure domain is killed", func(c *cluster) {
			domain := domainOf(c.home().id)
			for _, n := range c.live() {
				if domainOf(n.id) == domain {
					c.kill(n)
				}
			}
		}, 2 * time.Second},
		{"the home's failure domain is partitioned and heals", func(c *cluster) {
			isolated := domainOf(c.home().id)
			c.partition(func(a, b string) bool { return (domainOf(a) == isolated) != (domainOf(b) == isolated) })
			time.Sleep(15 * time.Second)
			c.heal()
		}, 2 * time.Second},
		{"a partition across failure domains heals", func(c *cluster) {
			isolated := func(id string) bool { return id < "d06" }
			c.partition(func(a, b string) bool { return isolated(a) != isolated(b) })
			time.Sleep(15 * time.Second)
			c.heal()
		}, detectionTime + limit.ColdHoldoff + time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runSimulated(t, 15, 4, func(t *testing.T, c *cluster) {
				stats := &callerStats{}
				time.AfterFunc(10*time.Second, func() { tc.do(c) })
				c.runLoad(stats, 40, 40*time.Second, 300*time.Millisecond)
				t.Logf("granted %d, refused %d, longest gap %s", stats.granted, stats.refused, stats.maxGap)
				must.Eq(t, 0, c.overloads())
				must.LessEq(t, tc.maxGap, stats.maxGap)
			})
		})
	}
}
