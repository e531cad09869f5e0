package keyed

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/peer"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// fakeLog is an in-memory log with fault injection.
type fakeLog struct {
	mu      sync.Mutex
	epoch   uint32
	streams map[string]*fakeStream
	// clockOffset is the log's time minus the local time.
	clockOffset time.Duration
	latency     time.Duration
	appends     int
	// loseResponses is the number of further appends that take effect but return an
	// error with unknown outcome; dropAppends is the number that return such an error
	// without taking effect.
	loseResponses, dropAppends int
	// refuse makes every call fail immediately, refuseWrites every append; hang makes
	// every call wait until its context is done.
	refuse, hang bool
	refuseWrites bool
}

type fakeStream struct {
	oldest  uint64
	records []platform.Record
}

func newFakeLog() *fakeLog { return &fakeLog{epoch: 1, streams: map[string]*fakeStream{}} }

func (l *fakeLog) set(change func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *fakeLog) stream(name string) *fakeStream {
	if l.streams[name] == nil {
		l.streams[name] = &fakeStream{}
	}
	return l.streams[name]
}

func (s *fakeStream) next() uint64 { return s.oldest + uint64(len(s.records)) }

var errRefused = fault.Refuse(fault.LogDown, "", "refused")

// simulateFaults applies the latency and the faults that concern every call.
func (l *fakeLog) simulateFaults(ctx context.Context, write bool) error {
	l.mu.Lock()
	latency, hang, refuse := l.latency, l.hang, l.refuse || (write && l.refuseWrites)
	l.mu.Unlock()
	if refuse {
		return errRefused
	}
	if hang {
		<-ctx.Done()
		return fault.Wrap(fault.LogDown, ctx.Err(), "", "no response")
	}
	if latency > 0 {
		pause.For(ctx, latency)
	}
	return nil
}

