package site

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// From soaks in which all members of a group had lapsed: the one that came back
// was not counted, and the store divided by zero members.
func TestAMemberThatLapsedJoinsAnew(t *testing.T) {
	g := &joined{seen: map[string]time.Time{}, ttl: map[string]time.Duration{}}
	g.renew("a", time.Hour)
	first := g.generation
	g.renew("a", time.Hour)
	must.Eq(t, first, g.generation, must.Sprint("a renewal changes nothing"))
	g.seen["a"] = time.Now().Add(-2 * time.Hour)
	g.renew("b", time.Hour)
	must.Eq(t, []string{"b"}, g.members)
	must.Greater(t, first, g.generation)
	g.seen["b"] = time.Now().Add(-2 * time.Hour)
	g.renew("a", time.Hour)
	must.Eq(t, []string{"a"}, g.members)
}
