package demo

// demoTables is the pool and the route that the demonstration applies.
const demoTables = `[[pool]]
name = "assistant"
kind = "engine"
model = "drafter"
version = "1"
group_size = 2
vms = ["vm-1", "vm-2", "vm-3", "vm-4"]
limit = 8
cold_limit = 2

[[route]]
name = "quotes"
workspaces = ["counter"]
kinds = ["quote"]
pools = ["assistant"]
deadline = "20s"
idempotent = true
retries = 2
`
