package edge

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/mesh"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// tellFor is how long a suspicion is told to the others; it covers the loss
	// of a few datagrams.
	tellFor = time.Second
	// readers is the number of daemons that read the store for all: one may be
	// lost or cut off without a pause in following.
	readers = 2
	// candidates is the number of daemons that keep a place among the planners.
	candidates = 4
	// rankFor is how long an answer on this daemon's rank is kept; it is short
	// beside the interval of reports.
	rankFor = 50 * time.Millisecond
	// unplanned is how long nobody must have planned before the daemons compete
	// that are not among the candidates: two leases, within which a candidate
	// that reaches the store takes over.
	unplanned = 2400 * time.Millisecond
	// meeting is the time after a start in which the other daemons are heard of.
	meeting = 500 * time.Millisecond
)

// topics are the store's topics in the order of a report.
var topics = [...]directory.Topic{directory.OperatorTopic, directory.EnginesTopic, directory.DaemonsTopic}

// gossip connects the mesh with what this daemon knows. It implements
// mesh.Source and mesh.Sink.
type gossip struct {
	d        *Daemon
	tracker  *balance.Tracker
	suspects *shard.Map[suspicion]
	started  time.Duration
	// lastPlanned is the boot time at which another daemon was last known to plan.
	lastPlanned atomic.Int64
	// readsLast is the last answer of reads, valid until the boot time readsUntil.
	readsLast  atomic.Bool
	readsUntil atomic.Int64
}

type suspicion struct {
	engine string
	group  catalog.GroupID
	until  time.Time
}

// DaemonAddrs returns the daemons' addresses.
func (g *gossip) DaemonAddrs() map[string]string { return g.d.directory.Daemons() }

// FillReport adds loads, suspicions and the age of the configuration.
func (g *gossip) FillReport(r *wire.LoadReport) {
	now := boottime.Now()
	for _, t := range topics {
		c := g.d.directory.Cursor(t)
		end := wire.TopicEnd{Next: c.Next, AgeNS: int64(now - c.ConfirmedAt)}
		if !c.Known {
			end.AgeNS = -1
		}
		r.Topics = append(r.Topics, end)
	}
	r.Capacity = g.d.settings.capacity()
	r.Planning = g.d.planner.HoldsLease()
	r.PlannerKnown = slices.ContainsFunc(g.d.mesh.LivePeers(), func(p mesh.Peer) bool { return p.Planning })
	r.Serving = g.d.stats.serving()
	r.Loads = engineLoads(g.tracker.ReportOwnLoads())
	at := time.Now()
	g.suspects.Range(func(_ string, s suspicion) bool {
		if at.Before(s.until) {
			r.Suspects = append(r.Suspects, wire.Suspect{Engine: s.engine, Group: s.group.Name, Epoch: s.group.Epoch})
		}
		return true
	})
}

// TotalLoads returns the loads of all daemons that reported to this one.
func (g *gossip) TotalLoads() []wire.EngineLoad { return engineLoads(g.tracker.LoadSums(time.Now())) }

// engineLoads returns loads for a report, the busiest engines first.
func engineLoads(m map[string]balance.Load) []wire.EngineLoad {
	out := make([]wire.EngineLoad, 0, len(m))
	for id, l := range m {
		out = append(out, wire.EngineLoad{Engine: id, InFlight: l.InFlight, PendingTokens: l.PendingTokens})
	}
	slices.SortFunc(out, func(a, b wire.EngineLoad) int { return b.InFlight - a.InFlight })
	return out
}

// HandleReport takes another daemon's report.
func (g *gossip) HandleReport(r *wire.LoadReport) {
	now := time.Now()
	keep := time.Duration(r.IntervalMS) * time.Millisecond * 4
	if r.SumParts > 0 {
		g.tracker.SetLoadSums(loads(r), func(id string) bool { return mesh.SumPartIndex(id, r.SumParts) == r.SumPart }, now.Add(keep))
	} else {
		g.tracker.SetRemoteLoads(r.Sender, loads(r), now.Add(keep), now)
	}
	for _, s := range r.Suspects {
		g.told(s, now)
	}
	if r.Serving {
		g.d.planner.MarkServing()
	}
	if r.EchoNS <= 0 || len(r.Topics) != len(topics) {
		return
	}
	for i, t := range topics {
		if end := r.Topics[i]; end.AgeNS >= 0 {
			// The sender had the echoed report before it stated the age, so the
			// topic ended there at the echoed time less that age.
			g.d.directory.ConfirmEnd(t, end.Next, time.Duration(r.EchoNS-end.AgeNS))
		}
	}
}

