// Package mesh exchanges load reports, suspected engines and records of the store
// between daemons, as UDP datagrams several times a second. Received data is a
// hint that no invariant depends on, with two exceptions: the confirmation that a
// configuration is current, and the statement whether a daemon reaches the head of a
// group. Both are dated by the echo of the receiver's own clock, so that a delayed
// datagram does not make them look newer.
package mesh

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// minReportInterval is the interval between reports in a small fleet. The
	// engines' own load reports have a lag of 200 ms in the platform's
	// specification.
	minReportInterval = 120 * time.Millisecond
	// intervalPerPeer times the number of daemons is the minimum interval in a larger
	// fleet, so that sending reports takes the same share of the processor at any
	// size.
	intervalPerPeer = 5 * time.Millisecond
	// collectorInterval is the maximum interval of collectors and of reports to
	// them, since the other daemons depend on the sums.
	collectorInterval = 250 * time.Millisecond
	// maxDatagram is the maximum size of a report in bytes, so that it fits in one
	// packet.
	maxDatagram = 1400
	// maxLoads is the maximum number of engines in a report, so that it fits in
	// maxDatagram.
	maxLoads = 40
	// demandInterval is the interval of the demand reports to the planner.
	demandInterval = time.Second
	// maxModels is the maximum number of models in a demand report, so that it fits
	// in maxDatagram.
	maxModels          = 16
	receiveBufferBytes = 4096
	// upToDateWithin is the age of a peer's configuration below which the peer
	// counts as connected to the store.
	upToDateWithin = 4 * time.Second
	// peerExpiryIntervals is the number of report intervals without a report after
	// which a peer counts as gone, but at least minPeerExpiry passes.
	peerExpiryIntervals = 5
	minPeerExpiry       = 1200 * time.Millisecond
)

// Source provides the content of reports. All methods are called several times a
// second.
type Source interface {
	// DaemonAddrs returns the addresses of all daemons by name, including this one.
	DaemonAddrs() map[string]string
	// FillReport sets the fields of the report that describe this daemon's state.
	FillReport(r *wire.LoadReport)
	// TotalLoads returns the loads of all engines, summed over the daemons that
	// report to this one.
	TotalLoads() []wire.EngineLoad
	// LateLoads returns the late requests without a first event that this daemon has at
	// engines, and TotalLateLoads their sums over the daemons that report to this one.
	LateLoads() []wire.EngineLoad
	TotalLateLoads() []wire.EngineLoad
	// Reservations returns the new demand and the reserved work of this daemon, in as
	// many datagrams as needed, and TotalReservations the sums over the daemons that
	// report to this one.
	Reservations() []wire.Reservations
	TotalReservations() []wire.Reservations
	// TenantDemand returns the demand by tenant at this daemon for the models that lack
	// capacity, and TotalTenantDemand the sums over the daemons that report to this one.
	// Without such models both have none.
	TenantDemand() wire.TenantDemand
	TotalTenantDemand() wire.TenantDemand
	// LeavingEngines returns the engines whose notice that they leave is to be passed
	// on.
	LeavingEngines() []wire.LeavingEngine
	// CrashNews returns the news of engines that ended under requests.
	CrashNews() wire.CrashNews
	// ModelWork returns the work that clients have requested of this daemon.
	ModelWork() []wire.ModelWork
}