func (l *fakeLog) Append(ctx context.Context, name string, records [][]byte) (platform.AppendResponse, error) {
	if err := l.simulateFaults(ctx, true); err != nil {
		return platform.AppendResponse{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dropAppends > 0 {
		l.dropAppends--
		return platform.AppendResponse{}, fault.New(fault.LogDown, "", "no response")
	}
	l.appends++
	first := l.store(name, records...)
	if l.loseResponses > 0 {
		l.loseResponses--
		return platform.AppendResponse{}, fault.New(fault.LogDown, "", "response to the append was lost")
	}
	return platform.AppendResponse{Epoch: l.epoch, First: first}, nil
}

// store adds records to a stream and returns the offset of the first one. The caller
// holds mu.
func (l *fakeLog) store(name string, records ...[]byte) uint64 {
	s := l.stream(name)
	first := s.next()
	for _, r := range records {
		s.records = append(s.records, platform.Record{Offset: s.next(), AppendUnixMS: time.Now().Add(l.clockOffset).UnixMilli(), Data: r})
	}
	return first
}

func (l *fakeLog) Read(ctx context.Context, name string, from uint64, limit int) (platform.ReadResponse, error) {
	if err := l.simulateFaults(ctx, false); err != nil {
		return platform.ReadResponse{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if from < s.oldest {
		return platform.ReadResponse{}, &platform.TrimmedError{
			Stream: name, From: from,
			TrimmedResponse: platform.TrimmedResponse{Epoch: l.epoch, Oldest: s.oldest, Next: s.next()},
		}
	}
	out := platform.ReadResponse{Epoch: l.epoch, Oldest: s.oldest, Next: s.next()}
	if from < s.next() {
		rest := s.records[from-s.oldest:]
		out.Records = slices.Clone(rest[:min(limit, len(rest))])
	}
	return out, nil
}

// trim deletes the records that are older than age by the log's clock.
func (l *fakeLog) trim(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := time.Now().Add(l.clockOffset - age).UnixMilli()
	for _, s := range l.streams {
		for len(s.records) > 0 && s.records[0].AppendUnixMS < limit {
			s.records = s.records[1:]
			s.oldest++
		}
	}
}

// cluster is a set of in-process daemons that call each other over loopback.
type cluster struct {
	t       testing.TB
	log     *fakeLog
	mu      sync.Mutex
	changed chan struct{}
	nodes   map[string]*node
	adjust  func(*Options)
}

// node is a daemon. A partitioned or paused daemon is simulated by its gate.
type node struct {
	*Manager
	c       *cluster
	id      string
	boot    string
	addr    string
	client  *peer.Client
	stop    context.CancelFunc
	stopped chan struct{}
	// gate, if set, blocks every message to this daemon until it is closed.
	gate atomic.Pointer[chan struct{}]
	// view, if set, lists the daemons that this one considers live.
	view []string
	live bool
}

var clusterKeys = peer.StaticKeys{[]byte("0123456789abcdef")}

func newCluster(t testing.TB, n int, adjust func(*Options)) *cluster {
	c := &cluster{t: t, log: newFakeLog(), changed: make(chan struct{}), nodes: map[string]*node{}, adjust: adjust}
	for i := range n {
		c.start(fmt.Sprintf("d%d", i))
	}
	return c
}

func (c *cluster) start(id string) *node {
	c.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(c.t, err)
	n := &node{c: c, id: id, boot: ids.New(), addr: ln.Addr().String(), live: true, stopped: make(chan struct{})}
	n.client = peer.NewClient(peer.ClientOptions{ID: id, Keys: clusterKeys, PingAfter: 100 * time.Millisecond, PingTimeout: 100 * time.Millisecond})
	o := Options{
		Members: n, Caller: n.client, Log: c.log, BootID: n.boot, Shards: 2, Retention: 24 * time.Hour,
		LogTimeout: 200 * time.Millisecond, AppendInterval: time.Millisecond, Linger: 5 * time.Millisecond,
		ClaimTimeout: 300 * time.Millisecond, ProbeInterval: 20 * time.Millisecond, DrainTimeout: time.Second,
	}
	if c.adjust != nil {
		c.adjust(&o)
	}
	n.Manager, err = New(o)
	must.NoError(c.t, err)
	server := peer.NewServer(peer.ServerOptions{Listener: ln, ID: id, Keys: clusterKeys, DrainTimeout: 50 * time.Millisecond})
	for t, h := range n.Handlers() {
		server.Handle(t, n.gated(h))
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() {
		defer close(n.stopped)
		var wg sync.WaitGroup
		wg.Go(func() { _ = server.Run(ctx) })
		wg.Go(func() { _ = n.Run(ctx) })
		wg.Wait()
	}()
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	c.notify()
	c.t.Cleanup(func() {
		n.unblockMessages()
		stop()
		<-n.stopped
		n.client.Close()
	})
	return n
}

func (n *node) gated(f wire.Handler) wire.Handler {
	return func(ctx context.Context, from string, body []byte) (wire.Message, error) {
		if g := n.gate.Load(); g != nil {
			select {
			case <-*g:
			case <-ctx.Done():
			}
		}
		return f(ctx, from, body)
	}
}

// blockMessages blocks all messages to the daemon, as if it were paused.
func (n *node) blockMessages() {
	g := make(chan struct{})
	n.gate.Store(&g)
}

func (n *node) unblockMessages() {
	if g := n.gate.Swap(nil); g != nil {
		close(*g)
	}
}

func (c *cluster) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// markDead makes the other daemons consider n dead.
func (c *cluster) markDead(n *node) {
	c.mu.Lock()
	n.live = false
	c.mu.Unlock()
	c.notify()
}

func (c *cluster) setView(n *node, ids ...string) {
	c.mu.Lock()
	n.view = ids
	c.mu.Unlock()
	c.notify()
}

// Methods of Members.

func (n *node) Self() string { return n.id }

func (n *node) Live() []string {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.view != nil {
		return n.view
	}
	var live []string
	for id, o := range n.c.nodes {
		if o.live || o == n {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

func (n *node) Addr(id string) string {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.c.nodes[id].addr
}

func (n *node) BootID(id string) string {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if o := n.c.nodes[id]; o != nil && (o.live || o == n) {
		return o.boot
	}
	return ""
}

func (n *node) Changed() <-chan struct{} {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.c.changed
}

func (n *node) ProbeNow(string) {}

// homeOf returns the home of a key and another daemon.
func (c *cluster) homeOf(key string) (home, other *node) {
	all := c.nodes["d0"].Live()
	owner := ids.Owner(homeKey(once.ShardOf("w", key, c.nodes["d0"].Home.opt.Shards)), all)
	for _, id := range all {
		if id != owner {
			return c.nodes[owner], c.nodes[id]
		}
	}
	return c.nodes[owner], nil
}

func newIntent(key string) once.Intent {
	return once.Intent{Key: key, Workspace: "w", Route: "orders", IssuedAt: time.Now(), Fingerprint: once.FingerprintOf([]byte(key))}
}

func timeoutContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
