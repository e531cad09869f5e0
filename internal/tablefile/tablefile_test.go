package tablefile

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

const sample = `
[[pool]]
name = "assistant"
kind = "engine"
model = "drafts"
version = "7"
group_size = 2
vms = ["a1", "a2"]
limit = 32

[[pool]]
name = "orders"
kind = "service"
vms = ["s1"]
limit = 4

[[route]]
name = "quotes"
workspaces = ["*"]
kinds = ["quote"]
pools = ["assistant"]
deadline = "20s"

[[route]]
name = "confirm"
workspaces = ["shops"]
kinds = ["order"]
pools = ["orders"]
retry_budget = 0.0
`

func TestParseFillsInDefaults(t *testing.T) {
	f, err := Parse("t.toml", []byte(sample))
	must.NoError(t, err)
	must.Eq(t, 4, f.Pools[0].Row().ColdLimit)
	must.Eq(t, 1, f.Pools[1].Row().ColdLimit)
	must.Eq(t, 1, f.Pools[1].Row().GroupSize)
	must.Eq(t, 20*time.Second, f.Routes[0].Row().Deadline)
	must.Eq(t, defaultRetryBudget, f.Routes[0].Row().RetryBudget)
	must.Eq(t, table.DefaultDeadline, f.Routes[1].Row().Deadline)
	must.Eq(t, 0, f.Routes[1].Row().RetryBudget)
	must.False(t, f.Routes[1].Row().Idempotent)
}

func TestParseReportsAllErrorsWithLines(t *testing.T) {
	const file = `[[pool]]
name = "p"
kind = "enigne"
group_size = 1
vms = ["a", "a"]
limit = 0
[[pool]]
name = "p"
kind = "service"
vms = []
limit = 1
[[route]]
name = "r"
workspaces = ["*"]
pools = ["p"]
priority = 12
`
	_, err := Parse("t.toml", []byte(file))
	for _, want := range []string{
		"t.toml:3: pool.kind", "t.toml:5: pool.vms", "t.toml:6: pool.limit", "t.toml:8: pool.name",
		"t.toml:12: route.kinds", "t.toml:16: route.priority",
	} {
		must.ErrorContains(t, err, want)
	}
	must.True(t, fault.Is(err, fault.BadInput))

	_, err = Parse("t.toml", []byte("[[pool]]\nnmae = \"p\"\n[[route]]\ndeadline = \"soon\"\n"))
	must.ErrorContains(t, err, "t.toml:2: pool.nmae")
	must.ErrorContains(t, err, "t.toml:4")
	_, err = Parse("t.toml", nil)
	must.ErrorContains(t, err, "no rows")
}

func TestFormatRoundTrip(t *testing.T) {
	f, err := Parse("t.toml", []byte(sample))
	must.NoError(t, err)
	var full File
	for _, p := range f.Pools {
		full.Pools = append(full.Pools, FromPool(p.Row()))
	}
	for _, r := range f.Routes {
		full.Routes = append(full.Routes, FromRoute(r.Row()))
	}
	text, err := Format(full)
	must.NoError(t, err)
	again, err := Parse("printed", text)
	must.NoError(t, err)
	must.Eq(t, full, again)
	must.SliceEmpty(t, Diff(f, again))
}

func TestDiff(t *testing.T) {
	current, err := Parse("t.toml", []byte(sample))
	must.NoError(t, err)
	desired, err := Parse("t.toml", []byte(sample))
	must.NoError(t, err)
	desired.Pools[0].Withdrawn = []string{"plateau"}
	desired.Routes = desired.Routes[:1]
	must.Eq(t, []RowDiff{
		{Name: "pool/assistant", Fields: []table.FieldChange{{Field: "withdrawn", New: "plateau"}}},
		{Name: "route/confirm", Missing: true},
	}, Diff(current, desired))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("[[pool]]\nname = 1\nx = [[\n"))
	f.Add([]byte("pool = [{name = \"p\"}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse("f", data)
		if err != nil {
			return
		}
		text, err := Format(file)
		must.NoError(t, err)
		again, err := Parse("printed", text)
		must.NoError(t, err)
		must.SliceEmpty(t, Diff(file, again))
	})
}
