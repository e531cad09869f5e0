package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/load"
	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

const (
	coldTargets  = 4
	coldDuration = 16 * time.Second
	coldLimit    = 4
	// minoritySize is the number of daemons on the smaller side of the partition.
	minoritySize = 5
)

// coldLimitExperiment counts the requests that started on a newly started (cold) target
// above its limit. It compares limits that all daemons share, without and with a
// partition, with limits that each daemon enforces alone.
func coldLimitExperiment() Experiment {
	return Experiment{
		Name: "cold", Summary: "work over a cold target's limit with 15 daemons, with and without a partition",
		goals: []goal{atMost("over limit", 0), atMost("over limit, partition", 0)},
		run:   runCold,
	}
}

func runCold(ctx context.Context, t *trial) ([]Figure, error) {
	var out []Figure
	for n, v := range []struct {
		suffix             string
		local, partitioned bool
	}{
		{suffix: ""},
		{suffix: ", partition", partitioned: true},
		{suffix: ", each daemon alone", local: true},
	} {
		dir, err := t.subdir(n)
		if err != nil {
			return nil, err
		}
		figures, err := t.runColdVariant(ctx, dir, v.local, v.partitioned)
		if err != nil {
			return nil, err
		}
		for _, f := range figures {
			f.Name += v.suffix
			out = append(out, f)
		}
	}
	return out, nil
}

func (t *trial) runColdVariant(ctx context.Context, dir string, local, partitioned bool) ([]Figure, error) {
	c, err := t.startCluster(ctx, procs.Options{
		Daemons: siteDaemons, Dir: dir, EnablePartitions: true, ExtraSettings: fmt.Sprintf("[limits]\nlocal = %t\n", local),
		Services: []procs.Args{{
			"--count", "4", "--prefix", "svc", "--work", "100ms",
			"--cold-limit", "4", "--warm-limit", "64", "--grow-per-done", "0.25",
		}},
	}, serviceTables(coldTargets, 64, coldLimit))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if _, err := waitUntilServing(ctx, c, "ledger", coldTargets); err != nil {
		return nil, err
	}
	if partitioned {
		if err := c.Partition(c.Daemons[:minoritySize], c.Daemons[minoritySize:]); err != nil {
			return nil, err
		}
	}
	r, err := t.runLoad(ctx, c, t.coldPlan())
	if err != nil {
		return nil, err
	}
	return coldFigures(c, r)
}

// coldPlan sends load while all targets are cold, and kills and revives two of them.
func (t *trial) coldPlan() load.Plan {
	event := func(at time.Duration, a machines.Action) load.Event {
		body := fmt.Sprintf(`{"vms": ["svc-0", "svc-1"], "action": %q}`, a)
		return load.Event{At: tomlfile.Duration(at), Name: string(a), Server: "services", Path: "/v1/faults", Body: body}
	}
	k := serviceKind("lookup", 120, 0)
	k.Timeout = tomlfile.Duration(5 * time.Second)
	return load.Plan{
		Name: "cold", Seed: t.seed, Duration: tomlfile.Duration(coldDuration),
		Workspaces: []load.Workspace{{Name: workspace, Token: procs.CallerToken(workspace), Weight: 1}},
		Kinds:      []load.Kind{k},
		Events:     []load.Event{event(6*time.Second, machines.Kill), event(8*time.Second, machines.Revive)},
	}
}

func coldFigures(c *procs.Cluster, r load.Result) ([]Figure, error) {
	entries, err := c.Services[0].Journal()
	if err != nil {
		return nil, err
	}
	overLimit, crashes := 0, 0
	for _, e := range entries {
		if e.Event == journal.RequestStarted && e.Cold && e.Inflight > e.Limit {
			overLimit++
		}
		if e.Event == journal.VMCrashed {
			crashes++
		}
	}
	out := []Figure{{"over limit", "requests", float64(overLimit)}, {"falls", "targets", float64(crashes)}}
	return append(out, requestFigures(r)[1:4]...), nil
}
