package load

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/auth"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/tablefile"
)

const samplePlan = `
name = "p"
seed = 7
duration = "100s"
warmup = "10s"

[[workspace]]
name = "big"
token = "t1"
weight = 9

[[workspace]]
name = "small"
token = "t2"
weight = 1

[[kind]]
name = "quote"
rate = 20
prefixes = 3
prefix_bytes = 64
body_bytes = 100
min_tokens = 5
max_tokens = 9
in_time = "1s"
first_token = "200ms"

[[kind]]
name = "order"
form = "call"
path = "/orders"
workspaces = ["small"]
rate = 5
keyed = 1
resend = 0.5
resend_after = "30ms"
from = "20s"
until = "60s"
`

func parse(t *testing.T, text string) *Plan {
	t.Helper()
	p, err := ParsePlan("p.toml", []byte(text))
	must.NoError(t, err)
	return &p
}

func TestSamePlanAndSeedGiveTheSameRequests(t *testing.T) {
	a := slices.Collect(parse(t, samplePlan).Arrivals())
	b := slices.Collect(parse(t, samplePlan).Arrivals())
	other := slices.Collect(parse(t, strings.Replace(samplePlan, "seed = 7", "seed = 8", 1)).Arrivals())
	must.Eq(t, a, b)
	must.NotEq(t, a[0].At, other[0].At)
}

func TestChangedKindKeepsOtherKindsArrivals(t *testing.T) {
	quotes := func(text string) []Arrival {
		all := slices.Collect(parse(t, text).Arrivals())
		return slices.DeleteFunc(all, func(a Arrival) bool { return a.Kind.Name != "quote" })
	}
	must.Eq(t, quotes(samplePlan), quotes(strings.Replace(samplePlan, "rate = 5", "rate = 50", 1)))
}

func TestArrivalsMatchPlan(t *testing.T) {
	p := parse(t, samplePlan)
	all := slices.Collect(p.Arrivals())
	must.True(t, slices.IsSortedFunc(all, func(a, b Arrival) int { return int(a.At - b.At) }))
	quotes, big, orders, resent := 0, 0, 0, 0
	originals := map[string]Arrival{}
	for _, a := range all {
		switch {
		case a.Kind.Name == "quote":
			quotes++
			must.Between(t, 5, a.Tokens, 9)
			must.Eq(t, 64+100, len(a.Payload))
			must.Eq(t, "", a.Key)
			if a.Workspace.Name == "big" {
				big++
			}
		case a.OriginalID != "":
			resent++
			first := originals[a.OriginalID]
			must.Eq(t, first.Key, a.Key)
			must.Eq(t, first.At, a.IssuedAt)
			must.Eq(t, first.At+30*time.Millisecond, a.At)
			must.Eq(t, first.Payload, a.Payload)
		default:
			orders++
			originals[a.ID] = a
			must.Eq(t, "small", a.Workspace.Name)
			must.Between(t, 20*time.Second, a.At, 60*time.Second)
			must.NotEq(t, "", a.Key)
		}
	}
	// The counts are random but seeded, thus the same in each run; the bounds are wide.
	must.Between(t, 1800, quotes, 2200)
	must.Between(t, quotes*85/100, big, quotes*95/100)
	must.Between(t, 150, orders, 250)
	must.Between(t, orders*35/100, resent, orders*65/100)
}

func TestPlanErrorsNameField(t *testing.T) {
	tests := []struct{ name, old, with, field string }{
		{"unknown key", "warmup =", "warm =", "warm"},
		{"wrong type", "rate = 20", `rate = "fast"`, "rate"},
		{"no name", `name = "p"`, "", "name"},
		{"ratio above one", "keyed = 1", "keyed = 1.5", "kind[1].keyed"},
		{"unknown workspace", `["small"]`, `["tiny"]`, "kind[1].workspaces"},
		{"tokens out of order", "max_tokens = 9", "max_tokens = 4", "kind[0].max_tokens"},
		{"unknown form", `form = "call"`, `form = "shout"`, "kind[1].form"},
		{"warm-up too long", `warmup = "10s"`, `warmup = "200s"`, "warmup"},
		{"edit without a name", "[[workspace]]", "[[event]]\npools=['p']\n[[workspace]]", "event[0].name"},
		{"event without a server", "[[workspace]]", "[[event]]\nname='e'\npath='/x'\n[[workspace]]", "event[0].server"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			must.StrContains(t, samplePlan, tc.old)
			_, err := ParsePlan("p.toml", []byte(strings.Replace(samplePlan, tc.old, tc.with, 1)))
			var f *fault.Error
			must.True(t, errors.As(err, &f))
			must.Eq(t, fault.BadInput, f.Kind)
			must.StrContains(t, err.Error(), tc.field)
		})
	}
}

