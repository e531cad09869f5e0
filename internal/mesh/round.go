package mesh

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// maxDirectFleet is the largest fleet in which every daemon reports to every
	// other. The number of these datagrams grows with the square of the fleet's
	// size: with 15 daemons they cost little, with 117 they took half of the
	// processor time. In larger fleets daemons report to a few collectors, which
	// send the sums to all.
	maxDirectFleet = 40
	// presenceInterval is the interval of the presence reports to all daemons in
	// fleets larger than maxDirectFleet. They only show which daemons are alive, for
	// rankings that change over minutes. With 300 daemons each daemon sends 60 of
	// them a second.
	presenceInterval = 5 * time.Second
	// meanSumEntries is the mean number of engines in one report of sums. Engines
	// are assigned to reports by hash, so the number varies; maxLoads is three
	// standard deviations above a mean of 25.
	meanSumEntries = 25
)

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
	// names are the names of all peers.
	names []string
	// isCollector is set if this daemon is a collector. collectors are the peers
	// that are collectors.
	isCollector bool
	collectors  map[string]bool
	// presenceDue is set if a presence report to the peers that are not collectors
	// is due.
	presenceDue bool
}

// planRound returns the recipients of the next round and the time until the one
// after it.
func (f *fleetView) planRound() reportRound {
	n := len(f.names) + 1
	round := reportRound{interval: max(minReportInterval, time.Duration(n)*intervalPerPeer)}
	if f.isCollector {
		round.interval = min(round.interval, collectorInterval)
	}
	switch {
	case n <= maxDirectFleet || (!f.isCollector && len(f.collectors) == 0):
		round.full = f.names
		return round
	case !f.isCollector:
		round.interval = collectorInterval
	}
	for _, name := range f.names {
		switch {
		case f.collectors[name]:
			round.full = append(round.full, name)
		case f.isCollector:
			round.sums = append(round.sums, name)
		case f.presenceDue:
			round.presence = append(round.presence, name)
		}
	}
	return round
}

// splitSums distributes the summed loads over several reports that each fit in one
// datagram. An engine is assigned to a report by hash, so the receiver knows that
// an engine of a part that is missing from its report has no load.
func splitSums(base *wire.LoadReport, sums []wire.EngineLoad) []wire.LoadReport {
	parts := len(sums)/meanSumEntries + 1
	out := make([]wire.LoadReport, parts)
	for i := range out {
		out[i] = *base
		out[i].Loads, out[i].SumPart, out[i].SumParts = nil, i, parts
	}
	for _, l := range sums {
		part := SumPartIndex(l.Engine, parts)
		out[part].Loads = append(out[part].Loads, l)
	}
	return out
}

// SumPartIndex returns the index of the report of sums, out of parts, that an
// engine is assigned to.
func SumPartIndex(engine string, parts int) int { return int(shard.Hash(engine) % uint64(parts)) }
