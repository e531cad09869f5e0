package mesh

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// identityLifetime is how long compact reports are sent to a peer after it stated that
	// it knows this daemon's identity. Then one full report is sent, which the peer
	// confirms. It bounds for how long a peer that restarts as an older release, and sends
	// this daemon nothing from which it can tell, gets reports that it does not understand.
	// At an interval of 125 ms a full report each 3 s is one of 24.
	identityLifetime = 3 * time.Second
	// minNoticeInterval is the time after which a peer that does not seem to use notices is
	// told again that its identity is known. The interval doubles with each notice, up to
	// maxNoticeInterval, since older releases ignore notices and send full reports only.
	minNoticeInterval = time.Second
	maxNoticeInterval = time.Minute
	// maxNames bounds the names that are kept of engines and senders, several times the
	// 600 engines and 350 daemons that are planned for. Above it they are dropped and
	// learned anew.
	maxNames = 4096
)

// session is what this daemon knows of a peer's ability to decode compact reports.
type session struct {
	// bootID is that of the peer's last full report.
	bootID string
	// accepted is the hash of this daemon's identity that the peer last confirmed, at
	// acceptedAt. It is 0 after a refusal.
	accepted   uint64
	acceptedAt time.Time
	// generation rises when the peer may have lost the names that it was given.
	generation uint64
	// usesNotices is set once the peer has sent a notice or a compact report.
	usesNotices bool
	// noticedAt is when the peer was last sent a notice, and interval the time until the
	// next one if it does not use them.
	noticedAt time.Time
	interval  time.Duration
}

// decodesCompact reports whether the peer is expected to decode a compact report of a
// sender with the given identity.
func (s session) decodesCompact(identity uint64, now time.Time) bool {
	return s.accepted == identity && !s.acceptedAt.IsZero() && now.Sub(s.acceptedAt) < identityLifetime
}

// withBoot returns the session after a full report of the peer. A peer that has started
// anew knows nothing, and may be of another release.
func (s session) withBoot(bootID string) session {
	if s.bootID == bootID {
		return s
	}
	return session{bootID: bootID, generation: s.generation + 1}
}

// withNotice returns the session after a notice of the peer.
func (s session) withNotice(n *wire.IdentityNotice, now time.Time) session {
	s.usesNotices = true
	if n.Known {
		s.accepted, s.acceptedAt = n.Identity, now
		return s
	}
	s.accepted, s.acceptedAt = 0, time.Time{}
	s.generation++
	return s
}

// answered returns the session after a full report was received, and whether the peer is
// to be sent a notice.
func (s session) answered(now time.Time) (session, bool) {
	if !s.usesNotices && now.Before(s.noticedAt.Add(s.interval)) {
		return s, false
	}
	s.noticedAt, s.interval = now, max(minNoticeInterval, min(2*s.interval, maxNoticeInterval))
	return s, true
}

// namedEngines holds the engines that full reports have named to a peer in a generation
// of its session. Their hashes stand for them in compact reports.
type namedEngines struct {
	generation uint64
	engines    map[string]bool
	// namedAt is when an engine was last named for the first time.
	namedAt time.Time
}

// covers reports whether the peer of a session knows the names of all engines of the
// loads: it has confirmed a full report since the last one was named.
func (n namedEngines) covers(loads []wire.EngineLoad, s session) bool {
	if n.generation != s.generation || s.acceptedAt.Before(n.namedAt) {
		return false
	}
	for _, l := range loads {
		if !n.engines[l.Engine] {
			return false
		}
	}
	return true
}

// with returns the names after a full report.
func (n namedEngines) with(loads []wire.EngineLoad, generation uint64, now time.Time) namedEngines {
	if n.engines == nil || n.generation != generation || len(n.engines) > maxNames {
		n = namedEngines{generation: generation, engines: map[string]bool{}}
	}
	for _, l := range loads {
		if !n.engines[l.Engine] {
			n.engines[l.Engine], n.namedAt = true, now
		}
	}
	return n
}

// senderNames holds what full reports have said of their senders and of engines.
type senderNames struct {
	identities map[uint64]wire.Identity
	engines    map[uint32]string
}

func newSenderNames() senderNames {
	return senderNames{identities: map[uint64]wire.Identity{}, engines: map[uint32]string{}}
}

