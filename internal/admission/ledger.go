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
	// demandHalfLife is the half-life of the weight of new requests in the measured
	// demand. It is a quarter of the shortest burst that the system must follow.
	demandHalfLife = time.Second
	// reportTTL is how long the report of a daemon, and the sums of a collector, are
	// used. Together they stay below the two seconds within which the reservations of a
	// daemon that is gone must be dropped.
	reportTTL = 900 * time.Millisecond
	// minRate is the rate below which demand is not reported, and the smallest number
	// of the encoding.
	minRate = 1e-3
)

// Ledger holds the new demand and the reserved work of each model, of this daemon and of
// the others, which report theirs. It is safe for concurrent use; each model has its own
// lock.
type Ledger struct {
	models *shard.Map[*modelLedger]
}

// Report is the new demand and the reserved work of a model at one or more daemons.
type Report struct {
	Model  balance.ModelKey
	Demand []UrgencyRate
	// Reserved begins with the slot First, counted from the Unix epoch on the clock of
	// the daemon that has the Report.
	First    int64
	Reserved [Slots]float64
}

// remoteReport is the report of another daemon or the sums of a collector.
type remoteReport struct {
	Report
	at, until time.Time
}

// modelLedger is what a Ledger holds of a model.
type modelLedger struct {
	mu  sync.Mutex
	key balance.ModelKey
	// own is that of this daemon; its Demand holds work, decayed up to ownAt.
	own   Report
	ownAt time.Time
	// reported is the last report of own to the other daemons.
	reported Report
	remote   map[string]remoteReport
	sums     remoteReport
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{models: shard.NewMap[*modelLedger]()} }

// SlotAt returns the number of the slot of a time, and how much of it has passed.
func SlotAt(t time.Time) (slot int64, elapsed time.Duration) {
	ns := t.UnixNano()
	return ns / int64(SlotLength), time.Duration(ns % int64(SlotLength))
}

func (l *Ledger) model(key balance.ModelKey) *modelLedger {
	return l.models.GetOrMake(key.Service+"/"+key.Model, func() *modelLedger {
		return &modelLedger{key: key, remote: map[string]remoteReport{}}
	})
}

// RecordNew records the work of a new request.
func (l *Ledger) RecordNew(key balance.ModelKey, urgency int, work float64, now time.Time) {
	m := l.model(key)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.own.Demand = addRate(m.own.Demand, UrgencyRate{urgency, work})
}

// Reserve reserves work in a slot, counted from the one of the given time.
func (l *Ledger) Reserve(key balance.ModelKey, slot int, work float64, now time.Time) {
	m := l.model(key)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	if slot >= 0 && slot < Slots {
		m.own.Reserved[slot] += work
	}
}

// Snapshot returns what is known of a model.
func (l *Ledger) Snapshot(key balance.ModelKey, capacity Fact[Capacity], now time.Time) Snapshot {
	m := l.model(key)
	m.mu.Lock()
	defer m.mu.Unlock()
	total, age := m.total(now)
	_, elapsed := SlotAt(now)
	return Snapshot{
		Capacity: capacity, NewDemand: Fact[[]UrgencyRate]{total.Demand, age},
		Reserved: Fact[[Slots]float64]{total.Reserved, age}, SlotElapsed: elapsed,
	}
}

// ReportOwn returns what this daemon knows of its own, for a report to the others, and
// records it as reported. Models without demand and reservations are left out.
func (l *Ledger) ReportOwn(now time.Time) []Report {
	return l.collect(func(m *modelLedger) Report {
		m.advance(now)
		m.reported = m.ownReport()
		return m.reported
	})
}

// Sums returns the sums over all daemons that report to this one.
func (l *Ledger) Sums(now time.Time) []Report {
	return l.collect(func(m *modelLedger) Report {
		sum, _ := m.total(now)
		return sum
	})
}

