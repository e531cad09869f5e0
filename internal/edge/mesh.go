package edge

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/admission"
	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/mesh"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/storepace"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// suspicionTTL is how long a suspicion is included in reports. It covers the
	// loss of a few datagrams.
	suspicionTTL = time.Second
	// loadReportIntervals is the number of intervals for which the loads of a report
	// are used. It covers the loss of a few datagrams.
	loadReportIntervals = 4
	// demandReportTTL is the number of intervals for which a demand report is used.
	// It covers the loss of a few datagrams.
	demandReportTTL = 4
)

// topics lists the store's topics in the order of wire.LoadReport.Topics.
var topics = [...]directory.Topic{directory.OperatorTopic, directory.EnginesTopic, directory.DaemonsTopic}

// meshAdapter connects the mesh with this daemon's state. It implements mesh.Source
// and mesh.Handler.
type meshAdapter struct {
	d          *Daemon
	tracker    *balance.Tracker
	demand     *balance.Demand
	ledger     *admission.Ledger
	tenants    *admission.TenantLedger
	suspicions *shard.Map[suspicion]
	leaving    *shard.Map[leaveNotice]
	startedAt  time.Duration
	// lastPlanned is the boot time at which another daemon was last known to hold
	// the planners' lease.
	lastPlanned atomic.Int64
	// cachedFleet is the last result of refreshFleet, whose calls fleetMu serializes.
	cachedFleet atomic.Pointer[cachedFleet]
	fleetMu     sync.Mutex
}

// cachedFleet is a view of the fleet that is used until the boot time expiry.
type cachedFleet struct {
	storepace.Fleet
	expiry time.Duration
}

// suspicion is an engine that is suspected of making no progress. Each report
// includes it until it expires.
type suspicion struct {
	engine    string
	group     catalog.GroupID
	expiresAt time.Time
}

// leaveNotice is the notice of an engine that leaves. Reports include it until it
// expires.
type leaveNotice struct {
	startMS   int64
	expiresAt time.Time
}

// DaemonAddrs returns the daemons' addresses by name.
func (g *meshAdapter) DaemonAddrs() map[string]string { return g.d.directory.Daemons() }

// FillReport adds the topic ends and their ages, the state of this daemon, its
// loads and its suspicions to r.
func (g *meshAdapter) FillReport(r *wire.LoadReport) {
	g.fillTopicEnds(r, boottime.Now())
	r.Capacity = g.d.settings.capacity()
	r.Planning = g.d.planner.HoldsLease()
	r.PlannerKnown = slices.ContainsFunc(g.d.mesh.LivePeers(), func(p mesh.Peer) bool { return p.Planning })
	r.Serving = g.d.stats.hasServed()
	r.Loads = engineLoads(g.tracker.ReportOwnLoads())
	wallNow := time.Now()
	g.suspicions.DeleteFunc(func(_ string, s suspicion) bool { return wallNow.After(s.expiresAt) })
	g.suspicions.Range(func(_ string, s suspicion) bool {
		r.Suspects = append(r.Suspects, wire.Suspect{Engine: s.engine, Group: s.group.Name, Epoch: s.group.Epoch})
		return true
	})
}

// fillTopicEnds adds the topic ends and their ages to r, and the era of the store. A topic
// that was read in an earlier era only has an age but no end, so that this daemon still
// counts as connected to the store.
func (g *meshAdapter) fillTopicEnds(r *wire.LoadReport, now time.Duration) {
	era := g.d.directory.Era()
	var unread []bool
	for _, t := range topics {
		c := g.d.directory.Cursor(t)
		end := wire.TopicEnd{Next: c.Next, AgeNS: int64(now - c.ConfirmedAt)}
		if c.ConfirmedAt == 0 || !c.Known && era == 0 {
			end.AgeNS = -1
		}
		r.Topics = append(r.Topics, end)
		unread = append(unread, !c.Known || c.Era != era)
	}
	r.SetEra(era, unread)
}

// LeavingEngines returns the recent notices of engines that leave.
func (g *meshAdapter) LeavingEngines() []wire.LeavingEngine {
	now := time.Now()
	g.leaving.DeleteFunc(func(_ string, l leaveNotice) bool { return now.After(l.expiresAt) })
	var out []wire.LeavingEngine
	g.leaving.Range(func(id string, l leaveNotice) bool {
		out = append(out, wire.LeavingEngine{Engine: id, StartMS: l.startMS})
		return true
	})
	return out
}

// TotalLoads returns the sums of the loads of all daemons that reported to this
// one.
func (g *meshAdapter) TotalLoads() []wire.EngineLoad {
	return engineLoads(g.tracker.LoadSums(time.Now()))
}

