package mesh

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// minZoneQueryInterval is the time after which a daemon that has not stated its zone
	// is asked again. The interval doubles with each query, up to maxZoneQueryInterval,
	// since older releases never answer.
	minZoneQueryInterval = time.Second
	maxZoneQueryInterval = time.Minute
)

// zoneState is what is known of the zone of the daemon at an address.
type zoneState struct {
	// zone is empty until the daemon has stated it. A machine does not change its zone.
	zone string
	// askedAt is when it was last asked, and interval the time until the next query.
	askedAt  time.Time
	interval time.Duration
}

// zoneOf returns the zone of the daemon at an address, or an empty string. If it is not
// known, the daemon is asked.
func (m *Mesh) zoneOf(addr string, now time.Time) string {
	if m.opts.Zone == "" {
		return ""
	}
	if s, ok := m.zones.Get(addr); ok && (s.zone != "" || now.Before(s.askedAt.Add(s.interval))) {
		return s.zone
	}
	due := false
	m.zones.Update(addr, func(s zoneState, _ bool) (zoneState, bool) {
		if due = s.zone == "" && !now.Before(s.askedAt.Add(s.interval)); due {
			s.askedAt, s.interval = now, max(minZoneQueryInterval, min(2*s.interval, maxZoneQueryInterval))
		}
		return s, true
	})
	if due {
		m.sendZone(addr, true)
	}
	return ""
}

// sendZone states this daemon's zone to the daemon at an address.
func (m *Mesh) sendZone(addr string, query bool) {
	b, err := wire.EncodeZoneNotice(&wire.ZoneNotice{Sender: m.opts.Node, Zone: m.opts.Zone, Query: query})
	if err != nil || len(b) > maxDatagram {
		klog.ErrorS(err, "zone not stated: encoding failed or larger than one datagram", "bytes", len(b))
		return
	}
	m.write(b, addr)
}

// handleZone records the zone of a peer, and answers a query. A peer whose address is not
// known yet asks again.
func (m *Mesh) handleZone(n *wire.ZoneNotice) {
	addr, ok := m.opts.Source.DaemonAddrs()[n.Sender]
	if !ok || n.Zone == "" || m.opts.Zone == "" {
		return
	}
	m.zones.Set(addr, zoneState{zone: n.Zone})
	if n.Query {
		m.sendZone(addr, false)
	}
}
