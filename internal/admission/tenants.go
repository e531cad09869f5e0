package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// TenantReportInterval is the shortest time between two reports of demand by tenant.
	TenantReportInterval = 500 * time.Millisecond
	// tenantReportTTL is how long such a report is used. It covers the loss of one.
	tenantReportTTL = 1200 * time.Millisecond
	// sharesInterval is the interval at which the shares of a model are determined, half
	// of that of the reports.
	sharesInterval = 250 * time.Millisecond
	// tenantHalfLife is the half-life of the weight of requests in the demand by tenant. The
	// shares must follow a change within 2 s, the time of reports included.
	tenantHalfLife = 500 * time.Millisecond
	// maxNamedClaimants is the number of claimants of a model that a report names. A
	// report takes about 300 bytes with so many.
	maxNamedClaimants = 32
)

// TenantLedger holds the demand of each model by tenant, of this daemon and of the
// others, and the shares that follow from it. It is safe for concurrent use; each model
// has its own lock.
type TenantLedger struct {
	models *shard.Map[*tenantModel]
}

// TenantReport is the demand for a model at one or more daemons.
type TenantReport struct {
	Model  balance.ModelKey
	Demand []TenantRate
}

// tenantModel is what a TenantLedger holds of a model.
type tenantModel struct {
	mu sync.Mutex
	// own is the work requested of this daemon, decayed up to ownAt.
	own    map[Claimant]float64
	ownAt  time.Time
	remote map[string]remoteTenants
	sums   remoteTenants
	// lastSums is the last result of Sums, at lastSumsAt.
	lastSums   []TenantRate
	lastSumsAt time.Time
	// within is the result of the last ShareOut, at sharesAt.
	within   map[Claimant]float64
	sharesAt time.Time
	beyond   int
}

// remoteTenants is the demand at another daemon or the sums of a collector.
type remoteTenants struct {
	demand []TenantRate
	until  time.Time
}

// NewTenantLedger returns an empty TenantLedger.
func NewTenantLedger() *TenantLedger { return &TenantLedger{models: shard.NewMap[*tenantModel]()} }

func (l *TenantLedger) model(key balance.ModelKey) *tenantModel {
	return l.models.GetOrMake(key.Service+"/"+key.Model, func() *tenantModel {
		return &tenantModel{own: map[Claimant]float64{}, remote: map[string]remoteTenants{}}
	})
}

// Record records the work of a new request. due is set, for one caller, if Update is to
// be called.
func (l *TenantLedger) Record(key balance.ModelKey, c Claimant, work float64, now time.Time) (due bool) {
	m := l.model(key)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.own[c] += work
	if now.Sub(m.sharesAt) < sharesInterval {
		return false
	}
	m.sharesAt = now
	return true
}

// Within returns which part of the claimant's demand is within its share.
func (l *TenantLedger) Within(key balance.ModelKey, c Claimant) float64 {
	m := l.model(key)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, known := range []Claimant{c, {c.Urgency, OtherTenants}} {
		if part, ok := m.within[known]; ok {
			return part
		}
	}
	return 1
}

// Update determines the shares of a model with the given capacity. It returns how many
// claimants are now and were before beyond their shares.
func (l *TenantLedger) Update(key balance.ModelKey, capacity float64, now time.Time) (beyond, before int) {
	m := l.model(key)
	m.mu.Lock()
	defer m.mu.Unlock()
	before, m.beyond = m.beyond, 0
	m.within = ShareOut(m.total(now), capacity)
	for _, part := range m.within {
		if part < 1 {
			m.beyond++
		}
	}
	return m.beyond, before
}

// Own returns the demand at this daemon for a report to the others.
func (l *TenantLedger) Own(key balance.ModelKey, now time.Time) TenantReport {
	m := l.model(key)
	m.mu.Lock()
	defer m.mu.Unlock()
	return TenantReport{key, m.ownDemand(now)}
}

