package integration

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/admin"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/faultproxy"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/logsvc"
	"github.com/ragwortquay/ragwortquay/internal/table"
	"github.com/ragwortquay/ragwortquay/internal/tablefile"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

// editTimeout limits the wait until all daemons have applied an edit. It is long, so
// that only a hang exceeds it.
const editTimeout = 30 * time.Second

// operatorClient returns an operator's client of the daemon.
func operatorClient(t *testing.T, d *procs.Daemon) *admin.Client {
	t.Helper()
	c, err := admin.NewClient("http://"+d.OperatorsAddr, procs.OperatorToken)
	must.NoError(t, err)
	return c
}

// waitAllJoined waits until all daemons have joined and are live.
func waitAllJoined(t *testing.T, c *procs.Cluster) {
	t.Helper()
	client := operatorClient(t, c.Daemons[0])
	waitFor(t, "all daemons have joined", func() bool {
		s, err := client.Status(t.Context())
		joined := 0
		for _, m := range s.Members {
			if m.Joined && m.Live {
				joined++
			}
		}
		return err == nil && joined == len(c.Daemons)
	})
}

// waitForMajority waits until the daemon accepts edits. A daemon that has just
// started does not receive the other daemons' gossip yet.
func waitForMajority(t *testing.T, d *procs.Daemon) {
	t.Helper()
	client := operatorClient(t, d)
	defer client.Close()
	waitFor(t, d.ID+" is connected to a majority", func() bool {
		s, err := client.Status(t.Context())
		return err == nil && s.ServingStatus.Majority && s.ServingStatus.Mode == "serve"
	})
}

// applyPoolEdit edits the only pool of these tests and waits until all daemons have
// applied the edit. The base is a revision or "current".
func applyPoolEdit(ctx context.Context, c *admin.Client, base string, limit int) (operate.ApplyResponse, error) {
	row := &tablefile.Pool{Name: "p", Kind: table.KindService, VMs: []string{"x"}, Limit: limit}
	return c.Apply(ctx, operate.ApplyRequest{
		Changes: []operate.Change{{Base: base, SetPool: row}}, Wait: tomlfile.Duration(editTimeout),
	})
}

// revisionFloor tracks the highest revision that all daemons are known to have
// applied, and checks that no daemon shows an older one.
type revisionFloor struct {
	revision atomic.Uint64
	// restartMu guards the daemons' processes, which a restart replaces.
	restartMu sync.RWMutex
}

// raise sets the floor to r if r is higher.
func (f *revisionFloor) raise(r uint64) {
	for old := f.revision.Load(); r > old && !f.revision.CompareAndSwap(old, r); old = f.revision.Load() {
	}
}

// watch checks all daemons repeatedly until stop is called, which returns the number
// of completed checks.
func (f *revisionFloor) watch(t *testing.T, daemons []*procs.Daemon) (stop func() int64) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var checks atomic.Int64
	for _, d := range daemons {
		wg.Go(func() {
			for ctx.Err() == nil {
				checks.Add(f.checkDaemon(ctx, t, d))
			}
		})
	}
	return func() int64 {
		cancel()
		wg.Wait()
		return checks.Load()
	}
}

// checkDaemon reads the pool's revision from the daemon. A daemon that is ready before
// and after the read must not show a revision below the floor before the read. It
// returns 1 if the check was completed, else 0.
func (f *revisionFloor) checkDaemon(ctx context.Context, t *testing.T, d *procs.Daemon) int64 {
	f.restartMu.RLock()
	defer f.restartMu.RUnlock()
	least, ready := f.revision.Load(), d.Ready()
	client := operatorClient(t, d)
	defer client.Close()
	tables, err := client.Tables(ctx)
	if err != nil || !ready || !d.Ready() {
		return 0
	}
	if got := revisionOf(tables); got < least {
		t.Errorf("daemon %s shows revision %d after all daemons had applied revision %d", d.ID, got, least)
	}
	return 1
}

// revisionOf returns the revision of the pool, 0 if there is none.
func revisionOf(t operate.Tables) uint64 {
	if len(t.Pools) == 0 {
		return 0
	}
	return t.Pools[0].Stamp.Revision
}

// edit edits the pool through d, waits until all daemons have applied the edit, and
// raises the floor to its revision.
func (f *revisionFloor) edit(t *testing.T, d *procs.Daemon, limit int) {
	t.Helper()
	waitForMajority(t, d)
	resp, err := applyPoolEdit(t.Context(), operatorClient(t, d), operate.BaseCurrent, limit)
	must.NoError(t, err)
	must.True(t, resp.Accepted, must.Sprint(resp.Reason))
	must.SliceEmpty(t, resp.Propagation.Missing)
	f.raise(resp.Rows[0].Revision)
}

// restart kills d, starts it again and waits until it is ready.
func (f *revisionFloor) restart(t *testing.T, c *procs.Cluster, d *procs.Daemon) {
	t.Helper()
	d.Kill()
	f.restartMu.Lock()
	err := c.Restart(d)
	f.restartMu.Unlock()
	must.NoError(t, err)
	must.NoError(t, d.WaitReady(time.Now().Add(waitTimeout)))
}

