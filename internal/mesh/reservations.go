package mesh

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// reservationsInterval is the interval at which a daemon sends its reservations. Three
// of them fit into the time for which they are used, so that one may be lost.
const reservationsInterval = 300 * time.Millisecond

// sendReservations sends this daemon's demand and reservations to the recipients of its
// loads when they are due, and the sums to the recipients of sums.
func (m *Mesh) sendReservations(addrs map[string]string, round *reportRound) {
	if len(round.full) > 0 && time.Since(m.lastReservations) >= reservationsInterval {
		m.lastReservations = time.Now()
		m.sendEachReservation(addrs, round.full, m.opts.Source.Reservations(), false)
	}
	if len(round.sums) > 0 {
		m.sendEachReservation(addrs, round.sums, m.opts.Source.TotalReservations(), true)
	}
}

func (m *Mesh) sendEachReservation(addrs map[string]string, names []string, list []wire.Reservations, sums bool) {
	for _, r := range list {
		r.Sender, r.Sums = m.opts.Node, sums
		b, err := wire.EncodeReservations(&r)
		m.writeChecked(b, err, addrs, names)
	}
}
