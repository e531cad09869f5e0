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
		{"cold start", Settings{ColdLimit: 2, WarmLimit: 8, GrowthPerRequest: 1}, 0, time.Hour, 2, true},
		{"by completed requests", Settings{ColdLimit: 2, WarmLimit: 8, GrowthPerRequest: 0.5}, 5, 0, 4, true},
		{"by time since the first", Settings{ColdLimit: 2, WarmLimit: 8, GrowthPerSecond: 1}, 1, 3 * time.Second, 5, true},
		{"never above warm", Settings{ColdLimit: 2, WarmLimit: 8, GrowthPerRequest: 1}, 50, 0, 8, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := New(tc.set)
			for range tc.done {
				v, _, _ := g.Admit(now, 0)
				must.Eq(t, Admitted, v)
				g.Release(now, true)
			}
			r := g.Snapshot(now.Add(tc.after))
			must.Eq(t, tc.limit, r.Limit)
			must.Eq(t, tc.cold, r.Cold)
			g.ResetToCold()
			must.Eq(t, tc.set.ColdLimit, g.Snapshot(now).Limit)
		})
	}
}

func TestEnterVerdicts(t *testing.T) {
	now := time.Unix(0, 0)
	cold := New(Settings{ColdLimit: 1, WarmLimit: 2})
	warm := New(Settings{ColdLimit: 1, WarmLimit: 1, QueueLimit: 1})
	for i, tc := range []struct {
		g    *Limiter
		want Admission
	}{{cold, Admitted}, {cold, Overloaded}, {warm, Admitted}, {warm, Queued}, {warm, QueueFull}} {
		v, _, _ := tc.g.Admit(now, 0)
		must.Eq(t, tc.want, v, must.Sprint(i))
	}
}

func TestQueueHonoursPriority(t *testing.T) {
	now := time.Now
	g := New(Settings{ColdLimit: 1, WarmLimit: 1, QueueLimit: 4})
	g.Admit(now(), 0)
	_, low, _ := g.Admit(now(), 5)
	_, high, _ := g.Admit(now(), 0)
	g.Release(now(), true)
	must.Eq(t, SlotAcquired, g.Await(high, now, nil))
	gone := make(chan struct{})
	close(gone)
	must.Eq(t, CallerGone, g.Await(low, now, gone))
	must.Eq(t, Snapshot{Running: 1, Limit: 1}, g.Snapshot(now()))
	_, last, _ := g.Admit(now(), 0)
	g.Close()
	must.Eq(t, LimiterClosed, g.Await(last, now, nil))
}