// Handler handles what peers send.
type Handler interface {
	// HandleReport handles a report of a peer.
	HandleReport(r *wire.LoadReport)
	// HandleSums handles the sums of a collector, and its report in them.
	HandleSums(s *wire.LoadSums)
	// HandleLateLoads handles the late requests of a peer or of all daemons.
	HandleLateLoads(l *wire.LateLoads)
	// HandleReservations handles the demand and the reserved work of a peer or of all
	// daemons.
	HandleReservations(r *wire.Reservations)
	// HandleTenantDemand handles the demand by tenant at a peer or at all daemons.
	HandleTenantDemand(d *wire.TenantDemand)
	// HandleLeaving handles the notices that a peer has received.
	HandleLeaving(n *wire.LeaveNotices)
	// HandleCrashNews handles what a peer says of engines that ended under requests.
	HandleCrashNews(n *wire.CrashNews)
	// HandleDemand handles a demand report of a peer.
	HandleDemand(r *wire.DemandReport)
	// HandleHeadQuery handles the question whether this daemon reaches an engine. It
	// must not block.
	HandleHeadQuery(q *wire.HeadQuery)
	// HandleHeadStatement handles a peer's answer to such a question.
	HandleHeadStatement(s *wire.HeadStatement)
	// HandleTrialRequest returns the answer to a peer that is about to try a request under
	// which engines have ended, or nil if it states that it has. It must not block.
	HandleTrialRequest(r *wire.TrialRequest) *wire.TrialReply
	// HandleTrialReply handles the answer of the arbiter.
	HandleTrialReply(r *wire.TrialReply)
	// HandleRecordRequest returns the records that a peer has missed, or none if this
	// daemon does not have them.
	HandleRecordRequest(r *wire.RecordRequest) []wire.KeyedValue
	// HandleRecords handles records that a peer has read from the store.
	HandleRecords(r *wire.RecordPush)
}

// Options configures a Mesh. All fields but Zone and the functions whose names begin with
// On are required.
type Options struct {
	// Node is the name of this daemon, BootID identifies its process.
	Node   string
	BootID string
	// Addr is the local UDP address.
	Addr string
	// BytesPerSecond is the rate of the machine's link; 0 if it is unknown.
	BytesPerSecond float64
	Source         Source
	Handler        Handler
	// IsCollector reports whether this daemon is a collector. A collector sends
	// reports at least every collectorInterval, and in a fleet larger than
	// maxDirectFleet it sends the summed loads to the other daemons.
	IsCollector func() bool
	// IsRanked reports whether the other daemons of a large fleet need to know
	// whether this one is alive: it plans, or may soon read the store or plan for
	// all.
	IsRanked func() bool
	// Zone is the zone of this daemon.
	Zone string
	// OnSend, if not nil, is called for each datagram with its kind, its size and the
	// zone of the receiver, which is empty if it is not known.
	OnSend func(kind string, bytes int, zone string)
	// OnPushed, if not nil, is called when records of a topic that precede the offset next
	// were sent to all peers, with the time for which they, or the oldest of them, waited.
	OnPushed func(topic int, next uint64, waited time.Duration)
	// OnDropped, if not nil, is called with the number of records that are not sent because
	// others took their place in the queue of the topic. It must not block.
	OnDropped func(topic, records int)
}

// topics is the number of topics whose records are pushed, in the order of
// wire.LoadReport.Topics.
const topics = 3

// Mesh sends and receives datagrams. It is safe for concurrent use.
type Mesh struct {
	opts Options
	// conn is nil until Run has opened the socket.
	conn atomic.Pointer[net.UDPConn]
	// transmit sends a datagram to an address. Tests replace it.
	transmit func(b []byte, addr string) error
	// peers holds the state of peers by name. Expired entries are kept.
	peers *shard.Map[peerState]
	// zones holds the zones of peers by address.
	zones *shard.Map[zoneState]
	// sendNow wakes sendLoop before the end of the interval.
	sendNow chan struct{}
	// requests is the queue of requestLoop.
	requests chan receivedRequest
	// pushes holds the records that wait to be pushed by topic, and pushLimiter limits the
	// bytes of all pushes.
	pushes      [topics]*pushQueue
	pushLimiter *rate.Limiter
	// relays holds the relayed pushes, and forwards the queues of forwardLoop, by topic.
	relays   [topics]*relays
	forwards [topics]chan outgoing
	// lateRounds is the number of further rounds in which late loads are sent. Only
	// sendLoop uses it.
	lateRounds int
	// lastReservations is when this daemon's reservations were last sent. Only sendLoop
	// uses it.
	lastReservations time.Time
	// lastTenants is when this daemon's demand by tenant was last sent, and sumRounds the
	// number of rounds with sums. Only sendLoop uses them.
	lastTenants time.Time
	sumRounds   int
	// assemblies holds the incomplete pushes by sender. Only receiveLoop uses it.
	assemblies map[string]*wire.Assembly
	// sessions holds what peers know of this daemon's reports, by name.
	sessions *shard.Map[session]
	// named holds the names of engines that reports have given to peers. Only sendLoop
	// uses it.
	named map[string]namedEngines
	// senders holds what reports have said of their senders and of engines. Only
	// receiveLoop uses it.
	senders senderNames
}

