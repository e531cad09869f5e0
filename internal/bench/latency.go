package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/procs"
)

// latencySamples is the number of requests on each path.
const latencySamples = 400

// latencyExperiment compares the time to the first byte through a daemon with that of
// the same target called directly. One request is in flight at a time; the paths
// alternate, so that changes in machine load affect all of them.
func latencyExperiment() Experiment {
	return Experiment{
		Name: "latency", Summary: "added time to the first byte through a daemon",
		goals: []goal{
			atMost("service added, home", 1), atMost("service added, other", 1),
			atMost("engine added, home", 1), atMost("engine added, other", 1),
		},
		run: runLatency,
	}
}

func runLatency(ctx context.Context, t *trial) ([]Figure, error) {
	c, err := t.startCluster(ctx, procs.Options{
		Daemons: 3, FailureDomains: []string{"plateau"},
		Services: []procs.Args{{"--count", "1", "--prefix", "svc", "--work", "1ms", "--cold-limit", "64", "--warm-limit", "64"}},
		Engines:  []procs.Args{{"--count", "2", "--fabric-size", "2", "--cold-limit", "64", "--warm-limit", "64", "--prefill", "5ms", "--prefill-hit", "5ms", "--step", "2ms"}},
	}, serviceTables(1, 64, 64)+engineTables(2, 2, 64, 64))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	service, err := measureLatency(ctx, c, t, "service", "ledger", lookupRequest())
	if err != nil {
		return nil, err
	}
	engine, err := measureLatency(ctx, c, t, "engine", "assistant", generateRequest("a quote for underlay", 3))
	return append(service, engine...), err
}

// requestPath is a path to a target, directly or through a daemon, with its samples.
type requestPath struct {
	name    string
	caller  *caller
	samples []float64 // milliseconds
}

func measureLatency(ctx context.Context, c *procs.Cluster, t *trial, label, pool string, spec requestSpec) ([]Figure, error) {
	p, err := waitUntilServing(ctx, c, pool, 1)
	if err != nil {
		return nil, err
	}
	home, other := homeAndOther(c, p)
	paths := []*requestPath{
		{name: "direct", caller: newCaller(p.Replicas[0].Addr, fmt.Sprintf("%s-d-%d", label, t.seed))},
		{name: "home", caller: newCaller(home.CallersAddr, fmt.Sprintf("%s-h-%d", label, t.seed))},
		{name: "other", caller: newCaller(other.CallersAddr, fmt.Sprintf("%s-o-%d", label, t.seed))},
	}
	for range latencySamples {
		for _, path := range paths {
			first, _, err := path.caller.exchange(spec)
			if err != nil {
				return nil, err
			}
			path.samples = append(path.samples, millis(first))
		}
	}
	return latencyFigures(label, paths), nil
}

func latencyFigures(label string, paths []*requestPath) []Figure {
	var out []Figure
	for _, path := range paths {
		slices.Sort(path.samples)
		out = append(
			out,
			Figure{label + " " + path.name, "ms p50", quantile(path.samples, 0.5)},
			Figure{label + " " + path.name + " p99", "ms p99", quantile(path.samples, 0.99)},
		)
	}
	direct := quantile(paths[0].samples, 0.5)
	for _, path := range paths[1:] {
		out = append(out, Figure{label + " added, " + path.name, "ms p50", quantile(path.samples, 0.5) - direct})
	}
	return out
}

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }
