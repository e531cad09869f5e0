package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/admin"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/procs"
)

const (
	// siteDaemons is the number of daemons in a present-day installation.
	siteDaemons = 15
	// spreadEdits is the number of edits in a run.
	spreadEdits = 100
	// tablePollInterval is the time between two reads of a daemon's tables.
	tablePollInterval = 20 * time.Millisecond
)

// spreadExperiment measures the time until every daemon has applied an accepted edit,
// according to the tables that each daemon reports.
func spreadExperiment() Experiment {
	return Experiment{
		Name: "spread", Summary: "time until an accepted edit is in force on 15 daemons",
		goals: []goal{atMost("from accepted p99", 2), atMost("reverts", 0), atMost("not everywhere", 0)},
		run:   runSpread,
	}
}

func runSpread(ctx context.Context, t *trial) ([]Figure, error) {
	c, err := t.startCluster(ctx, procs.Options{Daemons: siteDaemons}, serviceTables(1, 64, 64))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	w, err := newRevisionWatch(c)
	if err != nil {
		return nil, err
	}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return w.run(watchCtx) })
	if err := waitFor(ctx, "the tables on every daemon", func() bool { return w.allAt(1) }); err != nil {
		return nil, err
	}
	e := editor{clients: w.clients, watch: w, rng: rand.New(rand.NewPCG(t.seed, 0))}
	for n := range spreadEdits {
		if err := e.edit(ctx, n); err != nil {
			return nil, err
		}
	}
	stop()
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return e.figures(), nil
}

// revisionWatch polls the revision of the first pool on every daemon.
type revisionWatch struct {
	clients []*admin.Client
	// revisions holds the last revision that each daemon reported.
	revisions []atomic.Uint64
	reverts   atomic.Int64
	polls     atomic.Int64
}

func newRevisionWatch(c *procs.Cluster) (*revisionWatch, error) {
	w := &revisionWatch{revisions: make([]atomic.Uint64, len(c.Daemons))}
	for _, d := range c.Daemons {
		client, err := operatorClient(d)
		if err != nil {
			return nil, err
		}
		w.clients = append(w.clients, client)
	}
	return w, nil
}

func (w *revisionWatch) run(ctx context.Context) error {
	var wg sync.WaitGroup
	for i := range w.clients {
		wg.Go(func() {
			for pause.For(ctx, tablePollInterval) {
				w.poll(ctx, i)
			}
		})
	}
	wg.Wait()
	return nil
}

// poll reads one daemon's revision and counts it as a revert if it is lower than the
// previous one. A failed read is ignored.
func (w *revisionWatch) poll(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	t, err := w.clients[i].Tables(ctx)
	if err != nil || len(t.Pools) == 0 {
		return
	}
	w.polls.Add(1)
	now := t.Pools[0].Stamp.Revision
	if now < w.revisions[i].Swap(now) {
		w.reverts.Add(1)
	}
}

func (w *revisionWatch) allAt(revision uint64) bool {
	for i := range w.revisions {
		if w.revisions[i].Load() < revision {
			return false
		}
	}
	return true
}

// editor applies edits, each through a randomly chosen daemon, and measures the time
// until all daemons have applied them.
type editor struct {
	clients                []*admin.Client
	watch                  *revisionWatch
	rng                    *rand.Rand
	fromAccepted, fromCall []float64 // seconds until applied on every daemon
	refused, notPropagated int
}

func (e *editor) edit(ctx context.Context, n int) error {
	client := e.clients[e.rng.IntN(len(e.clients))]
	readCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	t, err := client.Tables(readCtx)
	if err != nil {
		return err
	}
	if len(t.Pools) == 0 {
		return fault.New(fault.Internal, "report this as a bug", "a daemon has no pools although tables were applied")
	}
	pool := t.Pools[0].Pool
	pool.Limit = 64 + n%2
	start := time.Now()
	resp, err := client.Apply(ctx, operate.ApplyRequest{Changes: []operate.Change{
		{Base: strconv.FormatUint(t.Pools[0].Stamp.Revision, 10), SetPool: &pool},
	}})
	if err != nil {
		return err
	}
	if !resp.Accepted {
		e.refused++
		return nil
	}
	return e.waitPropagated(ctx, resp, start, time.Now())
}

func (e *editor) waitPropagated(ctx context.Context, resp operate.ApplyResponse, start, accepted time.Time) error {
	if len(resp.Rows) == 0 {
		return fault.New(fault.Internal, "report this as a bug", "response to an accepted edit lists no row")
	}
	err := waitFor(ctx, "the edit on every daemon", func() bool { return e.watch.allAt(resp.Rows[0].Revision) })
	if err != nil {
		e.notPropagated++
		return ctx.Err()
	}
	e.fromAccepted = append(e.fromAccepted, time.Since(accepted).Seconds())
	e.fromCall = append(e.fromCall, time.Since(start).Seconds())
	return nil
}

func (e *editor) figures() []Figure {
	slices.Sort(e.fromAccepted)
	slices.Sort(e.fromCall)
	return []Figure{
		{"from accepted p50", "s", quantile(e.fromAccepted, 0.5)},
		{"from accepted p99", "s", quantile(e.fromAccepted, 0.99)},
		{"from accepted max", "s", quantile(e.fromAccepted, 1)},
		{"from call p50", "s", quantile(e.fromCall, 0.5)},
		{"from call p99", "s", quantile(e.fromCall, 0.99)},
		{"from call max", "s", quantile(e.fromCall, 1)},
		{"edits in force", "edits", float64(len(e.fromAccepted))},
		{"refused", "edits", float64(e.refused)},
		{"not everywhere", "edits", float64(e.notPropagated)},
		{"reverts", "looks", float64(e.watch.reverts.Load())},
		{"looks", "looks", float64(e.watch.polls.Load())},
	}
}