// learn adds what a full report says.
func (s senderNames) learn(r *wire.LoadReport) {
	if len(s.identities) >= maxNames {
		clear(s.identities)
	}
	s.identities[r.Identity().Hash()] = r.Identity()
	for _, l := range r.Loads {
		if len(s.engines) >= maxNames {
			clear(s.engines)
		}
		s.engines[wire.EngineHash(l.Engine)] = l.Engine
	}
}

func (s senderNames) engine(hash uint32) (string, bool) {
	name, ok := s.engines[hash]
	return name, ok
}

// sendCompactReport sends a report in compact form. It reports false if the peer needs a
// full one, which the caller then sends.
func (m *Mesh) sendCompactReport(peer, addr string, r *wire.LoadReport) bool {
	s, _ := m.sessions.Get(peer)
	known, now := m.named[peer], time.Now()
	c, ok := wire.NewCompactReport(r)
	if !ok || !s.decodesCompact(c.Identity, now) || !known.covers(r.Loads, s) {
		m.named[peer] = known.with(r.Loads, s.generation, now)
		return false
	}
	return m.writeCompact(c, addr)
}

// sendCompactSums is like sendCompactReport, for sums.
func (m *Mesh) sendCompactSums(peer, addr string, sums *wire.LoadSums) bool {
	s, _ := m.sessions.Get(peer)
	c, ok := wire.NewCompactSums(sums)
	return ok && s.decodesCompact(c.Identity, time.Now()) && m.writeCompact(c, addr)
}

func (m *Mesh) writeCompact(c *wire.CompactReport, addr string) bool {
	b, err := wire.EncodeCompactReport(c)
	if err != nil || len(b) > maxDatagram {
		return false
	}
	m.write(b, addr)
	return true
}

// learnSender records what a full report says of its sender and of engines, and confirms
// it to the sender.
func (m *Mesh) learnSender(r *wire.LoadReport, addr string) {
	m.senders.learn(r)
	due := false
	m.sessions.Update(r.Sender, func(s session, _ bool) (session, bool) {
		s, due = s.withBoot(r.BootID).answered(time.Now())
		return s, true
	})
	if due {
		m.sendIdentityNotice(r.Identity().Hash(), true, addr)
	}
}

// handleCompact handles a compact report. If its sender or an engine in it is not known,
// the sender is told, and sends a full report in its next round.
func (m *Mesh) handleCompact(c *wire.CompactReport, addr string) {
	identity, known := m.senders.identities[c.Identity]
	if !known {
		m.sendIdentityNotice(c.Identity, false, addr)
		return
	}
	if s, ok := m.sessions.Get(identity.Sender); ok && !s.usesNotices {
		m.sessions.Update(identity.Sender, func(s session, _ bool) (session, bool) {
			s.usesNotices = true
			return s, true
		})
	}
	if c.IsSums {
		sums := c.Sums(identity)
		if m.recordPeer(&sums.Report) {
			m.opts.Handler.HandleSums(sums)
		}
		return
	}
	r, complete, err := c.LoadReport(identity, m.senders.engine)
	if err != nil {
		klog.V(1).ErrorS(err, "compact report ignored", "sender", identity.Sender)
		return
	}
	if !complete {
		m.sendIdentityNotice(c.Identity, false, addr)
	}
	if m.recordPeer(r) {
		m.opts.Handler.HandleReport(r)
	}
}

// handleIdentityNotice records whether a peer knows this daemon's identity.
func (m *Mesh) handleIdentityNotice(n *wire.IdentityNotice, now time.Time) {
	if n.Sender == "" || n.Sender == m.opts.Node {
		return
	}
	m.sessions.Update(n.Sender, func(s session, _ bool) (session, bool) { return s.withNotice(n, now), true })
}

// sendIdentityNotice tells the daemon at an address whether its identity is known.
func (m *Mesh) sendIdentityNotice(identity uint64, known bool, addr string) {
	b, err := wire.EncodeIdentityNotice(&wire.IdentityNotice{Sender: m.opts.Node, Identity: identity, Known: known})
	if err != nil || len(b) > maxDatagram {
		klog.ErrorS(err, "notice not sent: encoding failed or larger than one datagram", "bytes", len(b))
		return
	}
	m.write(b, addr)
}
