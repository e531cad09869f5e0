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

// bubble runs a test in simulated time and stops the cluster at its end.
func bubble(t *testing.T, daemons, replicas int, do func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			// What is under way ends by its own timeouts.
			time.Sleep(2 * limit.ColdHoldoff)
		}()
		do(t, newCluster(ctx, daemons, pool, targets(replicas, pool.ColdLimit, pool.Limit)...))
	})
}

func TestAnswersThroughEveryDaemon(t *testing.T) {
	bubble(t, 3, 2, func(t *testing.T, c *cluster) {
		s := &tally{}
		c.load(s, 10, 3*time.Second, 200*time.Millisecond)
		must.Eq(t, 30, s.ok)
		must.Eq(t, 0, c.broken())
	})
}

// TestNoTargetIsPushedTooHard drives the load through faults. The targets judge
// by themselves; they start cold.
func TestNoTargetIsPushedTooHard(t *testing.T) {
	cases := []struct {
		name string
		do   func(c *cluster)
		// gap is the longest time without any grant.
		gap time.Duration
	}{
		{"nothing happens", func(*cluster) {}, 500 * time.Millisecond},
		{"the home is killed", func(c *cluster) { c.kill(c.home()) }, 2 * time.Second},
		{"one home after another is killed", func(c *cluster) {
			c.kill(c.home())
			time.Sleep(detection + 200*time.Millisecond)
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
		{"the home leaves", func(c *cluster) { c.leave(c.home()) }, 500 * time.Millisecond},
		{"the home's failure domain goes dark", func(c *cluster) {
			dark := domainOf(c.home().id)
			for _, n := range c.live() {
				if domainOf(n.id) == dark {
					c.kill(n)
				}
			}
		}, 2 * time.Second},
		{"the home's failure domain is cut off and comes back", func(c *cluster) {
			far := domainOf(c.home().id)
			c.split(func(a, b string) bool { return (domainOf(a) == far) != (domainOf(b) == far) })
			time.Sleep(15 * time.Second)
			c.heal()
		}, 2 * time.Second},
		{"a partition through the domains comes and goes", func(c *cluster) {
			far := func(id string) bool { return id < "d06" }
			c.split(func(a, b string) bool { return far(a) != far(b) })
			time.Sleep(15 * time.Second)
			c.heal()
		}, detection + limit.ColdHoldoff + time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, 15, 4, func(t *testing.T, c *cluster) {
				s := &tally{}
				time.AfterFunc(10*time.Second, func() { tc.do(c) })
				c.load(s, 40, 40*time.Second, 300*time.Millisecond)
				t.Logf("granted %d, refused %d, longest gap %s", s.ok, s.refused, s.gap)
				must.Eq(t, 0, c.broken())
				must.LessEq(t, tc.gap, s.gap)
			})
		})
	}
}
