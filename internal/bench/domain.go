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
	// movedDomain is the failure domain that leaves and returns.
	movedDomain = "plateau"
	domainOut   = 15 * time.Second
	domainBack  = 30 * time.Second
	domainSpan  = 50 * time.Second
	// domainGrace is the time within which new work to a withdrawn domain ends.
	domainGrace = 3 * time.Second
	// domainEngines VMs make three groups of four and three spares in each
	// failure domain; domainServices one service in each.
	domainEngines  = 45
	domainServices = 3
)

// domain measures service while operators take a failure domain out and bring
// it back, with a load that the others can carry.
func domain() Experiment {
	return Experiment{
		Name: "domain", Summary: "answered in time while a failure domain leaves and returns",
		targets: []goal{
			atLeast("in time", 99.5), atMost("lost", 0), atMost("new work after 3 s", 0),
			atMost("cold overloads", 0), atMost("wrong", 0),
		},
		run: runDomain,
	}
}

func runDomain(ctx context.Context, t *trial) ([]Figure, error) {
	c, err := t.start(ctx, procs.Options{
		Daemons:  siteDaemons,
		Engines:  []procs.Args{{"--count", "45", "--fabric-size", "5", "--cold-limit", "2", "--warm-limit", "32", "--grow-per-done", "0.5"}},
		Services: []procs.Args{{"--count", "3", "--prefix", "svc", "--cold-limit", "8", "--warm-limit", "64"}},
	}, engineTables(domainEngines, groupSize, 32, 2)+serviceTables(domainServices, 64, 8))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if _, err := settled(ctx, c, "assistant", domainEngines/(groupSize+1)); err != nil {
		return nil, err
	}
	if _, err := settled(ctx, c, "ledger", domainServices); err != nil {
		return nil, err
	}
	begun := time.Now()
	r, err := t.driveThrough(ctx, c, t.domainPlan())
	if err != nil {
		return nil, err
	}
	return domainFigures(c, r, begun)
}

func (t *trial) domainPlan() load.Plan {
	pools := []string{"assistant", "ledger"}
	return load.Plan{
		Name: "domain", Seed: t.seed, Duration: tomlfile.Duration(domainSpan), Warmup: tomlfile.Duration(10 * time.Second),
		Groups: load.GroupCriteria{Size: groupSize},
		Workspaces: []load.Workspace{
			{Name: workspace, Token: procs.CallerToken(workspace), Weight: 1},
		},
		Kinds: []load.Kind{quoteKind(40), serviceKind("lookup", 20, 0), serviceKind("order", 8, 1)},
		Events: []load.Event{
			{At: tomlfile.Duration(domainOut), Name: "out", Pools: pools, Withdrawn: []string{movedDomain}},
			{At: tomlfile.Duration(domainBack), Name: "back", Pools: pools},
		},
	}
}

// serviceKind is a kind of calls, the given share of them with a key.
func serviceKind(name string, rate, keyed float64) load.Kind {
	return load.Kind{
		Name: name, Kind: name, Form: load.Call, Path: "/" + name, Rate: rate, KeyedRatio: keyed, BodyBytes: 60,
		InTimeLimit: tomlfile.Duration(2 * time.Second), Timeout: tomlfile.Duration(10 * time.Second),
	}
}

func domainFigures(c *procs.Cluster, r load.Result, begun time.Time) ([]Figure, error) {
	out := answerFigures(r)
	from, to := movedBetween(r, begun)
	late, falls := 0, 0
	for _, s := range append(c.Engines, c.Services...) {
		es, err := s.Journal()
		if err != nil {
			return nil, err
		}
		moved := vmsOf(s, movedDomain)
		for _, e := range es {
			at := time.UnixMilli(e.UnixMS)
			if e.Event == journal.RequestStarted && moved[e.VM] && at.After(from.Add(domainGrace)) && at.Before(to) {
				late++
			}
			if e.Event == journal.VMCrashed {
				falls++
			}
		}
	}
	return append(out, Figure{"new work after 3 s", "requests", float64(late)}, Figure{"cold overloads", "falls", float64(falls)}), nil
}

// movedBetween returns when the withdrawal was accepted at the latest, and when
// the return was asked for.
func movedBetween(r load.Result, begun time.Time) (from, to time.Time) {
	to = begun.Add(domainSpan)
	for _, e := range r.Events {
		at := begun.Add(time.Duration(e.AtS * float64(time.Second)))
		if e.Name == "out" {
			from = at.Add(time.Duration(e.TookMs * float64(time.Millisecond)))
		} else {
			to = at
		}
	}
	return from, to
}

func vmsOf(s *procs.Standin, domain string) map[string]bool {
	out := make(map[string]bool)
	for _, vm := range s.VMs {
		out[vm.ID] = vm.FailureDomain == domain
	}
	return out
}

// answerFigures sums up what became of a plan's requests.
func answerFigures(r load.Result) []Figure {
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
