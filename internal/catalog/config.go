// Package catalog holds the types of what operators publish and engines
// announce: routes, services, models, tenants and engines. It is pure: it knows
// neither where the records come from nor how they are encoded.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once per client attempt.
	NonIdempotent
	// Stream requests are answered by a series of events.
	Stream
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	default:
		return "stream"
	}
}

// Backend is one of the services that a route may send to.
type Backend struct {
	Service string
	// Weight is the backend's share of the route's requests, relative to the others.
	Weight int
}

// Route says which requests go where, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting; zero means no bound.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event, that earns full credit.
	TargetLatency time.Duration
	// MaxEventGap is the longest pause between events of an answer that is on time.
	MaxEventGap time.Duration
	Priority    int
	Backends    []Backend
	// MaxAttempts bounds the engines to which one request may be sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another engine after the last event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// SelectService returns the service for a request, chosen by weight from a hash of
// its id, so that repeats by one daemon go to the same service.
func (r *Route) SelectService(requestID string) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	at := int(shard.Hash(requestID) % uint64(total))
	for _, b := range r.Backends {
		if at -= b.Weight; at < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Model is a model that groups of a service's engines serve.
type Model struct {
	Name string
	// GroupSize is the number of engines in a group.
	GroupSize int
	// Share is the model's part of the service's engines that fits the work at the
	// start: the published shares divide groups as the sheets' requests do.
	Share float64
	// TimeFactor multiplies all times of the model's groups.
	TimeFactor float64
	// LoadTime is the time to load the weights from the shared store, Warm from the host.
	LoadTime     time.Duration
	WarmLoadTime time.Duration
}

// EngineSpec describes how fast a service's engines work. Times are for pace 1.
type EngineSpec struct {
	// Slots is the number of requests that run at once.
	Slots int
	// KVTokens is the memory for tokens in context.
	KVTokens int
	// StepsPerPass is the number of token steps in a pass; an event holds as many tokens.
	StepsPerPass int
	// StepMS is the time of a token step, PerSequenceMS what each running request
	// and ContextMSPerK what each thousand tokens of context add to it.
	StepMS        float64
	PerSequenceMS float64
	ContextMSPerK float64
	// PrefillTokensPerSecond is the number of prompt tokens read in a second.
	PrefillTokensPerSecond float64
	// AttentionMSPerMPairs is the time per million pairs of a token and an earlier one.
	AttentionMSPerMPairs float64
	// PrefillChunk is the number of prompt tokens read in one step at most.
	PrefillChunk int
	// ReportLag is the age of what engines report.
	ReportLag time.Duration
	// LoadsPerSecond bounds the loads that may start.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// MeanPromptTokens and UsualAnswer are mean token counts.
	MeanPromptTokens float64
	MeanAnswerTokens float64
	// MaxStagedModels is the number of staged models that a host retains.
	MaxStagedModels int
	// FormTime is the time that a group takes to open.
	FormTime time.Duration
	Models   []Model
}

// Model returns the model with the given name.
func (e *EngineSpec) Model(name string) (Model, bool) {
	i := slices.IndexFunc(e.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return e.Models[i], true
}

// Service is a set of engines behind one name.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// ColdRequestsPerSecond is what a cold engine bears; zero means no bound.
	ColdRequestsPerSecond float64
	// Engine is set for services whose engines form groups; nil for plain ones.
	Engine *EngineSpec
}

// Tenant is a customer with its keys.
type Tenant struct {
	Name string
	Keys []string
	// Priority overrides the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Config is a whole version of what operators want.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Tenants  []Tenant
	// MaxHeaderBytes and MaxBodyBytes bound what clients may send.
	MaxHeaderBytes int
	MaxBodyBytes   int

	byHost map[string][]int
	byKey  map[string]int
}

// BuildIndex prepares the look-ups; call it once before the configuration is shared.
func (c *Config) BuildIndex() {
	c.byHost = make(map[string][]int)
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		c.byHost[host] = append(c.byHost[host], i)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b int) int {
			return len(c.Routes[b].Prefix) - len(c.Routes[a].Prefix)
		})
	}
	c.byKey = make(map[string]int)
	for i, t := range c.Tenants {
		for _, k := range t.Keys {
			c.byKey[k] = i
		}
	}
}

// Route returns the route of the host with the longest prefix of path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, i := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, c.Routes[i].Prefix) {
			return &c.Routes[i], true
		}
	}
	return nil, false
}

// Tenant returns the tenant that holds the key.
func (c *Config) Tenant(key string) (*Tenant, bool) {
	i, ok := c.byKey[key]
	if !ok {
		return nil, false
	}
	return &c.Tenants[i], true
}

// NeedsKey reports whether requests of the route must carry a key.
func (c *Config) NeedsKey(r *Route) bool {
	return len(c.Tenants) > 0 && !r.Public
}
