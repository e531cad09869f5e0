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

// testTables describes the tables that the tests apply: a pool of engines with an
// idempotent route for quotes, and a pool of plain services with a non-idempotent route
// for orders and an idempotent one for stock look-ups. Zero fields mean no pool (vms,
// services) or the value of withDefaults.
type testTables struct {
	vms       int
	services  int
	withdrawn []string
	limit     int
	coldLimit int
	groupSize int
}

func (t testTables) withDefaults() testTables {
	if t.limit == 0 {
		t.limit = 8
	}
	if t.coldLimit == 0 {
		t.coldLimit = 2
	}
	if t.groupSize == 0 {
		t.groupSize = 2
	}
	return t
}

// toml returns the table file.
func (t testTables) toml() string {
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
`, t.groupSize, vmNames("vm", t.vms), quotedList(t.withdrawn), t.limit, t.coldLimit)
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
`, vmNames("svc", t.services), quotedList(t.withdrawn), t.limit, t.coldLimit)
	}
	return b.String()
}

// vmNames returns a TOML list of n VM names that start with prefix.
func vmNames(prefix string, n int) string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s-%d", prefix, i))
	}
	return quotedList(out)
}

// quotedList returns the items of a TOML list of strings.
func quotedList(list []string) string {
	var out []string
	for _, s := range list {
		out = append(out, fmt.Sprintf("%q", s))
	}
	return strings.Join(out, ", ")
}

// serviceArgs returns the flags of one process of plain services.
func serviceArgs(count string, more ...string) []procs.Args {
	return []procs.Args{append(procs.Args{"--count", count, "--prefix", "svc"}, more...)}
}

// injectAction applies an action, such as a kill, to VMs of a stand-in; no VM means
// all.
func injectAction(t *testing.T, s *procs.Standin, a machines.Action, vms ...string) {
	t.Helper()
	must.NoError(t, s.Post("/v1/faults", machines.FaultRequest[engine.Faults]{VMs: vms, Action: a}))
}

// setEngineFaults sets the faults of engines; no VM means all.
func setEngineFaults(t *testing.T, s *procs.Standin, f engine.Faults, vms ...string) {
	t.Helper()
	must.NoError(t, s.Post("/v1/faults", machines.FaultRequest[engine.Faults]{VMs: vms, Faults: &f}))
}

// setServiceFaults sets the faults of plain services; no VM means all.
func setServiceFaults(t *testing.T, s *procs.Standin, f service.Faults, vms ...string) {
	t.Helper()
	must.NoError(t, s.Post("/v1/faults", machines.FaultRequest[service.Faults]{VMs: vms, Faults: &f}))
}
