package drive

import (
	"context"
	"sync/atomic"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/front"
)

// balancer hands out daemons in turn, as the platform's balancer does.
type balancer struct {
	daemons []*daemon
	watch   bool
	turn    atomic.Uint64
}

type daemon struct {
	addr  string
	http  *fasthttp.HostClient
	ready atomic.Bool
}

func newBalancer(addrs []string, watch bool) *balancer {
	b := &balancer{watch: watch}
	for _, a := range addrs {
		d := &daemon{addr: a, http: callerClient(a)}
		d.ready.Store(!watch)
		b.daemons = append(b.daemons, d)
	}
	return b
}

// next returns the daemons in the order in which a request tries them: the
// ready ones, beginning with the one whose turn it is.
func (b *balancer) next() []*daemon {
	n := len(b.daemons)
	first := int(b.turn.Add(1) % uint64(n))
	out := make([]*daemon, 0, n)
	for i := range n {
		if d := b.daemons[(first+i)%n]; d.ready.Load() {
			out = append(out, d)
		}
	}
	return out
}

func (b *balancer) run(ctx context.Context) error {
	if !b.watch {
		return nil
	}
	return every(ctx, readyInterval, func() { b.look(ctx) })
}

// look asks all daemons whether they are ready.
func (b *balancer) look(ctx context.Context) {
	if !b.watch || ctx.Err() != nil {
		return
	}
	var g errgroup.Group
	for _, d := range b.daemons {
		g.Go(func() error {
			status, _, err := controlClient.GetTimeout(nil, "http://"+d.addr+front.PathReady, controlTimeout)
			d.ready.Store(err == nil && status == fasthttp.StatusOK)
			return nil
		})
	}
	_ = g.Wait() // the functions never fail
}
