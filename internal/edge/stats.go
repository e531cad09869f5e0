package edge

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/metrics"
	"github.com/ragwortquay/ragwortquay/internal/relay"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/storepace"
	"github.com/ragwortquay/ragwortquay/internal/traffic"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Metric names, as documented in docs/OPERATIONS.md. Times are in seconds.
const (
	metricRequests      = "requests"
	metricModelRequests = "model_requests"
	metricRetries       = "repeats"
	metricResumes       = "resumes"
	metricTakeovers     = "takeovers"
	metricRecoveries    = "recoveries"
	metricLate          = "late_answers"
	metricLeaveNotices  = "leave_notices"
	metricEngineWaits   = "engine_waits"
	metricEnginesEnded  = "engines_ended"
	metricVerdicts      = "verdict_changes"
	metricTrials        = "trials"
	metricAdmissions    = "admissions"
	metricShares        = "share_verdicts"
	metricLateWaiting   = "late_waiting"
	metricReserved      = "reserved_seconds"
	metricStoreCalls    = "store_calls"
	metricFirstEvent    = "first_event_seconds"
	metricRequestTime   = "request_seconds"
	metricConfigVersion = "config_version"
	metricConfigAge     = "config_age_seconds"
	metricEnginesAge    = "engines_age_seconds"
	metricBehind        = "topic_behind_seconds"
	metricApplied       = "records_applied_seconds"
	metricSent          = "records_sent_seconds"
	metricPushQueue     = "push_queue_bytes"
	metricDropped       = "records_dropped"
	metricSuperseded    = "records_superseded"
	metricPartialReads  = "partial_reads"
	metricStoreEra      = "store_era"
	metricDaemons       = "daemons"
	metricPlanning      = "planning"
	metricMembersLeft   = "members_left"
	metricGroupsServing = "groups_serving"
	metricTraffic       = "traffic_bytes"
	metricBodyBytes     = "body_bytes"
	metricBodyWaits     = "body_waits"
	metricBodyRefusals  = "body_refusals"
	metricConnections   = "connections"
	metricConnsClosed   = "connections_closed"
	metricCrossings     = "zone_crossings"
)

// gaugeInterval is the interval at which gauges are updated; scrapers come every
// few seconds.
const gaugeInterval = time.Second

// latencyBuckets are the upper bounds of the latency histograms. Published target
// latencies are 120 to 400 ms, deadlines up to 8 s.
var latencyBuckets = tally.DurationBuckets{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond, 8 * time.Second,
}

// topicLabels are the labels of the topics in the counts of the platform's calls, by
// directory.Topic, and readCallPrefix begins the names of calls that read a topic.
var topicLabels = [len(topics)]string{"operator", "engines", "daemons"}

const readCallPrefix = "read"

// slowSend is the time from a read until its records were sent to all peers above which it
// is logged.
const slowSend = 500 * time.Millisecond

// stats counts requests and exports the daemon's metrics.
type stats struct {
	registry *metrics.Registry
	requests atomic.Int64
	// zone is the zone of this daemon.
	zone      string
	traffic   *traffic.Counts
	crossings crossingCounts
	// readCauses holds the storepace.Cause of the last read by topic.
	readCauses [len(topics)]atomic.Uint32
}

func newStats(zone string) *stats {
	s := &stats{registry: metrics.New(), zone: zone}
	counters := shard.NewMap[tally.Counter]()
	s.traffic = traffic.New(wire.DatagramKinds(), func(c traffic.Cause, z traffic.Zone, bytes int64) {
		counters.GetOrMake(string(c)+"/"+z.String(), func() tally.Counter {
			return s.registry.Scope().Tagged(map[string]string{"cause": string(c), "zone": z.String()}).Counter(metricTraffic)
		}).Inc(bytes)
	})
	return s
}

// RecordRequest records the outcome of a request. It implements relay.Observer.
func (s *stats) RecordRequest(r relay.RequestSummary) {
	s.requests.Add(1)
	scope := s.registry.Scope().Tagged(map[string]string{"kind": r.Kind})
	scope.Tagged(map[string]string{"outcome": r.Outcome}).Counter(metricRequests).Inc(1)
	scope.Counter(metricRetries).Inc(int64(r.Retries))
	scope.Counter(metricResumes).Inc(int64(r.Resumes))
	scope.Counter(metricTakeovers).Inc(int64(r.Takeovers))
	scope.Counter(metricRecoveries).Inc(int64(r.Recoveries))
	scope.Histogram(metricRequestTime, latencyBuckets).RecordDuration(r.TotalTime)
	if r.TimeToFirst > 0 {
		scope.Histogram(metricFirstEvent, latencyBuckets).RecordDuration(r.TimeToFirst)
	}
	if r.Model != "" {
		tags := map[string]string{"service": r.Service, "model": r.Model, "outcome": r.Outcome}
		s.registry.Scope().Tagged(tags).Counter(metricModelRequests).Inc(1)
	}
	if r.Verdict != "" {
		tags := map[string]string{"standing": r.Standing, "verdict": r.Verdict}
		s.registry.Scope().Tagged(tags).Counter(metricAdmissions).Inc(1)
	}
	if r.Verdict != "" && r.Share != "" {
		tags := map[string]string{"share": r.Share, "verdict": r.Verdict}
		s.registry.Scope().Tagged(tags).Counter(metricShares).Inc(1)
	}
	scope.Counter(metricLeaveNotices).Inc(int64(r.LeaveNotices))
	scope.Counter(metricEngineWaits).Inc(int64(r.EngineWaits))
	scope.Counter(metricEnginesEnded).Inc(int64(r.EnginesEnded))
	if r.Engine != "" {
		s.crossings.record(r.Crossing)
	}
	if r.Crossing != balance.NotCrossed {
		s.registry.Scope().Tagged(map[string]string{"reason": string(r.Crossing)}).Counter(metricCrossings).Inc(1)
	}
	if r.Late {
		scope.Counter(metricLate).Inc(1)
	}
}

