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

// limit bounds a test that waits for a condition; it only ends a hang.
const limit = 60 * time.Second

// startCluster starts processes and kills them at the test's end. On a failure
// the daemons' logs are shown.
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

// showStatus prints what the running daemons know.
func showStatus(t *testing.T, c *procs.Cluster) {
	for _, d := range c.Daemons {
		if !d.Running() {
			continue
		}
		out, _ := c.RunOperatorCommand(context.Background(), d, "status")
		t.Logf("--- status of %s\n%s", d.ID, out)
	}
}

// logTail is how much of each log a failure shows.
const logTail = 6 << 10

func showLogs(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		if len(data) > logTail {
			data = data[len(data)-logTail:]
		}
		if len(data) > 0 {
			t.Logf("--- %s\n%s", filepath.Base(f), data)
		}
	}
}

// apply puts tables in force on all daemons.
func apply(t *testing.T, c *procs.Cluster, tables string) {
	t.Helper()
	out, err := c.ApplyTables(t.Context(), c.Daemons[0], tables)
	must.NoError(t, err, must.Sprint(out))
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// served waits until the daemon serves a token request whole.
func served(t *testing.T, c *procs.Cluster, d *procs.Daemon, kind string) procs.Result {
	t.Helper()
	var r procs.Result
	caller := procs.NewCaller("shops")
	n := 0
	eventually(t, "a whole answer from "+d.ID, func() bool {
		n++
		r = caller.Do(context.Background(), d.CallersAddr, procs.NewGenerateCall(kind, fmt.Sprintf("warm-%s-%d", d.ID, n), "hello", 3))
		return r.Complete && r.Status == 200
	})
	return r
}

// entries returns the journal of all stand-ins.
func entries(t *testing.T, standins ...*procs.Standin) []journal.Entry {
	t.Helper()
	var out []journal.Entry
	for _, s := range standins {
		es, err := s.Journal()
		must.NoError(t, err)
		out = append(out, es...)
	}
	return out
}
