package mesh

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// directFleet is the largest fleet in which all daemons report to all: their
	// datagrams grow with the square of its size. Above it the reports go to a few
	// collectors, which send everybody the sums. A choice between the sizes that
	// were measured: 15 daemons, where all to all costs little, and 117, where it
	// took half of the processor time.
	directFleet = 40
	// presence is the interval of the reports to all in a larger fleet; they only
	// tell who lives, for rankings that change over minutes. A choice: at 300
	// daemons 60 datagrams a second and daemon.
	presence = 5 * time.Second
	// sumEntries is the usual number of engines in one report of sums; their
	// number by hash varies, and more than maxLoads do not fit. It leaves three
	// standard deviations of a mean of 25.
	sumEntries = 25
)

// dispatch is what a round of reports consists of.
type dispatch struct {
	// full get this daemon's loads, sums those of all daemons, and brief only
	// learn that it lives. They are names.
	full, sums, brief []string
	// every is the interval to the next round.
	every time.Duration
}

// fleet is what a daemon knows of the others when it plans a round.
type fleet struct {
	// names are all other daemons.
	names []string
	// collects tells whether this daemon collects; collectors are the others
	// that do.
	collects   bool
	collectors map[string]bool
	// briefDue tells that the daemons that are not collectors are to hear of
	// this one again.
	briefDue bool
}

// plan returns the next round.
func (f *fleet) plan() dispatch {
	n := len(f.names) + 1
	d := dispatch{every: max(leastInterval, time.Duration(n)*perPeer)}
	if f.collects {
		d.every = min(d.every, often)
	}
	switch {
	case n <= directFleet || (!f.collects && len(f.collectors) == 0):
		d.full = f.names
		return d
	case !f.collects:
		d.every = often
	}
	for _, name := range f.names {
		switch {
		case f.collectors[name]:
			d.full = append(d.full, name)
		case f.collects:
			d.sums = append(d.sums, name)
		case f.briefDue:
			d.brief = append(d.brief, name)
		}
	}
	return d
}

// sumReports divides the sums over as many reports as they need. Each engine
// belongs to one of them by hash, so that a report tells also which of its
// engines have nothing under way.
func sumReports(base *wire.LoadReport, sums []wire.EngineLoad) []wire.LoadReport {
	parts := len(sums)/sumEntries + 1
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

// SumPartIndex returns which of several reports of sums an engine belongs to.
func SumPartIndex(engine string, parts int) int { return int(shard.Hash(engine) % uint64(parts)) }
