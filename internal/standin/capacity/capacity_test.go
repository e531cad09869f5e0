package capacity

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLimitGrows(t *testing.T) {
	now := time.Unix(0, 0)
	tests := []struct {
		name      string
		settings  Settings
		completed int
		elapsed   time.Duration
		limit     int
		cold      bool
	}{
		{"cold start", Settings{ColdLimit: 2, WarmLimit: 8, GrowthPerRequest: 1}, 0, time.Hour, 2, true},
		{"growth by completed requests", Settings{ColdLimit: 2, WarmLimit: 8, GrowthPerRequest: 0.5}, 5, 0, 4, true},
		{"growth by time since the first completed request", Settings{ColdLimit: 2, WarmLimit: 8, GrowthPerSecond: 1}, 1, 3 * time.Second, 5, true},
		{"capped at the warm limit", Settings{ColdLimit: 2, WarmLimit: 8, GrowthPerRequest: 1}, 50, 0, 8, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			limiter := New(tc.settings)
			for range tc.completed {
				admission, _, _ := limiter.Admit(now, 0)
				must.Eq(t, Admitted, admission)
				limiter.Release(now, true)
			}
			state := limiter.Snapshot(now.Add(tc.elapsed))
			must.Eq(t, tc.limit, state.Limit)
			must.Eq(t, tc.cold, state.Cold)
			limiter.ResetToCold()
			must.Eq(t, tc.settings.ColdLimit, limiter.Snapshot(now).Limit)
		})
	}
}

func TestAdmissionResults(t *testing.T) {
	now := time.Unix(0, 0)
	cold := New(Settings{ColdLimit: 1, WarmLimit: 2})
	warm := New(Settings{ColdLimit: 1, WarmLimit: 1, QueueLimit: 1})
	for i, tc := range []struct {
		limiter *Limiter
		want    Admission
	}{{cold, Admitted}, {cold, Overloaded}, {warm, Admitted}, {warm, Queued}, {warm, QueueFull}} {
		admission, _, _ := tc.limiter.Admit(now, 0)
		must.Eq(t, tc.want, admission, must.Sprint(i))
	}
}

func TestQueueHonoursPriority(t *testing.T) {
	now := time.Now
	limiter := New(Settings{ColdLimit: 1, WarmLimit: 1, QueueLimit: 4})
	limiter.Admit(now(), 0)
	_, low, _ := limiter.Admit(now(), 5)
	_, high, _ := limiter.Admit(now(), 0)
	limiter.Release(now(), true)
	must.Eq(t, SlotAcquired, limiter.Await(high, now, nil))
	callerGone := make(chan struct{})
	close(callerGone)
	must.Eq(t, CallerGone, limiter.Await(low, now, callerGone))
	must.Eq(t, Snapshot{Running: 1, Limit: 1}, limiter.Snapshot(now()))
	_, last, _ := limiter.Admit(now(), 0)
	limiter.Close()
	must.Eq(t, LimiterClosed, limiter.Await(last, now, nil))
}
