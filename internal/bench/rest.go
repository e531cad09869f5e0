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
	// restSettle is the time before the measured span, restSpan its length.
	// Daemons pass on more for half a minute after a start.
	restSettle = 40 * time.Second
	restSpan   = 20 * time.Second
	// fleetSize is the number of daemons that the slope is carried on to.
	fleetSize = 350
)

// restSizes are the numbers of daemons that are measured.
var restSizes = []int{3, 15, 45}

// rest measures what a daemon spends while nobody asks anything of it.
func rest() Experiment {
	return Experiment{
		Name: "rest", Summary: "control cost of a daemon at rest, and its slope",
		targets: []goal{
			atMost("CPU at 15", 1.2), atMost("RSS at 15", 64), atMost("traffic at 15", 2),
			atMost("CPU at 350, by the slope", 1.2), atMost("RSS at 350, by the slope", 64), atMost("gossip at 350, by the slope", 2),
		},
		run: runRest,
	}
}

// cost is what one daemon spends.
type cost struct {
	cpu    float64 // per cent of a core
	rss    float64 // MB
	gossip float64 // KB/s over UDP
	peers  float64 // KB/s over TCP between daemons
	others float64 // KB/s by other connections: the platform's
}

func (c cost) traffic() float64 { return c.gossip + c.peers + c.others }

func runRest(ctx context.Context, t *trial) ([]Figure, error) {
	var out []Figure
	var sizes []float64
	var costs []cost
	for _, n := range restSizes {
		c, err := t.costAt(ctx, n)
		if err != nil {
			return nil, err
		}
		sizes, costs = append(sizes, float64(n)), append(costs, c)
		out = append(out, c.figures(fmt.Sprintf("at %d", n))...)
	}
	return append(out, extrapolated(sizes, costs)...), nil
}

func (c cost) figures(at string) []Figure {
	return []Figure{
		{"CPU " + at, "% of a core", c.cpu},
		{"RSS " + at, "MB", c.rss},
		{"traffic " + at, "KB/s", c.traffic()},
		{"gossip " + at, "KB/s", c.gossip},
		{"peers " + at, "KB/s", c.peers},
		{"platform " + at, "KB/s", c.others},
	}
}

// extrapolated carries the slope by least squares on to the fleet's size. The
// platform's share is left out: it falls with the number of daemons, which
// share a budget of reads.
func extrapolated(sizes []float64, costs []cost) []Figure {
	at := func(name, unit string, of func(cost) float64) []Figure {
		values := make([]float64, len(costs))
		for i, c := range costs {
			values[i] = of(c)
		}
		slope, base := line(sizes, values)
		return []Figure{
			{name + " slope", unit + " a daemon", slope},
			{name + " at " + strconv.Itoa(fleetSize) + ", by the slope", unit, base + slope*fleetSize},
		}
	}
	return slices.Concat(
		at("CPU", "% of a core", func(c cost) float64 { return c.cpu }),
		at("RSS", "MB", func(c cost) float64 { return c.rss }),
		at("gossip", "KB/s", func(c cost) float64 { return c.gossip }),
	)
}

// line fits a straight line.
func line(x, y []float64) (slope, base float64) {
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

// costAt returns the mean cost of a daemon among n.
func (t *trial) costAt(ctx context.Context, n int) (cost, error) {
	dir, err := t.sub(n)
	if err != nil {
		return cost{}, err
	}
	c, err := t.start(ctx, procs.Options{Daemons: n, Dir: dir}, "")
	if err != nil {
		return cost{}, err
	}
	defer c.Close()
	if !pause.For(ctx, restSettle) {
		return cost{}, ctx.Err()
	}
	before, err := readings(c)
	if err != nil {
		return cost{}, err
	}
	pause.For(ctx, restSpan)
	after, err := readings(c)
	if err != nil {
		return cost{}, err
	}
	return meanCost(before, after), ctx.Err()
}

// reading is what a daemon has spent so far.
type reading struct {
	at                 time.Time
	cpu                time.Duration
	rss                int64
	gossip, peers, all float64 // bytes
}

func readings(c *procs.Cluster) ([]reading, error) {
	out := make([]reading, len(c.Daemons))
	var g errgroup.Group
	for i, d := range c.Daemons {
		g.Go(func() (err error) {
			out[i], err = read(d)
			return err
		})
	}
	return out, g.Wait()
}

func read(d *procs.Daemon) (reading, error) {
	m, err := d.Metrics()
	if err != nil {
		return reading{}, err
	}
	r := reading{
		at:     time.Now(),
		gossip: m["ragwortquay_gossip_received_bytes"] + m["ragwortquay_gossip_sent_bytes"],
		peers:  m["ragwortquay_peers_received_bytes"] + m["ragwortquay_peers_sent_bytes"],
	}
	if r.cpu, r.rss, err = d.Usage(); err != nil {
		return r, err
	}
	in, out, err := d.IO()
	r.all = float64(in + out)
	return r, err
}

func meanCost(before, after []reading) cost {
	var c cost
	n := float64(len(before))
	const kilo, mega = 1 << 10, 1 << 20
	for i, b := range before {
		a := after[i]
		span := a.at.Sub(b.at).Seconds()
		c.cpu += 100 * (a.cpu - b.cpu).Seconds() / span / n
		c.rss += float64(a.rss) / mega / n
		c.gossip += (a.gossip - b.gossip) / kilo / span / n
		c.peers += (a.peers - b.peers) / kilo / span / n
		c.others += (a.all - b.all - (a.peers - b.peers)) / kilo / span / n
	}
	return c
}