func (l *Ledger) collect(report func(*modelLedger) Report) []Report {
	var out []Report
	l.models.Range(func(_ string, m *modelLedger) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		r := report(m)
		r.Demand = slices.DeleteFunc(slices.Clone(r.Demand), func(d UrgencyRate) bool { return d.Rate < minRate })
		if len(r.Demand) > 0 || r.Reserved != [Slots]float64{} {
			out = append(out, r)
		}
		return true
	})
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Model.Service, b.Model.Service), cmp.Compare(a.Model.Model, b.Model.Model))
	})
	return out
}

// SetRemote sets the report of another daemon about a model. It is used until it
// expires.
func (l *Ledger) SetRemote(from string, r Report, now time.Time) {
	m := l.model(r.Model)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remote[from] = remoteReport{r, now, now.Add(reportTTL)}
}

// SetSums sets the sums of a collector about a model, which include this daemon's last
// report or an earlier one. They are used in place of reports until they expire.
func (l *Ledger) SetSums(r Report, now time.Time) {
	m := l.model(r.Model)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sums = remoteReport{r, now, now.Add(reportTTL)}
}

// advance decays the demand and drops the slots that have passed. The caller holds mu.
func (m *modelLedger) advance(now time.Time) {
	if now.Before(m.ownAt) {
		// A request is recorded at its arrival, also if its body took long to be read.
		now = m.ownAt
	}
	decay := math.Exp2(-max(0, now.Sub(m.ownAt).Seconds()) / demandHalfLife.Seconds())
	for i := range m.own.Demand {
		m.own.Demand[i].Rate *= decay
	}
	m.ownAt = now
	slot, _ := SlotAt(now)
	m.own = Report{Model: m.key, Demand: m.own.Demand, First: slot, Reserved: m.own.reservedFrom(slot)}
}

// ownReport returns own with rates in place of decayed work. The caller holds mu.
func (m *modelLedger) ownReport() Report {
	r := m.own
	r.Demand = slices.Clone(r.Demand)
	for i := range r.Demand {
		r.Demand[i].Rate *= math.Ln2 / demandHalfLife.Seconds()
	}
	return r
}

// total returns the sums over all daemons, and the age of the oldest report in them. The
// caller holds mu.
func (m *modelLedger) total(now time.Time) (Report, time.Duration) {
	m.advance(now)
	sum := m.ownReport()
	if now.Before(m.sums.until) {
		sum.add(&m.sums.Report, 1)
		sum.add(&m.reported, -1)
		return sum, now.Sub(m.sums.at)
	}
	age := time.Duration(0)
	for from, r := range m.remote {
		if now.After(r.until) {
			delete(m.remote, from)
			continue
		}
		sum.add(&r.Report, 1)
		age = max(age, now.Sub(r.at))
	}
	return sum, age
}

// add adds a report, times a factor; no sum becomes negative.
func (r *Report) add(o *Report, factor float64) {
	for _, d := range o.Demand {
		r.Demand = addRate(r.Demand, UrgencyRate{d.Urgency, factor * d.Rate})
	}
	for i, w := range o.reservedFrom(r.First) {
		r.Reserved[i] = max(0, r.Reserved[i]+factor*w)
	}
}

// reservedFrom returns the reserved work from the given slot on.
func (r *Report) reservedFrom(first int64) [Slots]float64 {
	var out [Slots]float64
	for i, w := range r.Reserved {
		if at := r.First + int64(i) - first; at >= 0 && at < Slots {
			out[at] = w
		}
	}
	return out
}

func addRate(list []UrgencyRate, d UrgencyRate) []UrgencyRate {
	i := slices.IndexFunc(list, func(o UrgencyRate) bool { return o.Urgency == d.Urgency })
	if i < 0 {
		return append(list, UrgencyRate{d.Urgency, max(0, d.Rate)})
	}
	list[i].Rate = max(0, list[i].Rate+d.Rate)
	return list
}
