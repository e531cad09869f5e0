package grant

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

func TestAcquireThroughAnyDaemon(t *testing.T) {
	c := newCluster(t, 3, table.Pool{Name: "p", Limit: 1, ColdLimit: 1}, serving(1))
	for _, n := range c.list() {
		g, err := n.m.Client.Acquire(context.Background(), request("a-"+n.id))
		must.NoError(t, err)
		must.Eq(t, "r0", g.Replica)
		must.Eq(t, n.id, g.Holder)
		n.m.Client.Release(g, limit.Result{Outcome: limit.OK})
	}
}

func TestHomeKilled(t *testing.T) {
	c := newCluster(t, 3, table.Pool{Name: "p", Limit: 2, ColdLimit: 2}, serving(1))
	ctx := context.Background()
	home := c.list()[0].Owner(Key("p", 0))
	var survivor *node
	for _, n := range c.list() {
		if n.id != home {
			survivor = n
		}
	}
	held, err := survivor.m.Client.Acquire(ctx, request("a"))
	must.NoError(t, err)
	c.kill(home)
	next, err := survivor.m.Client.Acquire(ctx, request("b"))
	must.NoError(t, err)
	must.NotEq(t, held.Home, next.Home)
	must.NotEq(t, held.ID, next.ID)
}
