package grant

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// injectFault causes one random fault or membership change and returns its
// description.
func (c *cluster) injectFault(rnd *rand.Rand) string {
	ns := c.live()
	n := ns[rnd.IntN(len(ns))]
	domain := domainOf(n.id)
	switch rnd.IntN(8) {
	case 0:
		c.kill(n)
		return n.id + " is killed"
	case 1:
		c.kill(c.home())
		return "the home is killed"
	case 2:
		c.leave(n)
		return n.id + " leaves"
	case 3:
		id := fmt.Sprint("e", rnd.IntN(1000), "-", rnd.IntN(3))
		c.start(id, false)
		return id + " joins"
	case 4:
		c.partition(func(a, b string) bool { return (domainOf(a) == domain) != (domainOf(b) == domain) })
		return domain + " is partitioned from the others"
	case 5:
		c.partition(func(a, b string) bool { return (a < n.id) != (b < n.id) })
		return "the daemons before " + n.id + " are partitioned from the others"
	case 6:
		c.withdraw("f1")
		return "f1 is withdrawn"
	default:
		c.heal()
		return "the network heals"
	}
}

// TestRandomFaults injects faults faster than daemons detect them and checks that
// no target is overloaded.
func TestRandomFaults(t *testing.T) {
	// Seeds 41 and 129 guard against two homes that both grant on a cold target.
	for _, seed := range []uint64{1, 2, 3, 4, 41, 129} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runSimulated(t, 15, 4, func(t *testing.T, c *cluster) {
				rnd := rand.New(rand.NewPCG(seed, 0))
				stats := &callerStats{}
				for i := range 8 {
					time.AfterFunc(time.Duration(5+4*i)*time.Second, func() {
						t.Log(c.injectFault(rnd))
						if i%3 == 2 {
							c.endWithdrawals()
							c.heal()
						}
					})
				}
				c.runLoad(stats, 30+30*int(seed%2), 45*time.Second, time.Duration(200+100*(seed%5))*time.Millisecond)
				t.Logf("granted %d, refused %d, longest gap %s", stats.granted, stats.refused, stats.maxGap)
				must.Eq(t, 0, c.overloads())
				must.Positive(t, stats.granted)
			})
		})
	}
}