// peerState is the content of a peer's last report.
type peerState struct {
	// configAge is the age of the peer's configuration when it sent the report, negative if
	// it has none, and receivedAt the time of the report.
	configAge    time.Duration
	receivedAt   time.Time
	planning     bool
	plannerKnown bool
	isCollector  bool
	// era is the era of the store that the peer knows, and ends the positions of the topics
	// that it has read in it, 0 for others.
	era      uint64
	ends     []uint64
	capacity float64
	bootID   string
	// lastSentNS is the SentNS of the report, which is echoed to the peer.
	lastSentNS int64
	// expires is the time after which the peer counts as gone.
	expires time.Time
}

// New returns a mesh. Run opens its socket and starts sending.
func New(o Options) *Mesh {
	m := &Mesh{
		opts: o, peers: shard.NewMap[peerState](), zones: shard.NewMap[zoneState](), sendNow: make(chan struct{}, 1), assemblies: map[string]*wire.Assembly{},
		sessions: shard.NewMap[session](), named: map[string]namedEngines{}, senders: newSenderNames(),
		requests:    make(chan receivedRequest, maxPushSenders),
		pushLimiter: newPushLimiter(o.BytesPerSecond),
	}
	for topic := range m.pushes {
		m.pushes[topic], m.relays[topic], m.forwards[topic] = newPushQueue(), newRelays(), make(chan outgoing, maxForwards)
	}
	m.transmit = m.transmitUDP
	return m
}

// Run sends and receives datagrams until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp", m.opts.Addr)
	if err != nil {
		return fault.Wrap(fault.BadInput, err, "correct the internal port", "resolve the mesh address %s", m.opts.Addr)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "free the internal port", "listen on UDP address %s", m.opts.Addr)
	}
	return m.serve(ctx, conn)
}

