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

// editWait bounds the wait for an edit to be in force; it only ends a hang.
const editWait = 30 * time.Second

func operator(t *testing.T, d *procs.Daemon) *admin.Client {
	t.Helper()
	c, err := admin.NewClient("http://"+d.OperatorsAddr, procs.OperatorToken)
	must.NoError(t, err)
	return c
}

func allJoined(t *testing.T, c *procs.Cluster) {
	t.Helper()
	client := operator(t, c.Daemons[0])
	eventually(t, "all joined", func() bool {
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

// seesMajority waits until the daemon takes edits: one that has just started
// does not hear the others yet.
func seesMajority(t *testing.T, d *procs.Daemon) {
	t.Helper()
	client := operator(t, d)
	defer client.Close()
	eventually(t, d.ID+" sees a majority", func() bool {
		s, err := client.Status(t.Context())
		return err == nil && s.ServingStatus.Majority && s.ServingStatus.Mode == "serve"
	})
}

// editRow changes the one row of these tests; base is a revision or "current".
func editRow(ctx context.Context, c *admin.Client, base string, limit int) (operate.ApplyResponse, error) {
	row := &tablefile.Pool{Name: "p", Kind: table.KindService, VMs: []string{"x"}, Limit: limit}
	return c.Apply(ctx, operate.ApplyRequest{
		Changes: []operate.Change{{Base: base, SetPool: row}}, Wait: tomlfile.Duration(editWait),
	})
}

// floor is the highest revision that is known to be in force everywhere.
type floor struct {
	revision atomic.Uint64
	// daemons guards the daemons' addresses, which a restart changes.
	daemons sync.RWMutex
}

func (f *floor) raise(r uint64) {
	for old := f.revision.Load(); r > old && !f.revision.CompareAndSwap(old, r); old = f.revision.Load() {
	}
}

// watch reads the row from each daemon over and over: a daemon that is ready
// before and after must never show less than what was in force before.
func (f *floor) watch(t *testing.T, daemons []*procs.Daemon) (stop func() int64) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var seen atomic.Int64
	for _, d := range daemons {
		wg.Go(func() {
			for ctx.Err() == nil {
				seen.Add(f.look(ctx, t, d))
			}
		})
	}
	return func() int64 {
		cancel()
		wg.Wait()
		return seen.Load()
	}
}

// look returns 1 if the daemon was ready and showed its row.
func (f *floor) look(ctx context.Context, t *testing.T, d *procs.Daemon) int64 {
	f.daemons.RLock()
	defer f.daemons.RUnlock()
	least, ready := f.revision.Load(), d.Ready()
	client := operator(t, d)
	defer client.Close()
	tables, err := client.Tables(ctx)
	if err != nil || !ready || !d.Ready() {
		return 0
	}
	if got := revisionOf(tables); got < least {
		t.Errorf("%s shows revision %d after %d was in force on all", d.ID, got, least)
	}
	return 1
}

func revisionOf(t operate.Tables) uint64 {
	if len(t.Pools) == 0 {
		return 0
	}
	return t.Pools[0].Stamp.Revision
}

func (f *floor) edit(t *testing.T, d *procs.Daemon, limit int) {
	t.Helper()
	seesMajority(t, d)
	a, err := editRow(t.Context(), operator(t, d), operate.BaseCurrent, limit)
	must.NoError(t, err)
	must.True(t, a.Accepted, must.Sprint(a.Reason))
	must.SliceEmpty(t, a.Propagation.Missing)
	f.raise(a.Rows[0].Revision)
}

func (f *floor) restart(t *testing.T, c *procs.Cluster, d *procs.Daemon) {
	t.Helper()
	d.Kill()
	f.daemons.Lock()
	err := c.Restart(d)
	f.daemons.Unlock()
	must.NoError(t, err)
	must.NoError(t, d.WaitReady(time.Now().Add(limit)))
}

// An accepted configuration is in force everywhere and never reverts: through
// racing operators, lost answers, a log that keeps few records, killed daemons,
// a long outage with a restart in it, and the log set up anew.
func TestConfigurationNeverReverts(t *testing.T) {
	c := startCluster(t, procs.Options{Daemons: 4, Log: procs.Args{"--keep-records", "30"}})
	allJoined(t, c)
	var f floor
	stop := f.watch(t, c.Daemons)
	f.edit(t, c.Daemons[0], 1)

	t.Log("racing operators, a third of the appends' answers lost")
	must.NoError(t, c.Log.Post("/v1/faults", logsvc.FaultsRequest{Faults: logsvc.Faults{DropResponseRatio: 0.33, Seed: 7}}))
	race(t, c)
	must.NoError(t, c.Log.Post("/v1/faults", logsvc.FaultsRequest{}))
	f.edit(t, c.Daemons[1], 2)

	t.Log("killed daemon, trimmed log")
	f.restart(t, c, c.Daemons[1])
	f.edit(t, c.Daemons[1], 3)

	t.Log("outage, killed daemon")
	must.NoError(t, c.Log.Post("/v1/faults", logsvc.FaultsRequest{Faults: logsvc.Faults{Refuse: true}}))
	f.restart(t, c, c.Daemons[2])
	_, err := editRow(t.Context(), operator(t, c.Daemons[2]), operate.BaseCurrent, 4)
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
	must.NoError(t, c.Log.Post("/v1/faults", logsvc.FaultsRequest{}))
	f.edit(t, c.Daemons[2], 5)

	t.Log("log set up anew, killed daemon")
	must.NoError(t, c.Log.Post("/v1/faults", logsvc.FaultsRequest{NewEpoch: true}))
	eventually(t, "the new epoch is open", func() bool {
		s, err := operator(t, c.Daemons[3]).Status(t.Context())
		return err == nil && strings.HasPrefix(s.Position, "2/")
	})
	f.edit(t, c.Daemons[3], 6)
	f.restart(t, c, c.Daemons[0])
	f.edit(t, c.Daemons[0], 7)
	must.Greater(t, 0, stop())
}

// race lets two operators edit the row from what they see: of two that saw the
// same revision one wins, and the other is told who.
func race(t *testing.T, c *procs.Cluster) {
	t.Helper()
	const edits = 40
	var wg sync.WaitGroup
	var mu sync.Mutex
	won := make(map[string]int)
	for w := range 2 {
		client := operator(t, c.Daemons[w])
		wg.Go(func() {
			for i := range edits {
				tables, err := client.Tables(t.Context())
				if err != nil {
					t.Error(err)
					return
				}
				base := fmt.Sprint(revisionOf(tables))
				a, err := editRow(t.Context(), client, base, 100+i)
				switch {
				case err != nil:
					t.Error(err)
				case a.Accepted:
					mu.Lock()
					won[base]++
					mu.Unlock()
				case a.Winner == nil || a.Winner.Author == "":
					t.Errorf("the loser is not told who won: %+v", a)
				}
			}
		})
	}
	wg.Wait()
	for base, n := range won {
		must.Eq(t, 1, n, must.Sprintf("edits accepted on revision %s", base))
	}
}

// A side that reaches neither the log nor a majority stops; a majority goes on
// without the log; edits need a majority in sight.
func TestWhoServesInAPartition(t *testing.T) {
	c := startCluster(t, procs.Options{Daemons: 5, EnablePartitions: true})
	allJoined(t, c)
	minority, majority := c.Daemons[:2], c.Daemons[2:]
	ready := func(want bool, daemons ...*procs.Daemon) func() bool {
		return func() bool {
			for _, d := range daemons {
				if d.Ready() != want {
					return false
				}
			}
			return true
		}
	}
	cutLog := func(daemons []*procs.Daemon, f faultproxy.Faults) {
		for _, d := range daemons {
			must.NoError(t, d.LogLink.SetFaults(f))
		}
	}

	silent := faultproxy.Faults{HoldToTarget: true, HoldToClient: true}

	must.NoError(t, c.Partition(minority, majority))
	eventually(t, "the minority with the log sees no majority", func() bool {
		s, err := operator(t, minority[0]).Status(t.Context())
		return err == nil && !s.ServingStatus.Majority && !s.ServingStatus.MayUseCold
	})
	must.True(t, ready(true, c.Daemons...)(), must.Sprint("all read the log"))
	_, err := editRow(t.Context(), operator(t, minority[0]), "0", 1)
	must.True(t, fault.Is(err, fault.Isolated))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)

	cutLog(minority, silent)
	eventually(t, "the minority without the log stops", ready(false, minority...))
	must.True(t, ready(true, majority...)())

	cutLog(majority, silent)
	eventually(t, "the majority serves without the log", func() bool {
		s, err := operator(t, majority[0]).Status(t.Context())
		return err == nil && s.ServingStatus.Mode == "serve-stale" && s.ServingStatus.MayUseCold
	})
	must.True(t, ready(true, majority...)())
	must.True(t, ready(false, minority...)())

	cutLog(c.Daemons, faultproxy.Faults{})
	must.NoError(t, c.HealPartition())
	eventually(t, "all serve again", ready(true, c.Daemons...))
	seesMajority(t, minority[0])
	a, err := editRow(t.Context(), operator(t, minority[0]), "0", 1)
	must.NoError(t, err)
	must.Eq(t, 5, a.Propagation.Applied)
}
