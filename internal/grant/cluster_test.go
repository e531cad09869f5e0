package grant

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Times of the simulated world.
const (
	latency     = 1500 * time.Microsecond
	detection   = time.Second
	reportEvery = 250 * time.Millisecond
)

// cluster is a set of daemons in one bubble of simulated time, joined by a
// network that the test cuts as it likes. Who sees whom follows the network
// after the time that detection takes.
type cluster struct {
	ctx  context.Context
	pool table.Pool

	mu      sync.Mutex
	nodes   map[string]*node
	cut     func(a, b string) bool
	seen    func(a, b string) bool
	targets []*target
	changed chan struct{}
}

type node struct {
	id     string
	c      *cluster
	m      *Manager
	cancel context.CancelFunc
	dead   bool
	gone   bool // seen to be dead
}

func always(string, string) bool { return true }
func never(string, string) bool  { return false }

// newCluster starts daemons before targets that are cold.
func newCluster(ctx context.Context, daemons int, pool table.Pool, targets ...*target) *cluster {
	c := &cluster{
		ctx: ctx, pool: pool, targets: targets, nodes: make(map[string]*node),
		cut: never, seen: always, changed: make(chan struct{}),
	}
	for i := range daemons {
		c.start(fmt.Sprintf("d%02d", i), false)
	}
	go c.report()
	return c
}

// start adds a daemon; in Local mode it limits by itself.
func (c *cluster) start(id string, local bool) *node {
	n := &node{id: id, c: c}
	ctx, cancel := context.WithCancel(c.ctx)
	n.cancel = cancel
	n.m = New(Options{Members: n, Caller: n, Pools: n, Replicas: n, Visibility: n, Daemons: n, LocalLimits: local})
	c.update(func() { c.nodes[id] = n })
	go func() { _ = n.m.Run(ctx) }()
	return n
}

// report wakes the daemons for the targets' reports.
func (c *cluster) report() {
	for c.ctx.Err() == nil {
		time.Sleep(reportEvery)
		c.update(func() {
			for _, t := range c.targets {
				t.report()
			}
		})
	}
}

// update changes what the daemons see and wakes them.
func (c *cluster) update(fn func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn()
	close(c.changed)
	c.changed = make(chan struct{})
}

// kill stops a daemon at once; the others see it after the detection time.
func (c *cluster) kill(n *node) {
	n.cancel()
	c.update(func() { n.dead = true })
	time.AfterFunc(detection, func() { c.update(func() { n.gone = true }) })
}

// leave lets a daemon go in good order: it says so, and ends a little later.
func (c *cluster) leave(n *node) {
	n.m.Home.Drain(c.ctx)
	c.update(func() { n.gone = true })
	time.Sleep(500 * time.Millisecond)
	c.update(func() { n.dead = true })
	n.cancel()
}

// split cuts the network; the daemons see it after the detection time.
func (c *cluster) split(apart func(a, b string) bool) {
	c.update(func() { c.cut = apart })
	time.AfterFunc(detection, func() {
		c.update(func() { c.seen = func(a, b string) bool { return !apart(a, b) } })
	})
}

func (c *cluster) heal() { c.split(never) }

// live lists the daemons that run, by name.
func (c *cluster) live() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ns []*node
	for _, id := range slices.Sorted(maps.Keys(c.nodes)) {
		if n := c.nodes[id]; !n.dead && !n.gone {
			ns = append(ns, n)
		}
	}
	return ns
}

// home returns the daemon that owns the pool in the eyes of the first one.
func (c *cluster) home() *node {
	owner := c.live()[0].Owner(SliceKey(c.pool.Name, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[owner]
}

func (n *node) Self() string { return n.id }

func (n *node) Live() []string {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.live()
}

func (n *node) live() []string {
	var ls []string
	for _, id := range slices.Sorted(maps.Keys(n.c.nodes)) {
		if id == n.id || (!n.c.nodes[id].gone && n.c.seen(n.id, id)) {
			ls = append(ls, id)
		}
	}
	return ls
}

func (n *node) Addr(id string) string   { return id }
func (n *node) Owner(key string) string { return ids.Owner(key, n.Live()) }

func (n *node) Pool(string) (state.PoolRow, bool) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return state.PoolRow{Pool: n.c.pool}, true
}

func (n *node) Changed() <-chan struct{} {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.c.changed
}

func (n *node) Replicas(string) []replica.Replica {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	var reps []replica.Replica
	for _, t := range n.c.targets {
		reps = append(reps, t.rep)
	}
	return reps
}

func (n *node) Daemons() []state.Daemon {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	var ds []state.Daemon
	for _, id := range slices.Sorted(maps.Keys(n.c.nodes)) {
		ds = append(ds, state.Daemon{ID: id, FailureDomain: domainOf(id)})
	}
	return ds
}

// domainOf spreads the daemons over three failure domains.
func domainOf(id string) string { return fmt.Sprint("f", int(id[len(id)-1])%3) }

func (n *node) MayUseCold() bool {
	seen, total := n.VisibleShare()
	return 2*seen > total
}

func (n *node) VisibleShare() (seen, total int) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return len(n.live()), len(n.c.nodes)
}

// Call carries a message to another daemon through its encoding. One that is
// dead or cut off does not answer.
func (n *node) Call(ctx context.Context, addr string, req, resp wire.Message) error {
	n.c.mu.Lock()
	to := n.c.nodes[addr]
	n.c.mu.Unlock()
	body, err := wire.Marshal(req)
	if err != nil {
		return err
	}
	if err := n.cross(ctx, to); err != nil {
		return err
	}
	m, err := to.handle(ctx, n.id, req.WireType(), body)
	if err != nil {
		return err
	}
	if err := to.cross(ctx, n); err != nil {
		return err
	}
	b, err := wire.Marshal(m)
	if err != nil {
		return err
	}
	return wire.Unmarshal(b, resp)
}

// cross waits until a message has crossed the network.
func (n *node) cross(ctx context.Context, to *node) error {
	time.Sleep(latency)
	n.c.mu.Lock()
	lost := n.dead || to.dead || n.c.cut(n.id, to.id)
	n.c.mu.Unlock()
	if !lost && ctx.Err() == nil {
		return nil
	}
	<-ctx.Done()
	return fault.Wrap(fault.Timeout, ctx.Err(), "", "call")
}

func (n *node) handle(ctx context.Context, from string, t wire.Type, body []byte) (wire.Message, error) {
	if h, ok := n.m.Handlers()[t]; ok {
		return h(ctx, from, body)
	}
	return nil, fault.New(fault.NotFound, "", "no handler for type %d", t)
}
