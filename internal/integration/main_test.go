package integration

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
)

// binary is the program under test, built once with the race detector.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ragwortquay")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "ragwortquay")
	out, err := exec.Command("go", "build", "-race", "-o", binary, "../../cmd/ragwortquay").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// waitTimeout limits the wait for a condition. It is long, so that only a hang exceeds
// it.
const waitTimeout = 60 * time.Second

// startCluster starts a cluster and kills its processes at the end of the test. If the
// test has failed, it logs the status of the daemons and the logs of all processes.
func startCluster(t *testing.T, o procs.Options) *procs.Cluster {
	t.Helper()
	o.Binary, o.Dir = binary, t.TempDir()
	if len(o.Workspaces) == 0 {
		o.Workspaces = []string{"shops"}
	}
	c, err := procs.Start(o)
	t.Cleanup(func() {
		if t.Failed() {
			showStatus(t, c)
		}
		c.Close()
		if t.Failed() {
			showLogs(t, o.Dir)
		}
	})
	must.NoError(t, err)
	return c
}

// showStatus logs the status output of the running daemons.
func showStatus(t *testing.T, c *procs.Cluster) {
	for _, d := range c.Daemons {
		if !d.Running() {
			continue
		}
		out, _ := c.RunOperatorCommand(context.Background(), d, "status")
		t.Logf("--- status of %s\n%s", d.ID, out)
	}
}

// logTailBytes is the part of each log file that showLogs prints.
const logTailBytes = 6 << 10

// showLogs logs the end of each process's log file.
func showLogs(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		if len(data) > logTailBytes {
			data = data[len(data)-logTailBytes:]
		}
		if len(data) > 0 {
			t.Logf("--- %s\n%s", filepath.Base(f), data)
		}
	}
}

// applyTables applies the tables and waits until all daemons have applied them.
func applyTables(t *testing.T, c *procs.Cluster, tables string) {
	t.Helper()
	out, err := c.ApplyTables(t.Context(), c.Daemons[0], tables)
	must.NoError(t, err, must.Sprint(out))
}

// waitFor polls cond until it is true and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", waitTimeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// waitServed sends token requests to the daemon until one is completed, and returns its
// result.
func waitServed(t *testing.T, c *procs.Cluster, d *procs.Daemon, kind string) procs.Result {
	t.Helper()
	var r procs.Result
	caller := procs.NewCaller("shops")
	n := 0
	waitFor(t, "a complete response from "+d.ID, func() bool {
		n++
		r = caller.Do(context.Background(), d.CallersAddr, procs.NewGenerateCall(kind, fmt.Sprintf("warm-%s-%d", d.ID, n), "hello", 3))
		return r.Complete && r.Status == 200
	})
	return r
}

// journalEntries returns the journals of the stand-ins.
func journalEntries(t *testing.T, standins ...*procs.Standin) []journal.Entry {
	t.Helper()
	var out []journal.Entry
	for _, s := range standins {
		es, err := s.Journal()
		must.NoError(t, err)
		out = append(out, es...)
	}
	return out
}
