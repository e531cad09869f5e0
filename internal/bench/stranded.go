package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/config"
	"github.com/ragwortquay/ragwortquay/internal/load"
	"github.com/ragwortquay/ragwortquay/internal/load/drive"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/engine"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

const (
	strandedKillAt   = 2 * time.Second
	strandedReviveAt = 17 * time.Second
	strandedDuration = 22 * time.Second
)

// strandedExperiment breaks two groups of one fabric domain for 15 s, without a spare
// VM, and sums up, for each repair policy, the time that live VMs spend in an incomplete
// group (stranded VM-seconds).
func strandedExperiment() Experiment {
	return Experiment{
		Name: "stranded", Summary: "stranded VM-seconds, two groups broken in one fabric domain, by repair policy",
		goals: []goal{atLeast("saved against own-member", 40)},
		run:   runStranded,
	}
}

func runStranded(ctx context.Context, t *trial) ([]Figure, error) {
	var out []Figure
	var seconds []float64
	for n, policy := range []string{config.RepairScored, config.RepairOwnMember} {
		dir, err := t.subdir(n)
		if err != nil {
			return nil, err
		}
		g, err := t.runWithRepairPolicy(ctx, dir, policy)
		if err != nil {
			return nil, err
		}
		seconds = append(seconds, g.StrandedS)
		out = append(
			out,
			Figure{"stranded, " + policy, "VM-s", g.StrandedS},
			Figure{"group downtime, " + policy, "group-s", g.DowntimeS},
		)
	}
	return append(out, Figure{"saved against own-member", "%", 100 * (1 - seconds[0]/seconds[1])}), nil
}

func (t *trial) runWithRepairPolicy(ctx context.Context, dir, policy string) (load.GroupResult, error) {
	c, err := t.startCluster(ctx, procs.Options{
		Daemons: 3, FailureDomains: []string{"plateau"}, Dir: dir, ExtraSettings: fmt.Sprintf("[groups]\nrepair = %q\n", policy),
		Engines: []procs.Args{{"--count", "8", "--fabric-size", "8", "--cold-limit", "16", "--warm-limit", "64"}},
	}, engineTables(8, groupSize, 64, 16))
	if err != nil {
		return load.GroupResult{}, err
	}
	defer c.Close()
	p, err := waitUntilServing(ctx, c, "assistant", 2)
	if err != nil {
		return load.GroupResult{}, err
	}
	plan, err := t.strandedPlan(p)
	if err != nil {
		return load.GroupResult{}, err
	}
	r, err := t.runLoad(ctx, c, plan)
	if err != nil {
		return load.GroupResult{}, err
	}
	return *r.Groups, nil
}

// strandedPlan kills one member of each of the pool's two groups and revives both
// later.
func (t *trial) strandedPlan(p operate.Pool) (load.Plan, error) {
	_, first, err := groupFollower(p, 0)
	if err != nil {
		return load.Plan{}, err
	}
	_, second, err := groupFollower(p, 1)
	if err != nil {
		return load.Plan{}, err
	}
	event := func(at time.Duration, a machines.Action) load.Event {
		body, _ := json.Marshal(machines.FaultRequest[engine.Faults]{VMs: []string{first, second}, Action: a}) // cannot fail for this type
		return load.Event{At: tomlfile.Duration(at), Name: string(a), Server: "engines", Path: "/v1/faults", Body: string(body)}
	}
	return load.Plan{
		Name: "stranded", Seed: t.seed, Duration: tomlfile.Duration(strandedDuration),
		Groups:     load.GroupCriteria{Size: groupSize, Expected: 2},
		Workspaces: []load.Workspace{{Name: workspace, Token: procs.CallerToken(workspace), Weight: 1}},
		Kinds:      []load.Kind{quoteKind(10)},
		Events:     []load.Event{event(strandedKillAt, machines.Kill), event(strandedReviveAt, machines.Revive)},
	}, nil
}

// quoteKind returns a kind of requests with short streams.
func quoteKind(rate float64) load.Kind {
	return load.Kind{
		Name: "quote", Kind: "quote", Form: load.Generate, Path: "/v1/generate", Rate: rate, MinTokens: 10, MaxTokens: 20,
		Prefixes: 4, PrefixBytes: 64, BodyBytes: 100,
		InTimeLimit: tomlfile.Duration(8 * time.Second), FirstTokenLimit: tomlfile.Duration(1400 * time.Millisecond),
		Timeout: tomlfile.Duration(15 * time.Second),
	}
}

// runLoad runs the plan against all daemons of the cluster.
func (t *trial) runLoad(ctx context.Context, c *procs.Cluster, plan load.Plan) (load.Result, error) {
	o := drive.Options{Plan: plan, OnlyReady: true, OperatorToken: procs.OperatorToken}
	for _, d := range c.Daemons {
		o.DaemonAddrs = append(o.DaemonAddrs, d.CallersAddr)
	}
	o.OperatorURLs = []string{"http://" + c.Daemons[0].OperatorsAddr}
	for _, s := range c.Engines {
		o.EngineURLs = append(o.EngineURLs, s.URL())
		o.Servers = append(o.Servers, drive.Server{Name: "engines", URL: s.URL()})
	}
	o.Servers = append(o.Servers, drive.Server{Name: "log", URL: c.Log.URL()})
	for _, s := range c.Services {
		o.Servers = append(o.Servers, drive.Server{Name: "services", URL: s.URL()})
	}
	d, err := drive.New(o)
	if err != nil {
		return load.Result{}, err
	}
	return d.Run(ctx)
}
