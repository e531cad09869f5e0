package integration

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/engine"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
	"github.com/ragwortquay/ragwortquay/internal/standin/service"
)

// tables is what the tests' operators apply: a pool of engines in groups of two
// with a route for quotes, and a pool of plain services with a route for orders
// that run at most once and one for stock look-ups.
type tables struct {
	vms       int
	services  int
	withdrawn []string
	limit     int
	cold      int
	size      int
}

func (t tables) withDefaults() tables {
	if t.limit == 0 {
		t.limit = 8
	}
	if t.cold == 0 {
		t.cold = 2
	}
	if t.size == 0 {
		t.size = 2
	}
	return t
}

func (t tables) toml() string {
	t = t.withDefaults()
	var b strings.Builder
	if t.vms > 0 {
		fmt.Fprintf(&b, `[[pool]]
name = "assistant"
kind = "engine"
model = "drafter"
version = "1"
group_size = %d
vms = [%s]
withdrawn = [%s]
limit = %d
cold_limit = %d

[[route]]
name = "quotes"
workspaces = ["*"]
kinds = ["quote"]
pools = ["assistant"]
deadline = "20s"
idempotent = true
retries = 3
retry_budget = 1.0
`, t.size, names("vm", t.vms), quoted(t.withdrawn), t.limit, t.cold)
	}
	if t.services > 0 {
		fmt.Fprintf(&b, `
[[pool]]
name = "ledger"
kind = "service"
vms = [%s]
withdrawn = [%s]
limit = %d
cold_limit = %d

[[route]]
name = "orders"
workspaces = ["*"]
kinds = ["order"]
pools = ["ledger"]
deadline = "10s"
idempotent = false

[[route]]
name = "stock"
workspaces = ["*"]
kinds = ["stock"]
pools = ["ledger"]
deadline = "10s"
idempotent = true
retries = 3
retry_budget = 1.0
`, names("svc", t.services), quoted(t.withdrawn), t.limit, t.cold)
	}
	return b.String()
}

func names(prefix string, n int) string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s-%d", prefix, i))
	}
	return quoted(out)
}

func quoted(list []string) string {
	var out []string
	for _, s := range list {
		out = append(out, fmt.Sprintf("%q", s))
	}
	return strings.Join(out, ", ")
}

// services are the flags of a process of plain services.
func services(count string, more ...string) []procs.Args {
	return []procs.Args{append(procs.Args{"--count", count, "--prefix", "svc"}, more...)}
}

// act carries out a fault on VMs of a stand-in; no VM means all.
func act(t *testing.T, s *procs.Standin, a machines.Action, vms ...string) {
	t.Helper()
	must.NoError(t, s.Post("/v1/faults", machines.FaultRequest[engine.Faults]{VMs: vms, Action: a}))
}

// behave sets the lasting faults of engines.
func behave(t *testing.T, s *procs.Standin, b engine.Faults, vms ...string) {
	t.Helper()
	must.NoError(t, s.Post("/v1/faults", machines.FaultRequest[engine.Faults]{VMs: vms, Faults: &b}))
}

// behaveService sets the lasting faults of plain services.
func behaveService(t *testing.T, s *procs.Standin, b service.Faults, vms ...string) {
	t.Helper()
	must.NoError(t, s.Post("/v1/faults", machines.FaultRequest[service.Faults]{VMs: vms, Faults: &b}))
}
