package capacity

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLimitGrows(t *testing.T) {
	now := time.Unix(0, 0)
	tests := []struct {
		name  string
		set   Settings
		done  int
		after time.Duration
		limit int
		cold  bool
	}{
		{"cold start", Settings{Cold: 2, Warm: 8, PerDone: 1}, 0, time.Hour, 2, true},
		{"by completed requests", Settings{Cold: 2, Warm: 8, PerDone: 0.5}, 5, 0, 4, true},
		{"by time since the first", Settings{Cold: 2, Warm: 8, PerSecond: 1}, 1, 3 * time.Second, 5, true},
		{"never above warm", Settings{Cold: 2, Warm: 8, PerDone: 1}, 50, 0, 8, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := New(tc.set)
			for range tc.done {
				v, _, _ := g.Enter(now, 0)
				must.Eq(t, Run, v)
				g.Leave(now, true)
			}
			r := g.Read(now.Add(tc.after))
			must.Eq(t, tc.limit, r.Limit)
			must.Eq(t, tc.cold, r.Cold)
			g.Reset()
			must.Eq(t, tc.set.Cold, g.Read(now).Limit)
		})
	}
}

func TestEnterVerdicts(t *testing.T) {
	now := time.Unix(0, 0)
	cold := New(Settings{Cold: 1, Warm: 2})
	warm := New(Settings{Cold: 1, Warm: 1, Queue: 1})
	for i, tc := range []struct {
		g    *Gauge
		want Verdict
	}{{cold, Run}, {cold, Break}, {warm, Run}, {warm, Wait}, {warm, Full}} {
		v, _, _ := tc.g.Enter(now, 0)
		must.Eq(t, tc.want, v, must.Sprint(i))
	}
}

func TestQueueHonoursPriority(t *testing.T) {
	now := time.Now
	g := New(Settings{Cold: 1, Warm: 1, Queue: 4})
	g.Enter(now(), 0)
	_, low, _ := g.Enter(now(), 5)
	_, high, _ := g.Enter(now(), 0)
	g.Leave(now(), true)
	must.Eq(t, Taken, g.Await(high, now, nil))
	gone := make(chan struct{})
	close(gone)
	must.Eq(t, Left, g.Await(low, now, gone))
	must.Eq(t, Reading{Running: 1, Limit: 1}, g.Read(now()))
	_, last, _ := g.Enter(now(), 0)
	g.Close()
	must.Eq(t, Closed, g.Await(last, now, nil))
}
