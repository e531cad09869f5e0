package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/procs"
)

const (
	// throughputConns is the number of requests that are kept in flight.
	throughputConns = 64
	// throughputMeasureTime is the length of the measurement on each path,
	// throughputWarmup the time before it.
	throughputMeasureTime = 5 * time.Second
	throughputWarmup      = time.Second
)

// throughputExperiment compares the requests per second through one daemon with those
// of the same target called directly.
func throughputExperiment() Experiment {
	return Experiment{
		Name: "throughput", Summary: "requests per second through one daemon against direct",
		goals: []goal{atLeast("ratio, home", 0.4), atLeast("ratio, other", 0.4)},
		run:   runThroughput,
	}
}

func runThroughput(ctx context.Context, t *trial) ([]Figure, error) {
	c, err := t.startCluster(ctx, procs.Options{
		Daemons: 3, FailureDomains: []string{"plateau"},
		Services: []procs.Args{{"--count", "1", "--prefix", "svc", "--work", "1ms", "--cold-limit", "256", "--warm-limit", "256"}},
	}, serviceTables(1, 256, 256))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	p, err := waitUntilServing(ctx, c, "ledger", 1)
	if err != nil {
		return nil, err
	}
	home, other := homeAndOther(c, p)
	direct := measureThroughput(ctx, newCaller(p.Replicas[0].Addr, fmt.Sprintf("d-%d", t.seed)))
	out := direct.figures("direct")
	for _, path := range []struct {
		name   string
		daemon *procs.Daemon
	}{{"home", home}, {"other", other}} {
		before, _, _ := path.daemon.Usage()
		homeBefore, _, _ := home.Usage()
		r := measureThroughput(ctx, newCaller(path.daemon.CallersAddr, fmt.Sprintf("%s-%d", path.name, t.seed)))
		after, _, _ := path.daemon.Usage()
		homeAfter, _, _ := home.Usage()
		out = append(out, r.figures(path.name)...)
		out = append(
			out,
			Figure{"ratio, " + path.name, "of direct", r.perSecond() / direct.perSecond()},
			Figure{"CPU a request, " + path.name, "us", r.perRequestUS(after - before)},
			Figure{"CPU of the home a request, " + path.name, "us", r.perRequestUS(homeAfter - homeBefore)},
		)
	}
	return out, nil
}

// throughputResult holds the exchanges of a measurement.
type throughputResult struct {
	loopCounts
	allSucceeded int64 // including the warm-up
	span         time.Duration
}

func measureThroughput(ctx context.Context, c *caller) throughputResult {
	warm := c.runClosedLoop(ctx, lookupRequest(), throughputConns, throughputWarmup)
	start := time.Now()
	t := c.runClosedLoop(ctx, lookupRequest(), throughputConns, throughputMeasureTime)
	return throughputResult{loopCounts: t, allSucceeded: warm.succeeded + t.succeeded, span: time.Since(start)}
}

// perRequestUS returns the CPU time for each exchange of warm-up and measurement, in
// microseconds.
func (r throughputResult) perRequestUS(cpu time.Duration) float64 {
	return float64(cpu.Microseconds()) / float64(max(r.allSucceeded, 1))
}

func (r throughputResult) perSecond() float64 { return float64(r.succeeded) / r.span.Seconds() }

func (r throughputResult) figures(name string) []Figure {
	return []Figure{{name, "requests/s", r.perSecond()}, {name + " failed", "requests", float64(r.failed)}}
}
