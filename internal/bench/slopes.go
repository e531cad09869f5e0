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
	// largeSize is the largest number of daemons that one machine carries here.
	largeSize = 120
	// streams is the number of token streams kept under way.
	streams     = 32
	streamsSpan = 5 * time.Second
	shortStream = 20
	longStream  = 220
	// watchSettle is the time before the measured span, watchSpan its length.
	watchSettle = 5 * time.Second
	watchSpan   = 15 * time.Second
)

// watchSizes are the numbers of VMs that a pool's home watches.
var watchSizes = []int{8, 32, 128}

// large measures a daemon at rest in a large fleet, as a further point of the
// slope that rest gives.
func large() Experiment {
	return Experiment{
		Name: "large", Summary: fmt.Sprintf("control cost of a daemon at rest among %d", largeSize),
		run: func(ctx context.Context, t *trial) ([]Figure, error) {
			c, err := t.costAt(ctx, largeSize)
			return c.figures("at " + strconv.Itoa(largeSize)), err
		},
	}
}

// tokens measures a daemon's CPU time for a token, from streams of two lengths.
func tokens() Experiment {
	return Experiment{Name: "tokens", Summary: "CPU time of a daemon for a request and for a token", run: runTokens}
}

func runTokens(ctx context.Context, t *trial) ([]Figure, error) {
	c, err := t.start(ctx, procs.Options{
		Daemons: 3, Domains: []string{"plateau"},
		Engines: []procs.Args{{"--count", "2", "--fabric-size", "2", "--cold-limit", "64", "--warm-limit", "64", "--step", "2ms", "--step-per", "0s", "--prefill", "2ms", "--prefill-hit", "2ms"}},
	}, engineTables(2, 2, 64, 64))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	p, err := settled(ctx, c, "assistant", 1)
	if err != nil {
		return nil, err
	}
	_, other := homeAndOther(c, p)
	w := newCaller(other.Callers, fmt.Sprintf("tokens-%d", t.seed))
	w.loop(ctx, generateCall("a quote", shortStream), streams, time.Second)
	short, rate := streamCost(ctx, other, w, shortStream)
	long, longRate := streamCost(ctx, other, w, longStream)
	token := (long - short) / (longStream - shortStream)
	return []Figure{
		{"CPU a token", "us", token},
		{"CPU a stream without its tokens", "us", short - token*shortStream},
		{"tokens, short streams", "tokens/s", rate},
		{"tokens, long streams", "tokens/s", longRate},
	}, nil
}

// streamCost returns the daemon's CPU time for a stream in microseconds, and
// the tokens per second that passed.
func streamCost(ctx context.Context, d *procs.Daemon, w *caller, length int) (perStream, rate float64) {
	before, _, _ := d.Usage()
	start := time.Now()
	n := w.loop(ctx, generateCall("a quote", length), streams, streamsSpan)
	after, _, _ := d.Usage()
	good := float64(max(n.good, 1))
	return float64((after - before).Microseconds()) / good, good * float64(length) / time.Since(start).Seconds()
}

// watching measures what a pool's home spends on the VMs that it watches.
func watching() Experiment {
	return Experiment{Name: "watching", Summary: "CPU time and traffic of a pool's home for each VM that it watches", run: runWatching}
}

func runWatching(ctx context.Context, t *trial) ([]Figure, error) {
	var out []Figure
	var sizes, cpu, rss, traffic []float64
	for _, n := range watchSizes {
		c, err := t.homeCost(ctx, n)
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
		slope, _ := line(sizes, f.values)
		out = append(out, Figure{f.name, f.unit, slope})
	}
	return out, nil
}

// homeCost returns the cost of the home of a pool of so many VMs in groups of
// four.
func (t *trial) homeCost(ctx context.Context, vms int) (cost, error) {
	dir, err := t.sub(vms)
	if err != nil {
		return cost{}, err
	}
	c, err := t.start(ctx, procs.Options{
		Daemons: 3, Dir: dir, Domains: []string{"plateau"}, Weights: procs.Args{"--load", "20ms", "--concurrent", "32"},
		Engines: []procs.Args{{"--count", strconv.Itoa(vms), "--fabric-size", "8"}},
	}, engineTables(vms, groupSize, 32, 2))
	if err != nil {
		return cost{}, err
	}
	defer c.Close()
	p, err := settled(ctx, c, "assistant", vms/groupSize)
	if err != nil {
		return cost{}, err
	}
	home, _ := homeAndOther(c, p)
	if !pause.For(ctx, watchSettle) {
		return cost{}, ctx.Err()
	}
	before, err := read(home)
	if err != nil {
		return cost{}, err
	}
	pause.For(ctx, watchSpan)
	after, err := read(home)
	return meanCost([]reading{before}, []reading{after}), err
}
