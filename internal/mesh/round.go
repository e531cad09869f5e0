package mesh

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// maxDirectFleet is the largest fleet in which every daemon reports to every
	// other. The number of these datagrams grows with the square of the fleet's
	// size: with 15 daemons they cost little, with 117 they took half of the
	// processor time. In larger fleets daemons report to a few collectors, which
	// send the sums to all.
	maxDirectFleet = 40
	// presenceInterval is the interval of the presence reports of ranked daemons to
	// all others in fleets larger than maxDirectFleet.
	presenceInterval = 500 * time.Millisecond
	// sumSlices is the number of rounds in which a collector sends sums to all
	// daemons, a part of them in each, so that they do not fill its link's queue at
	// once.
	sumSlices = 5
	// collectorWarmup is how long a daemon has to be a collector before it sends
	// sums. By then the others have reported their loads to it.
	collectorWarmup = 2 * collectorInterval
	// maxSumEntries is the number of engines in one part of the sums, so that it
	// fits in maxDatagram.
	maxSumEntries = 90
)

// transitTime is the time from the sending of a report until its loads are used.
const transitTime = 5 * time.Millisecond

// ReportAge returns the mean age of the loads of other daemons that a daemon knows, in
// a fleet of the given size.
func ReportAge(daemons int) time.Duration {
	if daemons <= maxDirectFleet {
		return max(minReportInterval, time.Duration(daemons)*intervalPerPeer)/2 + transitTime
	}
	// Half an interval on the way to a collector, and half of one from there.
	return collectorInterval + 2*transitTime
}

// reportRound is the plan of one round of reports.
type reportRound struct {
	// full, sums and presence are the names of recipients: full receive this
	// daemon's loads, sums the summed loads of all daemons, and presence a report
	// without loads.
	full, sums, presence []string
	// interval is the time until the next round.
	interval time.Duration
}

// fleetView is a daemon's view of its peers when it plans a round.
type fleetView struct {
	// names are the names of all peers, sorted.
	names []string
	// isCollector is set if this daemon is a collector, and collecting is for how
	// long it has been one. collectors are the peers that are collectors.
	isCollector bool
	collecting  time.Duration
	collectors  map[string]bool
	// isRanked is set if the other daemons need to know whether this one is alive.
	isRanked bool
	// presenceDue is set if presence reports are due.
	presenceDue bool
	// round numbers the rounds, for the slices of a collector's recipients.
	round int
}

// planRound returns the recipients of the next round and the time until the one
// after it.
func (f *fleetView) planRound() reportRound {
	n := len(f.names) + 1
	round := reportRound{interval: max(minReportInterval, time.Duration(n)*intervalPerPeer)}
	switch {
	case n <= maxDirectFleet:
		if f.isCollector {
			round.interval = min(round.interval, collectorInterval)
		}
		round.full = f.names
		return round
	case !f.isCollector && len(f.collectors) == 0:
		round.full = f.names
		return round
	}
	sendsSums := f.isCollector && f.collecting >= collectorWarmup
	round.interval = collectorInterval
	if sendsSums {
		round.interval /= sumSlices
	}
	for i, name := range f.names {
		switch {
		case f.collectors[name]:
			round.full = append(round.full, name)
		case sendsSums && i%sumSlices == f.round%sumSlices:
			round.sums = append(round.sums, name)
		case !sendsSums && f.presenceDue && (f.isRanked || f.isCollector):
			round.presence = append(round.presence, name)
		}
	}
	return round
}

// splitSums returns the summed loads in parts that each fit in one datagram. The
// parts together cover all hashes, so the receiver knows that an engine that is
// missing from its part has no load.
func splitSums(base *wire.LoadReport, sums []wire.EngineLoad) []wire.LoadSums {
	hashed := make([]wire.HashedLoad, len(sums))
	for i, l := range sums {
		hashed[i] = wire.HashedLoad{Hash: wire.EngineHash(l.Engine), InFlight: l.InFlight, PendingTokens: l.PendingTokens}
	}
	slices.SortFunc(hashed, func(a, b wire.HashedLoad) int { return cmp.Compare(a.Hash, b.Hash) })
	report := *base
	report.Loads = nil
	var out []wire.LoadSums
	from := uint32(0)
	for {
		n := min(len(hashed), maxSumEntries)
		part := wire.LoadSums{Report: report, From: from, To: math.MaxUint32}
		for _, l := range hashed[:n] {
			part.AppendLoad(l)
		}
		hashed = hashed[n:]
		if len(hashed) > 0 {
			part.To = hashed[0].Hash - 1
		}
		out = append(out, part)
		if len(hashed) == 0 {
			return out
		}
		from = hashed[0].Hash
	}
}
