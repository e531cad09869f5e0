package grant

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// cluster is a set of daemons in one process, joined by memory. It holds what
// the test decides: who sees whom, who may use cold replicas, the replicas.
type cluster struct {
	mu       sync.Mutex
	nodes    map[string]*node
	sees     func(a, b string) bool
	replicas []replica.Replica
	row      state.PoolRow
	changed  chan struct{}
}

type node struct {
	id     string
	c      *cluster
	m      *Manager
	cancel context.CancelFunc
	down   bool
}

func newCluster(tb testing.TB, n int, pool table.Pool, reps []replica.Replica) *cluster {
	c := &cluster{
		nodes: make(map[string]*node), replicas: reps, changed: make(chan struct{}),
		row:  state.PoolRow{Pool: pool},
		sees: func(string, string) bool { return true },
	}
	for i := range n {
		c.start(tb, fmt.Sprintf("d%02d", i), false)
	}
	return c
}

// start adds a daemon.
func (c *cluster) start(tb testing.TB, id string, local bool) *node {
	n := &node{id: id, c: c}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.m = New(Options{Members: n, Caller: n, Pools: n, Replicas: n, Standing: n, Local: local})
	c.update(func() { c.nodes[id] = n })
	done := make(chan struct{})
	go func() { _ = n.m.Run(ctx); close(done) }()
	tb.Cleanup(func() { cancel(); <-done })
	return n
}

// update changes what the daemons see and wakes them.
func (c *cluster) update(fn func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn()
	close(c.changed)
	c.changed = make(chan struct{})
}

// kill stops a daemon; the others learn of it at once.
func (c *cluster) kill(id string) {
	c.nodes[id].cancel()
	c.update(func() { c.nodes[id].down = true })
}

func (c *cluster) list() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ns []*node
	for _, n := range c.nodes {
		if !n.down {
			ns = append(ns, n)
		}
	}
	slices.SortFunc(ns, func(a, b *node) int { return slices.Compare([]byte(a.id), []byte(b.id)) })
	return ns
}

func (n *node) Self() string { return n.id }

func (n *node) Live() []string {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.live()
}

func (n *node) live() []string {
	var ls []string
	for id, o := range n.c.nodes {
		if !o.down && (id == n.id || n.c.sees(n.id, id)) {
			ls = append(ls, id)
		}
	}
	slices.Sort(ls)
	return ls
}

func (n *node) Addr(id string) string   { return id }
func (n *node) Owner(key string) string { return ids.Owner(key, n.Live()) }
func (n *node) Pool(string) (state.PoolRow, bool) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.c.row, true
}

func (n *node) Changed() <-chan struct{} {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.c.changed
}

func (n *node) Replicas(string) []replica.Replica {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return slices.Clone(n.c.replicas)
}

func (n *node) MayUseCold() bool {
	seen, total := n.VisibleShare()
	return 2*seen > total
}

func (n *node) VisibleShare() (seen, total int) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return len(n.live()), len(n.c.nodes)
}

// Call carries a message to another daemon through its encoding. A daemon that
// is down or not seen does not answer.
func (n *node) Call(ctx context.Context, addr string, req, resp wire.Message) error {
	n.c.mu.Lock()
	to, ok := n.c.nodes[addr]
	reached := ok && !to.down && n.c.sees(n.id, addr)
	n.c.mu.Unlock()
	if !reached {
		<-ctx.Done()
		return fault.Wrap(fault.Timeout, ctx.Err(), "", "call")
	}
	body, err := wire.Marshal(req)
	if err != nil {
		return err
	}
	for _, h := range to.m.Handlers() {
		if h.Type == req.WireType() {
			return n.exchange(ctx, h, body, resp)
		}
	}
	return fault.New(fault.NotFound, "", "no handler")
}

func (n *node) exchange(ctx context.Context, h Handler, body []byte, resp wire.Message) error {
	m, err := h.Func(ctx, n.id, body)
	if err != nil {
		return err
	}
	b, err := wire.Marshal(m)
	if err != nil {
		return err
	}
	return wire.Unmarshal(b, resp)
}

func request(id string) limit.Request {
	return limit.Request{ID: id, Pool: "p", Workspace: "w", Deadline: time.Now().Add(10 * time.Second)}
}

func serving(n int) []replica.Replica {
	var reps []replica.Replica
	for i := range n {
		reps = append(reps, replica.Replica{
			ID: fmt.Sprintf("r%d", i), Pool: "p", Incarnation: "i1", Addr: fmt.Sprintf("r%d:80", i),
			FailureDomain: fmt.Sprintf("f%d", i%3), Status: replica.Serving,
		})
	}
	return reps
}
