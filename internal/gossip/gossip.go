// Package gossip runs the failure detector of package member over UDP
// datagrams: it encodes, signs and sends the detector's messages and publishes the
// set of live daemons. Each datagram carries a truncated MAC under the cluster key.
// A replayed datagram has no effect, since its incarnations and time stamps are
// superseded. The package makes no membership decisions itself. The set of live
// daemons is a hint.
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

// Meta is the state that a member publishes about its view of the control
// stream.
type Meta = member.Meta

// Keys provides the cluster keys, newest first: the first one signs, and all
// verify.
type Keys interface {
	Keys() [][]byte
}

// Options configure a Manager. ID, Addr, BootID, Conn and Keys are required;
// zero values of the durations take defaults.
type Options struct {
	ID string
	// Addr is the address at which peers reach this daemon, by UDP for gossip
	// and by TCP for all other calls.
	Addr string
	// BootID identifies this process.
	BootID string
	// Conn sends and receives the datagrams. Run closes it.
	Conn net.PacketConn
	Keys Keys
	// Seeds are the addresses of peers to contact first.
	Seeds []string
	// Interval is the time between two probes, ProbeTimeout the wait for a
	// direct Ack, DeadRetention the time for which dead members are kept in the
	// member table.
	Interval      time.Duration
	ProbeTimeout  time.Duration
	DeadRetention time.Duration
	// OnEvent, if set, is called with each membership event. It must not
	// block.
	OnEvent func(member.Event)
}

// Manager runs the failure detector and publishes the live daemons.
type Manager struct {
	opt  Options
	conn net.PacketConn

	// mu guards the detector, the protocol state of this member. It is never held
	// across I/O.
	mu       sync.Mutex
	detector *member.Detector

	// peers holds the live members except this one. liveIDs holds their sorted ids
	// and this daemon's; the slice is replaced as a whole.
	peers   *shard.Map[peerView]
	liveIDs atomic.Pointer[[]string]

	changeMu sync.Mutex
	changed  chan struct{}

	tickerWake chan struct{}
	meter      trafficMeter
}

// peerView is the published state of a live member.
type peerView struct {
	addr   string
	bootID string
	meta   Meta
}

// New returns a Manager that knows no other member. Run starts it.
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
		opt:        o,
		conn:       o.Conn,
		detector:   d,
		peers:      shard.NewMap[peerView](),
		changed:    make(chan struct{}),
		tickerWake: make(chan struct{}, 1),
	}
	m.liveIDs.Store(&[]string{o.ID})
	return m, nil
}

// Run sends probes and responds to messages until ctx ends, then announces
// that this daemon leaves.
func (m *Manager) Run(ctx context.Context) error {
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.readLoop(gctx) })
	g.Go(func() error { return m.tickLoop(gctx) })
	g.Go(func() error {
		<-gctx.Done()
		if ctx.Err() != nil {
			m.runStep((*member.Detector).Leave)
		}
		return m.conn.Close()
	})
	return g.Wait()
}

// Self returns this daemon's id.
func (m *Manager) Self() string { return m.opt.ID }

// Live returns the ids of the live daemons, this one included, sorted. The
// caller must not change the slice.
func (m *Manager) Live() []string { return *m.liveIDs.Load() }

// Addr returns the TCP address of a live daemon; "" if id is not live.
func (m *Manager) Addr(id string) string {
	if id == m.opt.ID {
		return m.opt.Addr
	}
	v, _ := m.peers.Get(id)
	return v.addr
}

// BootID returns the boot id of a live daemon; "" if id is not live.
func (m *Manager) BootID(id string) string {
	if id == m.opt.ID {
		return m.opt.BootID
	}
	v, _ := m.peers.Get(id)
	return v.bootID
}

// Owner returns the live daemon with the highest rendezvous weight for key.
func (m *Manager) Owner(key string) string { return ids.Owner(key, m.Live()) }

// Changed returns a channel that is closed at the next change of Live, or of
// the boot id or address of a live daemon.
func (m *Manager) Changed() <-chan struct{} {
	m.changeMu.Lock()
	defer m.changeMu.Unlock()
	return m.changed
}

// Metas returns the latest Meta of each other live daemon that has published
// one.
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

// SetMeta sets the Meta that this daemon publishes from now on.
func (m *Manager) SetMeta(meta Meta) {
	meta.UnixMS = time.Now().UnixMilli()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.SetMeta(meta)
}

// AddPeer adds the address of a daemon that is expected to run.
func (m *Manager) AddPeer(id, addr string) {
	m.runStep(func(d *member.Detector, now time.Time) []member.Action { return d.AddPeer(id, addr, now) })
}

// RemovePeer removes an address that AddPeer added.
func (m *Manager) RemovePeer(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.RemovePeer(addr)
}

// ProbeNow probes a daemon out of turn, for example because a call to it failed.
func (m *Manager) ProbeNow(id string) {
	m.runStep(func(d *member.Detector, now time.Time) []member.Action { return d.ProbeNow(id, now) })
}

// publish copies the members that changed at the detector to the published
// state. It reports whether the set of live members, or the address or boot id
// of one, changed. The caller holds mu.
func (m *Manager) publish() bool {
	changed := false
	for _, id := range m.detector.TakeChanged() {
		changed = m.publishMember(id) || changed
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
	m.liveIDs.Store(&list)
	return true
}

// publishMember publishes one member and reports whether that is a change for
// the readers of Changed; a new Meta alone is not.
func (m *Manager) publishMember(id string) bool {
	n, ok := m.detector.Member(id)
	if !ok || !n.Live() {
		return m.peers.Delete(id)
	}
	meta, _ := m.detector.Meta(id)
	next := peerView{addr: n.Addr, bootID: n.BootID, meta: meta}
	old, known := m.peers.Get(id)
	m.peers.Set(id, next)
	return !known || old.addr != next.addr || old.bootID != next.bootID
}

// notifyChanged wakes the callers that wait for Changed.
func (m *Manager) notifyChanged() {
	m.changeMu.Lock()
	defer m.changeMu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}
