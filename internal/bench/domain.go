package bench

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/load"
	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

const (
	// withdrawnDomain is the failure domain that operators withdraw and bring back.
	withdrawnDomain  = "plateau"
	domainWithdrawAt = 15 * time.Second
	domainReturnAt   = 30 * time.Second
	domainDuration   = 50 * time.Second
	// domainGrace is the time after a withdrawal within which new requests to the
	// domain must have stopped.
	domainGrace = 3 * time.Second
	// domainEngines and domainServices are the numbers of VMs. Each failure domain has
	// three groups of four engines, three spare engines, and one service.
	domainEngines  = 45
	domainServices = 3
)

// domainExperiment measures the service while operators withdraw a failure domain and
// bring it back, with a load that the other domains can carry.
func domainExperiment() Experiment {
	return Experiment{
		Name: "domain", Summary: "answered in time while a failure domain leaves and returns",
		goals: []goal{
			atLeast("in time", 99.5), atMost("lost", 0), atMost("new work after 3 s", 0),
			atMost("cold overloads", 0), atMost("wrong", 0),
		},
		run: runDomain,
	}
}

func runDomain(ctx context.Context, t *trial) ([]Figure, error) {
	c, err := t.startCluster(ctx, procs.Options{
		Daemons:  siteDaemons,
		Engines:  []procs.Args{{"--count", "45", "--fabric-size", "5", "--cold-limit", "2", "--warm-limit", "32", "--grow-per-done", "0.5"}},
		Services: []procs.Args{{"--count", "3", "--prefix", "svc", "--cold-limit", "8", "--warm-limit", "64"}},
	}, engineTables(domainEngines, groupSize, 32, 2)+serviceTables(domainServices, 64, 8))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if _, err := waitUntilServing(ctx, c, "assistant", domainEngines/(groupSize+1)); err != nil {
		return nil, err
	}
	if _, err := waitUntilServing(ctx, c, "ledger", domainServices); err != nil {
		return nil, err
	}
	start := time.Now()
	r, err := t.runLoad(ctx, c, t.domainPlan())
	if err != nil {
		return nil, err
	}
	return domainFigures(c, r, start)
}

func (t *trial) domainPlan() load.Plan {
	pools := []string{"assistant", "ledger"}
	return load.Plan{
		Name: "domain", Seed: t.seed, Duration: tomlfile.Duration(domainDuration), Warmup: tomlfile.Duration(10 * time.Second),
		Groups: load.GroupCriteria{Size: groupSize},
		Workspaces: []load.Workspace{
			{Name: workspace, Token: procs.CallerToken(workspace), Weight: 1},
		},
		Kinds: []load.Kind{quoteKind(40), serviceKind("lookup", 20, 0), serviceKind("order", 8, 1)},
		Events: []load.Event{
			{At: tomlfile.Duration(domainWithdrawAt), Name: "out", Pools: pools, Withdrawn: []string{withdrawnDomain}},
			{At: tomlfile.Duration(domainReturnAt), Name: "back", Pools: pools},
		},
	}
}

// serviceKind returns a kind of calls; keyed is the ratio of them that carry an
// idempotency key.
func serviceKind(name string, rate, keyed float64) load.Kind {
	return load.Kind{
		Name: name, Kind: name, Form: load.Call, Path: "/" + name, Rate: rate, KeyedRatio: keyed, BodyBytes: 60,
		InTimeLimit: tomlfile.Duration(2 * time.Second), Timeout: tomlfile.Duration(10 * time.Second),
	}
}

func domainFigures(c *procs.Cluster, r load.Result, start time.Time) ([]Figure, error) {
	out := requestFigures(r)
	from, to := withdrawnInterval(r, start)
	afterGrace, crashes := 0, 0
	for _, s := range append(c.Engines, c.Services...) {
		entries, err := s.Journal()
		if err != nil {
			return nil, err
		}
		withdrawn := vmsInDomain(s, withdrawnDomain)
		for _, e := range entries {
			at := time.UnixMilli(e.UnixMS)
			if e.Event == journal.RequestStarted && withdrawn[e.VM] && at.After(from.Add(domainGrace)) && at.Before(to) {
				afterGrace++
			}
			if e.Event == journal.VMCrashed {
				crashes++
			}
		}
	}
	return append(out, Figure{"new work after 3 s", "requests", float64(afterGrace)}, Figure{"cold overloads", "falls", float64(crashes)}), nil
}

// withdrawnInterval returns the time by which the withdrawal was accepted, and the time
// at which the return was requested.
func withdrawnInterval(r load.Result, start time.Time) (from, to time.Time) {
	to = start.Add(domainDuration)
	for _, e := range r.Events {
		at := start.Add(time.Duration(e.AtS * float64(time.Second)))
		if e.Name == "out" {
			from = at.Add(time.Duration(e.TookMs * float64(time.Millisecond)))
		} else {
			to = at
		}
	}
	return from, to
}

func vmsInDomain(s *procs.Standin, domain string) map[string]bool {
	out := make(map[string]bool)
	for _, vm := range s.VMs {
		out[vm.ID] = vm.FailureDomain == domain
	}
	return out
}

// requestFigures sums up the outcomes of a plan's requests.
func requestFigures(r load.Result) []Figure {
	var offered, inTime, notRun, wrong, lost int64
	for _, k := range r.Kinds {
		offered += k.Offered
		inTime += k.InTime
		notRun += k.CountOf(load.NotRun)
		wrong += k.CountOf(load.Wrong)
		lost += k.CountOf(load.Unknown) + k.CountOf(load.Unreachable) + k.CountOf(load.Truncated) + k.CountOf(load.Failed)
	}
	return []Figure{
		{"offered", "requests", float64(offered)},
		{"in time", "%", 100 * float64(inTime) / float64(max(offered, 1))},
		{"refused, not run", "requests", float64(notRun)},
		{"lost", "requests", float64(lost)},
		{"wrong", "requests", float64(wrong)},
		{"sent late by the tool p99", "ms", r.SendLag.P99},
	}
}
