package bench

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/procs"
)

const (
	// restSettleTime is the time before the measurement. Daemons send more to each
	// other for half a minute after a start.
	restSettleTime = 40 * time.Second
	// restMeasureTime is the length of the measurement.
	restMeasureTime = 20 * time.Second
	// extrapolatedDaemons is the fleet size to which costs are extrapolated.
	extrapolatedDaemons = 350
)

// restSizes are the numbers of daemons at which costs are measured.
var restSizes = []int{3, 15, 45}

// restExperiment measures the resources that a daemon uses without any requests.
func restExperiment() Experiment {
	return Experiment{
		Name: "rest", Summary: "control cost of a daemon at rest, and its slope",
		goals: []goal{
			atMost("CPU at 15", 1.2), atMost("RSS at 15", 64), atMost("traffic at 15", 2),
			atMost("CPU at 350, by the slope", 1.2), atMost("RSS at 350, by the slope", 64), atMost("gossip at 350, by the slope", 2),
		},
		run: runRest,
	}
}

// daemonCost is the resource usage of one daemon.
type daemonCost struct {
	cpu      float64 // percentage of a core
	rss      float64 // MB
	gossip   float64 // KB/s over UDP
	peers    float64 // KB/s over TCP between daemons
	platform float64 // KB/s over other connections, which lead to the platform
}

func (c daemonCost) traffic() float64 { return c.gossip + c.peers + c.platform }

func runRest(ctx context.Context, t *trial) ([]Figure, error) {
	var out []Figure
	var sizes []float64
	var costs []daemonCost
	for _, n := range restSizes {
		c, err := t.measureCostAt(ctx, n)
		if err != nil {
			return nil, err
		}
		sizes, costs = append(sizes, float64(n)), append(costs, c)
		out = append(out, c.figures(fmt.Sprintf("at %d", n))...)
	}
	return append(out, extrapolatedFigures(sizes, costs)...), nil
}

func (c daemonCost) figures(at string) []Figure {
	return []Figure{
		{"CPU " + at, "% of a core", c.cpu},
		{"RSS " + at, "MB", c.rss},
		{"traffic " + at, "KB/s", c.traffic()},
		{"gossip " + at, "KB/s", c.gossip},
		{"peers " + at, "KB/s", c.peers},
		{"platform " + at, "KB/s", c.platform},
	}
}

// extrapolatedFigures fits costs by least squares and extrapolates them to
// extrapolatedDaemons. The platform's traffic is left out: it falls with the number of
// daemons, because they share a budget of reads.
func extrapolatedFigures(sizes []float64, costs []daemonCost) []Figure {
	figuresOf := func(name, unit string, value func(daemonCost) float64) []Figure {
		values := make([]float64, len(costs))
		for i, c := range costs {
			values[i] = value(c)
		}
		slope, intercept := fitLine(sizes, values)
		return []Figure{
			{name + " slope", unit + " a daemon", slope},
			{name + " at " + strconv.Itoa(extrapolatedDaemons) + ", by the slope", unit, intercept + slope*extrapolatedDaemons},
		}
	}
	return slices.Concat(
		figuresOf("CPU", "% of a core", func(c daemonCost) float64 { return c.cpu }),
		figuresOf("RSS", "MB", func(c daemonCost) float64 { return c.rss }),
		figuresOf("gossip", "KB/s", func(c daemonCost) float64 { return c.gossip }),
	)
}

// fitLine fits a straight line by least squares.
func fitLine(x, y []float64) (slope, intercept float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// measureCostAt returns the mean cost of a daemon in a cluster of n daemons without
// requests.
func (t *trial) measureCostAt(ctx context.Context, n int) (daemonCost, error) {
	dir, err := t.subdir(n)
	if err != nil {
		return daemonCost{}, err
	}
	c, err := t.startCluster(ctx, procs.Options{Daemons: n, Dir: dir}, "")
	if err != nil {
		return daemonCost{}, err
	}
	defer c.Close()
	if !pause.For(ctx, restSettleTime) {
		return daemonCost{}, ctx.Err()
	}
	before, err := readAllUsage(c)
	if err != nil {
		return daemonCost{}, err
	}
	pause.For(ctx, restMeasureTime)
	after, err := readAllUsage(c)
	if err != nil {
		return daemonCost{}, err
	}
	return meanCost(before, after), ctx.Err()
}

// usageReading is a reading of a daemon's resource usage. All values except rss count
// from the start of the daemon.
type usageReading struct {
	at                 time.Time
	cpu                time.Duration
	rss                int64
	gossip, peers, all float64 // bytes
}

func readAllUsage(c *procs.Cluster) ([]usageReading, error) {
	out := make([]usageReading, len(c.Daemons))
	var g errgroup.Group
	for i, d := range c.Daemons {
		g.Go(func() (err error) {
			out[i], err = readUsage(d)
			return err
		})
	}
	return out, g.Wait()
}

func readUsage(d *procs.Daemon) (usageReading, error) {
	m, err := d.Metrics()
	if err != nil {
		return usageReading{}, err
	}
	r := usageReading{
		at:     time.Now(),
		gossip: m["ragwortquay_gossip_received_bytes"] + m["ragwortquay_gossip_sent_bytes"],
		peers:  m["ragwortquay_peers_received_bytes"] + m["ragwortquay_peers_sent_bytes"],
	}
	if r.cpu, r.rss, err = d.Usage(); err != nil {
		return r, err
	}
	in, out, err := d.IOBytes()
	r.all = float64(in + out)
	return r, err
}

func meanCost(before, after []usageReading) daemonCost {
	var c daemonCost
	n := float64(len(before))
	const kilo, mega = 1 << 10, 1 << 20
	for i, b := range before {
		a := after[i]
		span := a.at.Sub(b.at).Seconds()
		c.cpu += 100 * (a.cpu - b.cpu).Seconds() / span / n
		c.rss += float64(a.rss) / mega / n
		c.gossip += (a.gossip - b.gossip) / kilo / span / n
		c.peers += (a.peers - b.peers) / kilo / span / n
		c.platform += (a.all - b.all - (a.peers - b.peers)) / kilo / span / n
	}
	return c
}