// serve sends and receives datagrams on conn until ctx ends, and closes it.
func (m *Mesh) serve(ctx context.Context, conn *net.UDPConn) error {
	m.conn.Store(conn)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.sendLoop(ctx) })
	g.Go(func() error { return m.receiveLoop(ctx, conn) })
	for topic := range m.pushes {
		g.Go(func() error { return m.pushLoop(ctx, topic) })
		g.Go(func() error { return m.forwardLoop(ctx, topic) })
		g.Go(func() error { return m.repairLoop(ctx, topic) })
	}
	g.Go(func() error { return m.requestLoop(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	return g.Wait()
}

// SendNow makes the mesh send the next round of reports immediately.
func (m *Mesh) SendNow() {
	select {
	case m.sendNow <- struct{}{}:
	default: // a round is already due
	}
}

// Peer is the state of a peer according to its last report.
type Peer struct {
	Name string
	// UpToDate is set if the peer's configuration was recently confirmed to be the
	// newest one.
	UpToDate bool
	// ConfigAge is the age of the confirmation of the peer's configuration when it sent
	// the report, negative if it has none, and ReportAge the time since then.
	ConfigAge, ReportAge time.Duration
	// Planning is set if the peer holds the planners' lease.
	Planning bool
	// PlannerKnown is set if the peer has a live peer that holds the lease.
	PlannerKnown bool
	// Capacity is the relative capacity of the peer's machine.
	Capacity float64
	// Collector is set if the peer is a collector.
	Collector bool
	// Era is the era of the store that the peer knows.
	Era uint64
}

// LivePeers returns the peers whose last report has not expired.
func (m *Mesh) LivePeers() []Peer {
	now := time.Now()
	var out []Peer
	m.peers.Range(func(name string, p peerState) bool {
		if now.Before(p.expires) {
			out = append(out, Peer{
				Name: name, UpToDate: UpToDate(p.configAge), ConfigAge: p.configAge, ReportAge: now.Sub(p.receivedAt),
				Planning: p.planning, PlannerKnown: p.plannerKnown, Capacity: p.capacity, Collector: p.isCollector, Era: p.era,
			})
		}
		return true
	})
	return out
}

// sendLoop sends rounds of reports until ctx ends.
func (m *Mesh) sendLoop(ctx context.Context) error {
	var lastPresence, lastDemand, collectorSince time.Time
	for n := 0; ctx.Err() == nil; n++ {
		addrs := m.opts.Source.DaemonAddrs()
		fleet := m.fleetView(addrs)
		fleet.round, fleet.presenceDue = n, time.Since(lastPresence) >= presenceInterval
		if !fleet.isCollector {
			collectorSince = time.Time{}
		} else if collectorSince.IsZero() {
			collectorSince = time.Now()
		}
		if fleet.isCollector {
			fleet.collecting = time.Since(collectorSince)
		}
		round := fleet.planRound()
		if len(round.presence) > 0 {
			lastPresence = time.Now()
		}
		m.sendRound(addrs, fleet.isCollector, &round)
		if time.Since(lastDemand) >= demandInterval {
			lastDemand = time.Now()
			m.sendDemand(addrs)
		}
		t := time.NewTimer(round.interval)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-m.sendNow:
		}
		t.Stop()
	}
	return nil
}

// fleetView returns the current peers and collectors.
func (m *Mesh) fleetView(addrs map[string]string) *fleetView {
	fleet := &fleetView{isCollector: m.opts.IsCollector(), isRanked: m.opts.IsRanked(), collectors: map[string]bool{}}
	for name := range addrs {
		if name != m.opts.Node {
			fleet.names = append(fleet.names, name)
		}
	}
	slices.Sort(fleet.names)
	now := time.Now()
	m.peers.Range(func(name string, p peerState) bool {
		if p.isCollector && now.Before(p.expires) {
			fleet.collectors[name] = true
		}
		return true
	})
	return fleet
}

// sendRound sends this daemon's report, the summed loads and the presence reports
// to the recipients of the round.
func (m *Mesh) sendRound(addrs map[string]string, isCollector bool, round *reportRound) {
	r := wire.LoadReport{Sender: m.opts.Node, BootID: m.opts.BootID, IntervalMS: round.interval.Milliseconds(), IsCollector: isCollector}
	m.opts.Source.FillReport(&r)
	if len(r.Loads) > maxLoads {
		r.Loads = r.Loads[:maxLoads]
	}
	m.sendEach(addrs, round.full, r)
	m.sendLateLoads(addrs, round)
	m.sendReservations(addrs, round)
	m.sendTenantDemand(addrs, round)
	m.sendLeaving(addrs, round.full, round.sums)
	m.sendCrashNews(addrs, round.full, round.sums)
	if len(round.sums) > 0 {
		r.IntervalMS = collectorInterval.Milliseconds()
		for _, part := range splitSums(&r, m.opts.Source.TotalLoads()) {
			m.sendSums(addrs, round.sums, part)
		}
	}
	r.Loads, r.IntervalMS = nil, presenceInterval.Milliseconds()
	m.sendEach(addrs, round.presence, r)
}

// sendDemand sends the work requested of this daemon to the daemon that plans.
func (m *Mesh) sendDemand(addrs map[string]string) {
	r := wire.DemandReport{Sender: m.opts.Node, IntervalMS: demandInterval.Milliseconds(), Models: m.opts.Source.ModelWork()}
	if len(r.Models) > maxModels {
		r.Models = r.Models[:maxModels]
	}
	if len(r.Models) == 0 {
		return
	}
	b, err := wire.EncodeDemandReport(&r)
	if err != nil || len(b) > maxDatagram {
		klog.ErrorS(err, "demand report not sent: encoding failed or larger than one datagram", "bytes", len(b))
		return
	}
	for _, p := range m.LivePeers() {
		if p.Planning {
			m.write(b, addrs[p.Name])
		}
	}
}

// sendEach sends a report to the named daemons.
func (m *Mesh) sendEach(addrs map[string]string, names []string, r wire.LoadReport) {
	for _, name := range names {
		m.addTimes(name, &r)
		if m.sendCompactReport(name, addrs[name], &r) {
			continue
		}
		m.send(addrs[name], func() ([]byte, error) { return wire.EncodeLoadReport(&r) }, &r)
	}
}

// sendSums sends a part of the sums to the named daemons.
func (m *Mesh) sendSums(addrs map[string]string, names []string, s wire.LoadSums) {
	for _, name := range names {
		m.addTimes(name, &s.Report)
		if m.sendCompactSums(name, addrs[name], &s) {
			continue
		}
		m.send(addrs[name], func() ([]byte, error) { return wire.EncodeLoadSums(&s) }, &s.Report)
	}
}

// sendLeaving sends the notices of engines that leave to the named daemons.
func (m *Mesh) sendLeaving(addrs map[string]string, recipients ...[]string) {
	for engines := range slices.Chunk(m.opts.Source.LeavingEngines(), maxLoads) {
		b, err := wire.EncodeLeaveNotices(&wire.LeaveNotices{Sender: m.opts.Node, Engines: engines})
		if err != nil {
			klog.ErrorS(err, "notices of leaving engines not sent")
			return
		}
		m.writeAll(b, addrs, recipients)
	}
}

// sendCrashNews sends the news of engines that ended under requests to the named
// daemons, in as many datagrams as they need.
func (m *Mesh) sendCrashNews(addrs map[string]string, recipients ...[]string) {
	news := m.opts.Source.CrashNews()
	if news.Items() == 0 {
		return
	}
	news.Sender = m.opts.Node
	for rest := []wire.CrashNews{news}; len(rest) > 0; {
		part := rest[len(rest)-1]
		rest = rest[:len(rest)-1]
		b, err := wire.EncodeCrashNews(&part)
		switch {
		case err == nil && len(b) <= maxDatagram:
			m.writeAll(b, addrs, recipients)
		case err == nil && part.Items() > 1:
			first, second := part.Split()
			rest = append(rest, first, second)
		default:
			klog.ErrorS(err, "news of a crash not sent: encoding failed or larger than one datagram", "bytes", len(b))
		}
	}
}

// writeAll sends a datagram to the named daemons.
func (m *Mesh) writeAll(b []byte, addrs map[string]string, recipients [][]string) {
	for _, names := range recipients {
		for _, name := range names {
			m.write(b, addrs[name])
		}
	}
}

// addTimes sets the send time of a report to a peer, and that of the peer's last
// report as the echo.
func (m *Mesh) addTimes(peer string, r *wire.LoadReport) {
	p, _ := m.peers.Get(peer)
	r.EchoNS, r.SentNS = p.lastSentNS, int64(boottime.Now())
}

// send encodes a datagram and sends it to addr. If it is too large, it is sent with
// fewer of the report's lists: the rest of the report must arrive also when many
// engines are suspected at once.
func (m *Mesh) send(addr string, encode func() ([]byte, error), r *wire.LoadReport) {
	b, err := encode()
	for err == nil && len(b) > maxDatagram && len(r.Loads)+len(r.Suspects) > 0 {
		r.Loads = r.Loads[:len(r.Loads)/2]
		r.Suspects = r.Suspects[:len(r.Suspects)/2]
		b, err = encode()
	}
	if err != nil || len(b) > maxDatagram {
		klog.ErrorS(err, "load report not sent: encoding failed or larger than one datagram", "bytes", len(b))
		return
	}
	m.write(b, addr)
}

// receiveLoop handles received datagrams until ctx ends.
func (m *Mesh) receiveLoop(ctx context.Context, conn *net.UDPConn) error {
	buf := make([]byte, receiveBufferBytes)
	for {
		n, from, err := conn.ReadFromUDP(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			klog.V(1).ErrorS(err, "receiving a datagram failed")
			continue
		}
		m.receive(buf[:n], from.String())
	}
}

// receive handles a datagram from an address.
func (m *Mesh) receive(b []byte, from string) {
	msg, err := wire.DecodeDatagram(b)
	if err != nil {
		klog.V(1).ErrorS(err, "undecodable datagram ignored", "bytes", len(b))
		return
	}
	switch r := msg.(type) {
	case *wire.LoadReport:
		if m.recordPeer(r) {
			m.learnSender(r, from)
			m.opts.Handler.HandleReport(r)
		}
	case *wire.LoadSums:
		if m.recordPeer(&r.Report) {
			m.learnSender(&r.Report, from)
			m.opts.Handler.HandleSums(r)
		}
	case *wire.CompactReport:
		m.handleCompact(r, from)
	case *wire.IdentityNotice:
		m.handleIdentityNotice(r, time.Now())
	case *wire.LateLoads:
		if r.Sender != "" && r.Sender != m.opts.Node {
			m.opts.Handler.HandleLateLoads(r)
		}
	case *wire.Reservations:
		if r.Sender != "" && r.Sender != m.opts.Node {
			m.opts.Handler.HandleReservations(r)
		}
	case *wire.TenantDemand:
		if r.Sender != "" && r.Sender != m.opts.Node {
			m.opts.Handler.HandleTenantDemand(r)
		}
	case *wire.LeaveNotices:
		m.opts.Handler.HandleLeaving(r)
	case *wire.CrashNews:
		m.opts.Handler.HandleCrashNews(r)
	case *wire.RecordRequest:
		m.answerRequest(r, from)
	case *wire.DemandReport:
		m.opts.Handler.HandleDemand(r)
	case *wire.PushPart:
		m.handlePushPart(r)
	case *wire.RelayPart:
		m.handleRelayPart(r, from, time.Now())
	case *wire.PartRequest:
		m.handlePartRequest(r, from)
	case *wire.HeadQuery:
		m.opts.Handler.HandleHeadQuery(r)
	case *wire.HeadStatement:
		m.opts.Handler.HandleHeadStatement(r)
	case *wire.TrialRequest:
		m.answerTrialRequest(r)
	case *wire.TrialReply:
		m.opts.Handler.HandleTrialReply(r)
	case *wire.ZoneNotice:
		m.handleZone(r)
	}
}

// write sends a datagram to addr. Errors are logged only.
func (m *Mesh) write(b []byte, addr string) {
	// No retry: the next report replaces a lost one, and a peer reads lost records
	// from the store.
	if err := m.transmit(b, addr); err != nil {
		klog.V(1).ErrorS(err, "datagram not sent", "addr", addr)
		return
	}
	if m.opts.OnSend != nil {
		m.opts.OnSend(wire.DatagramKind(b), len(b), m.zoneOf(addr, time.Now()))
	}
}

// transmitUDP sends a datagram on the socket that Run has opened.
func (m *Mesh) transmitUDP(b []byte, addr string) error {
	conn := m.conn.Load()
	if conn == nil {
		return net.ErrClosed
	}
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return err
	}
	_, err = conn.WriteToUDP(b, to)
	return err
}

