package mesh

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// pushBatchBytes is the maximum size of the records in one push. Announcements
	// of this size compress to about one datagram, so that a lost datagram loses
	// few records.
	pushBatchBytes = 6 << 10
	// maxBurstBytes is the number of bytes of pushes that are sent at once, and
	// pushLinkShare the share of the link's rate that pushes take.
	maxBurstBytes = 32 << 10
	pushLinkShare = 0.4
	// pacedBytes is the number of bytes after which a sender of pushes waits for its share.
	pacedBytes = 8 << 10
	// maxPushSenders limits the number of senders whose pushes are assembled. Only
	// a few daemons push at a time.
	maxPushSenders = 64
	// maxDirectAnswer is the size of the records that a collector sends itself to a daemon
	// that has missed them. For more it lets another daemon send them.
	maxDirectAnswer = 8 << 10
)

// Push queues records, whose first one has the push's offset, to be sent to all peers. It
// doesn't wait for the link. Records that wait are replaced by a push that covers them. If
// a batch is too large, it and the following batches are not sent; the peers detect the gap
// and read the store.
func (m *Mesh) Push(p *wire.RecordPush) {
	if p.Topic < 0 || p.Topic >= len(m.pushes) {
		return
	}
	if dropped := m.pushes[p.Topic].put(p, time.Now()); dropped > 0 {
		klog.V(1).InfoS("records not pushed: the link is too slow", "topic", p.Topic, "records", dropped)
		if m.opts.OnDropped != nil {
			m.opts.OnDropped(p.Topic, dropped)
		}
	}
}

// QueuedBytes returns the size of the records that wait to be pushed.
func (m *Mesh) QueuedBytes() (sum int) {
	for _, q := range m.pushes {
		sum += q.bytes()
	}
	return sum
}

// IsArriving reports whether a relayed push of a topic is arriving.
func (m *Mesh) IsArriving(topic int) bool {
	return topic >= 0 && topic < topics && m.relays[topic].arriving(time.Now())
}

// RequestRecords asks one of the collectors for the records of a topic from an offset of
// an era on, unless a push of the topic is arriving. It reports false if no collector is
// known.
func (m *Mesh) RequestRecords(topic int, era, next uint64) bool {
	if m.IsArriving(topic) {
		return true
	}
	var collectors []string
	now := time.Now()
	m.peers.Range(func(name string, p peerState) bool {
		if p.isCollector && now.Before(p.expires) {
			collectors = append(collectors, name)
		}
		return true
	})
	if len(collectors) == 0 {
		return false
	}
	b, err := wire.EncodeRecordRequest(&wire.RecordRequest{Sender: m.opts.Node, Topic: topic, Next: next, Era: era})
	if err != nil {
		klog.ErrorS(err, "records not requested from a peer", "topic", topic)
		return false
	}
	m.write(b, m.opts.Source.DaemonAddrs()[collectors[rand.IntN(len(collectors))]])
	return true
}

// receivedRequest is a request for records and the address that it came from.
type receivedRequest struct {
	*wire.RecordRequest
	from string
}

// answerRequest sends a peer the records that it has missed. While other requests wait
// it is dropped; the peer asks again.
func (m *Mesh) answerRequest(r *wire.RecordRequest, from string) {
	select {
	case m.requests <- receivedRequest{r, from}:
	default:
	}
}