func TestShippedPlansMatchTablesAndTokens(t *testing.T) {
	files, err := filepath.Glob("../../plans/*.toml")
	must.NoError(t, err)
	must.Len(t, 2, files)
	for _, f := range files {
		p, err := ReadPlan(f)
		must.NoError(t, err)
		must.Positive(t, len(slices.Collect(p.Arrivals())))
		tokens, err := auth.OpenTokens(sibling(f, "tokens"))
		must.NoError(t, err)
		for _, w := range p.Workspaces {
			name, ok := tokens.Workspace(w.Token)
			must.True(t, ok)
			must.Eq(t, w.Name, name)
		}
		data, err := os.ReadFile(sibling(f, "tables"))
		must.NoError(t, err)
		tables, err := tablefile.Parse(f, data)
		must.NoError(t, err)
		for _, k := range p.Kinds {
			i := slices.IndexFunc(tables.Routes, func(r tablefile.Route) bool { return slices.Contains(r.Kinds, k.Kind) })
			must.NonNegative(t, i, must.Sprint(k.Name))
			must.Eq(t, k.KeyedRatio == 0, tables.Routes[i].Idempotent)
		}
	}
}

// sibling returns the path of the file in directory dir that belongs to the plan.
func sibling(plan, dir string) string {
	return filepath.Join(filepath.Dir(plan), dir, filepath.Base(plan))
}

func TestLatencyIsMeasuredFromPlannedArrival(t *testing.T) {
	p := parse(t, samplePlan)
	r := NewRecorder(p)
	a := Arrival{At: 20 * time.Second, Kind: &p.Kinds[0], Workspace: &p.Workspaces[0]}
	// The sender was delayed by 3 s; the response took 100 ms from the time of sending.
	r.Record(Observation{
		Arrival: a, Class: Answered, SentAt: 23 * time.Second,
		FirstTokenAt: 23*time.Second + 50*time.Millisecond, DoneAt: 23*time.Second + 100*time.Millisecond,
	})
	got := r.Result()
	must.Eq(t, 0, got.Kinds[0].InTime)
	must.InDelta(t, 3100, got.Kinds[0].ResponseTime.P50, 10)
	must.InDelta(t, 3050, got.Kinds[0].FirstToken.P50, 10)
	must.InDelta(t, 3000, got.SendLag.P50, 10)
	must.InDelta(t, 100, got.Kinds[0].ResponseTimeFromSend.P50, 1)
	must.InDelta(t, 50, got.Kinds[0].FirstTokenFromSend.P50, 1)
	must.Eq(t, 1, got.Timeline[20].Late)
}

func TestRecorderCounts(t *testing.T) {
	p := parse(t, samplePlan)
	r := NewRecorder(p)
	for i, class := range []Class{Answered, Replayed, NotRun, Unknown, Failed, Truncated, Unreachable, Wrong} {
		for _, at := range []time.Duration{5 * time.Second, 30 * time.Second} { // the first time is within the warm-up
			a := Arrival{At: at, ID: fmt.Sprint(i), Kind: &p.Kinds[0], Workspace: &p.Workspaces[1]}
			r.Record(Observation{
				Arrival: a, Class: class, Reason: "why", SentAt: at, FirstTokenAt: at + time.Millisecond, DoneAt: at + time.Second/2,
				TokenGaps: []time.Duration{10 * time.Millisecond, 20 * time.Millisecond},
			})
		}
	}
	got := r.Result()
	for _, breakdown := range []Breakdown{got.Kinds[0], got.Workspaces[1]} {
		must.Eq(t, 8, breakdown.Offered)
		must.Eq(t, 2, breakdown.InTime)
		must.Eq(t, 0.25, breakdown.InTimeRatio)
		must.Eq(t, 8, breakdown.FirstTokensInTime)
		must.Eq(t, 1, breakdown.CountOf(Wrong))
		must.Eq(t, []Count{{"why", 8}}, breakdown.Reasons)
		must.Eq(t, 4, breakdown.BetweenTokens.Count)
	}
	must.Eq(t, Second{At: 5, Offered: 8, InTime: 2, NotRun: 1, Unknown: 1, Failures: 4}, got.Timeline[5])
	var out bytes.Buffer
	must.NoError(t, got.WriteSummary(&out))
	must.StrContains(t, out.String(), "quote")
}

func TestGroupMeter(t *testing.T) {
	complete := []VMSample{{"a", 5, true, true}, {"b", 5, true, true}}
	incomplete := []VMSample{{"a", 5, true, true}, {"b", 5, true, false}}
	loading := []VMSample{{"a", 6, true, true}, {"b", 6, false, true}}
	m := NewGroupMeter(GroupCriteria{Size: 2})
	for i, vms := range [][]VMSample{complete, complete, incomplete, loading, complete} {
		m.Add(time.Duration(i)*time.Second, vms)
	}
	must.Eq(t, GroupResult{Samples: 5, Expected: 1, SpanS: 4, DowntimeS: 2, StrandedS: 3}, m.Result())
}