// told takes a suspicion of another daemon. One that collects tells it on, since
// in a large fleet it alone was told.
func (g *gossip) told(s wire.Suspect, now time.Time) {
	group := catalog.GroupID{Name: s.Group, Epoch: s.Epoch}
	if !g.tracker.Suspect(s.Engine, group, now) {
		return
	}
	g.d.planner.Suspect(s.Engine)
	if g.reads() {
		g.suspects.Set(s.Engine, suspicion{s.Engine, group, now.Add(tellFor)})
		g.d.mesh.SendNow()
	}
}

// HandleRecords takes records that another daemon has read.
func (g *gossip) HandleRecords(r *wire.RecordPush) {
	records := make([]directory.Record, len(r.Records))
	for i, kv := range r.Records {
		records[i] = directory.Record{Offset: r.FirstOffset + uint64(i), Key: kv.Key, Value: kv.Value}
	}
	g.d.directory.ApplyPushed(directory.Topic(r.Topic), r.FirstOffset, records)
}

// read passes on what this daemon has read, if it reads for the others.
func (g *gossip) read(t directory.Topic, from uint64, records []directory.Record) {
	if !g.reads() {
		return
	}
	out := make([]wire.KeyedValue, len(records))
	for i, rec := range records {
		out[i] = wire.KeyedValue{Key: rec.Key, Value: rec.Value}
	}
	g.d.mesh.Push(int(t), from, out)
	g.d.mesh.SendNow()
}

// reads reports whether this daemon reads the store for the others: it is one
// of the first readers among those with a path to the store. The answer is kept
// for rankFor, since it is asked for with each report that arrives.
func (g *gossip) reads() bool {
	now := int64(boottime.Now())
	if now < g.readsUntil.Load() {
		return g.readsLast.Load()
	}
	is := g.rank(readers)
	g.readsLast.Store(is)
	g.readsUntil.Store(now + int64(rankFor))
	return is
}

// rank reports whether fewer than n live daemons with a path to the store come
// before this one.
func (g *gossip) rank(n int) bool {
	own := contender{g.d.settings.Node, g.d.settings.capacity()}
	before := 0
	for _, p := range g.d.mesh.LivePeers() {
		if p.UpToDate && (contender{p.Name, p.Capacity}).before(own) {
			before++
		}
	}
	return before < n
}

// competes reports whether this daemon should be among the candidates for
// planning: a few suffice, unless none of them has planned for a while.
func (g *gossip) competes() bool {
	now := boottime.Now()
	if now-g.started < meeting {
		return false
	}
	if g.rank(candidates) {
		return true
	}
	return now-g.planned(now) > unplanned
}

// planned returns when another daemon was last known to plan, by its own word or
// that of one which it told; before that it is the end of the first meeting.
func (g *gossip) planned(now time.Duration) time.Duration {
	last := max(g.lastPlanned.Load(), int64(g.started+meeting))
	for _, p := range g.d.mesh.LivePeers() {
		if p.Planning || p.PlannerKnown {
			last = int64(now)
		}
	}
	g.lastPlanned.Store(last)
	return time.Duration(last)
}

func loads(r *wire.LoadReport) map[string]balance.Load {
	out := make(map[string]balance.Load, len(r.Loads))
	for _, l := range r.Loads {
		out[l.Engine] = balance.Load{InFlight: l.InFlight, PendingTokens: l.PendingTokens}
	}
	return out
}

// suspect notes a suspicion of this daemon and tells the others.
func (g *gossip) suspect(id string, group catalog.GroupID) {
	g.suspects.Set(id, suspicion{id, group, time.Now().Add(tellFor)})
	g.d.planner.Suspect(id)
	g.d.mesh.SendNow()
}