// recordPeer stores the state of the sending peer. It reports false for a report
// without a sender, or of this daemon itself.
func (m *Mesh) recordPeer(r *wire.LoadReport) bool {
	if r.Sender == "" || r.Sender == m.opts.Node {
		return false
	}
	now := time.Now()
	old, known := m.peers.Get(r.Sender)
	if !known || old.bootID != r.BootID || now.After(old.expires) {
		klog.InfoS("peer heard", "peer", r.Sender, "boot", r.BootID)
	}
	interval := time.Duration(r.IntervalMS) * time.Millisecond
	m.peers.Set(r.Sender, peerState{
		bootID: r.BootID, lastSentNS: r.SentNS, expires: now.Add(max(minPeerExpiry, peerExpiryIntervals*interval)),
		configAge: senderConfigAge(r), receivedAt: now, planning: r.Planning, plannerKnown: r.PlannerKnown, capacity: r.Capacity, isCollector: r.IsCollector, era: r.Era(), ends: topicEnds(r),
	})
	return true
}

// topicEnds returns the positions of the topics that the sender has read in its era, 0 for
// others.
func topicEnds(r *wire.LoadReport) []uint64 {
	out := make([]uint64, len(r.Topics))
	for i, end := range r.Topics {
		if end.AgeNS >= 0 && !r.Unread(i) {
			out[i] = end.Next
		}
	}
	return out
}

// UpToDate reports whether a daemon counts as connected to the store whose configuration
// was confirmed that long ago. A negative age stands for none.
func UpToDate(configAge time.Duration) bool { return configAge >= 0 && configAge < upToDateWithin }

// senderConfigAge returns the age of the confirmation of the sender's configuration, or a
// negative value if it has none. The first topic is the operators' topic.
func senderConfigAge(r *wire.LoadReport) time.Duration {
	if len(r.Topics) == 0 {
		return -1
	}
	return time.Duration(r.Topics[0].AgeNS)
}
