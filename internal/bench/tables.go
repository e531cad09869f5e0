package bench

import (
	"fmt"
	"strings"
)

// workspace is the one whose callers the experiments play.
const workspace = "shops"

// serviceTables has a pool of plain services: look-ups may be repeated, orders not.
func serviceTables(vms, limit, cold int) string {
	return fmt.Sprintf(`
[[pool]]
name = "ledger"
kind = "service"
vms = [%s]
limit = %d
cold_limit = %d

[[route]]
name = "lookup"
workspaces = ["*"]
kinds = ["lookup"]
pools = ["ledger"]
deadline = "10s"
idempotent = true
retries = 2

[[route]]
name = "order"
workspaces = ["*"]
kinds = ["order"]
pools = ["ledger"]
deadline = "10s"
idempotent = false
`, names("svc", vms), limit, cold)
}

// engineTables has a pool of engines in groups of the given size.
func engineTables(vms, size, limit, cold int) string {
	return fmt.Sprintf(`
[[pool]]
name = "assistant"
kind = "engine"
model = "drafter"
version = "1"
group_size = %d
vms = [%s]
limit = %d
cold_limit = %d

[[route]]
name = "quote"
workspaces = ["*"]
kinds = ["quote"]
pools = ["assistant"]
deadline = "20s"
idempotent = true
retries = 2
`, size, names("vm", vms), limit, cold)
}

func names(prefix string, n int) string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%q", fmt.Sprintf("%s-%d", prefix, i))
	}
	return strings.Join(out, ", ")
}