// Sums returns the sums over all daemons that report to this one. They are added up once
// in sharesInterval, since a collector asks for them more often.
func (l *TenantLedger) Sums(key balance.ModelKey, now time.Time) TenantReport {
	m := l.model(key)
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastSumsAt) >= sharesInterval {
		m.lastSums, m.lastSumsAt = m.collected(now), now
	}
	return TenantReport{key, m.lastSums}
}

// SetRemote sets the report of another daemon. It is used until it expires.
func (l *TenantLedger) SetRemote(from string, r TenantReport, now time.Time) {
	m := l.model(r.Model)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remote[from] = remoteTenants{r.Demand, now.Add(tenantReportTTL)}
}

// SetSums sets the sums of a collector. They are used in place of the reports and of the
// demand at this daemon, which they include, until they expire.
func (l *TenantLedger) SetSums(r TenantReport, now time.Time) {
	m := l.model(r.Model)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sums = remoteTenants{r.Demand, now.Add(tenantReportTTL)}
}

// advance decays the demand. The caller holds mu.
func (m *tenantModel) advance(now time.Time) {
	elapsed := now.Sub(m.ownAt)
	if elapsed < SlotLength {
		return // decaying all claimants with each request would cost too much
	}
	decay := math.Exp2(-elapsed.Seconds() / tenantHalfLife.Seconds())
	for c, work := range m.own {
		if m.own[c] = work * decay; work*decay < minRate {
			delete(m.own, c)
		}
	}
	m.ownAt = now
}

// ownDemand returns the demand at this daemon. The caller holds mu.
func (m *tenantModel) ownDemand(now time.Time) []TenantRate {
	m.advance(now)
	demand := make([]TenantRate, 0, len(m.own))
	for c, work := range m.own {
		demand = append(demand, TenantRate{Claimant: c, Rate: work * math.Ln2 / tenantHalfLife.Seconds()})
	}
	return largest(demand)
}

// total returns the demand at all daemons. The caller holds mu.
func (m *tenantModel) total(now time.Time) []TenantRate {
	if now.Before(m.sums.until) {
		return m.sums.demand
	}
	return m.collected(now)
}

// collected returns the demand at this daemon and at those that report to it. The caller
// holds mu.
func (m *tenantModel) collected(now time.Time) []TenantRate {
	sum := map[Claimant]TenantRate{}
	add := func(list []TenantRate) {
		for _, d := range list {
			s := sum[d.Claimant]
			// The unnamed tenants of two daemons are mostly the same ones.
			sum[d.Claimant] = TenantRate{d.Claimant, s.Rate + d.Rate, max(s.Tenants, d.Tenants)}
		}
	}
	add(m.ownDemand(now))
	for from, r := range m.remote {
		if now.After(r.until) {
			delete(m.remote, from)
			continue
		}
		add(r.demand)
	}
	list := make([]TenantRate, 0, len(sum))
	for _, d := range sum {
		list = append(list, d)
	}
	return largest(list)
}

// largest returns the largest claimants by name, and the rest summed by urgency. It
// bounds the size of reports and the cost of ShareOut.
func largest(demand []TenantRate) []TenantRate {
	slices.SortFunc(demand, func(a, b TenantRate) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.Tenant, b.Tenant))
	})
	out := make([]TenantRate, 0, min(len(demand), maxNamedClaimants)+1)
	named := 0
	for _, d := range demand {
		if d.Tenant != OtherTenants && named < maxNamedClaimants {
			named++
			out = append(out, d)
			continue
		}
		rest := Claimant{d.Urgency, OtherTenants}
		i := slices.IndexFunc(out, func(o TenantRate) bool { return o.Claimant == rest })
		if i < 0 {
			i, out = len(out), append(out, TenantRate{Claimant: rest})
		}
		out[i].Rate += d.Rate
		out[i].Tenants += max(1, d.Tenants)
	}
	return out
}
