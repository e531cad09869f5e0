package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/procs"
)

// latencySamples is the number of requests on each way.
const latencySamples = 400

// latency compares the time to the first byte through a daemon with that of
// the same target asked directly, one request at a time, the ways in turn.
func latency() Experiment {
	return Experiment{
		Name: "latency", Summary: "added time to the first byte through a daemon",
		targets: []goal{
			atMost("service added, home", 1), atMost("service added, other", 1),
			atMost("engine added, home", 1), atMost("engine added, other", 1),
		},
		run: runLatency,
	}
}

func runLatency(ctx context.Context, t *trial) ([]Figure, error) {
	c, err := t.start(ctx, procs.Options{
		Daemons: 3, Domains: []string{"plateau"},
		Services: []procs.Args{{"--count", "1", "--prefix", "svc", "--work", "1ms", "--cold-limit", "64", "--warm-limit", "64"}},
		Engines:  []procs.Args{{"--count", "2", "--fabric-size", "2", "--cold-limit", "64", "--warm-limit", "64", "--prefill", "5ms", "--prefill-hit", "5ms", "--step", "2ms"}},
	}, serviceTables(1, 64, 64)+engineTables(2, 2, 64, 64))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	service, err := latencyOf(ctx, c, t, "service", "ledger", lookupCall())
	if err != nil {
		return nil, err
	}
	engine, err := latencyOf(ctx, c, t, "engine", "assistant", generateCall("a quote for underlay", 3))
	return append(service, engine...), err
}

// way is one of the ways to a target.
type way struct {
	name    string
	caller  *caller
	samples []float64 // milliseconds
}

func latencyOf(ctx context.Context, c *procs.Cluster, t *trial, label, pool string, k call) ([]Figure, error) {
	p, err := settled(ctx, c, pool, 1)
	if err != nil {
		return nil, err
	}
	home, other := homeAndOther(c, p)
	ways := []*way{
		{name: "direct", caller: newCaller(p.Replicas[0].Addr, fmt.Sprintf("%s-d-%d", label, t.seed))},
		{name: "home", caller: newCaller(home.Callers, fmt.Sprintf("%s-h-%d", label, t.seed))},
		{name: "other", caller: newCaller(other.Callers, fmt.Sprintf("%s-o-%d", label, t.seed))},
	}
	for range latencySamples {
		for _, w := range ways {
			first, _, err := w.caller.exchange(k)
			if err != nil {
				return nil, err
			}
			w.samples = append(w.samples, millis(first))
		}
	}
	return latencyFigures(label, ways), nil
}

func latencyFigures(label string, ways []*way) []Figure {
	var out []Figure
	for _, w := range ways {
		slices.Sort(w.samples)
		out = append(
			out,
			Figure{label + " " + w.name, "ms p50", quantile(w.samples, 0.5)},
			Figure{label + " " + w.name + " p99", "ms p99", quantile(w.samples, 0.99)},
		)
	}
	direct := quantile(ways[0].samples, 0.5)
	for _, w := range ways[1:] {
		out = append(out, Figure{label + " added, " + w.name, "ms p50", quantile(w.samples, 0.5) - direct})
	}
	return out
}

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }
