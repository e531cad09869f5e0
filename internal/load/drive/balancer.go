package drive

import (
	"context"
	"sync/atomic"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/front"
)

// balancer selects daemons round-robin, as the platform's load balancer does.
type balancer struct {
	daemons   []*daemon
	onlyReady bool
	nextIndex atomic.Uint64
}

type daemon struct {
	addr   string
	client *fasthttp.HostClient
	ready  atomic.Bool
}

func newBalancer(addrs []string, onlyReady bool) *balancer {
	b := &balancer{onlyReady: onlyReady}
	for _, a := range addrs {
		d := &daemon{addr: a, client: callerClient(a)}
		d.ready.Store(!onlyReady)
		b.daemons = append(b.daemons, d)
	}
	return b
}

// candidates returns the ready daemons in the order in which a request tries them. The
// starting point advances with each request.
func (b *balancer) candidates() []*daemon {
	n := len(b.daemons)
	first := int(b.nextIndex.Add(1) % uint64(n))
	out := make([]*daemon, 0, n)
	for i := range n {
		if d := b.daemons[(first+i)%n]; d.ready.Load() {
			out = append(out, d)
		}
	}
	return out
}

func (b *balancer) run(ctx context.Context) error {
	if !b.onlyReady {
		return nil
	}
	return runEvery(ctx, readyInterval, func() { b.probeReadiness(ctx) })
}

// probeReadiness updates the readiness of all daemons.
func (b *balancer) probeReadiness(ctx context.Context) {
	if !b.onlyReady || ctx.Err() != nil {
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
	_ = g.Wait() // the functions only return nil
}
