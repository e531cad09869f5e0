package balance

import (
	"math"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// demandHalfLife is the half-life of a request's weight in the measured demand.
	demandHalfLife = 10 * time.Second
	// minDemandRequests is the decayed number of requests of a service, over all
	// daemons, from which its measured demand is used instead of the published
	// shares.
	minDemandRequests = 60
)

// ModelWork is the work that clients have requested of one model, with weights that
// decay by the same half-life on all daemons, so that their sums can be added.
type ModelWork struct {
	// Requests is the number of requests.
	Requests float64
	// Offered is the work of all requests and Refused that of the requests refused
	// because all groups of the model were busy, in seconds of a group.
	Offered, Refused float64
}

func (w *ModelWork) add(o ModelWork) {
	w.Requests += o.Requests
	w.Offered += o.Offered
	w.Refused += o.Refused
}

func (w *ModelWork) scale(factor float64) {
	w.Requests *= factor
	w.Offered *= factor
	w.Refused *= factor
}

// distinct returns the offered work with a request that is refused and sent again
// counted once. Requests that are sent again carry a new id, so they cannot be
// recognised; almost all clients send a refused request again.
func (w *ModelWork) distinct() float64 {
	if w.Offered <= 0 {
		return 0
	}
	return w.Offered * w.Offered / (w.Offered + w.Refused)
}

// ModelKey identifies a model of a service.
type ModelKey struct{ Service, Model string }

// Demand measures the demand for the models of each service by what clients
// request, whether it is served or not: a model whose groups are full would
// otherwise seem to need no more groups than it has. It is safe for concurrent use.
type Demand struct {
	own *shard.Map[*ownWork]
	// reported holds the work that the other daemons have reported, by their name.
	reported *shard.Map[reportedWork]
}

// ownWork is the work that clients have requested of this daemon for one model.
type ownWork struct {
	mu   sync.Mutex
	work ModelWork
	// at is the time up to which work is decayed.
	at time.Time
}

// reportedWork is the report of another daemon.
type reportedWork struct {
	work  map[ModelKey]ModelWork
	until time.Time
}

// NewDemand returns a Demand without any requests.
func NewDemand() *Demand {
	return &Demand{own: shard.NewMap[*ownWork](), reported: shard.NewMap[reportedWork]()}
}

// RecordRequest records a request for a model that this daemon received.
func (d *Demand) RecordRequest(service *catalog.Service, model string, w Work, now time.Time) {
	if work, ok := GroupWork(service, model, w); ok {
		d.record(ModelKey{service.Name, model}, ModelWork{Requests: 1, Offered: work}, now)
	}
}

// RecordRefusal records that a request for a model was refused because all groups
// were busy. RecordRequest has recorded the request before.
func (d *Demand) RecordRefusal(service *catalog.Service, model string, w Work, now time.Time) {
	if work, ok := GroupWork(service, model, w); ok {
		d.record(ModelKey{service.Name, model}, ModelWork{Refused: work}, now)
	}
}

// GroupWork returns the seconds that a request takes of a group of the model. It
// reports false if the service has no such model.
func GroupWork(service *catalog.Service, model string, w Work) (float64, bool) {
	if service.Engine == nil {
		return 0, false
	}
	m, ok := service.Engine.Model(model)
	return m.TimeFactor * GroupSeconds(service.Engine, w), ok
}

func (d *Demand) record(key ModelKey, w ModelWork, now time.Time) {
	o := d.own.GetOrMake(key.Service+"/"+key.Model, func() *ownWork { return &ownWork{at: now} })
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decay(now)
	o.work.add(w)
}

// decay reduces the weight of past requests by their age. The caller holds mu.
func (o *ownWork) decay(now time.Time) {
	o.work.scale(math.Exp2(-now.Sub(o.at).Seconds() / demandHalfLife.Seconds()))
	o.at = now
}

// Own returns the work requested of this daemon for the models of a service, for a
// report to other daemons.
func (d *Demand) Own(service *catalog.Service, now time.Time) map[ModelKey]ModelWork {
	out := map[ModelKey]ModelWork{}
	for _, m := range service.Engine.Models {
		key := ModelKey{service.Name, m.Name}
		o, ok := d.own.Get(key.Service + "/" + key.Model)
		if !ok {
			continue
		}
		o.mu.Lock()
		o.decay(now)
		out[key] = o.work
		o.mu.Unlock()
	}
	return out
}

// SetReported sets the work that another daemon has reported. It is valid until the
// given time or the daemon's next report.
func (d *Demand) SetReported(from string, work map[ModelKey]ModelWork, until time.Time) {
	d.reported.Set(from, reportedWork{work, until})
}

// Total returns the work requested of all daemons for the models of a service.
func (d *Demand) Total(service *catalog.Service, now time.Time) map[string]ModelWork {
	total := map[string]ModelWork{}
	add := func(work map[ModelKey]ModelWork) {
		for _, m := range service.Engine.Models {
			sum := total[m.Name]
			sum.add(work[ModelKey{service.Name, m.Name}])
			total[m.Name] = sum
		}
	}
	add(d.Own(service, now))
	d.reported.DeleteFunc(func(_ string, r reportedWork) bool { return now.After(r.until) })
	d.reported.Range(func(_ string, r reportedWork) bool {
		add(r.work)
		return true
	})
	return total
}

// GroupSeconds returns for how many seconds a request occupies a group whose model
// has a TimeFactor of 1. The prefill of a request runs alone; its decoding is
// shared with the requests in the other slots, which are assumed to be full.
func GroupSeconds(spec *catalog.EngineSpec, w Work) float64 {
	prefill := prefillMS(spec, float64(w.PromptTokens)) + attentionMS(spec, float64(w.PromptTokens))
	full := float64(max(1, spec.Slots))
	decode := float64(w.AnswerTokens) * (spec.StepMS + spec.PerSequenceMS*full) / full
	return (prefill + decode) / 1e3
}

// PerModel returns the relative demand for each model of the service, in groups; the
// values add up to 1. It is based on the requested work or, with too few requests,
// on the published shares. A published share is one of engines and not of groups,
// so it is divided by the group size. A slow model's first event comes later at the
// same use of its slots, so its groups need a lower use: the demand is weighted by
// the root of the model's TimeFactor.
func (d *Demand) PerModel(service *catalog.Service, now time.Time) map[string]float64 {
	total := d.Total(service, now)
	requests := 0.0
	for _, w := range total {
		requests += w.Requests
	}
	out := map[string]float64{}
	sum := 0.0
	for _, m := range service.Engine.Models {
		need := m.Share / float64(max(1, m.GroupSize))
		if requests >= minDemandRequests {
			w := total[m.Name]
			need = w.distinct()
		}
		out[m.Name] = need * math.Sqrt(m.TimeFactor)
		sum += out[m.Name]
	}
	for m := range out {
		if sum > 0 {
			out[m] /= sum
		}
	}
	return out
}
