package mesh

import (
	"context"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// maxForwards is the number of datagrams of a topic that wait to be passed on. Those
	// beyond it are dropped, and asked for again.
	maxForwards = 1024
	// repairInterval is the interval of the checks for missing parts.
	repairInterval = 50 * time.Millisecond
	// holeDelay is how long no part must have arrived before those are asked for that
	// others have overtaken, and tailDelay the same for those after the last one, which may
	// not have been sent yet.
	holeDelay = 60 * time.Millisecond
	tailDelay = 250 * time.Millisecond
	// maxRepairs is the number of requests for the missing parts of a push in a row that
	// bring none. The first ones go to the daemon that passed the push on, and those after
	// repairsByParent to the first sender.
	maxRepairs      = 6
	repairsByParent = 2
	// listInterval is the number of parts after which the list of the daemons to pass a push
	// on to is sent again, where the parts have no room for it.
	listInterval = 16
	// relayLifetime is how long the parts of a push are kept for those that miss some.
	relayLifetime = 3 * time.Second
)

// outgoing is a datagram that waits to be sent within the link's share.
type outgoing struct {
	b    []byte
	addr string
}

// branch is the first daemon of a branch and those to which it passes parts on.
type branch struct {
	addr string
	rest []uint32
}

// eachDatagram calls send with a part, and before it or after it with a list of the rest of
// the branch if the part has no room for that. n is the number of parts that were sent
// before. The list is sent at intervals and with the last part, so that a lost one does not
// cut the branch off.
func (b *branch) eachDatagram(part *wire.RelayPart, n int, send func(part *wire.RelayPart)) {
	named := *part
	if part.HasRoomFor(len(b.rest)) {
		named.SetForward(b.rest)
		send(&named)
		return
	}
	list := &wire.RelayPart{Sender: part.Sender, Seq: part.Seq, Topic: part.Topic, Index: wire.ListIndex, Count: part.Count, HasEra: part.HasEra}
	list.SetForward(b.rest)
	if n%listInterval == 0 {
		send(list)
	}
	named.Forward = nil
	send(&named)
	if n == part.Count-1 {
		send(list)
	}
}

// relayedPush is the newest push of a stream, while its parts arrive and shortly after.
type relayedPush struct {
	seq    int64
	topic  int
	hasEra bool
	// data holds the parts that have arrived, and missing the number of others.
	data    [][]byte
	missing int
	// branches are the daemons that this one passes parts on to, and forwarded the number of
	// parts that it has passed on.
	branches  []branch
	forwarded int
	// from is the address that the last part came from, and arrivedAt when it did.
	from      string
	arrivedAt time.Time
	// asked is the number of requests since then, and askedAt when the last was sent.
	asked   int
	askedAt time.Time
}

// relays holds the relayed pushes of a topic by stream, those of this daemon included. It is
// safe for concurrent use.
type relays struct {
	mu      sync.Mutex
	streams map[string]*relayedPush
	// wake receives a value when a push begins to arrive.
	wake chan struct{}
}

func newRelays() *relays {
	return &relays{streams: map[string]*relayedPush{}, wake: make(chan struct{}, 1)}
}

// arriving reports whether a push is arriving.
func (r *relays) arriving(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.streams {
		if p.missing > 0 && now.Sub(p.arrivedAt) < tailDelay {
			return true
		}
	}
	return false
}

