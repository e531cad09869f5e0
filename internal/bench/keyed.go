package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/load"
	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/logsvc"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

const (
	keyedRate     = 100.0
	keyedDuration = 20 * time.Second
	keyedWarmup   = 5 * time.Second
)

// keyedExperiment measures the load on the log and the added latency that requests with
// idempotency keys cause.
func keyedExperiment() Experiment {
	return Experiment{
		Name: "keyed", Summary: "log appends and added latency at 100 keyed requests per second over 15 daemons",
		run: runKeyed,
	}
}

func runKeyed(ctx context.Context, t *trial) ([]Figure, error) {
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
	before, err := logStats(ctx, c)
	if err != nil {
		return nil, err
	}
	r, err := t.runLoad(ctx, c, load.Plan{
		Name: "keyed", Seed: t.seed, Duration: tomlfile.Duration(keyedDuration), Warmup: tomlfile.Duration(keyedWarmup),
		Workspaces: []load.Workspace{{Name: workspace, Token: procs.CallerToken(workspace), Weight: 1}},
		Kinds:      []load.Kind{serviceKind("lookup", keyedRate, 0), serviceKind("order", keyedRate, 1)},
	})
	if err != nil {
		return nil, err
	}
	after, err := logStats(ctx, c)
	if err != nil {
		return nil, err
	}
	return keyedFigures(before, after, r), nil
}

func keyedFigures(before, after logsvc.Stats, r load.Result) []Figure {
	plain, keyed := r.Kinds[0].ResponseTime, r.Kinds[1].ResponseTime
	perSecond := func(n int64) float64 { return float64(n) / keyedDuration.Seconds() }
	return append([]Figure{
		{"appends", "appends/s", perSecond(after.Appends - before.Appends)},
		{"records", "records/s", perSecond(after.RecordsIn - before.RecordsIn)},
		{"record bytes", "bytes a record", float64(after.BytesIn-before.BytesIn) / float64(max(after.RecordsIn-before.RecordsIn, 1))},
		{"reads", "reads/s", perSecond(after.Reads - before.Reads)},
		{"unkeyed p50", "ms", plain.P50},
		{"keyed p50", "ms", keyed.P50},
		{"added p50", "ms", keyed.P50 - plain.P50},
		{"unkeyed p99", "ms", plain.P99},
		{"keyed p99", "ms", keyed.P99},
	}, requestFigures(r)...)
}

// logStats returns the counters of the stand-in of the log.
func logStats(ctx context.Context, c *procs.Cluster) (logsvc.Stats, error) {
	var out logsvc.Stats
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Log.URL()+"/v1/stats", nil)
	if err != nil {
		return out, fault.Wrap(fault.Internal, err, "report this as a bug", "build the request for log statistics")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, fault.Wrap(fault.Unavailable, err, "read the stand-in's log", "read log statistics")
	}
	defer func() { _ = resp.Body.Close() }()
	return out, json.NewDecoder(resp.Body).Decode(&out)
}
