package mesh

import (
	"cmp"
	"slices"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// lateRepeats is for how many rounds late loads are sent after there were none, so that
// each recipient of sums learns it and not only by the expiry of the last ones.
const lateRepeats = 2 * sumSlices

// sendLateLoads sends the late requests of this daemon and of all daemons to the
// recipients of the round. Nothing is sent while there are none.
func (m *Mesh) sendLateLoads(addrs map[string]string, round *reportRound) {
	own := m.opts.Source.LateLoads()
	var sums []wire.EngineLoad
	if len(round.sums) > 0 {
		sums = m.opts.Source.TotalLateLoads()
	}
	if len(own)+len(sums) > 0 {
		m.lateRounds = lateRepeats
	}
	if m.lateRounds == 0 {
		return
	}
	m.lateRounds--
	m.sendLate(addrs, round.full, packLate(own), wire.LateLoads{IntervalMS: round.interval.Milliseconds()})
	m.sendLate(addrs, round.sums, packLate(sums), wire.LateLoads{IntervalMS: collectorInterval.Milliseconds(), Sums: true})
}

func (m *Mesh) sendLate(addrs map[string]string, names []string, packed []byte, l wire.LateLoads) {
	if len(names) == 0 {
		return
	}
	l.Sender, l.Loads = m.opts.Node, packed
	b, err := wire.EncodeLateLoads(&l)
	m.writeChecked(b, err, addrs, names)
}

// packLate returns the largest of the loads that fit in one datagram.
func packLate(loads []wire.EngineLoad) []byte {
	largest := slices.Clone(loads)
	slices.SortFunc(largest, func(a, b wire.EngineLoad) int { return cmp.Compare(b.InFlight, a.InFlight) })
	var l wire.LateLoads
	for _, e := range largest[:min(len(largest), maxSumEntries)] {
		l.AppendLoad(wire.HashedLoad{Hash: wire.EngineHash(e.Engine), InFlight: e.InFlight, PendingTokens: e.PendingTokens})
	}
	return l.Loads
}

// writeChecked sends an encoded datagram to the named daemons.
func (m *Mesh) writeChecked(b []byte, err error, addrs map[string]string, names []string) {
	if err != nil || len(b) > maxDatagram {
		klog.ErrorS(err, "datagram not sent: encoding failed or larger than one datagram", "bytes", len(b))
		return
	}
	m.writeAll(b, addrs, [][]string{names})
}
