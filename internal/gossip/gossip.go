// Package gossip runs the failure detector of package member over UDP
// datagrams: it encodes, signs and sends what the detector wants, and publishes
// who is live. A datagram carries a truncated MAC under the cluster key; a
// replayed one only repeats facts that incarnations and stamps have overtaken.
// It decides nothing by itself, and who it calls live is a hint.
package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/member"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Meta is what a member says of its view of the control stream.
type Meta = member.Meta

// Keys gives the cluster keys, newest first: the first one signs, each verifies.
type Keys interface {
	Keys() [][]byte
}

// Options configure a Manager. ID, Addr, Boot, Conn and Keys are required;
// zero values elsewhere take defaults.
type Options struct {
	ID string
	// Addr is where peers reach this daemon, by UDP here and by TCP elsewhere.
	Addr string
	// BootID names this process.
	BootID string
	// Conn is closed by Run.
	Conn net.PacketConn
	Keys Keys
	// Seeds are peers' addresses to start from.
	Seeds []string
	// Interval is the time between two probes, ProbeTimeout the wait for a
	// direct answer, Keep the time for which dead members are remembered.
	Interval      time.Duration
	ProbeTimeout  time.Duration
	DeadRetention time.Duration
	// OnEvent, if set, is told of each event. It must not block.
	OnEvent func(member.Event)
}

// Manager knows the live daemons.
type Manager struct {
	opt  Options
	conn net.PacketConn

	// mu guards the detector, which is one member's protocol state; it is never
	// held across I/O.
	mu       sync.Mutex
	detector *member.Detector

	// peers are the live members but this one; list is their sorted ids with
	// this one, replaced as a whole.
	peers *shard.Map[peerView]
	list  atomic.Pointer[[]string]

	changeMu sync.Mutex
	changed  chan struct{}

	wake  chan struct{}
	meter meter
}

// peerView is what readers see of a live member.
type peerView struct {
	addr string
	boot string
	meta Meta
}

// New returns a manager that knows nobody; Run starts it.
func New(o Options) (*Manager, error) {
	d, err := member.New(member.Options{
		ID: o.ID, Addr: o.Addr, BootID: o.BootID,
		Incarnation: uint64(time.Now().Unix()),
		Seeds:       o.Seeds, Interval: o.Interval, ProbeTimeout: o.ProbeTimeout, DeadRetention: o.DeadRetention,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, time.Now())
	if err != nil {
		return nil, err
	}
	m := &Manager{
		opt:      o,
		conn:     o.Conn,
		detector: d,
		peers:    shard.NewMap[peerView](),
		changed:  make(chan struct{}),
		wake:     make(chan struct{}, 1),
	}
	m.list.Store(&[]string{o.ID})
	return m, nil
}

// Run probes and answers until ctx ends, then says farewell.
func (m *Manager) Run(ctx context.Context) error {
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.read(gctx) })
	g.Go(func() error { return m.tick(gctx) })
	g.Go(func() error {
		<-gctx.Done()
		if ctx.Err() != nil {
			m.do((*member.Detector).Leave)
		}
		return m.conn.Close()
	})
	return g.Wait()
}

// Self returns this daemon's id.
func (m *Manager) Self() string { return m.opt.ID }

// Live returns the ids of the live daemons, this one included, sorted. The
// caller must not change the slice.
func (m *Manager) Live() []string { return *m.list.Load() }

// Addr returns the TCP address of a live daemon; "" for others.
func (m *Manager) Addr(id string) string {
	if id == m.opt.ID {
		return m.opt.Addr
	}
	v, _ := m.peers.Get(id)
	return v.addr
}

// Boot returns the name of the process that runs as a live daemon; "" for others.
func (m *Manager) Boot(id string) string {
	if id == m.opt.ID {
		return m.opt.BootID
	}
	v, _ := m.peers.Get(id)
	return v.boot
}

// Owner returns the live daemon with the highest rendezvous weight for key.
func (m *Manager) Owner(key string) string { return ids.Owner(key, m.Live()) }

// Changed returns a channel that is closed at the next change of Live, or of a
// live daemon's process or address.
func (m *Manager) Changed() <-chan struct{} {
	m.changeMu.Lock()
	defer m.changeMu.Unlock()
	return m.changed
}

// Metas returns what the other live daemons last said of themselves.
func (m *Manager) Metas() map[string]Meta {
	metas := make(map[string]Meta)
	m.peers.Range(func(id string, v peerView) bool {
		if v.meta.UnixMS != 0 {
			metas[id] = v.meta
		}
		return true
	})
	return metas
}

// SetMeta sets what this daemon says of itself from now on.
func (m *Manager) SetMeta(meta Meta) {
	meta.UnixMS = time.Now().UnixMilli()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.SetMeta(meta)
}

// AddPeer names the address of a daemon that is said to run.
func (m *Manager) AddPeer(id, addr string) {
	m.do(func(d *member.Detector, now time.Time) []member.Action { return d.AddPeer(id, addr, now) })
}

// RemovePeer forgets an address that AddPeer named.
func (m *Manager) RemovePeer(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.RemovePeer(addr)
}

// Check probes a daemon out of turn, for example because a call to it failed.
func (m *Manager) Check(id string) {
	m.do(func(d *member.Detector, now time.Time) []member.Action { return d.ProbeNow(id, now) })
}

// publish makes what changed at the detector visible and reports whether other
// members are live now, or live elsewhere; the caller holds mu.
func (m *Manager) publish() bool {
	changed := false
	for _, id := range m.detector.TakeChanged() {
		changed = m.publishOne(id) || changed
	}
	if !changed {
		return false
	}
	list := []string{m.opt.ID}
	m.peers.Range(func(id string, _ peerView) bool {
		list = append(list, id)
		return true
	})
	slices.Sort(list)
	m.list.Store(&list)
	return true
}

func (m *Manager) publishOne(id string) bool {
	n, ok := m.detector.Member(id)
	if !ok || !n.Live() {
		return m.peers.Delete(id)
	}
	meta, _ := m.detector.Meta(id)
	next := peerView{addr: n.Addr, boot: n.BootID, meta: meta}
	old, known := m.peers.Get(id)
	m.peers.Set(id, next)
	return !known || old.addr != next.addr || old.boot != next.boot
}

func (m *Manager) announce() {
	m.changeMu.Lock()
	defer m.changeMu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}
