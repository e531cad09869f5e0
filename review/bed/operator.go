package main

import (
	"encoding/json"
)

const healthPath = "/healthz"

// tenant is a customer of a configuration.
type tenant struct {
	name string
	keys []string
}

// configuration is what the operator writes.
type configuration struct {
	version int
	// idle is the number of routes beside the one in use.
	idle    int
	tenants []tenant
	// target is the service of the route in use; empty for the first one.
	target string
	// public is set if the route in use needs no key.
	public bool
	// kind is that of the route in use, idempotent by default.
	kind string
}

const (
	host    = "orders.example"
	prefix  = "/orders/"
	service = "order-app"
	// other is the service to which the route in use may move.
	other = "order-app-2"
)

// encode returns the record of the configuration.
func (c *configuration) encode() []byte {
	target := service
	if c.target != "" {
		target = c.target
	}
	route := func(name, host, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": "idempotent", "service": target, "timeout_ms": 4000,
			"target_latency_ms": 300, "priority": 2, "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		}
	}
	used := route("orders", host, prefix)
	used["public"] = c.public
	if c.kind != "" {
		used["kind"] = c.kind
	}
	routes := []any{used}
	for i := range c.idle {
		routes = append(routes, route("r-"+word(3*i, 7), word(3*i+1, 6)+".example", "/"+word(3*i+2, 7)+"/"+word(3*i+2, 4)+"/"))
	}
	var tenants []any
	for _, t := range c.tenants {
		tenants = append(tenants, map[string]any{"name": t.name, wireName("keys"): t.keys})
	}
	raw, _ := json.Marshal(map[string]any{
		"version": c.version, "routes": routes, "tenants": tenants,
		"services": []any{
			map[string]any{"name": service, "health_path": healthPath, "max_conns": 214},
			map[string]any{"name": other, "health_path": healthPath, "max_conns": 214},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
	return raw
}

// word returns a name of n letters and digits that looks drawn, as the names of routes and
// hosts are, and depends on its number only.
func word(number, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	out, state := make([]byte, n), uint64(number)*0x9e3779b97f4a7c15+1
	for i := range out {
		state = state*6364136223846793005 + 1442695040888963407
		out[i] = letters[state>>33%uint64(len(letters))]
	}
	return string(out)
}
