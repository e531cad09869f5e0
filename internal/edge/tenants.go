package edge

import (
	"math"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/admission"
	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// scarceShare is the share of a model's capacity from which on daemons report the demand
// for it by tenant. It is below 1 so that they have the reports when a rising demand
// exceeds the capacity.
const scarceShare = 0.7

// maxPackedTenants is the number of bytes of packed demand from which on no further model
// is added to a datagram. A model of three urgencies takes at most 350 bytes.
const maxPackedTenants = 700

// TenantDemand returns the demand by tenant at this daemon for scarce models.
func (g *meshAdapter) TenantDemand() wire.TenantDemand { return g.packTenants(g.tenants.Own) }

// TotalTenantDemand returns its sums over all daemons that reported to this one.
func (g *meshAdapter) TotalTenantDemand() wire.TenantDemand { return g.packTenants(g.tenants.Sums) }

// packTenants returns the reports of scarce models as a datagram.
func (g *meshAdapter) packTenants(report func(balance.ModelKey, time.Time) admission.TenantReport) wire.TenantDemand {
	now := time.Now()
	var out wire.TenantDemand
	for _, key := range g.scarceModels(now) {
		if len(out.Models) > maxPackedTenants {
			break
		}
		if r := report(key, now); len(r.Demand) > 0 {
			m := packTenantReport(&r)
			out.AppendModel(&m)
		}
	}
	return out
}

func packTenantReport(r *admission.TenantReport) wire.ModelTenants {
	m := wire.ModelTenants{Hash: wire.ModelHash(r.Model.Service, r.Model.Model)}
	for _, d := range r.Demand {
		m.Demands = append(m.Demands, wire.TenantRate{Tenant: uint32(d.Tenant), Urgency: d.Urgency, Rate: int(math.Round(d.Rate / milli)), Tenants: d.Tenants})
	}
	return m
}

func unpackTenantReport(key balance.ModelKey, m *wire.ModelTenants) admission.TenantReport {
	r := admission.TenantReport{Model: key}
	for _, d := range m.Demands {
		c := admission.Claimant{Urgency: d.Urgency, Tenant: admission.TenantID(d.Tenant)}
		r.Demand = append(r.Demand, admission.TenantRate{Claimant: c, Rate: float64(d.Rate) * milli, Tenants: d.Tenants})
	}
	return r
}

// scarceModels returns the models for which the demand at all daemons is near or over the
// capacity of the serving groups, where capacity is divided at all.
func (g *meshAdapter) scarceModels(now time.Time) []balance.ModelKey {
	var out []balance.ModelKey
	cfg := g.d.directory.Config()
	if cfg == nil {
		return nil
	}
	for name := range cfg.Services {
		view, ok := g.d.directory.Service(name)
		if !ok || view.Service.Engine == nil || !cfg.DividesCapacity(name) {
			continue
		}
		groups := map[string]float64{}
		for i := range view.Groups {
			if view.Groups[i].Serving() {
				groups[view.Groups[i].Model]++
			}
		}
		for _, m := range view.Service.Engine.Models {
			key, demand := balance.ModelKey{Service: name, Model: m.Name}, 0.0
			for _, d := range g.ledger.Snapshot(key, admission.Fact[admission.Capacity]{}, now).NewDemand.Value {
				demand += d.Rate
			}
			if demand > scarceShare*groups[m.Name] {
				out = append(out, key)
			}
		}
	}
	return out
}

// HandleTenantDemand applies the demand by tenant of another daemon, or of all.
func (g *meshAdapter) HandleTenantDemand(d *wire.TenantDemand) {
	models, err := d.Unpack()
	if err != nil {
		klog.V(1).ErrorS(err, "demand by tenant ignored", "sender", d.Sender)
		return
	}
	now, names := time.Now(), g.modelNames()
	for i := range models {
		key, ok := names[models[i].Hash]
		switch {
		case !ok:
		case d.Sums:
			g.tenants.SetSums(unpackTenantReport(key, &models[i]), now)
		default:
			g.tenants.SetRemote(d.Sender, unpackTenantReport(key, &models[i]), now)
		}
	}
}
