// Package mesh tells the other daemons what this one has under way and whom it
// suspects, in datagrams several times a second. What arrives is a hint: no
// invariant depends on it but the confirmation of a configuration, which is
// dated by an echo.
package mesh

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// leastInterval is the interval between reports in a small fleet; the lag
	// of engines' own reports is 200 ms on the sheets.
	leastInterval = 120 * time.Millisecond
	// perPeer stretches the interval with the fleet, so that a daemon's reports
	// cost the same share of its processor at any size.
	perPeer = 5 * time.Millisecond
	// often is the interval of a daemon on whose word others rely.
	often = 250 * time.Millisecond
	// maxDatagram keeps a report within one packet.
	maxDatagram = 1400
	// batchBytes is the size of the records that are packed together: about one
	// datagram of announcements, so that a lost one costs little.
	batchBytes = 6 << 10
	// maxSenders bounds the senders whose parts are collected; a few pass on at
	// a time.
	maxSenders = 64
	// maxLoads is the number of engines in a report that fits.
	maxLoads = 40
	// readBytes is the size of the receive buffer.
	readBytes = 4096
	// followedWithin is the age of the knowledge of the store that a peer with a
	// path to it stays below.
	followedWithin = 4 * time.Second
	// peerGone is the number of intervals without a report after which a peer
	// counts as gone, but not before leastGone.
	peerGone  = 5
	leastGone = 1200 * time.Millisecond
)

// Source tells what to report. All methods are called several times a second.
type Source interface {
	// DaemonAddrs are the addresses of all daemons by name, this one included.
	DaemonAddrs() map[string]string
	// FillReport adds what this daemon has to tell.
	FillReport(r *wire.LoadReport)
	// TotalLoads returns the loads of all daemons, as far as this one was told.
	TotalLoads() []wire.EngineLoad
}

// Handler takes what other daemons report.
type Handler interface {
	// HandleReport takes a report that arrived.
	HandleReport(r *wire.LoadReport)
	// HandleRecords takes records that another daemon has read from the store.
	HandleRecords(r *wire.RecordPush)
}

// Options configure a Mesh. All fields are required.
type Options struct {
	Node   string
	BootID string
	// Addr is the local UDP address.
	Addr    string
	Source  Source
	Handler Handler
	// IsCollector tells whether this daemon is one of those on whose word others
	// rely: it reports often, and in a large fleet it collects loads.
	IsCollector func() bool
}

// Mesh sends and receives reports.
type Mesh struct {
	o     Options
	conn  atomic.Pointer[net.UDPConn]
	peers *shard.Map[peer]
	wake  chan struct{}
	// pushes counts what this daemon has passed on.
	pushes atomic.Int64
	// assemblies are the pushes under way, by sender; only the receiving loop
	// uses them.
	assemblies map[string]*wire.Assembly
}

type peer struct {
	fresh    bool
	planning bool
	planned  bool
	collects bool
	capacity float64
	boot     string
	echo     int64
	expires  time.Time
}

// New returns a mesh that Run starts.
func New(o Options) *Mesh {
	return &Mesh{o: o, peers: shard.NewMap[peer](), wake: make(chan struct{}, 1), assemblies: map[string]*wire.Assembly{}}
}

// Run sends and receives until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp", m.o.Addr)
	if err != nil {
		return fault.Wrap(fault.BadInput, err, "correct the internal port", "address %s", m.o.Addr)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "free the internal port", "listen on %s", m.o.Addr)
	}
	m.conn.Store(conn)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.send(ctx) })
	g.Go(func() error { return m.receive(ctx, conn) })
	g.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	return g.Wait()
}

// SendNow sends the next report at once.
func (m *Mesh) SendNow() {
	select {
	case m.wake <- struct{}{}:
	default: // a report is due already
	}
}

// Peer is what the last report of another daemon said.
type Peer struct {
	Name string
	// UpToDate tells that the peer knew the store's newest state lately.
	UpToDate bool
	Planning bool
	// PlannerKnown tells that the peer knows one that plans.
	PlannerKnown bool
	// Capacity is what the peer's machine can carry, compared with others.
	Capacity float64
}

// LivePeers returns the daemons heard of lately, without this one.
func (m *Mesh) LivePeers() []Peer {
	now := time.Now()
	var out []Peer
	m.peers.Range(func(name string, p peer) bool {
		if now.Before(p.expires) {
			out = append(out, Peer{Name: name, UpToDate: p.fresh, Planning: p.planning, PlannerKnown: p.planned, Capacity: p.capacity})
		}
		return true
	})
	return out
}

func (m *Mesh) send(ctx context.Context) error {
	var briefed time.Time
	for ctx.Err() == nil {
		addrs := m.o.Source.DaemonAddrs()
		f := m.fleet(addrs)
		f.briefDue = time.Since(briefed) >= presence
		d := f.plan()
		if len(d.brief) > 0 {
			briefed = time.Now()
		}
		m.report(addrs, f.collects, &d)
		t := time.NewTimer(d.every)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-m.wake:
		}
		t.Stop()
	}
	return nil
}

// fleet returns what is known of the others now.
func (m *Mesh) fleet(addrs map[string]string) *fleet {
	f := &fleet{collects: m.o.IsCollector(), collectors: map[string]bool{}}
	for name := range addrs {
		if name != m.o.Node {
			f.names = append(f.names, name)
		}
	}
	now := time.Now()
	m.peers.Range(func(name string, p peer) bool {
		if p.collects && now.Before(p.expires) {
			f.collectors[name] = true
		}
		return true
	})
	return f
}

