package bench

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/load"
	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

const (
	outageStart = 15 * time.Second
	outageEnd   = 75 * time.Second
	outageRate  = 100.0
	// outageWarmup is the first part of the load, whose requests are not counted.
	outageWarmup = 5 * time.Second
)

// outageExperiment compares the service for idempotent requests during an outage of the
// log with that before it.
func outageExperiment() Experiment {
	return Experiment{
		Name: "outage", Summary: "idempotent service while the log is down for 60 s",
		goals: []goal{atLeast("in time, during", 100), atMost("p50 during over before", 1.1)},
		run:   runOutage,
	}
}

func runOutage(ctx context.Context, t *trial) ([]Figure, error) {
	c, err := t.startCluster(ctx, procs.Options{
		Daemons:  siteDaemons,
		Services: []procs.Args{{"--count", "3", "--prefix", "svc", "--cold-limit", "64", "--warm-limit", "64"}},
	}, serviceTables(3, 64, 64))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if _, err := waitUntilServing(ctx, c, "ledger", 3); err != nil {
		return nil, err
	}
	r, err := t.runLoad(ctx, c, t.outagePlan())
	if err != nil {
		return nil, err
	}
	before, during := r.Kinds[0], r.Kinds[1]
	return []Figure{
		{"answered, before", "requests/s", float64(before.ResponseTime.Count) / (outageStart - outageWarmup).Seconds()},
		{"answered, during", "requests/s", float64(during.ResponseTime.Count) / (outageEnd - outageStart).Seconds()},
		{"in time, before", "%", 100 * before.InTimeRatio},
		{"in time, during", "%", 100 * during.InTimeRatio},
		{"answer p50, before", "ms", before.ResponseTime.P50},
		{"answer p50, during", "ms", during.ResponseTime.P50},
		{"answer p99, before", "ms", before.ResponseTime.P99},
		{"answer p99, during", "ms", during.ResponseTime.P99},
		{"p50 during over before", "ratio", during.ResponseTime.P50 / before.ResponseTime.P50},
	}, nil
}

// outagePlan sends the same load as two kinds of requests, one before the outage and
// one during it.
func (t *trial) outagePlan() load.Plan {
	before, during := serviceKind("lookup", outageRate, 0), serviceKind("lookup", outageRate, 0)
	before.Name, before.Until = "before", tomlfile.Duration(outageStart)
	during.Name, during.From = "during", tomlfile.Duration(outageStart)
	event := func(at time.Duration, name, body string) load.Event {
		return load.Event{At: tomlfile.Duration(at), Name: name, Server: "log", Path: "/v1/faults", Body: body}
	}
	return load.Plan{
		Name: "outage", Seed: t.seed, Duration: tomlfile.Duration(outageEnd), Warmup: tomlfile.Duration(outageWarmup),
		Workspaces: []load.Workspace{{Name: workspace, Token: procs.CallerToken(workspace), Weight: 1}},
		Kinds:      []load.Kind{before, during},
		Events: []load.Event{
			event(outageStart, "log down", `{"refuse": true}`),
			event(outageEnd, "log back", `{"refuse": false}`),
		},
	}
}
