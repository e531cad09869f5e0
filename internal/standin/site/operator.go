package site

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// Routes, services and models of the configuration that PublishConfig writes.
const (
	RouteHost  = "shop.example"
	StreamPath = "/draft/1"
	// NonIdempotentPath is routed with at-most-once execution, IdempotentPath with
	// retries.
	NonIdempotentPath = "/book/1"
	IdempotentPath    = "/look/1"
	LargeModel        = "large"
	SmallModel        = "small"
	// LargeGroupSize and SmallGroupSize are the numbers of engines in a group of
	// LargeModel and SmallModel.
	LargeGroupSize = 4
	SmallGroupSize = 3
	// ModelService serves StreamPath, PlainService the other paths.
	ModelService = "llm"
	PlainService = "ledger"
)

// defaultMaxBodyBytes is the published limit of request bodies unless
// SetMaxBodyBytes sets another.
const defaultMaxBodyBytes = 1 << 20

// defaultMemoryMB is the memory of a daemon's machine unless its settings have
// another.
const defaultMemoryMB = 206

// PublishConfig writes a configuration with the given version and API keys to the
// store.
func (s *Store) PublishConfig(version int, apiKeys ...string) {
	s.PublishLargeConfig(version, 0, apiKeys...)
}

// PublishLargeConfig is like PublishConfig, with a number of routes that are not used; 500
// of them take about 120 KB. It returns the size of the record.
func (s *Store) PublishLargeConfig(version, unusedRoutes int, apiKeys ...string) int {
	s.mu.Lock()
	maxBody := cmp.Or(s.maxBodyBytes, defaultMaxBodyBytes)
	s.mu.Unlock()
	config := buildConfig(version, apiKeys, maxBody)
	routes, _ := config["routes"].([]any)
	for i := range unusedRoutes {
		routes = append(routes, route(fmt.Sprintf("unused-%d", i), fmt.Sprintf("/unused-%d/", i), "idempotent", PlainService, 5000, 3))
	}
	config["routes"] = routes
	raw, err := json.Marshal(config)
	if err != nil {
		panic(err) // can't happen: the configuration consists of basic types
	}
	s.Put("keyed.op", "config", raw)
	return len(raw)
}

// SetMaxBodyBytes sets the limit of request bodies in the configurations that are
// published from now on.
func (s *Store) SetMaxBodyBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxBodyBytes = n
}

func buildConfig(version int, keys []string, maxBody int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			route("draft", "/draft/", "stream", ModelService, 20_000, 2),
			route("book", "/book/", "non_idempotent", PlainService, 5000, 1),
			route("look", "/look/", "idempotent", PlainService, 5000, 3),
		},
		"services": []any{
			map[string]any{"name": ModelService, "health_path": "/healthz", "max_conns": 100, "cold_s": 0.0, "cold_per_s": 0.0, "engine": engineSpec()},
			map[string]any{"name": PlainService, "health_path": "/healthz", "max_conns": 100, "cold_s": 0.0, "cold_per_s": 0.0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody},
		"tenants": []any{map[string]any{"name": "tenant-1", "api_keys": keys}},
	}
}

func route(name, prefix, kind, service string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": RouteHost, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS,
		"target_latency_ms": 300, "target_gap_ms": 200, "priority": 1, "service": service,
		"max_attempts": attempts, "resumable": kind == "stream",
	}
}

func engineSpec() map[string]any {
	model := func(name string, size int) map[string]any {
		share := float64(size) / (LargeGroupSize + SmallGroupSize) // share of the engines that gives both models the same number of groups
		return map[string]any{"name": name, "size": size, "share": share, "pace": 1.0, "load_s": 1.0, "warm_s": 0.1}
	}
	return map[string]any{
		"slots": 8, "stride": 1, "models": []any{model(LargeModel, LargeGroupSize), model(SmallModel, SmallGroupSize)},
		"step_ms": 5.0, "read_per_s": 50000.0, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 4.0, "loads_at_once": 6,
		"usual": map[string]any{"prompt": 100, "answer": 10}, "keeps": 1, "form_ms": 10.0,
	}
}

// DaemonSettings are the values of a daemon's settings file that differ between
// daemons and tests.
type DaemonSettings struct {
	NodeName, Zone, IP string
	// FrontPort serves clients, ReadyPort health checks, MeshPort other daemons.
	FrontPort, ReadyPort, MeshPort int
	// StoreAddr is the store's address as seen from the daemon's machine.
	StoreAddr  string
	FirstStart bool
	// ConfigApplyMS, RevokeMS, StallMS and GraceS are the bounds of the same names;
	// GraceS is in seconds, the others in milliseconds.
	ConfigApplyMS, RevokeMS, StallMS, GraceS int
	// MemoryMB is the memory of the machine, by default defaultMemoryMB. MaxFDs is
	// the most descriptors that the process may have; 0 for no limit.
	MemoryMB, MaxFDs int
}

// YAML returns the content of the settings file.
func (m *DaemonSettings) YAML() []byte {
	return fmt.Appendf(nil, `node_name: %q
zone: %q
ip: %q
listen: {front: "%s:%d", ready: "%s:%d"}
internal_ports: [%d]
limits: {memory_mb: %d, max_fds: %d, cpu_share: 1.0, cpu_cores: 1, link_mbps: 700.0}
first_start: %t
heartbeat_ms: 400
bounds: {grace_s: %d, config_apply_ms: %d, strict_revoke: true, revoke_ms: %d, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 100, stall_ms: %d}
platform: {address: %q, min_ttl_ms: 1000}
`, m.NodeName, m.Zone, m.IP, m.IP, m.FrontPort, m.IP, m.ReadyPort, m.MeshPort, cmp.Or(m.MemoryMB, defaultMemoryMB), m.MaxFDs, m.FirstStart, m.GraceS, m.ConfigApplyMS, m.RevokeMS, m.StallMS, m.StoreAddr)
}
