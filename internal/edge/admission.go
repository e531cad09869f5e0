package edge

import (
	"math"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/admission"
	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// LateLoads returns the late requests without a first event that this daemon has at
// engines.
func (g *meshAdapter) LateLoads() []wire.EngineLoad { return engineLoads(g.tracker.ReportOwnLate()) }

// TotalLateLoads returns their sums over all daemons that reported to this one.
func (g *meshAdapter) TotalLateLoads() []wire.EngineLoad {
	return engineLoads(g.tracker.LateSums(time.Now()))
}

// HandleLateLoads applies the late requests of another daemon, or of all.
func (g *meshAdapter) HandleLateLoads(l *wire.LateLoads) {
	loads, err := l.Unpack()
	if err != nil {
		klog.V(1).ErrorS(err, "late loads ignored", "sender", l.Sender)
		return
	}
	byHash := make(map[uint32]balance.Load, len(loads))
	for _, h := range loads {
		byHash[h.Hash] = balance.Load{InFlight: h.InFlight, PendingTokens: h.PendingTokens}
	}
	until := time.Now().Add(loadReportIntervals * time.Duration(l.IntervalMS) * time.Millisecond)
	if l.Sums {
		g.tracker.SetLateSums(func(id string) (balance.Load, bool) { return byHash[wire.EngineHash(id)], true }, until)
		return
	}
	g.tracker.SetRemoteLate(l.Sender, g.knownEngines(byHash), until)
}

// knownEngines returns the loads of the known engines by id.
func (g *meshAdapter) knownEngines(byHash map[uint32]balance.Load) map[string]balance.Load {
	out := make(map[string]balance.Load, len(byHash))
	if len(byHash) > 0 {
		g.tracker.RangeEngines(func(id string) {
			if l, ok := byHash[wire.EngineHash(id)]; ok {
				out[id] = l
			}
		})
	}
	return out
}

// maxPackedModels is the number of bytes of packed models from which on the next model
// goes into another datagram. A model takes at most 200 bytes.
const maxPackedModels = 1100

// milli is the unit of work and rates in reservations.
const milli = 1e-3

// Reservations returns the new demand and the reserved work of this daemon.
func (g *meshAdapter) Reservations() []wire.Reservations {
	now := time.Now()
	return packReservations(g.ledger.ReportOwn(now), now)
}

// TotalReservations returns their sums over all daemons that reported to this one.
func (g *meshAdapter) TotalReservations() []wire.Reservations {
	now := time.Now()
	return packReservations(g.ledger.Sums(now), now)
}

// packReservations returns reports made at now as datagrams.
func packReservations(reports []admission.Report, now time.Time) []wire.Reservations {
	_, phase := admission.SlotAt(now)
	var out []wire.Reservations
	for i := range reports {
		r := &reports[i]
		m := wire.ModelReservations{Hash: wire.ModelHash(r.Model.Service, r.Model.Model)}
		for _, d := range r.Demand {
			m.Demand = append(m.Demand, wire.KeyedCount{Key: d.Urgency, Count: int(math.Round(d.Rate / milli))})
		}
		for slot, work := range r.Reserved {
			if n := int(math.Round(work / milli)); n > 0 {
				m.Reserved = append(m.Reserved, wire.KeyedCount{Key: slot, Count: n})
			}
		}
		if len(out) == 0 || len(out[len(out)-1].Models) > maxPackedModels {
			out = append(out, wire.Reservations{PhaseUS: phase.Microseconds()})
		}
		out[len(out)-1].AppendModel(&m)
	}
	return out
}

// HandleReservations applies the demand and the reserved work of another daemon, or of
// all.
func (g *meshAdapter) HandleReservations(r *wire.Reservations) {
	models, err := r.Unpack()
	if err != nil {
		klog.V(1).ErrorS(err, "reservations ignored", "sender", r.Sender)
		return
	}
	now := time.Now()
	names := g.modelNames()
	for i := range models {
		key, ok := names[models[i].Hash]
		if !ok {
			continue
		}
		report := unpackReport(key, &models[i], now.Add(-time.Duration(r.PhaseUS)*time.Microsecond))
		if r.Sums {
			g.ledger.SetSums(report, now)
		} else {
			g.ledger.SetRemote(r.Sender, report, now)
		}
	}
}

// unpackReport returns a report whose sender's current slot began at the given time. It
// becomes the slot of this daemon's clock in which its middle lies.
func unpackReport(key balance.ModelKey, m *wire.ModelReservations, began time.Time) admission.Report {
	report := admission.Report{Model: key}
	report.First, _ = admission.SlotAt(began.Add(admission.SlotLength / 2))
	for _, d := range m.Demand {
		report.Demand = append(report.Demand, admission.UrgencyRate{Urgency: d.Key, Rate: float64(d.Count) * milli})
	}
	for _, w := range m.Reserved {
		if w.Key < admission.Slots {
			report.Reserved[w.Key] = float64(w.Count) * milli
		}
	}
	return report
}

// modelNames returns the models of the configuration by hash.
func (g *meshAdapter) modelNames() map[uint32]balance.ModelKey {
	out := map[uint32]balance.ModelKey{}
	if cfg := g.d.directory.Config(); cfg != nil {
		for _, s := range cfg.Services {
			if s.Engine == nil {
				continue
			}
			for _, m := range s.Engine.Models {
				out[wire.ModelHash(s.Name, m.Name)] = balance.ModelKey{Service: s.Name, Model: m.Name}
			}
		}
	}
	return out
}

// setAdmissionGauges sets the gauges of late and reserved work of a service. late is the
// load of late requests by engine.
func (d *Daemon) setAdmissionGauges(view *directory.ServiceView, late map[string]balance.Load) {
	waiting := map[string]int{}
	for i := range view.Groups {
		if head := view.Groups[i].Head(); head != nil {
			waiting[view.Groups[i].Model] += late[head.ID].InFlight
		}
	}
	for _, m := range view.Service.Engine.Models {
		key := balance.ModelKey{Service: view.Service.Name, Model: m.Name}
		reserved := 0.0
		s := d.meshAdapter.ledger.Snapshot(key, admission.Fact[admission.Capacity]{}, time.Now())
		for _, w := range s.Reserved.Value {
			reserved += w
		}
		scope := d.stats.registry.Scope().Tagged(map[string]string{"service": key.Service, "model": key.Model})
		scope.Gauge(metricLateWaiting).Update(float64(waiting[m.Name]))
		scope.Gauge(metricReserved).Update(reserved)
	}
}
