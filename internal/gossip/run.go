package gossip

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/member"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// readBackoff is the pause after a failed read.
const readBackoff = 100 * time.Millisecond

// do runs one step of the detector under its lock and its actions outside.
func (m *Manager) do(step func(*member.Detector, time.Time) []member.Action) {
	m.mu.Lock()
	before := m.detector.NextTick()
	actions := step(m.detector, time.Now())
	earlier := m.detector.NextTick().Before(before)
	changed := m.publish()
	m.mu.Unlock()
	if changed {
		m.announce()
	}
	if earlier {
		m.nudge()
	}
	for _, a := range actions {
		m.act(a)
	}
}

// nudge makes tick look at Due again.
func (m *Manager) nudge() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Manager) tick(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		case <-t.C:
			m.do((*member.Detector).Tick)
		}
		t.Reset(time.Until(m.due()))
	}
}

func (m *Manager) due() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.NextTick()
}

func (m *Manager) read(ctx context.Context) error {
	buf := make([]byte, wire.MaxDatagramBytes+1)
	for {
		n, _, err := m.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fault.Wrap(fault.Internal, err, "restart the daemon", "membership socket closed")
		}
		if err != nil {
			// Such as an ICMP refusal that belongs to an earlier send.
			klog.V(2).InfoS("Failed to read a datagram", "err", err)
			if !pause.For(ctx, readBackoff) {
				return nil
			}
			continue
		}
		m.receive(buf[:n])
	}
}

func (m *Manager) receive(datagram []byte) {
	m.meter.received(len(datagram))
	body, ok := open(m.opt.Keys.Keys(), datagram)
	if !ok {
		m.meter.rejected.Add(1)
		return
	}
	msg, err := wire.DecodeMember(body)
	if err != nil {
		m.meter.rejected.Add(1)
		klog.V(1).InfoS("Dropped a membership datagram", "err", err)
		return
	}
	m.do(func(d *member.Detector, now time.Time) []member.Action { return d.Receive(msg, now) })
}

func (m *Manager) act(a member.Action) {
	switch {
	case a.Send != nil:
		m.send(a.Send)
	case a.Event != nil:
		m.report(*a.Event)
	}
}

func (m *Manager) send(s *member.Send) {
	keys := m.opt.Keys.Keys()
	if len(keys) == 0 {
		return
	}
	body, err := wire.EncodeMember(&s.Message, wire.MaxDatagramBytes-sealBytes)
	if err != nil {
		klog.ErrorS(err, "Failed to encode a membership message")
		return
	}
	to, err := net.ResolveUDPAddr("udp", s.To)
	if err != nil {
		klog.V(1).InfoS("Unusable peer address", "addr", s.To, "err", err)
		return
	}
	n, err := m.conn.WriteTo(seal(keys[0], body), to)
	m.meter.sent(n)
	if err != nil {
		// Loss is the protocol's business.
		klog.V(2).InfoS("Failed to send a datagram", "addr", s.To, "err", err)
	}
}

func (m *Manager) report(e member.Event) {
	switch e.Kind {
	case member.Duplicate:
		klog.ErrorS(nil, "Another process uses this daemon's id; give each daemon an id of its own", "id", e.Node.ID, "addr", e.Node.Addr)
	case member.Resumed:
		klog.InfoS("This daemon was not run for a while", "gap", e.Gap.String())
	default:
		klog.InfoS("Member changed", "event", e.Kind.String(), "member", e.Node.ID, "addr", e.Node.Addr, "incarnation", e.Node.Incarnation, "by", e.ReportedBy)
	}
	if m.opt.OnEvent != nil {
		m.opt.OnEvent(e)
	}
}