// No daemon may revert to an older revision once all have applied an accepted edit.
// The test runs concurrent edits, dropped append responses, a log that keeps few
// records, killed daemons, a log outage with a restart in it, and a new log epoch.
func TestConfigurationNeverReverts(t *testing.T) {
	c := startCluster(t, procs.Options{Daemons: 4, Log: procs.Args{"--keep-records", "30"}})
	waitAllJoined(t, c)
	var f revisionFloor
	stop := f.watch(t, c.Daemons)
	f.edit(t, c.Daemons[0], 1)

	t.Log("concurrent edits, a third of the append responses dropped")
	must.NoError(t, c.Log.Post("/v1/faults", logsvc.FaultsRequest{Faults: logsvc.Faults{DropResponseRatio: 0.33, Seed: 7}}))
	editConcurrently(t, c)
	must.NoError(t, c.Log.Post("/v1/faults", logsvc.FaultsRequest{}))
	f.edit(t, c.Daemons[1], 2)

	t.Log("daemon killed, log trimmed")
	f.restart(t, c, c.Daemons[1])
	f.edit(t, c.Daemons[1], 3)

	t.Log("log outage, daemon killed")
	must.NoError(t, c.Log.Post("/v1/faults", logsvc.FaultsRequest{Faults: logsvc.Faults{Refuse: true}}))
	f.restart(t, c, c.Daemons[2])
	_, err := applyPoolEdit(t.Context(), operatorClient(t, c.Daemons[2]), operate.BaseCurrent, 4)
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
	must.NoError(t, c.Log.Post("/v1/faults", logsvc.FaultsRequest{}))
	f.edit(t, c.Daemons[2], 5)

	t.Log("new log epoch, daemon killed")
	must.NoError(t, c.Log.Post("/v1/faults", logsvc.FaultsRequest{NewEpoch: true}))
	waitFor(t, "the new epoch is open", func() bool {
		s, err := operatorClient(t, c.Daemons[3]).Status(t.Context())
		return err == nil && strings.HasPrefix(s.Position, "2/")
	})
	f.edit(t, c.Daemons[3], 6)
	f.restart(t, c, c.Daemons[0])
	f.edit(t, c.Daemons[0], 7)
	must.Greater(t, 0, stop())
}

// editConcurrently lets two operators edit the pool, each on the revision that it
// read. At most one edit per base revision is accepted, and a refused one names the
// author of the winning edit.
func editConcurrently(t *testing.T, c *procs.Cluster) {
	t.Helper()
	const edits = 40
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := make(map[string]int) // accepted edits by base revision
	for w := range 2 {
		client := operatorClient(t, c.Daemons[w])
		wg.Go(func() {
			for i := range edits {
				tables, err := client.Tables(t.Context())
				if err != nil {
					t.Error(err)
					return
				}
				base := fmt.Sprint(revisionOf(tables))
				resp, err := applyPoolEdit(t.Context(), client, base, 100+i)
				switch {
				case err != nil:
					t.Error(err)
				case resp.Accepted:
					mu.Lock()
					accepted[base]++
					mu.Unlock()
				case resp.Winner == nil || resp.Winner.Author == "":
					t.Errorf("refused edit does not name the winner: %+v", resp)
				}
			}
		})
	}
	wg.Wait()
	for base, n := range accepted {
		must.Eq(t, 1, n, must.Sprintf("accepted edits with base revision %s", base))
	}
}

// Daemons that reach neither the log nor a majority must stop serving. A majority
// serves without the log. Edits require a majority, even if the log is reachable.
func TestServingDuringPartition(t *testing.T) {
	c := startCluster(t, procs.Options{Daemons: 5, EnablePartitions: true})
	waitAllJoined(t, c)
	minority, majority := c.Daemons[:2], c.Daemons[2:]
	allReady := func(want bool, daemons ...*procs.Daemon) func() bool {
		return func() bool {
			for _, d := range daemons {
				if d.Ready() != want {
					return false
				}
			}
			return true
		}
	}
	setLogFaults := func(daemons []*procs.Daemon, f faultproxy.Faults) {
		for _, d := range daemons {
			must.NoError(t, d.LogLink.SetFaults(f))
		}
	}

	blocked := faultproxy.Faults{HoldToTarget: true, HoldToClient: true}

	must.NoError(t, c.Partition(minority, majority))
	waitFor(t, "the minority, which reaches the log, reports no majority", func() bool {
		s, err := operatorClient(t, minority[0]).Status(t.Context())
		return err == nil && !s.ServingStatus.Majority && !s.ServingStatus.MayUseCold
	})
	must.True(t, allReady(true, c.Daemons...)(), must.Sprint("all daemons reach the log and must be ready"))
	_, err := applyPoolEdit(t.Context(), operatorClient(t, minority[0]), "0", 1)
	must.True(t, fault.Is(err, fault.Isolated))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)

	setLogFaults(minority, blocked)
	waitFor(t, "the minority without the log is not ready", allReady(false, minority...))
	must.True(t, allReady(true, majority...)())

	setLogFaults(majority, blocked)
	waitFor(t, "the majority serves without the log", func() bool {
		s, err := operatorClient(t, majority[0]).Status(t.Context())
		return err == nil && s.ServingStatus.Mode == "serve-stale" && s.ServingStatus.MayUseCold
	})
	must.True(t, allReady(true, majority...)())
	must.True(t, allReady(false, minority...)())

	setLogFaults(c.Daemons, faultproxy.Faults{})
	must.NoError(t, c.HealPartition())
	waitFor(t, "all daemons are ready again", allReady(true, c.Daemons...))
	waitForMajority(t, minority[0])
	resp, err := applyPoolEdit(t.Context(), operatorClient(t, minority[0]), "0", 1)
	must.NoError(t, err)
	must.Eq(t, 5, resp.Propagation.Applied)
}
