package main

import (
	"encoding/json"
	"fmt"
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
}

const (
	host    = "orders.example"
	prefix  = "/orders/"
	service = "order-app"
)

// encode returns the record of the configuration.
func (c *configuration) encode() []byte {
	route := func(name, host, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": "idempotent", "service": service, "timeout_ms": 4000,
			"target_latency_ms": 300, "priority": 2, "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		}
	}
	routes := []any{route("orders", host, prefix)}
	for i := range c.idle {
		routes = append(routes, route(fmt.Sprintf("idle-%04d", i), fmt.Sprintf("idle-%04d.example", i), fmt.Sprintf("/idle-%04d/", i)))
	}
	var tenants []any
	for _, t := range c.tenants {
		tenants = append(tenants, map[string]any{"name": t.name, wireName("keys"): t.keys})
	}
	raw, _ := json.Marshal(map[string]any{
		"version": c.version, "routes": routes, "tenants": tenants,
		"services": []any{map[string]any{"name": service, "health_path": healthPath, "max_conns": 214}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
	return raw
}
