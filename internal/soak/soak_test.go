package soak

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

func TestASeedGivesOneSchedule(t *testing.T) {
	a, b := Schedule(7, time.Minute), Schedule(7, time.Minute)
	must.Eq(t, a, b)
	must.NotEq(t, a, Schedule(8, time.Minute))
	seen := map[Kind]bool{}
	for seed := range uint64(20) {
		for _, f := range Schedule(seed, time.Minute) {
			must.Less(t, time.Minute, f.At)
			must.Between(t, leastFor, f.Duration, mostFor)
			seen[f.Kind] = true
		}
	}
	for _, k := range kinds {
		must.True(t, seen[k], must.Sprintf("%s is never drawn", k))
	}
}

// TestChecksFindWhatIsBroken gives each check evidence of a broken promise, and
// of the allowed case next to it.
func TestChecksFindWhatIsBroken(t *testing.T) {
	now := time.Unix(1000, 0)
	whole := func(body string) site.Response { return site.Response{Status: 200, BodyComplete: true, Body: body} }
	once := site.Request{ID: "r", Path: site.NonIdempotentPath, APIKey: "key-1"}
	read := site.Request{ID: "r", Path: site.IdempotentPath, APIKey: "key-1"}
	stream := site.Request{ID: "r", Path: site.StreamPath, APIKey: "key-1"}
	run := func(at time.Time) site.Execution { return site.Execution{RequestID: "r", EngineID: "i", At: at} }
	lost := errors.New("EOF")
	stopped := func(s GracefulStop) []GracefulStop { return []GracefulStop{s} }
	cases := []struct {
		name string
		e    Evidence
		want string
	}{
		{"ran once", Evidence{Observations: []Observation{{Request: once, Response: whole("ok")}}, Executions: []site.Execution{run(now)}}, ""},
		{"ran twice", Evidence{Observations: []Observation{{Request: once, Err: lost}}, Executions: []site.Execution{run(now), run(now)}}, "ran 2 times"},
		{"an idempotent one may", Evidence{Observations: []Observation{{Request: read, Response: whole("ok")}}, Executions: []site.Execution{run(now), run(now)}}, ""},
		{"a true refusal", Evidence{Observations: []Observation{{Request: read, Response: site.Response{Status: 503, NotExecuted: true}}}}, ""},
		{"a false refusal", Evidence{Observations: []Observation{{Request: read, Response: site.Response{Status: 503, NotExecuted: true}}}, Executions: []site.Execution{run(now)}}, "not to have run"},
		{"an answer of nobody", Evidence{Observations: []Observation{{Request: once, Response: whole("ok")}}}, "no engine ran it"},
		{"a whole stream", Evidence{Observations: []Observation{{Request: stream, Response: whole("id: 1\n\nid: 2\n\n")}}, Executions: []site.Execution{run(now)}}, ""},
		{"a gap", Evidence{Observations: []Observation{{Request: stream, Response: whole("id: 1\n\nid: 3\n\n")}}, Executions: []site.Execution{run(now)}}, "follows event 1"},
		{"an event twice", Evidence{Observations: []Observation{{Request: stream, Response: whole("id: 1\n\nid: 1\n\n")}}, Executions: []site.Execution{run(now)}}, "follows event 1"},
		{"a short stream with a proper end", Evidence{Observations: []Observation{{Request: stream, Response: whole("id: 1\n\n")}}, Executions: []site.Execution{run(now)}}, "1 of 2 events"},
		{"a stream that was cut", Evidence{Observations: []Observation{{Request: stream, Response: site.Response{Status: 200, Body: "id: 1\n\n"}}}, Executions: []site.Execution{run(now)}}, ""},
		{
			"a key within its bound",
			Evidence{Observations: []Observation{{Request: once, StartedAt: now.Add(time.Second)}}, Executions: []site.Execution{run(now.Add(3 * time.Second))}, RevokedAt: map[string]time.Time{"key-1": now}},
			"",
		},
		{
			"a key after its bound",
			Evidence{Observations: []Observation{{Request: once, StartedAt: now.Add(time.Second)}}, Executions: []site.Execution{run(now.Add(4 * time.Second))}, RevokedAt: map[string]time.Time{"key-1": now}},
			"after its key was revoked",
		},
		{"a member of a serving group", Evidence{DisruptiveJoins: []string{"i-1 joined g2"}}, "member taken"},
		{"a daemon that does not stop", Evidence{Stops: stopped(GracefulStop{At: now})}, "did not end"},
		{"a daemon that was killed while it stopped", Evidence{Stops: stopped(GracefulStop{At: now, Disturbed: true})}, ""},
		{
			"no answer at a stop",
			Evidence{Observations: []Observation{{Request: once, Err: lost, StartedAt: now.Add(-time.Second), EndedAt: now.Add(time.Second)}}, Stops: stopped(GracefulStop{At: now, Exited: true})},
			"stopped in order",
		},
		{
			"no answer of another daemon",
			Evidence{Observations: []Observation{{Request: once, Err: lost, Daemon: 1, StartedAt: now.Add(-time.Second), EndedAt: now.Add(time.Second)}}, Stops: stopped(GracefulStop{At: now, Exited: true})},
			"",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.e.EventsPerStream, c.e.RevokeBound = 2, 3*time.Second
			broken := Check(&c.e)
			if c.want == "" {
				must.Len(t, 0, broken)
				return
			}
			must.Len(t, 1, broken)
			must.StrContains(t, broken[0], c.want)
		})
	}
}

// regressions are the seeds that found a fault, with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "none: the seed that CI runs"},
}

// runFor is how long each seed injects faults in CI; fresh seeds run longer by hand.
const runFor = 6 * time.Second

func TestSeedsThatFailedOnce(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "ragwortquay")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/ragwortquay")
	out, err := build.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	for _, r := range regressions {
		dir := t.TempDir()
		result, err := Run(t.Context(), Options{Binary: binary, Dir: dir, Seed: r.seed, FaultsFor: runFor, Log: t.Logf})
		must.NoError(t, err)
		if len(result.Violations) > 0 {
			showLogs(t, dir)
		}
		must.Len(t, 0, result.Violations, must.Sprintf("seed %d (%s): %s", r.seed, r.cause, strings.Join(result.Violations, "; ")))
		must.Positive(t, result.Answered)
	}
}

// shownBytes is how much of each log a failure shows.
const shownBytes = 8 << 10

func showLogs(t *testing.T, dir string) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	must.NoError(t, err)
	for _, f := range files {
		data, err := os.ReadFile(f)
		must.NoError(t, err)
		t.Logf("--- %s\n%s", f, data[max(0, len(data)-shownBytes):])
	}
}
