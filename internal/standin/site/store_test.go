package site

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestExpiredMemberRejoins guards against a group without members. When all
// members had expired, the one that renewed wasn't added again, and the store
// divided by zero members. Soak runs found it.
func TestExpiredMemberRejoins(t *testing.T) {
	g := &consumerGroup{renewedAt: map[string]time.Time{}, ttl: map[string]time.Duration{}}
	g.renew("a", time.Hour)
	firstGeneration := g.generation
	g.renew("a", time.Hour)
	must.Eq(t, firstGeneration, g.generation, must.Sprint("a renewal must not start a new generation"))
	g.renewedAt["a"] = time.Now().Add(-2 * time.Hour)
	g.renew("b", time.Hour)
	must.Eq(t, []string{"b"}, g.members)
	must.Greater(t, firstGeneration, g.generation)
	g.renewedAt["b"] = time.Now().Add(-2 * time.Hour)
	g.renew("a", time.Hour)
	must.Eq(t, []string{"a"}, g.members)
}