// add adds a part. It returns the parts to be passed on now, the daemons to pass them on to
// and the number of parts that were passed on before, and the data of all parts if this is
// the last one that was missing. branches is called for the first part of a push that names
// daemons to pass it on to.
func (r *relays) add(part *wire.RelayPart, from string, now time.Time, branches func() []branch) (forward []*wire.RelayPart, to []branch, before int, complete [][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.streams[part.Sender]
	switch {
	case p == nil || part.Seq > p.seq:
		if p == nil && len(r.streams) >= maxPushSenders {
			clear(r.streams)
		}
		p = &relayedPush{seq: part.Seq, topic: part.Topic, hasEra: part.HasEra, data: make([][]byte, part.Count), missing: part.Count, from: from, arrivedAt: now}
		r.streams[part.Sender] = p
		r.wakeLoop()
	case part.Seq < p.seq || len(p.data) != part.Count:
		return nil, nil, 0, nil
	}
	fresh := part.Index != wire.ListIndex && p.data[part.Index] == nil
	if fresh {
		p.data[part.Index] = part.Data
		p.missing--
		p.from, p.arrivedAt, p.asked = from, now, 0
		if p.missing == 0 {
			complete = p.data
		}
	}
	switch {
	case p.branches == nil && len(part.Forward) > 0:
		p.branches = branches()
		for i := range p.data {
			if p.data[i] != nil {
				forward = append(forward, p.part(part.Sender, i))
			}
		}
	case p.branches != nil && fresh:
		forward = append(forward, part)
	}
	before = p.forwarded
	p.forwarded += len(forward)
	return forward, p.branches, before, complete
}

// part returns a part that has arrived.
func (p *relayedPush) part(sender string, i int) *wire.RelayPart {
	return &wire.RelayPart{Sender: sender, Seq: p.seq, Topic: p.topic, Index: i, Count: len(p.data), HasEra: p.hasEra, Data: p.data[i]}
}

// addOwn keeps the parts of a push of this daemon for those that miss some.
func (r *relays) addOwn(parts []*wire.RelayPart, now time.Time) {
	if len(parts) == 0 {
		return
	}
	p := &relayedPush{seq: parts[0].Seq, topic: parts[0].Topic, hasEra: parts[0].HasEra, arrivedAt: now}
	for _, part := range parts {
		p.data = append(p.data, part.Data)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams[parts[0].Sender] = p
	r.wakeLoop()
}

// wakeLoop wakes repairLoop.
func (r *relays) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default: // the loop is to be woken already
	}
}

// requested returns the parts that are kept of those that a peer asks for.
func (r *relays) requested(q *wire.PartRequest) (parts []*wire.RelayPart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.streams[q.Sender]
	if p == nil || p.seq != q.Seq {
		return nil
	}
	for _, i := range q.Indexes() {
		if i < len(p.data) && p.data[i] != nil {
			parts = append(parts, p.part(q.Sender, i))
		}
	}
	return parts
}

// repair is a request for missing parts.
type repair struct {
	sender  string
	seq     int64
	missing []int
	// addr is the daemon that passed the push on, empty for the first sender.
	addr string
}

// due returns the requests that are to be sent, and removes pushes that are no longer
// needed. If there are others, it returns the time until the next check, else 0.
func (r *relays) due(now time.Time) (repairs []repair, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for sender, p := range r.streams {
		if now.Sub(p.arrivedAt) > relayLifetime {
			delete(r.streams, sender)
			continue
		}
		if p.missing > 0 && p.asked < maxRepairs {
			wait = repairInterval
		} else if wait == 0 {
			wait = relayLifetime
		}
		if missing := p.overdue(now); len(missing) > 0 {
			q := repair{sender: sender, seq: p.seq, missing: missing, addr: p.from}
			if p.asked >= repairsByParent {
				q.addr = ""
			}
			p.asked, p.askedAt = p.asked+1, now
			repairs = append(repairs, q)
		}
	}
	return repairs, wait
}

// overdue returns the parts that are to be asked for now.
func (p *relayedPush) overdue(now time.Time) (missing []int) {
	quiet := now.Sub(p.arrivedAt)
	if p.missing == 0 || quiet < holeDelay || p.asked >= maxRepairs || p.asked > 0 && now.Sub(p.askedAt) < holeDelay {
		return nil
	}
	last := len(p.data)
	for last > 0 && quiet < tailDelay && p.data[last-1] == nil {
		last--
	}
	for i := range last {
		if p.data[i] == nil {
			missing = append(missing, i)
		}
	}
	return missing
}

// relay sends a push to the first daemon of each branch, which passes it on.
func (s *pushStream) relay(ctx context.Context, p *wire.RecordPush, branches [][]receiver) error {
	parts, err := wire.SplitRelayParts(s.sender, s.seq, p)
	if err != nil {
		return err
	}
	s.m.relays[p.Topic].addOwn(parts, time.Now())
	to := make([]branch, len(branches))
	for i, b := range branches {
		to[i].addr = b[0].addr
		for _, r := range b[1:] {
			to[i].rest = append(to[i].rest, wire.DaemonHash(r.name))
		}
	}
	for n, part := range parts {
		for i := range to {
			to[i].eachDatagram(part, n, func(part *wire.RelayPart) {
				if datagram, ok := encodeRelayPart(part); ok {
					s.write(ctx, datagram, to[i].addr)
				}
			})
		}
	}
	return nil
}

