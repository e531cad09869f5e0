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

// Timing of the simulation.
const (
	networkLatency = 1500 * time.Microsecond
	detectionTime  = time.Second
	reportInterval = 250 * time.Millisecond
)

// cluster is a set of daemons in simulated time, joined by a network that a test
// can partition. What a daemon sees of the others follows the network after
// detectionTime.
type cluster struct {
	ctx  context.Context
	pool table.Pool

	mu           sync.Mutex
	nodes        map[string]*node
	disconnected func(a, b string) bool
	visible      func(a, b string) bool
	targets      []*target
	changed      chan struct{}
}

type node struct {
	id      string
	cluster *cluster
	manager *Manager
	cancel  context.CancelFunc
	dead    bool
	removed bool // no longer live as seen by the others
}

func always(string, string) bool { return true }
func never(string, string) bool  { return false }

// newCluster starts daemons in front of cold targets.
func newCluster(ctx context.Context, daemons int, pool table.Pool, targets ...*target) *cluster {
	c := &cluster{
		ctx: ctx, pool: pool, targets: targets, nodes: make(map[string]*node),
		disconnected: never, visible: always, changed: make(chan struct{}),
	}
	for i := range daemons {
		c.start(fmt.Sprintf("d%02d", i), false)
	}
	go c.report()
	return c
}

// start adds a daemon.
func (c *cluster) start(id string, local bool) *node {
	n := &node{id: id, cluster: c}
	ctx, cancel := context.WithCancel(c.ctx)
	n.cancel = cancel
	n.manager = New(Options{Members: n, Caller: n, Pools: n, Replicas: n, Visibility: n, Daemons: n, LocalLimits: local})
	c.update(func() { c.nodes[id] = n })
	go func() { _ = n.manager.Run(ctx) }()
	return n
}

// report updates the targets' reports and wakes the daemons.
func (c *cluster) report() {
	for c.ctx.Err() == nil {
		time.Sleep(reportInterval)
		c.update(func() {
			for _, t := range c.targets {
				t.report()
			}
		})
	}
}

// update changes the simulated state and wakes the daemons.
func (c *cluster) update(fn func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn()
	close(c.changed)
	c.changed = make(chan struct{})
}

// kill stops a daemon at once; the others notice after detectionTime.
func (c *cluster) kill(n *node) {
	n.cancel()
	c.update(func() { n.dead = true })
	time.AfterFunc(detectionTime, func() { c.update(func() { n.removed = true }) })
}

// leave shuts down a daemon gracefully: it hands over its pools, is removed from
// the live daemons, and stops a little later.
func (c *cluster) leave(n *node) {
	n.manager.Home.Drain(c.ctx)
	c.update(func() { n.removed = true })
	time.Sleep(500 * time.Millisecond)
	c.update(func() { n.dead = true })
	n.cancel()
}

// partition disconnects pairs of daemons; they notice after detectionTime.
func (c *cluster) partition(disconnected func(a, b string) bool) {
	c.update(func() { c.disconnected = disconnected })
	time.AfterFunc(detectionTime, func() {
		c.update(func() { c.visible = func(a, b string) bool { return !disconnected(a, b) } })
	})
}

func (c *cluster) heal() { c.partition(never) }

// live lists the running daemons by id.
func (c *cluster) live() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ns []*node
	for _, id := range slices.Sorted(maps.Keys(c.nodes)) {
		if n := c.nodes[id]; !n.dead && !n.removed {
			ns = append(ns, n)
		}
	}
	return ns
}

// home returns the daemon that owns the pool as seen by the first live daemon.
func (c *cluster) home() *node {
	owner := c.live()[0].Owner(SliceKey(c.pool.Name, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[owner]
}

func (n *node) Self() string { return n.id }

func (n *node) Live() []string {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.live()
}

func (n *node) live() []string {
	var ls []string
	for _, id := range slices.Sorted(maps.Keys(n.cluster.nodes)) {
		if id == n.id || (!n.cluster.nodes[id].removed && n.cluster.visible(n.id, id)) {
			ls = append(ls, id)
		}
	}
	return ls
}

func (n *node) Addr(id string) string   { return id }
func (n *node) Owner(key string) string { return ids.Owner(key, n.Live()) }

func (n *node) Pool(string) (state.PoolRow, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return state.PoolRow{Pool: n.cluster.pool}, true
}

func (n *node) Changed() <-chan struct{} {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.changed
}

func (n *node) Replicas(string) []replica.Replica {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var reps []replica.Replica
	for _, t := range n.cluster.targets {
		reps = append(reps, t.replica)
	}
	return reps
}

func (n *node) Daemons() []state.Daemon {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var ds []state.Daemon
	for _, id := range slices.Sorted(maps.Keys(n.cluster.nodes)) {
		ds = append(ds, state.Daemon{ID: id, FailureDomain: domainOf(id)})
	}
	return ds
}

// domainOf assigns the daemons to three failure domains.
func domainOf(id string) string { return fmt.Sprint("f", int(id[len(id)-1])%3) }

func (n *node) MayUseCold() bool {
	seen, total := n.VisibleDaemons()
	return 2*seen > total
}

func (n *node) VisibleDaemons() (seen, total int) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return len(n.live()), len(n.cluster.nodes)
}

// Call sends a message to another daemon in its encoded form. A daemon that is
// dead or disconnected does not answer.
func (n *node) Call(ctx context.Context, addr string, req, resp wire.Message) error {
	n.cluster.mu.Lock()
	to := n.cluster.nodes[addr]
	n.cluster.mu.Unlock()
	body, err := wire.Marshal(req)
	if err != nil {
		return err
	}
	if err := n.transmit(ctx, to); err != nil {
		return err
	}
	m, err := to.handle(ctx, n.id, req.WireType(), body)
	if err != nil {
		return err
	}
	if err := to.transmit(ctx, n); err != nil {
		return err
	}
	b, err := wire.Marshal(m)
	if err != nil {
		return err
	}
	return wire.Unmarshal(b, resp)
}

// transmit waits until a message has crossed the network.
func (n *node) transmit(ctx context.Context, to *node) error {
	time.Sleep(networkLatency)
	n.cluster.mu.Lock()
	lost := n.dead || to.dead || n.cluster.disconnected(n.id, to.id)
	n.cluster.mu.Unlock()
	if !lost && ctx.Err() == nil {
		return nil
	}
	<-ctx.Done()
	return fault.Wrap(fault.Timeout, ctx.Err(), "", "call")
}

func (n *node) handle(ctx context.Context, from string, t wire.Type, body []byte) (wire.Message, error) {
	if h, ok := n.manager.Handlers()[t]; ok {
		return h(ctx, from, body)
	}
	return nil, fault.New(fault.NotFound, "", "no handler for type %d", t)
}
