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
	// demandHalfLife is the time after which a request counts half.
	demandHalfLife = 10 * time.Second
	// demandEnough is the number of requests of a service from which its
	// measured demand is believed rather than the published shares.
	demandEnough = 60
	// occupancyHalfLife is the time after which a look at the requests under way
	// counts half; it smooths the bursts of a second. A choice: requests to models
	// last 0.2 to 2 s on the sheets.
	occupancyHalfLife = 2 * time.Second
	// occupancyEnough is the number of requests under way, over all daemons, from
	// which they are believed rather than what this daemon sees arrive. A choice:
	// with 20 a model's half is known to about a fifth of it.
	occupancyEnough = 20
)

// Demand measures how the work that callers ask of a service divides among its
// models, as this daemon sees it. It is safe for concurrent use.
type Demand struct{ services *shard.Map[*demand] }

type demand struct {
	mu     sync.Mutex
	count  float64
	models map[string]float64
	at     time.Time
	// underWay are the requests under way of all daemons by model, smoothed.
	underWay   map[string]float64
	underWayAt time.Time
}

// NewDemand returns an empty measurement.
func NewDemand() *Demand { return &Demand{services: shard.NewMap[*demand]()} }

// RecordRequest counts a request for a model.
func (d *Demand) RecordRequest(service *catalog.Service, model string, w Work, now time.Time) {
	spec := service.Engine
	if spec == nil {
		return
	}
	m, ok := spec.Model(model)
	if !ok {
		return
	}
	d.of(service.Name, now).add(model, m.TimeFactor*GroupSeconds(spec, w), now)
}

func (d *Demand) of(service string, now time.Time) *demand {
	return d.services.GetOrMake(service, func() *demand {
		return &demand{models: map[string]float64{}, underWay: map[string]float64{}, at: now, underWayAt: now}
	})
}

// RecordInFlight notes the requests that all daemons have under way at a service's
// groups, by model. Each holds a slot of a group for as long as its work takes, so
// that they divide as the work does.
func (d *Demand) RecordInFlight(service string, underWay map[string]int, now time.Time) {
	d.of(service, now).occupied(underWay, now)
}

func (s *demand) occupied(underWay map[string]int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := math.Exp2(-now.Sub(s.underWayAt).Seconds() / occupancyHalfLife.Seconds())
	s.underWayAt = now
	for m, n := range underWay {
		s.underWay[m] = old*s.underWay[m] + (1-old)*float64(n)
	}
}

func (s *demand) add(model string, work float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.count++
	s.models[model] += work
}

func (s *demand) decay(now time.Time) {
	f := math.Exp2(-now.Sub(s.at).Seconds() / demandHalfLife.Seconds())
	s.at = now
	s.count *= f
	for m := range s.models {
		s.models[m] *= f
	}
}

// GroupSeconds returns the seconds that a request takes of a group of pace 1,
// where its slots are shared: reading alone, writing beside the others.
func GroupSeconds(spec *catalog.EngineSpec, w Work) float64 {
	read := readMS(spec, float64(w.PromptTokens)) + pairMS(spec, float64(w.PromptTokens))
	full := float64(max(1, spec.Slots))
	write := float64(w.AnswerTokens) * (spec.StepMS + spec.PerSequenceMS*full) / full
	return (read + write) / 1e3
}

// PerModel returns each model's part of the service's work, in groups of it: by the requests under
// way, or as measured here, or as published while too little is known. A model
// without groups has nothing under way; its part is the measured or published one.
// The published share is of the engines, so a large group takes more of it. All
// are weighed by the models' pace.
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
	if s.count >= demandEnough {
		maps.Copy(out, s.models)
	}
	return s.byOccupancy(service.Engine, out)
}

// byOccupancy scales the needs of the models that have requests under way to
// divide as those do, weighed by their pace: a slow model's first event comes
// later at the same use of its slots, so its groups must be used less. The others
// keep their part of the whole.
func (s *demand) byOccupancy(spec *catalog.EngineSpec, needs map[string]float64) map[string]float64 {
	total, weighed, known := 0.0, 0.0, 0.0
	for _, m := range spec.Models {
		if n := s.underWay[m.Name]; n >= 1 {
			total += n
			weighed += n * m.TimeFactor
			known += needs[m.Name]
		}
	}
	if total < occupancyEnough || weighed <= 0 {
		return needs
	}
	for _, m := range spec.Models {
		if n := s.underWay[m.Name]; n >= 1 {
			needs[m.Name] = known * n * m.TimeFactor / weighed
		}
	}
	return needs
}
