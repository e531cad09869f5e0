package bench

import (
	"fmt"
	"strings"
)

// workspace is the workspace of the experiments' callers.
const workspace = "shops"

// serviceTables returns tables with a pool of plain services and two routes: lookup is
// idempotent, order is not.
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
`, quotedNames("svc", vms), limit, cold)
}

// engineTables returns tables with a pool of engines in groups of the given size, and a
// route to it.
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
`, size, quotedNames("vm", vms), limit, cold)
}

func quotedNames(prefix string, n int) string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%q", fmt.Sprintf("%s-%d", prefix, i))
	}
	return strings.Join(out, ", ")
}