func (m *Mesh) report(addrs map[string]string, collects bool, d *dispatch) {
	r := wire.LoadReport{Sender: m.o.Node, BootID: m.o.BootID, IntervalMS: d.every.Milliseconds(), IsCollector: collects}
	m.o.Source.FillReport(&r)
	if len(r.Loads) > maxLoads {
		r.Loads = r.Loads[:maxLoads]
	}
	m.sendEach(addrs, d.full, r)
	if len(d.sums) > 0 {
		for _, part := range sumReports(&r, m.o.Source.TotalLoads()) {
			m.sendEach(addrs, d.sums, part)
		}
	}
	r.Loads, r.IntervalMS = nil, presence.Milliseconds()
	m.sendEach(addrs, d.brief, r)
}

// sendEach sends a report to daemons, to each with the echo of its own.
func (m *Mesh) sendEach(addrs map[string]string, names []string, r wire.LoadReport) {
	for _, name := range names {
		p, _ := m.peers.Get(name)
		r.EchoNS, r.SentNS = p.echo, int64(boottime.Now())
		m.sendTo(addrs[name], &r)
	}
}

func (m *Mesh) sendTo(addr string, r *wire.LoadReport) {
	b, err := wire.EncodeLoadReport(r)
	if err != nil || len(b) > maxDatagram {
		klog.ErrorS(err, "report not sent", "bytes", len(b))
		return
	}
	m.write(b, addr)
}

func (m *Mesh) receive(ctx context.Context, conn *net.UDPConn) error {
	buf := make([]byte, readBytes)
	for {
		n, _, err := conn.ReadFromUDP(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			klog.V(1).ErrorS(err, "datagram not received")
			continue
		}
		msg, err := wire.DecodeDatagram(buf[:n])
		if err != nil {
			klog.V(1).ErrorS(err, "datagram ignored", "bytes", n)
			continue
		}
		switch r := msg.(type) {
		case *wire.LoadReport:
			if r.Sender != "" && r.Sender != m.o.Node {
				m.heard(r)
			}
		case *wire.PushPart:
			m.passed(r)
		}
	}
}

// Push passes records of a topic on to all daemons, packed in batches. A batch
// that is too large is left out, and what follows it: the others see the gap and
// read the store.
func (m *Mesh) Push(topic int, from uint64, records []wire.KeyedValue) {
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && (n == 0 || size+len(records[n].Value) < batchBytes) {
			size += len(records[n].Value)
			n++
		}
		push := &wire.RecordPush{Topic: topic, FirstOffset: from, Records: records[:n]}
		// Numbers start anew with each process, so its boot is part of the name.
		parts, err := wire.EncodeRecordPush(m.o.Node+"/"+m.o.BootID, m.pushes.Add(1), push)
		if err != nil {
			klog.V(1).ErrorS(err, "records not passed on", "topic", topic, "from", from, "bytes", size)
			return
		}
		m.sendAll(parts)
		from += uint64(n)
		records = records[n:]
	}
}

func (m *Mesh) sendAll(parts [][]byte) {
	for name, addr := range m.o.Source.DaemonAddrs() {
		if name == m.o.Node {
			continue
		}
		for _, b := range parts {
			m.write(b, addr)
		}
	}
}

func (m *Mesh) write(b []byte, addr string) {
	conn := m.conn.Load()
	if conn == nil {
		return
	}
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		klog.V(1).ErrorS(err, "peer's address ignored", "addr", addr)
		return
	}
	// A lost datagram is made good by the next report, or by a read.
	if _, err := conn.WriteToUDP(b, to); err != nil {
		klog.V(1).ErrorS(err, "datagram not sent", "addr", addr)
	}
}

// passed takes a part of what another daemon passes on. Only the receiving loop
// calls it.
func (m *Mesh) passed(p *wire.PushPart) {
	a, ok := m.assemblies[p.Sender]
	if !ok {
		if len(m.assemblies) >= maxSenders {
			clear(m.assemblies)
		}
		a = &wire.Assembly{}
		m.assemblies[p.Sender] = a
	}
	push, err := a.Add(p)
	if err != nil {
		klog.V(1).ErrorS(err, "records of another daemon ignored", "sender", p.Sender)
		return
	}
	if push != nil {
		m.o.Handler.HandleRecords(push)
	}
}

func (m *Mesh) heard(r *wire.LoadReport) {
	now := time.Now()
	old, known := m.peers.Get(r.Sender)
	if !known || old.boot != r.BootID || now.After(old.expires) {
		klog.InfoS("peer heard", "peer", r.Sender, "boot", r.BootID)
	}
	every := time.Duration(r.IntervalMS) * time.Millisecond
	m.peers.Set(r.Sender, peer{
		boot: r.BootID, echo: r.SentNS, expires: now.Add(max(leastGone, peerGone*every)),
		fresh: followed(r), planning: r.Planning, planned: r.PlannerKnown, capacity: r.Capacity, collects: r.IsCollector,
	})
	m.o.Handler.HandleReport(r)
}

// followed reports whether the sender knew the newest configuration lately.
func followed(r *wire.LoadReport) bool {
	if len(r.Topics) == 0 {
		return false
	}
	age := time.Duration(r.Topics[0].AgeNS)
	return age >= 0 && age < followedWithin
}
