// Package catalog defines the configuration that operators publish (routes,
// services, models, tenants) and the state that engines announce. It does no
// I/O and does not depend on where records come from or how they are encoded.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Kind is the execution semantics of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once per client attempt.
	NonIdempotent
	// Stream requests are answered by a sequence of events.
	Stream
)

// String returns the name of the kind as it appears in logs.
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

// Backend is a service that a route may send requests to.
type Backend struct {
	Service string
	// Weight is the backend's share of the route's requests, relative to the
	// weights of the route's other backends.
	Weight int
}

// Route maps requests of a host and path prefix to services, with the limits
// that apply to them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may wait; zero means no limit.
	Timeout time.Duration
	// TargetLatency is the latency goal: the time to the answer, or to the first
	// event of a stream, up to which the platform gives full credit.
	TargetLatency time.Duration
	// MaxEventGap is the longest time between two events of a stream that meets
	// its latency goal.
	MaxEventGap time.Duration
	Priority    int
	Backends    []Backend
	// MaxAttempts is the maximum number of engines that one request is sent to.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Resumable streams may continue on another engine after the last delivered
	// event.
	Resumable bool
}

// Repeatable reports whether a request of the route may be executed more than
// once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// SelectService returns the name of the service for a request. The choice is
// weighted and derived from a hash of the request id, so that one daemon sends
// all attempts of a request to the same service.
func (r *Route) SelectService(requestID string) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	point := int(shard.Hash(requestID) % uint64(total))
	for _, b := range r.Backends {
		if point -= b.Weight; point < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Model is a model that a service's engine groups can serve.
type Model struct {
	Name string
	// GroupSize is the number of engines in a group.
	GroupSize int
	// Share is the fraction of the service's engines assigned to the model at
	// start-up. The published shares match the distribution of the requests in the
	// platform's specification.
	Share float64
	// TimeFactor scales all execution times of the model's groups.
	TimeFactor float64
	// LoadTime is the time to load the weights from the shared weight store,
	// WarmLoadTime from a copy on the engine's host.
	LoadTime     time.Duration
	WarmLoadTime time.Duration
}

// EngineSpec holds the performance parameters of a service's engines. Times are
// for a TimeFactor of 1.
type EngineSpec struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// KVTokens is the capacity of the KV cache in tokens.
	KVTokens int
	// StepsPerPass is the number of token steps in a pass, and so the number of
	// tokens in an event.
	StepsPerPass int
	// StepMS is the base duration of a token step. Each running request adds
	// PerSequenceMS, each thousand tokens of context ContextMSPerK.
	StepMS        float64
	PerSequenceMS float64
	ContextMSPerK float64
	// PrefillTokensPerSecond is the prefill rate in prompt tokens.
	PrefillTokensPerSecond float64
	// AttentionMSPerMPairs is the attention cost of prefill per million pairs of a
	// token and an earlier token.
	AttentionMSPerMPairs float64
	// PrefillChunk is the maximum number of prompt tokens processed in one step.
	PrefillChunk int
	// ReportLag is the delay of the load that engines report.
	ReportLag time.Duration
	// LoadsPerSecond is the maximum rate of started model loads.
	// MaxConcurrentLoads is the number of loads that the weight store serves
	// concurrently at full speed.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// MeanPromptTokens and MeanAnswerTokens are the mean sizes of a request.
	MeanPromptTokens float64
	MeanAnswerTokens float64
	// MaxStagedModels is the number of models whose weights a host keeps.
	MaxStagedModels int
	// FormTime is the time from the forming of a group until it is open.
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

// Service is a named set of engines.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// ColdRequestsPerSecond is the maximum request rate of a cold engine; zero
	// means no limit.
	ColdRequestsPerSecond float64
	// Engine is set if the service's engines form groups, and nil if each engine
	// serves on its own.
	Engine *EngineSpec
}

// Tenant is a customer and its API keys.
type Tenant struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Config is one complete version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Tenants  []Tenant
	// MaxHeaderBytes and MaxBodyBytes limit the size of a client's request.
	MaxHeaderBytes int
	MaxBodyBytes   int

	// byHost maps a host to indexes into Routes, longest prefix first; byKey maps
	// an API key to an index into Tenants.
	byHost map[string][]int
	byKey  map[string]int
	// longestTimeout is the longest Timeout of a route.
	longestTimeout time.Duration
}

// LongestTimeout returns the longest time that a route lets a request wait, or 0 if
// no route limits it.
func (c *Config) LongestTimeout() time.Duration { return c.longestTimeout }

// DividesCapacity reports whether requests for a service may compete for its capacity:
// there are several tenants, or routes of different urgency for the service.
func (c *Config) DividesCapacity(service string) bool {
	if len(c.Tenants) > 1 {
		return true
	}
	first := -1
	for i := range c.Routes {
		r := &c.Routes[i]
		if !slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service }) {
			continue
		}
		if first >= 0 && r.Priority != c.Routes[first].Priority {
			return true
		}
		first = i
	}
	return false
}

// BuildIndex builds the indexes used by Route, Tenant and LongestTimeout. It must be called once
// before the configuration is shared between goroutines.
func (c *Config) BuildIndex() {
	c.byHost = make(map[string][]int)
	for i := range c.Routes {
		c.longestTimeout = max(c.longestTimeout, c.Routes[i].Timeout)
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

// Route returns the route of the host whose prefix is the longest match for path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, i := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, c.Routes[i].Prefix) {
			return &c.Routes[i], true
		}
	}
	return nil, false
}

// Tenant returns the tenant that owns the API key.
func (c *Config) Tenant(key string) (*Tenant, bool) {
	i, ok := c.byKey[key]
	if !ok {
		return nil, false
	}
	return &c.Tenants[i], true
}

// NeedsKey reports whether requests of the route must carry an API key.
func (c *Config) NeedsKey(r *Route) bool {
	return len(c.Tenants) > 0 && !r.Public
}
