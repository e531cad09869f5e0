package balance

import (
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
)

// Demand measures how the work that callers ask of a service divides among its
// models, as this daemon sees it. It is safe for concurrent use.
type Demand struct{ services *shard.Map[*demand] }

type demand struct {
	mu     sync.Mutex
	count  float64
	models map[string]float64
	at     time.Time
}

// NewDemand returns an empty measurement.
func NewDemand() *Demand { return &Demand{services: shard.NewMap[*demand]()} }

// Add counts a request for a model.
func (d *Demand) Add(service *catalog.Service, model string, w Work, now time.Time) {
	spec := service.Engine
	if spec == nil {
		return
	}
	m, ok := spec.Model(model)
	if !ok {
		return
	}
	work := m.Pace * GroupTime(spec, w)
	d.services.Update(service.Name, func(s *demand, ok bool) (*demand, bool) {
		if !ok {
			s = &demand{models: map[string]float64{}, at: now}
		}
		s.add(model, work, now)
		return s, true
	})
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

// GroupTime returns the seconds that a request takes of a group of pace 1,
// where its slots are shared: reading alone, writing beside the others.
func GroupTime(spec *catalog.EngineModel, w Work) float64 {
	read := readMS(spec, float64(w.PromptTokens)) + pairMS(spec, float64(w.PromptTokens))
	full := float64(max(1, spec.Slots))
	write := float64(w.AnswerTokens) * (spec.StepMS + spec.PerSequenceMS*full) / full
	return (read + write) / 1e3
}

// Needs returns each model's part of the service's work: as measured, or as
// published while too little was measured.
func (d *Demand) Needs(service *catalog.Service, now time.Time) map[string]float64 {
	out := map[string]float64{}
	for _, m := range service.Engine.Models {
		out[m.Name] = m.Share * m.Pace
	}
	s, ok := d.services.Get(service.Name)
	if !ok {
		return out
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	if s.count < demandEnough {
		return out
	}
	for _, m := range service.Engine.Models {
		out[m.Name] = s.models[m.Name]
	}
	return out
}
