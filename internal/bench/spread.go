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
	// siteDaemons is the number of daemons at a firm today.
	siteDaemons = 15
	// spreadEdits is the number of edits in a run.
	spreadEdits = 100
	// watchInterval is the time between two looks at a daemon's tables.
	watchInterval = 20 * time.Millisecond
)

// spread measures the time until an accepted edit is in force on every daemon,
// by the tables that each of them shows.
func spread() Experiment {
	return Experiment{
		Name: "spread", Summary: "time until an accepted edit is in force on 15 daemons",
		targets: []goal{atMost("from accepted p99", 2), atMost("reverts", 0), atMost("not everywhere", 0)},
		run:     runSpread,
	}
}

func runSpread(ctx context.Context, t *trial) ([]Figure, error) {
	c, err := t.start(ctx, procs.Options{Daemons: siteDaemons}, serviceTables(1, 64, 64))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	w, err := newWatch(c)
	if err != nil {
		return nil, err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return w.run(watching) })
	if err := until(ctx, "tables on every daemon", func() bool { return w.allAt(1) }); err != nil {
		return nil, err
	}
	e := editor{clients: w.clients, watch: w, draw: rand.New(rand.NewPCG(t.seed, 0))}
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

// watch follows the revision of the pool's row on every daemon.
type watch struct {
	clients []*admin.Client
	// seen has each daemon's last revision.
	seen    []atomic.Uint64
	reverts atomic.Int64
	looks   atomic.Int64
}

func newWatch(c *procs.Cluster) (*watch, error) {
	w := &watch{seen: make([]atomic.Uint64, len(c.Daemons))}
	for _, d := range c.Daemons {
		client, err := operators(d)
		if err != nil {
			return nil, err
		}
		w.clients = append(w.clients, client)
	}
	return w, nil
}

func (w *watch) run(ctx context.Context) error {
	var wg sync.WaitGroup
	for i := range w.clients {
		wg.Go(func() {
			for pause.For(ctx, watchInterval) {
				w.look(ctx, i)
			}
		})
	}
	wg.Wait()
	return nil
}

// look notes one daemon's revision. A look that fails shows nothing.
func (w *watch) look(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	t, err := w.clients[i].Tables(ctx)
	if err != nil || len(t.Pools) == 0 {
		return
	}
	w.looks.Add(1)
	now := t.Pools[0].Stamp.Revision
	if now < w.seen[i].Swap(now) {
		w.reverts.Add(1)
	}
}

func (w *watch) allAt(revision uint64) bool {
	for i := range w.seen {
		if w.seen[i].Load() < revision {
			return false
		}
	}
	return true
}

// editor makes edits, each through a daemon drawn by lot.
type editor struct {
	clients        []*admin.Client
	watch          *watch
	draw           *rand.Rand
	accepted, call []float64 // seconds until in force everywhere
	refused, never int
}

func (e *editor) edit(ctx context.Context, n int) error {
	client := e.clients[e.draw.IntN(len(e.clients))]
	readCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	t, err := client.Tables(readCtx)
	if err != nil {
		return err
	}
	if len(t.Pools) == 0 {
		return fault.New(fault.Internal, "report this", "a daemon lost its tables")
	}
	pool := t.Pools[0].Pool
	pool.Limit = 64 + n%2
	begun := time.Now()
	a, err := client.Apply(ctx, operate.ApplyRequest{Changes: []operate.Change{
		{Base: strconv.FormatUint(t.Pools[0].Stamp.Revision, 10), SetPool: &pool},
	}})
	if err != nil {
		return err
	}
	if !a.Accepted {
		e.refused++
		return nil
	}
	return e.await(ctx, a, begun, time.Now())
}

func (e *editor) await(ctx context.Context, a operate.ApplyResponse, begun, accepted time.Time) error {
	if len(a.Rows) == 0 {
		return fault.New(fault.Internal, "report this", "an accepted edit names no row")
	}
	err := until(ctx, "edit in force everywhere", func() bool { return e.watch.allAt(a.Rows[0].Revision) })
	if err != nil {
		e.never++
		return ctx.Err()
	}
	e.accepted = append(e.accepted, time.Since(accepted).Seconds())
	e.call = append(e.call, time.Since(begun).Seconds())
	return nil
}

func (e *editor) figures() []Figure {
	slices.Sort(e.accepted)
	slices.Sort(e.call)
	return []Figure{
		{"from accepted p50", "s", quantile(e.accepted, 0.5)},
		{"from accepted p99", "s", quantile(e.accepted, 0.99)},
		{"from accepted max", "s", quantile(e.accepted, 1)},
		{"from call p50", "s", quantile(e.call, 0.5)},
		{"from call p99", "s", quantile(e.call, 0.99)},
		{"from call max", "s", quantile(e.call, 1)},
		{"edits in force", "edits", float64(len(e.accepted))},
		{"refused", "edits", float64(e.refused)},
		{"not everywhere", "edits", float64(e.never)},
		{"reverts", "looks", float64(e.watch.reverts.Load())},
		{"looks", "looks", float64(e.watch.looks.Load())},
	}
}
