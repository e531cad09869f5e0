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
	// weightLoadTime is the time that the stand-in takes to load weights.
	weightLoadTime = time.Second
	// groupSize is the number of VMs in a group, also in the domain, stranded and
	// watching experiments.
	groupSize = 4
	// probeConns is the number of requests that are kept in flight at each daemon.
	probeConns = 4
)

// downtimeExperiment measures how long a group does not serve after one of its members
// was killed while a spare VM is available.
func downtimeExperiment() Experiment {
	return Experiment{
		Name: "downtime", Summary: "group downtime after one member is killed, spare at hand",
		goals: []goal{atMost("downtime over load time", 1.5)},
		run:   runDowntime,
	}
}

func runDowntime(ctx context.Context, t *trial) ([]Figure, error) {
	c, err := t.startCluster(ctx, procs.Options{
		Daemons: 3, FailureDomains: []string{"plateau"}, Weights: procs.Args{"--load", weightLoadTime.String()},
		Engines: []procs.Args{{"--count", "6", "--fabric-size", "6", "--cold-limit", "16", "--warm-limit", "64", "--step", "5ms"}},
	}, engineTables(6, groupSize, 64, 16))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	p, err := waitUntilServing(ctx, c, "assistant", 1)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for i, d := range c.Daemons {
		probe := newCaller(d.CallersAddr, fmt.Sprintf("probe-%d-%d", t.seed, i))
		go probe.runClosedLoop(ctx, generateRequest("a quote for underlay", 5), probeConns, waitTimeout)
	}
	if err := waitFor(ctx, "the first request on an engine", func() bool { return firstRequestAfter(c, 0) > 0 }); err != nil {
		return nil, err
	}
	return measureDowntime(ctx, c, p)
}

// measureDowntime kills a follower and waits until a request starts on a later group.
func measureDowntime(ctx context.Context, c *procs.Cluster, p operate.Pool) ([]Figure, error) {
	oldToken, victim, err := groupFollower(p, 0)
	if err != nil {
		return nil, err
	}
	killed := time.Now()
	if err := injectAction(c.Engines[0], machines.Kill, victim); err != nil {
		return nil, err
	}
	var first int64
	err = waitFor(ctx, "a request on a new group", func() bool {
		first = firstRequestAfter(c, oldToken)
		return first > 0
	})
	downtime := time.UnixMilli(first).Sub(killed).Seconds()
	return []Figure{
		{"load time", "s", weightLoadTime.Seconds()},
		{"downtime", "s", downtime},
		{"downtime over load time", "s", downtime - weightLoadTime.Seconds()},
	}, err
}

// firstRequestAfter returns the time, in Unix milliseconds, at which the first request
// started on a group with a fencing token above the given one, according to the
// engines' journal; 0 if none has.
func firstRequestAfter(c *procs.Cluster, token uint64) int64 {
	entries, err := c.Engines[0].Journal()
	if err != nil {
		return 0
	}
	for _, e := range entries {
		if e.Event == journal.RequestStarted && e.FencingToken > token {
			return e.UnixMS
		}
	}
	return 0
}

// groupFollower returns a member of the pool's nth group that is not its leader, and
// the group's fencing token.
func groupFollower(p operate.Pool, n int) (token uint64, vm string, err error) {
	if n >= len(p.Groups) {
		return 0, "", fault.New(fault.Internal, "read the daemons' logs with --keep", "pool has %d groups, need at least %d", len(p.Groups), n+1)
	}
	g := p.Groups[n]
	_, err = fmt.Sscan(g.FencingToken, &token)
	return token, g.Members[len(g.Members)-1], err
}

func injectAction(s *procs.Standin, a machines.Action, vms ...string) error {
	return s.Post("/v1/faults", machines.FaultRequest[engine.Faults]{VMs: vms, Action: a})
}
