package bench

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"

	"github.com/ragwortquay/ragwortquay/internal/procs"
)

const (
	// largeDaemons is the largest number of daemons that one machine can run in this
	// experiment.
	largeDaemons = 120
	// streamConns is the number of token streams that are kept in flight.
	streamConns       = 32
	streamMeasureTime = 5 * time.Second
	shortStreamTokens = 20
	longStreamTokens  = 220
	// watchSettleTime is the time before the measurement, watchMeasureTime its length.
	watchSettleTime  = 5 * time.Second
	watchMeasureTime = 15 * time.Second
)

// watchSizes are the sizes, in VMs, of the pool that a home watches.
var watchSizes = []int{8, 32, 128}

// largeExperiment measures a daemon without requests in a large fleet, as a further
// point to check the slope of restExperiment.
func largeExperiment() Experiment {
	return Experiment{
		Name: "large", Summary: fmt.Sprintf("control cost of a daemon at rest among %d", largeDaemons),
		run: func(ctx context.Context, t *trial) ([]Figure, error) {
			c, err := t.measureCostAt(ctx, largeDaemons)
			return c.figures("at " + strconv.Itoa(largeDaemons)), err
		},
	}
}

// tokensExperiment measures a daemon's CPU time for a token and for the rest of a
// stream, from streams of two lengths.
func tokensExperiment() Experiment {
	return Experiment{Name: "tokens", Summary: "CPU time of a daemon for a request and for a token", run: runTokens}
}

func runTokens(ctx context.Context, t *trial) ([]Figure, error) {
	c, err := t.startCluster(ctx, procs.Options{
		Daemons: 3, FailureDomains: []string{"plateau"},
		Engines: []procs.Args{{"--count", "2", "--fabric-size", "2", "--cold-limit", "64", "--warm-limit", "64", "--step", "2ms", "--step-per", "0s", "--prefill", "2ms", "--prefill-hit", "2ms"}},
	}, engineTables(2, 2, 64, 64))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	p, err := waitUntilServing(ctx, c, "assistant", 1)
	if err != nil {
		return nil, err
	}
	_, other := homeAndOther(c, p)
	client := newCaller(other.CallersAddr, fmt.Sprintf("tokens-%d", t.seed))
	client.runClosedLoop(ctx, generateRequest("a quote", shortStreamTokens), streamConns, time.Second)
	short, shortRate := streamCost(ctx, other, client, shortStreamTokens)
	long, longRate := streamCost(ctx, other, client, longStreamTokens)
	token := (long - short) / (longStreamTokens - shortStreamTokens)
	return []Figure{
		{"CPU a token", "us", token},
		{"CPU a stream without its tokens", "us", short - token*shortStreamTokens},
		{"tokens, short streams", "tokens/s", shortRate},
		{"tokens, long streams", "tokens/s", longRate},
	}, nil
}

// streamCost returns the daemon's CPU time for a stream in microseconds, and the
// throughput in tokens per second.
func streamCost(ctx context.Context, d *procs.Daemon, client *caller, length int) (perStream, rate float64) {
	before, _, _ := d.Usage()
	start := time.Now()
	counts := client.runClosedLoop(ctx, generateRequest("a quote", length), streamConns, streamMeasureTime)
	after, _, _ := d.Usage()
	succeeded := float64(max(counts.succeeded, 1))
	return float64((after - before).Microseconds()) / succeeded, succeeded * float64(length) / time.Since(start).Seconds()
}

// watchingExperiment measures the resources that a pool's home uses for each VM that it
// watches.
func watchingExperiment() Experiment {
	return Experiment{Name: "watching", Summary: "CPU time and traffic of a pool's home for each VM that it watches", run: runWatching}
}

func runWatching(ctx context.Context, t *trial) ([]Figure, error) {
	var out []Figure
	var sizes, cpu, rss, traffic []float64
	for _, n := range watchSizes {
		c, err := t.measureHomeCost(ctx, n)
		if err != nil {
			return nil, err
		}
		at := fmt.Sprintf("home of %d VMs", n)
		sizes, cpu, rss, traffic = append(sizes, float64(n)), append(cpu, c.cpu), append(rss, c.rss), append(traffic, c.traffic())
		out = append(out, Figure{"CPU, " + at, "% of a core", c.cpu}, Figure{"RSS, " + at, "MB", c.rss}, Figure{"traffic, " + at, "KB/s", c.traffic()})
	}
	for _, f := range []struct {
		name, unit string
		values     []float64
	}{{"CPU a VM", "% of a core", cpu}, {"RSS a VM", "MB", rss}, {"traffic a VM", "KB/s", traffic}} {
		slope, _ := fitLine(sizes, f.values)
		out = append(out, Figure{f.name, f.unit, slope})
	}
	return out, nil
}

// measureHomeCost returns the cost of the home of a pool with the given number of VMs,
// in groups of groupSize.
func (t *trial) measureHomeCost(ctx context.Context, vms int) (daemonCost, error) {
	dir, err := t.subdir(vms)
	if err != nil {
		return daemonCost{}, err
	}
	c, err := t.startCluster(ctx, procs.Options{
		Daemons: 3, Dir: dir, FailureDomains: []string{"plateau"}, Weights: procs.Args{"--load", "20ms", "--concurrent", "32"},
		Engines: []procs.Args{{"--count", strconv.Itoa(vms), "--fabric-size", "8"}},
	}, engineTables(vms, groupSize, 32, 2))
	if err != nil {
		return daemonCost{}, err
	}
	defer c.Close()
	p, err := waitUntilServing(ctx, c, "assistant", vms/groupSize)
	if err != nil {
		return daemonCost{}, err
	}
	home, _ := homeAndOther(c, p)
	if !pause.For(ctx, watchSettleTime) {
		return daemonCost{}, ctx.Err()
	}
	before, err := readUsage(home)
	if err != nil {
		return daemonCost{}, err
	}
	pause.For(ctx, watchMeasureTime)
	after, err := readUsage(home)
	return meanCost([]usageReading{before}, []usageReading{after}), err
}