// recordVerdict counts a change of the verdict on a request.
func (s *stats) recordVerdict(to string) {
	s.registry.Scope().Tagged(map[string]string{"to": to}).Counter(metricVerdicts).Inc(1)
}

// recordTrial counts the outcome of a trial of a suspect.
func (s *stats) recordTrial(outcome string) {
	s.registry.Scope().Tagged(map[string]string{"outcome": outcome}).Counter(metricTrials).Inc(1)
}

// setReadCause records the cause of the next read of a topic. A topic has one read at a
// time.
func (s *stats) setReadCause(t directory.Topic, cause storepace.Cause) {
	s.readCauses[t].Store(uint32(cause))
}

// recordApplied records the time from the answer of a read until its records were applied.
func (s *stats) recordApplied(t directory.Topic, took time.Duration) {
	s.registry.Scope().Tagged(map[string]string{"topic": topicLabels[t]}).Histogram(metricApplied, latencyBuckets).RecordDuration(took)
}

// recordSent records the time from the answer of a read until its records, which precede
// the offset next, were sent to all peers or to those that pass them on.
func (s *stats) recordSent(topic int, next uint64, took time.Duration) {
	s.registry.Scope().Tagged(map[string]string{"topic": topicLabels[topic]}).Histogram(metricSent, latencyBuckets).RecordDuration(took)
	if took >= slowSend {
		klog.InfoS("records sent late", "topic", topicLabels[topic], "next", next, "ms_after_read", took.Milliseconds())
	}
}

// recordDropped counts records that were not sent since newer ones took their place in the
// queue.
func (s *stats) recordDropped(topic, records int) {
	s.registry.Scope().Tagged(map[string]string{"topic": topicLabels[topic]}).Counter(metricDropped).Inc(int64(records))
}

// recordPartialRead counts an answer of the store with a part of the records.
func (s *stats) recordPartialRead(t directory.Topic) {
	s.registry.Scope().Tagged(map[string]string{"topic": topicLabels[t]}).Counter(metricPartialReads).Inc(1)
}

// recordSuperseded counts records that peers need no more since later ones of their keys
// were applied.
func (s *stats) recordSuperseded(t directory.Topic, records int) {
	s.registry.Scope().Tagged(map[string]string{"topic": topicLabels[t]}).Counter(metricSuperseded).Inc(int64(records))
}

// recordStoreCall counts a call of the store, with its cause if it reads a topic.
func (s *stats) recordStoreCall(call, topic string) {
	cause := call
	if t := slices.Index(topicLabels[:], topic); t >= 0 && strings.HasPrefix(call, readCallPrefix) {
		cause = storepace.Cause(s.readCauses[t].Load()).String()
	}
	s.registry.Scope().Tagged(map[string]string{"call": call, "topic": topic, "cause": cause}).Counter(metricStoreCalls).Inc(1)
}

// recordRequestTransfer counts bytes exchanged with an engine for a caller.
func (s *stats) recordRequestTransfer(zone string, sent, received int) {
	s.traffic.Add(traffic.Request, traffic.Compare(s.zone, zone), sent)
	s.traffic.Add(traffic.Answer, traffic.Compare(s.zone, zone), received)
}

// recordControlTransfer counts bytes of reports of engines and orders to them.
func (s *stats) recordControlTransfer(zone string, sent, received int) {
	s.traffic.Add(traffic.ControlRequest, traffic.Compare(s.zone, zone), sent)
	s.traffic.Add(traffic.ControlAnswer, traffic.Compare(s.zone, zone), received)
}

// recordStoreTransfer counts bytes of calls of the store.
func (s *stats) recordStoreTransfer(sent, received int) {
	s.traffic.Add(traffic.StoreRequest, traffic.Unknown, sent)
	s.traffic.Add(traffic.StoreAnswer, traffic.Unknown, received)
}

// recordDatagram counts a datagram to a daemon in the given zone.
func (s *stats) recordDatagram(kind string, bytes int, zone string) {
	s.traffic.Add(traffic.Datagram(kind), traffic.Compare(s.zone, zone), bytes)
}

// logCrossings logs whether requests have begun or ceased to be sent to other zones.
func (s *stats) logCrossings() {
	change, changed := s.crossings.step()
	if !changed {
		return
	}
	event := "requests stay in the zone"
	if change.crossing {
		event = "requests leave the zone"
	}
	fields := []any{"zone", s.zone, "requests", change.requests}
	for _, reason := range []balance.Crossing{balance.CrossedWithoutEngine, balance.CrossedBusy, balance.CrossedLate, balance.CrossedForLoad} {
		fields = append(fields, string(reason), change.byReason[reason])
	}
	klog.InfoS(event, fields...)
}

// logTraffic logs the bytes exchanged since the start, by cause and zone, so that the
// traffic of a whole fleet can be added up from the logs.
func (s *stats) logTraffic() {
	fields := []any{"zone", s.zone}
	for _, sum := range s.traffic.Sums() {
		name := string(sum.Cause) + "_" + sum.Zone.String()
		fields = append(fields, name+"_bytes", sum.Bytes, name+"_writes", sum.Writes)
	}
	klog.InfoS("traffic", fields...)
}

// RecordBodyWait counts a body that waits for room. It implements ingress.Observer, as
// do the next two methods.
func (s *stats) RecordBodyWait(class string) {
	s.registry.Scope().Tagged(map[string]string{"class": class}).Counter(metricBodyWaits).Inc(1)
}

// RecordBodyRefusal counts a body that was refused, or given up while it was read.
func (s *stats) RecordBodyRefusal(cause, class string) {
	s.registry.Scope().Tagged(map[string]string{"cause": cause, "class": class}).Counter(metricBodyRefusals).Inc(1)
}

// RecordClosedConnection counts a connection that was closed for the bound on them.
func (s *stats) RecordClosedConnection(cause string) {
	s.registry.Scope().Tagged(map[string]string{"cause": cause}).Counter(metricConnsClosed).Inc(1)
}

// hasServed reports whether this daemon has finished a request.
func (s *stats) hasServed() bool { return s.requests.Load() > 0 }

// serveMetrics serves the metrics at addr until ctx ends. If it cannot listen it
// only logs the error, since requests can be served without metrics.
func (s *stats) serveMetrics(ctx context.Context, addr string) error {
	if addr == "" {
		return nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		klog.ErrorS(err, "cannot listen for metrics requests", "addr", addr)
		return nil
	}
	server := &fasthttp.Server{Handler: s.registry.Serve, NoDefaultServerHeader: true}
	go func() {
		<-ctx.Done()
		if err := server.Shutdown(); err != nil {
			klog.ErrorS(err, "cannot shut down the metrics server")
		}
	}()
	return server.Serve(l)
}

// updateGauges sets the gauges every gaugeInterval until ctx ends.
func (d *Daemon) updateGauges(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.setGauges()
			d.stats.logCrossings()
		}
	}
}

func (d *Daemon) setGauges() {
	scope := d.stats.registry.Scope()
	scope.Gauge(metricBodyBytes).Update(float64(d.server.RoomUsed()))
	scope.Gauge(metricConnections).Update(float64(d.server.Connections()))
	scope.Gauge(metricPushQueue).Update(float64(d.mesh.QueuedBytes()))
	cfg := d.directory.Config()
	if cfg == nil {
		return
	}
	scope.Gauge(metricConfigVersion).Update(float64(cfg.Version))
	scope.Gauge(metricConfigAge).Update(min(d.directory.ConfigAge(), boottime.Now()).Seconds())
	scope.Gauge(metricEnginesAge).Update(min(d.directory.EnginesAge(), boottime.Now()).Seconds())
	for _, t := range topics {
		scope.Tagged(map[string]string{"topic": topicLabels[t]}).Gauge(metricBehind).Update(d.directory.Behind(t).Seconds())
	}
	scope.Gauge(metricStoreEra).Update(float64(d.directory.Era()))
	scope.Gauge(metricDaemons).Update(float64(1 + len(d.mesh.LivePeers())))
	planning := 0.0
	if d.planner.HoldsLease() {
		planning = 1
	}
	scope.Gauge(metricPlanning).Update(planning)
	scope.Gauge(metricMembersLeft).Update(float64(d.planner.MembersLeft()))
	late := d.meshAdapter.tracker.LateSums(time.Now())
	for name := range cfg.Services {
		view, ok := d.directory.Service(name)
		if !ok || view.Service.Engine == nil {
			continue
		}
		d.setAdmissionGauges(view, late)
		serving := map[string]float64{}
		for _, m := range view.Service.Engine.Models {
			serving[m.Name] = 0
		}
		for i := range view.Groups {
			if view.Groups[i].Serving() {
				serving[view.Groups[i].Model]++
			}
		}
		for model, n := range serving {
			scope.Tagged(map[string]string{"service": name, "model": model}).Gauge(metricGroupsServing).Update(n)
		}
	}
}
