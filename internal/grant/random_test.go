package grant

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// mishap does one thing that may go wrong in a day, and says what.
func (c *cluster) mishap(rnd *rand.Rand) string {
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
		c.split(func(a, b string) bool { return (domainOf(a) == domain) != (domainOf(b) == domain) })
		return domain + " is cut off"
	case 5:
		c.split(func(a, b string) bool { return (a < n.id) != (b < n.id) })
		return "the daemons before " + n.id + " are cut off"
	case 6:
		c.withdraw("f1")
		return "f1 is withdrawn"
	default:
		c.heal()
		return "the network heals"
	}
}

// TestRandomMishaps lets one mishap follow another, faster than daemons notice
// them, and watches the targets.
func TestRandomMishaps(t *testing.T) {
	// 41 and 129 once found two homes that both granted on a cold target.
	for _, seed := range []uint64{1, 2, 3, 4, 41, 129} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			bubble(t, 15, 4, func(t *testing.T, c *cluster) {
				rnd := rand.New(rand.NewPCG(seed, 0))
				s := &tally{}
				for i := range 8 {
					time.AfterFunc(time.Duration(5+4*i)*time.Second, func() {
						t.Log(c.mishap(rnd))
						if i%3 == 2 {
							c.bringBack()
							c.heal()
						}
					})
				}
				c.load(s, 30+30*int(seed%2), 45*time.Second, time.Duration(200+100*(seed%5))*time.Millisecond)
				t.Logf("granted %d, refused %d, longest gap %s", s.ok, s.refused, s.gap)
				must.Eq(t, 0, c.broken())
				must.Positive(t, s.ok)
			})
		})
	}
}
