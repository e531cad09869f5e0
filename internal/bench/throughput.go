package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/procs"
)

const (
	// throughputConns is the number of requests kept under way.
	throughputConns = 64
	// throughputSpan is the time on each way, throughputWarmup that before it.
	throughputSpan   = 5 * time.Second
	throughputWarmup = time.Second
)

// throughput compares requests per second through one daemon with those of the
// same target asked directly.
func throughput() Experiment {
	return Experiment{
		Name: "throughput", Summary: "requests per second through one daemon against direct",
		targets: []goal{atLeast("ratio, home", 0.4), atLeast("ratio, other", 0.4)},
		run:     runThroughput,
	}
}

func runThroughput(ctx context.Context, t *trial) ([]Figure, error) {
	c, err := t.start(ctx, procs.Options{
		Daemons: 3, Domains: []string{"plateau"},
		Services: []procs.Args{{"--count", "1", "--prefix", "svc", "--work", "1ms", "--cold-limit", "256", "--warm-limit", "256"}},
	}, serviceTables(1, 256, 256))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	p, err := settled(ctx, c, "ledger", 1)
	if err != nil {
		return nil, err
	}
	home, other := homeAndOther(c, p)
	direct := rate(ctx, newCaller(p.Replicas[0].Addr, fmt.Sprintf("d-%d", t.seed)))
	out := direct.figures("direct")
	for _, w := range []struct {
		name   string
		daemon *procs.Daemon
	}{{"home", home}, {"other", other}} {
		cpu, _, _ := w.daemon.Usage()
		homeBefore, _, _ := home.Usage()
		r := rate(ctx, newCaller(w.daemon.Callers, fmt.Sprintf("%s-%d", w.name, t.seed)))
		after, _, _ := w.daemon.Usage()
		homeAfter, _, _ := home.Usage()
		out = append(out, r.figures(w.name)...)
		out = append(
			out,
			Figure{"ratio, " + w.name, "of direct", r.perSecond() / direct.perSecond()},
			Figure{"CPU a request, " + w.name, "us", r.each(after - cpu)},
			Figure{"CPU of the home a request, " + w.name, "us", r.each(homeAfter - homeBefore)},
		)
	}
	return out, nil
}

// measured is a rate over a span; all counts the warm-up's exchanges as well.
type measured struct {
	tally
	all  int64
	span time.Duration
}

func rate(ctx context.Context, c *caller) measured {
	warm := c.loop(ctx, lookupCall(), throughputConns, throughputWarmup)
	start := time.Now()
	t := c.loop(ctx, lookupCall(), throughputConns, throughputSpan)
	return measured{tally: t, all: warm.good + t.good, span: time.Since(start)}
}

// each is a CPU time divided by the exchanges, in microseconds.
func (m measured) each(cpu time.Duration) float64 {
	return float64(cpu.Microseconds()) / float64(max(m.all, 1))
}

func (m measured) perSecond() float64 { return float64(m.good) / m.span.Seconds() }

func (m measured) figures(name string) []Figure {
	return []Figure{{name, "requests/s", m.perSecond()}, {name + " failed", "requests", float64(m.failed)}}
}
