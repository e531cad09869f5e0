package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/engine"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
)

const (
	// downtimeLoad is the stand-in's time to load weights.
	downtimeLoad = time.Second
	// groupSize is the number of VMs in a group of these experiments.
	groupSize = 4
	// probers is the number of requests kept under way.
	probers = 4
)

// downtime measures how long a group is out of service after one of its
// members was killed while a spare is at hand.
func downtime() Experiment {
	return Experiment{
		Name: "downtime", Summary: "group downtime after one member is killed, spare at hand",
		targets: []goal{atMost("downtime over load time", 1.5)},
		run:     runDowntime,
	}
}

func runDowntime(ctx context.Context, t *trial) ([]Figure, error) {
	c, err := t.start(ctx, procs.Options{
		Daemons: 3, Domains: []string{"plateau"}, Weights: procs.Args{"--load", downtimeLoad.String()},
		Engines: []procs.Args{{"--count", "6", "--fabric-size", "6", "--cold-limit", "16", "--warm-limit", "64", "--step", "5ms"}},
	}, engineTables(6, groupSize, 64, 16))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	p, err := settled(ctx, c, "assistant", 1)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for i, d := range c.Daemons {
		w := newCaller(d.Callers, fmt.Sprintf("probe-%d-%d", t.seed, i))
		go w.loop(ctx, generateCall("a quote for underlay", 5), probers, settleTimeout)
	}
	if err := until(ctx, "first request", func() bool { return started(c, 0) > 0 }); err != nil {
		return nil, err
	}
	return mendedAfter(ctx, c, p)
}

// mendedAfter kills a follower and waits for work on a later group.
func mendedAfter(ctx context.Context, c *procs.Cluster, p operate.Pool) ([]Figure, error) {
	old, victim, err := follower(p, 0)
	if err != nil {
		return nil, err
	}
	killed := time.Now()
	if err := act(c.Engines[0], machines.Kill, victim); err != nil {
		return nil, err
	}
	var first int64
	err = until(ctx, "work on a new group", func() bool {
		first = started(c, old)
		return first > 0
	})
	down := time.UnixMilli(first).Sub(killed).Seconds()
	return []Figure{
		{"load time", "s", downtimeLoad.Seconds()},
		{"downtime", "s", down},
		{"downtime over load time", "s", down - downtimeLoad.Seconds()},
	}, err
}

// started returns when the first request began on a group later than the given
// fencing number, by the engines' journal; 0 if none has.
func started(c *procs.Cluster, fence uint64) int64 {
	es, err := c.Engines[0].Journal()
	if err != nil {
		return 0
	}
	for _, e := range es {
		if e.Event == journal.RequestStarted && e.FencingToken > fence {
			return e.UnixMS
		}
	}
	return 0
}

// follower returns a member of the pool's nth group that does not lead it, and
// the group's fencing number.
func follower(p operate.Pool, n int) (fence uint64, vm string, err error) {
	if n >= len(p.Groups) {
		return 0, "", fault.New(fault.Internal, "read the daemons' logs with --keep", "%d groups instead of %d", len(p.Groups), n+1)
	}
	g := p.Groups[n]
	_, err = fmt.Sscan(g.FencingToken, &fence)
	return fence, g.Members[len(g.Members)-1], err
}

func act(s *procs.Standin, a machines.Action, vms ...string) error {
	return s.Post("/v1/faults", machines.FaultRequest[engine.Faults]{VMs: vms, Action: a})
}