// requestLoop answers the requests of peers until ctx ends.
func (m *Mesh) requestLoop(ctx context.Context) error {
	s := m.newPushStream("answers")
	for {
		select {
		case r := <-m.requests:
			records := m.opts.Handler.HandleRecordRequest(r.RecordRequest)
			if len(records) == 0 {
				continue
			}
			p := &wire.RecordPush{Era: r.Era, Topic: r.Topic, FirstOffset: r.Next, Records: records}
			if !m.passRequestOn(r, p) {
				s.sendBatches(ctx, p, func(batch *wire.RecordPush) error {
					return s.sendTo(ctx, batch, m.opts.Source.DaemonAddrs()[r.Sender])
				})
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// passRequestOn passes a request for many bytes on to another daemon that has the records,
// so that a collector with a small link doesn't send them to all that have missed them. It
// reports false if the request was passed on before, or if no such daemon is known.
func (m *Mesh) passRequestOn(r receivedRequest, p *wire.RecordPush) bool {
	addrs := m.opts.Source.DaemonAddrs()
	if valueBytes(p) <= maxDirectAnswer || r.from != addrs[r.Sender] {
		return false
	}
	var others []string
	now := time.Now()
	m.peers.Range(func(name string, peer peerState) bool {
		if name != r.Sender && !peer.isCollector && now.Before(peer.expires) && addrs[name] != "" && peer.hasUpTo(p) {
			others = append(others, name)
		}
		return true
	})
	if len(others) == 0 {
		return false
	}
	b, err := wire.EncodeRecordRequest(r.RecordRequest)
	if err != nil {
		klog.ErrorS(err, "request for records not passed on", "topic", r.Topic)
		return false
	}
	m.write(b, addrs[others[rand.IntN(len(others))]])
	return true
}

// hasUpTo reports whether the peer has said that it has the records of a push.
func (p *peerState) hasUpTo(push *wire.RecordPush) bool {
	return p.era == push.Era && push.Topic < len(p.ends) && p.ends[push.Topic] >= pushEnd(push)
}

// newPushLimiter returns a limiter of the bytes of pushes, for a link of the given rate; 0
// stands for one that is not known. Above it datagrams fill the queue of the machine's
// link, where they are lost.
func newPushLimiter(linkBytesPerSecond float64) *rate.Limiter {
	if linkBytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, maxBurstBytes)
	}
	return rate.NewLimiter(rate.Limit(pushLinkShare*linkBytesPerSecond), maxBurstBytes)
}

// pushStream numbers pushes and sends them within the link's share. Each topic has one, so
// that those of one don't wait for those of another. A receiver gives up a push when a part
// of a later one of the same stream arrives. It is not safe for concurrent use.
type pushStream struct {
	m *Mesh
	// sender identifies the stream. Sequence numbers restart with each process, so it
	// includes the boot id.
	sender string
	seq    int64
	// unpaid is the number of bytes sent since the last wait for the link.
	unpaid int
}

func (m *Mesh) newPushStream(name string) *pushStream {
	return &pushStream{m: m, sender: m.opts.Node + "/" + m.opts.BootID + "/" + name}
}

// pushLoop sends the pushes of a topic until ctx ends.
func (m *Mesh) pushLoop(ctx context.Context, topic int) error {
	s := m.newPushStream(strconv.Itoa(topic))
	q := m.pushes[topic]
	for {
		p, since := q.take()
		if p == nil {
			select {
			case <-q.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		s.sendBatches(ctx, p, func(batch *wire.RecordPush) error { return s.sendToAll(ctx, batch) })
		if m.opts.OnPushed != nil {
			m.opts.OnPushed(topic, pushEnd(p), time.Since(since))
		}
		m.SendNow()
	}
}

// sendBatches sends a push in batches. The newest records of each key are sent at once,
// since they are of use only together.
func (s *pushStream) sendBatches(ctx context.Context, p *wire.RecordPush, send func(*wire.RecordPush) error) {
	from, records := p.FirstOffset, p.Records
	for (len(records) > 0 || p.Latest) && ctx.Err() == nil {
		n, size := 0, 0
		for n < len(records) && (p.Latest || size == 0 || size+len(records[n].Value) < pushBatchBytes) {
			size += len(records[n].Value)
			n++
		}
		batch := &wire.RecordPush{Era: p.Era, Latest: p.Latest, Topic: p.Topic, FirstOffset: from, Records: records[:n]}
		if err := send(batch); err != nil {
			klog.V(1).ErrorS(err, "records not pushed to peers", "topic", p.Topic, "from", from, "bytes", size)
			return
		}
		if p.Latest {
			return
		}
		from += uint64(n)
		records = records[n:]
	}
}

// sendTo sends a push to the daemon at an address.
func (s *pushStream) sendTo(ctx context.Context, p *wire.RecordPush, addr string) error {
	s.seq++
	datagrams, err := wire.EncodeRecordPush(s.sender, s.seq, p)
	if err != nil {
		return s.relay(ctx, p, [][]receiver{{{addr: addr}}})
	}
	for _, b := range datagrams {
		s.write(ctx, b, addr)
	}
	return nil
}

// sendToAll sends a push to all peers: itself to as many as its link allows, which pass it
// on to the others.
func (s *pushStream) sendToAll(ctx context.Context, p *wire.RecordPush) error {
	s.seq++
	receivers := s.m.receivers()
	datagrams, err := wire.EncodeRecordPush(s.sender, s.seq, p)
	size := 0
	for _, b := range datagrams {
		size += len(b)
	}
	if err != nil {
		// A push of more parts is relayed, so that parts that are lost are sent again.
		size = valueBytes(p)
	}
	n := branchCount(len(receivers), size, s.m.opts.BytesPerSecond)
	if err != nil || n < len(receivers) {
		return s.relay(ctx, p, planBranches(s.m.opts.Node, receivers, n))
	}
	for _, r := range receivers {
		for _, b := range datagrams {
			s.write(ctx, b, r.addr)
		}
	}
	return nil
}

// receivers returns all peers, in an order that depends on their names only.
func (m *Mesh) receivers() []receiver {
	var out []receiver
	now := time.Now()
	for name, addr := range m.opts.Source.DaemonAddrs() {
		if name == m.opts.Node {
			continue
		}
		p, ok := m.peers.Get(name)
		zone, _ := m.zones.Get(addr)
		out = append(out, receiver{name: name, addr: addr, zone: zone.zone, alive: ok && now.Before(p.expires)})
	}
	slices.SortFunc(out, func(a, b receiver) int { return cmp.Compare(a.name, b.name) })
	return out
}

// write sends a datagram, and waits for the link's share now and then.
func (s *pushStream) write(ctx context.Context, b []byte, addr string) {
	s.m.write(b, addr)
	if s.unpaid += len(b); s.unpaid >= pacedBytes {
		s.pay(ctx)
	}
}

// pay waits until the link's share covers what was sent, or ctx ends.
func (s *pushStream) pay(ctx context.Context) {
	// WaitN fails only if ctx ends.
	_ = s.m.pushLimiter.WaitN(ctx, s.unpaid)
	s.unpaid = 0
}

// handlePushPart adds a part of a peer's push to its assembly. Only receiveLoop
// calls it.
func (m *Mesh) handlePushPart(p *wire.PushPart) {
	a, ok := m.assemblies[p.Sender]
	if !ok {
		if len(m.assemblies) >= maxPushSenders {
			clear(m.assemblies)
		}
		a = &wire.Assembly{}
		m.assemblies[p.Sender] = a
	}
	push, err := a.Add(p)
	if err != nil {
		klog.V(1).ErrorS(err, "invalid record push of a peer ignored", "sender", p.Sender)
		return
	}
	if push != nil {
		m.opts.Handler.HandleRecords(push)
	}
}