// ModelWork returns the work that clients have requested of this daemon, in an order
// that does not change.
func (g *meshAdapter) ModelWork() []wire.ModelWork {
	cfg := g.d.directory.Config()
	if cfg == nil {
		return nil
	}
	now := time.Now()
	var out []wire.ModelWork
	for _, service := range cfg.Services {
		if service.Engine == nil {
			continue
		}
		for key, w := range g.demand.Own(&service, now) {
			out = append(out, wire.ModelWork{Service: key.Service, Model: key.Model, Requests: w.Requests, Offered: w.Offered, Refused: w.Refused})
		}
	}
	slices.SortFunc(out, func(a, b wire.ModelWork) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return out
}

// HandleDemand applies the demand report of another daemon.
func (g *meshAdapter) HandleDemand(r *wire.DemandReport) {
	work := make(map[balance.ModelKey]balance.ModelWork, len(r.Models))
	for _, w := range r.Models {
		work[balance.ModelKey{Service: w.Service, Model: w.Model}] = balance.ModelWork{Requests: w.Requests, Offered: w.Offered, Refused: w.Refused}
	}
	ttl := demandReportTTL * time.Duration(r.IntervalMS) * time.Millisecond
	g.demand.SetReported(r.Sender, work, time.Now().Add(ttl))
}

// engineLoads converts loads to a list for a report, with the busiest engines
// first.
func engineLoads(m map[string]balance.Load) []wire.EngineLoad {
	out := make([]wire.EngineLoad, 0, len(m))
	for id, l := range m {
		out = append(out, wire.EngineLoad{Engine: id, InFlight: l.InFlight, PendingTokens: l.PendingTokens})
	}
	slices.SortFunc(out, func(a, b wire.EngineLoad) int { return b.InFlight - a.InFlight })
	return out
}

// HandleReport applies the report of another daemon.
func (g *meshAdapter) HandleReport(r *wire.LoadReport) {
	now := time.Now()
	if r.SumParts == 0 {
		g.tracker.SetRemoteLoads(r.Sender, reportedLoads(r), now.Add(reportTTL(r)), now)
	}
	g.applyState(r, now)
}

// HandleSums applies the sums of a collector, and its report in them.
func (g *meshAdapter) HandleSums(s *wire.LoadSums) {
	now := time.Now()
	g.applyState(&s.Report, now)
	loads, err := s.Unpack()
	if err != nil {
		klog.V(1).ErrorS(err, "sums of a collector ignored", "sender", s.Report.Sender)
		return
	}
	byHash := make(map[uint32]balance.Load, len(loads))
	for _, l := range loads {
		byHash[l.Hash] = balance.Load{InFlight: l.InFlight, PendingTokens: l.PendingTokens}
	}
	g.tracker.SetLoadSums(func(id string) (balance.Load, bool) {
		hash := wire.EngineHash(id)
		return byHash[hash], s.From <= hash && hash <= s.To
	}, now.Add(reportTTL(&s.Report)))
}

// reportTTL returns how long the loads of a report are used.
func reportTTL(r *wire.LoadReport) time.Duration {
	return loadReportIntervals * time.Duration(r.IntervalMS) * time.Millisecond
}

// applyState applies what a report says besides the loads.
func (g *meshAdapter) applyState(r *wire.LoadReport, now time.Time) {
	for _, s := range r.Suspects {
		g.handleSuspicion(s, now)
	}
	if r.Serving {
		g.d.planner.MarkServing()
	}
	g.d.directory.ObserveEra(r.Era())
	if r.EchoNS <= 0 || len(r.Topics) != len(topics) {
		return
	}
	for i, t := range topics {
		if end := r.Topics[i]; end.AgeNS >= 0 && !r.Unread(i) {
			// The sender stated the age after it received the echoed report, so the
			// topic had this end at the echoed time less the age.
			g.d.directory.ConfirmEnd(t, directory.Position{Era: r.Era(), Offset: end.Next}, time.Duration(r.EchoNS-end.AgeNS))
		}
	}
}

// handleSuspicion applies a suspicion reported by another daemon. A store reader
// also adds it to its own reports, since in a large fleet suspicions are sent to
// the store readers only.
func (g *meshAdapter) handleSuspicion(s wire.Suspect, now time.Time) {
	group := catalog.GroupID{Name: s.Group, Epoch: s.Epoch}
	if !g.tracker.Suspect(s.Engine, group, now) {
		return
	}
	g.d.planner.Suspect(s.Engine)
	if g.isStoreReader() {
		g.suspicions.Set(s.Engine, suspicion{s.Engine, group, now.Add(suspicionTTL)})
		g.d.mesh.SendNow()
	}
}

// HandleLeaving applies the notices of engines that leave, which another daemon has
// received. Like suspicions, a store reader passes new ones on.
func (g *meshAdapter) HandleLeaving(n *wire.LeaveNotices) {
	for _, l := range n.Engines {
		if g.d.directory.MarkLeaving(l.Engine, l.StartMS, n.Sender) && g.isStoreReader() {
			g.passOnLeaving(l.Engine, l.StartMS)
		}
	}
}

// reportLeaving records that an engine has said in an answer that it leaves, and
// sends the notice to the other daemons.
// It reports whether the notice is new.
func (g *meshAdapter) reportLeaving(id string, startMS int64, request string) bool {
	if !g.d.directory.MarkLeaving(id, startMS, request) {
		return false
	}
	g.passOnLeaving(id, startMS)
	return true
}

func (g *meshAdapter) passOnLeaving(id string, startMS int64) {
	g.leaving.Set(id, leaveNotice{startMS, time.Now().Add(suspicionTTL)})
	g.d.mesh.SendNow()
}

// HandleRecords applies records that another daemon read from the store.
func (g *meshAdapter) HandleRecords(r *wire.RecordPush) {
	records := make([]directory.Record, len(r.Records))
	for i, kv := range r.Records {
		records[i] = directory.Record{Offset: r.FirstOffset + uint64(i), Key: kv.Key, Value: kv.Value}
	}
	at := directory.Position{Era: r.Era, Offset: r.FirstOffset}
	if r.Latest {
		g.d.directory.ApplyLatest(directory.Topic(r.Topic), at, records)
		return
	}
	g.d.directory.ApplyPushed(directory.Topic(r.Topic), at, records)
}

// pushRecords queues records that this daemon read for the other daemons, if it is a
// store reader, or becomes one because the store has served it.
func (g *meshAdapter) pushRecords(t directory.Topic, from, _ directory.Position) {
	if !g.isStoreReader() && g.refreshFleet().Role != storepace.Reading {
		return
	}
	if records := g.d.directory.RecordsToSend(t, from); len(records) > 0 {
		g.d.mesh.Push(&wire.RecordPush{Era: from.Era, Topic: int(t), FirstOffset: records[0].Offset, Records: keyedValues(records)})
	}
}

// pushLatest sends the newest records of a topic, which this daemon read after a restore
// of the store, to the other daemons, if it is a store reader. Those that miss a part read
// the store.
func (g *meshAdapter) pushLatest(t directory.Topic, end directory.Position, records []directory.Record) {
	if end.Era == 0 || !g.isStoreReader() {
		return
	}
	g.d.mesh.Push(&wire.RecordPush{Era: end.Era, Latest: true, Topic: int(t), FirstOffset: end.Offset, Records: keyedValues(records)})
}

// HandleRecordRequest returns the records that a peer has missed, if this daemon has
// applied them lately.
func (g *meshAdapter) HandleRecordRequest(r *wire.RecordRequest) []wire.KeyedValue {
	return keyedValues(g.d.directory.Records(directory.Topic(r.Topic), directory.Position{Era: r.Era, Offset: r.Next}))
}

// requestRecords asks a store reader for records that were not pushed in time, so that a
// daemon that the store turns away can follow, and others spare it calls.
func (g *meshAdapter) requestRecords(t directory.Topic, next directory.Position) bool {
	return g.d.mesh.RequestRecords(int(t), next.Era, next.Offset)
}

func keyedValues(records []directory.Record) []wire.KeyedValue {
	out := make([]wire.KeyedValue, len(records))
	for i, rec := range records {
		out[i] = wire.KeyedValue{Key: rec.Key, Value: rec.Value}
	}
	return out
}

// reportedLoads returns the loads in a report by engine.
func reportedLoads(r *wire.LoadReport) map[string]balance.Load {
	out := make(map[string]balance.Load, len(r.Loads))
	for _, l := range r.Loads {
		out[l.Engine] = balance.Load{InFlight: l.InFlight, PendingTokens: l.PendingTokens}
	}
	return out
}

// reportSuspicion records a suspicion raised by this daemon, passes it to the
// planner and sends it to the other daemons.
func (g *meshAdapter) reportSuspicion(id string, group catalog.GroupID) {
	g.suspicions.Set(id, suspicion{id, group, time.Now().Add(suspicionTTL)})
	g.d.planner.Suspect(id)
	g.d.mesh.SendNow()
}
