package balance

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// demandHalfLife is the half-life of a request's weight in the measured demand.
	demandHalfLife = 10 * time.Second
	// minDemandRequests is the decayed number of requests of a service from which
	// its measured demand is used instead of the published shares.
	minDemandRequests = 60
	// inFlightHalfLife is the half-life of a sample of the requests in flight. It
	// smooths bursts of a second: requests to models last 0.2 to 2 s according to
	// the published parameters.
	inFlightHalfLife = 2 * time.Second
	// minInFlight is the number of requests in flight, over all daemons, from which
	// they are used instead of the arrivals that this daemon measures. With 20
	// requests, a model's share of one half is known to about a fifth of its value.
	minInFlight = 20
)

// Demand measures the relative demand for the models of each service. It is safe
// for concurrent use.
type Demand struct{ services *shard.Map[*serviceDemand] }

// serviceDemand is the measured demand for the models of one service.
type serviceDemand struct {
	mu sync.Mutex
	// count is the decayed number of requests that this daemon received, models
	// their work by model, and at the time up to which both are decayed.
	count  float64
	models map[string]float64
	at     time.Time
	// inFlight is the smoothed number of requests in flight of all daemons, by
	// model, as of inFlightAt.
	inFlight   map[string]float64
	inFlightAt time.Time
}

// NewDemand returns a Demand without any requests.
func NewDemand() *Demand { return &Demand{services: shard.NewMap[*serviceDemand]()} }

// RecordRequest records a request for a model that this daemon received.
func (d *Demand) RecordRequest(service *catalog.Service, model string, w Work, now time.Time) {
	spec := service.Engine
	if spec == nil {
		return
	}
	m, ok := spec.Model(model)
	if !ok {
		return
	}
	d.service(service.Name, now).record(model, m.TimeFactor*GroupSeconds(spec, w), now)
}

func (d *Demand) service(service string, now time.Time) *serviceDemand {
	return d.services.GetOrMake(service, func() *serviceDemand {
		return &serviceDemand{models: map[string]float64{}, inFlight: map[string]float64{}, at: now, inFlightAt: now}
	})
}

// RecordInFlight records the number of requests that all daemons have in flight at
// a service's groups, by model. A request holds a slot of a group for as long as
// its work takes, so these numbers are proportional to the demand.
func (d *Demand) RecordInFlight(service string, inFlight map[string]int, now time.Time) {
	d.service(service, now).recordInFlight(inFlight, now)
}

func (s *serviceDemand) recordInFlight(inFlight map[string]int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldWeight := math.Exp2(-now.Sub(s.inFlightAt).Seconds() / inFlightHalfLife.Seconds())
	s.inFlightAt = now
	for m, n := range inFlight {
		s.inFlight[m] = oldWeight*s.inFlight[m] + (1-oldWeight)*float64(n)
	}
}

func (s *serviceDemand) record(model string, work float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.count++
	s.models[model] += work
}

// decay reduces the weight of past requests by their age. The caller holds mu.
func (s *serviceDemand) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(s.at).Seconds() / demandHalfLife.Seconds())
	s.at = now
	s.count *= factor
	for m := range s.models {
		s.models[m] *= factor
	}
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

// PerModel returns the relative demand for each model of the service, in groups.
// It is based on the requests in flight of all daemons, on the requests that this
// daemon received if those are too few, and on the published shares if these are
// too few as well. A model without groups has no requests in flight and keeps the
// received or published value. A published share is one of engines and not of
// groups, so it is divided by the group size. All values are weighted by the
// models' TimeFactor.
func (d *Demand) PerModel(service *catalog.Service, now time.Time) map[string]float64 {
	out := map[string]float64{}
	for _, m := range service.Engine.Models {
		out[m.Name] = m.Share * m.TimeFactor / float64(max(1, m.GroupSize))
	}
	s, ok := d.services.Get(service.Name)
	if !ok {
		return out
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	if s.count >= minDemandRequests {
		maps.Copy(out, s.models)
	}
	return s.scaleByInFlight(service.Engine, out)
}

// scaleByInFlight makes the demand for the models with requests in flight
// proportional to these, weighted by the models' TimeFactor, and keeps the sum of
// their demand and the demand for the other models. The factor counts because the
// first event of a slow model comes later at the same use of its slots, so its
// groups need a lower use. The caller holds mu.
func (s *serviceDemand) scaleByInFlight(spec *catalog.EngineSpec, perModel map[string]float64) map[string]float64 {
	total, weighted, sum := 0.0, 0.0, 0.0
	for _, m := range spec.Models {
		if n := s.inFlight[m.Name]; n >= 1 {
			total += n
			weighted += n * m.TimeFactor
			sum += perModel[m.Name]
		}
	}
	if total < minInFlight || weighted <= 0 {
		return perModel
	}
	for _, m := range spec.Models {
		if n := s.inFlight[m.Name]; n >= 1 {
			perModel[m.Name] = sum * n * m.TimeFactor / weighted
		}
	}
	return perModel
}