// encodeRelayPart encodes a part, and logs and reports a failure.
func encodeRelayPart(part *wire.RelayPart) ([]byte, bool) {
	b, err := wire.EncodeRelayPart(part)
	if err != nil {
		klog.ErrorS(err, "part of a push not sent", "sender", part.Sender)
	}
	return b, err == nil
}

// handleRelayPart passes a part of a relayed push on, and applies the push if no other part
// is missing.
func (m *Mesh) handleRelayPart(part *wire.RelayPart, from string, now time.Time) {
	if err := part.Check(); err != nil {
		klog.V(1).ErrorS(err, "invalid record push of a peer ignored", "sender", part.Sender)
		return
	}
	if part.Topic < 0 || part.Topic >= topics || strings.HasPrefix(part.Sender, m.opts.Node+"/") {
		return
	}
	forward, to, before, complete := m.relays[part.Topic].add(part, from, now, func() []branch { return m.branchesOf(part) })
	for n, p := range forward {
		for i := range to {
			to[i].eachDatagram(p, before+n, func(p *wire.RelayPart) { m.enqueue(p, to[i].addr) })
		}
	}
	if complete == nil {
		return
	}
	push, err := wire.JoinRelayParts(complete, part.HasEra)
	if err != nil {
		klog.V(1).ErrorS(err, "invalid record push of a peer ignored", "sender", part.Sender)
		return
	}
	m.opts.Handler.HandleRecords(push)
}

// branchesOf returns the daemons to which this one passes on the push of a part.
func (m *Mesh) branchesOf(part *wire.RelayPart) []branch {
	addrs := map[uint32]string{}
	for name, addr := range m.opts.Source.DaemonAddrs() {
		addrs[wire.DaemonHash(name)] = addr
	}
	delete(addrs, wire.DaemonHash(m.opts.Node))
	var known []uint32
	for _, h := range part.ForwardTo() {
		if addrs[h] != "" {
			known = append(known, h)
		}
	}
	size := len(part.Data)
	if part.Count > 1 {
		size = part.Count * wire.RelayPartBytes
	}
	var out []branch
	for _, b := range divide(known, branchCount(len(known), size, m.opts.BytesPerSecond)) {
		out = append(out, branch{addrs[b[0]], b[1:]})
	}
	return out
}

// enqueue queues a part for the daemon at an address. If the queue is full, the part is
// dropped; the daemon asks for it.
func (m *Mesh) enqueue(part *wire.RelayPart, addr string) {
	datagram, ok := encodeRelayPart(part)
	if !ok {
		return
	}
	select {
	case m.forwards[part.Topic] <- outgoing{datagram, addr}:
	default:
		klog.V(1).InfoS("part of a push not passed on: too many wait", "sender", part.Sender, "index", part.Index)
	}
}

// forwardLoop sends the parts of a topic that this daemon passes on, until ctx ends.
func (m *Mesh) forwardLoop(ctx context.Context, topic int) error {
	s := m.newPushStream("forwards")
	for {
		select {
		case o := <-m.forwards[topic]:
			s.write(ctx, o.b, o.addr)
		case <-ctx.Done():
			return nil
		}
	}
}

// repairLoop asks for missing parts of pushes of a topic until ctx ends.
func (m *Mesh) repairLoop(ctx context.Context, topic int) error {
	pushes := m.relays[topic]
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-pushes.wake:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		repairs, wait := pushes.due(time.Now())
		for _, r := range repairs {
			m.requestParts(r)
		}
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

// requestParts asks the daemon that passed a push on, or its first sender, for missing
// parts.
func (m *Mesh) requestParts(r repair) {
	addr := r.addr
	if addr == "" {
		node, _, _ := strings.Cut(r.sender, "/")
		addr = m.opts.Source.DaemonAddrs()[node]
	}
	b, err := wire.EncodePartRequest(wire.NewPartRequest(m.opts.Node, r.sender, r.seq, r.missing))
	if err != nil || addr == "" {
		klog.V(1).ErrorS(err, "parts of a push not asked for", "sender", r.sender)
		return
	}
	m.write(b, addr)
}

// handlePartRequest sends a peer the parts that it has asked for, as far as this daemon has
// them.
func (m *Mesh) handlePartRequest(q *wire.PartRequest, from string) {
	for _, pushes := range m.relays {
		for _, part := range pushes.requested(q) {
			m.enqueue(part, from)
		}
	}
}
