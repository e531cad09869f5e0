package gossip

import (
	"context"
	"errors"
	"net"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/member"
	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// readErrorBackoff is the wait after a failed read of the socket.
const readErrorBackoff = 100 * time.Millisecond

// runStep runs one step of the detector under its lock, then carries out the
// resulting actions without the lock.
func (m *Manager) runStep(step func(*member.Detector, time.Time) []member.Action) {
	m.mu.Lock()
	before := m.detector.NextTick()
	actions := step(m.detector, time.Now())
	earlier := m.detector.NextTick().Before(before)
	changed := m.publish()
	m.mu.Unlock()
	if changed {
		m.notifyChanged()
	}
	if earlier {
		m.wakeTicker()
	}
	for _, a := range actions {
		m.perform(a)
	}
}

// wakeTicker makes tickLoop read the time of the next tick again.
func (m *Manager) wakeTicker() {
	select {
	case m.tickerWake <- struct{}{}:
	default:
	}
}

// tickLoop calls the detector's Tick at the times that the detector asks for.
func (m *Manager) tickLoop(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.tickerWake:
		case <-t.C:
			m.runStep((*member.Detector).Tick)
		}
		t.Reset(time.Until(m.nextTick()))
	}
}

func (m *Manager) nextTick() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.NextTick()
}

// readLoop receives datagrams until ctx ends or the socket is closed.
func (m *Manager) readLoop(ctx context.Context) error {
	buf := make([]byte, wire.MaxDatagramBytes+1)
	for {
		n, _, err := m.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fault.Wrap(fault.Internal, err, "restart the daemon", "the membership socket is closed")
		}
		if err != nil {
			// For example, an ICMP error caused by an earlier send.
			klog.V(2).InfoS("failed to read from the membership socket", "err", err)
			if !pause.For(ctx, readErrorBackoff) {
				return nil
			}
			continue
		}
		m.handleDatagram(buf[:n])
	}
}

// handleDatagram verifies and decodes a datagram and passes its message to the
// detector.
func (m *Manager) handleDatagram(datagram []byte) {
	m.meter.countReceived(len(datagram))
	body, ok := open(m.opt.Keys.Keys(), datagram)
	if !ok {
		m.meter.rejected.Add(1)
		return
	}
	msg, err := wire.DecodeMember(body)
	if err != nil {
		m.meter.rejected.Add(1)
		klog.V(1).InfoS("dropped a malformed membership datagram", "err", err)
		return
	}
	m.runStep(func(d *member.Detector, now time.Time) []member.Action { return d.Receive(msg, now) })
}

func (m *Manager) perform(a member.Action) {
	switch {
	case a.Send != nil:
		m.send(a.Send)
	case a.Event != nil:
		m.reportEvent(*a.Event)
	}
}

func (m *Manager) send(s *member.Send) {
	keys := m.opt.Keys.Keys()
	if len(keys) == 0 {
		return
	}
	body, err := wire.EncodeMember(&s.Message, wire.MaxDatagramBytes-sealBytes)
	if err != nil {
		klog.ErrorS(err, "failed to encode a membership message")
		return
	}
	to, err := net.ResolveUDPAddr("udp", s.To)
	if err != nil {
		klog.V(1).InfoS("failed to resolve a peer address", "addr", s.To, "err", err)
		return
	}
	n, err := m.conn.WriteTo(seal(keys[0], body), to)
	m.meter.countSent(n)
	if err != nil {
		// The protocol tolerates lost datagrams.
		klog.V(2).InfoS("failed to send a membership datagram", "addr", s.To, "err", err)
	}
}

func (m *Manager) reportEvent(e member.Event) {
	switch e.Kind {
	case member.Duplicate:
		klog.ErrorS(nil, "another process uses this daemon's id; configure a unique id for each daemon", "id", e.Node.ID, "addr", e.Node.Addr)
	case member.Resumed:
		klog.InfoS("this process was paused", "gap", e.Gap.String())
	default:
		klog.InfoS("member changed", "event", e.Kind.String(), "member", e.Node.ID, "addr", e.Node.Addr, "incarnation", e.Node.Incarnation, "by", e.ReportedBy)
	}
	if m.opt.OnEvent != nil {
		m.opt.OnEvent(e)
	}
}
