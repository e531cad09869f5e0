package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/replica"
)

func TestRamp(t *testing.T) {
	cfg := Config{Limit: 16, ColdLimit: 2}
	slowFirstToken := Result{FirstToken: 5 * time.Second, Duration: 9 * time.Second}
	slowInterval := Result{FirstToken: 50 * time.Millisecond, TokenInterval: time.Second, Duration: 9 * time.Second}
	steady := Result{FirstToken: 50 * time.Millisecond, TokenInterval: 20 * time.Millisecond, Duration: time.Second}
	cases := []struct {
		name string
		do   func(f *fixture)
		want int
	}{
		{"starts at the cold limit", func(*fixture) {}, 2},
		{"passing time does not raise the level", func(f *fixture) { f.advance(time.Hour) }, 2},
		{"a full round of responses raises the level", func(f *fixture) { f.runRounds(1, fastResult()) }, 3},
		{"each round raises the level by one", func(f *fixture) { f.runRounds(3, fastResult()) }, 5},
		{"the level stops at the limit", func(f *fixture) { f.runRounds(20, fastResult()) }, 16},
		{"responses below the level do not raise it", func(f *fixture) {
			for range 50 {
				f.release(f.mustGrant(), fastResult())
			}
		}, 2},
		{"failures and cancellations do not raise the level", func(f *fixture) {
			f.runRounds(5, Result{Outcome: Failed, Duration: time.Second})
			f.runRounds(5, Result{Outcome: Cancelled})
		}, 2},
		{"an overloaded target becomes cold", func(f *fixture) {
			f.runRounds(5, fastResult())
			f.release(f.mustGrant(), Result{Outcome: Overloaded})
		}, 2},
		{"a crashed target becomes cold", func(f *fixture) {
			f.runRounds(5, fastResult())
			f.release(f.mustGrant(), Result{Outcome: Crashed})
		}, 2},
		{"one slow response does not lower the level", func(f *fixture) {
			f.runRounds(3, fastResult())
			f.release(f.mustGrant(), slowFirstToken)
		}, 5},
		{"consecutive slow first tokens make it cold", func(f *fixture) {
			f.runRounds(3, fastResult())
			for range slowResponsesUntilCold {
				f.release(f.mustGrant(), slowFirstToken)
			}
		}, 2},
		{"consecutive slow token intervals make it cold", func(f *fixture) {
			f.runRounds(3, steady)
			for range slowResponsesUntilCold {
				f.release(f.mustGrant(), slowInterval)
			}
		}, 2},
		{"a lasting change becomes the new baseline", func(f *fixture) {
			f.runRounds(3, fastResult())
			f.runRounds(40, slowFirstToken)
		}, 16},
		{"a new incarnation is cold", func(f *fixture) {
			f.runRounds(20, fastResult())
			r := servingReplica("a", "f1")
			r.Incarnation = "i2"
			f.p.SetReplicas(f.now, []replica.Replica{r})
		}, 2},
		{"responses of the earlier incarnation do not raise the level", func(f *fixture) {
			gs := f.fill()
			r := servingReplica("a", "f1")
			r.Incarnation = "i2"
			f.p.SetReplicas(f.now, []replica.Replica{r})
			for _, g := range gs {
				f.release(g, fastResult())
			}
		}, 2},
		{"a replica is cold after its domain was withdrawn", func(f *fixture) {
			f.runRounds(20, fastResult())
			f.p.Configure(f.now, Config{Limit: 16, ColdLimit: 2, Withdrawn: []string{"f1"}})
			f.p.Configure(f.now, cfg)
		}, 2},
		{"a short unavailability does not make it cold", func(f *fixture) {
			f.runRounds(20, fastResult())
			f.p.SetReplicas(f.now, nil)
			f.advance(time.Second)
			f.p.SetReplicas(f.now, []replica.Replica{servingReplica("a", "f1")})
		}, 16},
		{"a long unavailability makes it cold", func(f *fixture) {
			f.runRounds(20, fastResult())
			f.p.SetReplicas(f.now, nil)
			f.advance(2 * coldAfterUnavailable)
			f.p.SetReplicas(f.now, []replica.Replica{servingReplica("a", "f1")})
		}, 2},
		{"a lower configured limit applies at once", func(f *fixture) {
			f.runRounds(20, fastResult())
			f.p.Configure(f.now, Config{Limit: 4, ColdLimit: 2})
		}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, cfg, servingReplica("a", "f1"))
			c.do(f)
			must.Eq(t, c.want, f.p.replicas["a"].ramp.level)
		})
	}
}

func TestUnattributedWork(t *testing.T) {
	cases := []struct {
		name     string
		held     int
		released int
		after    time.Duration
		reported int
		want     int
	}{
		{"report equal to the held grants", 3, 0, time.Second, 3, 3},
		{"report above the held grants", 3, 0, time.Second, 5, 5},
		{"lagging report that still counts released work", 3, 2, time.Second, 3, 1},
		{"same report after the lag", 3, 2, 2 * MaxReportLag, 3, 3},
		{"report below the held grants", 3, 0, time.Second, 0, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Limit: 8, ColdLimit: 8}, servingReplica("a", "f1"))
			var gs []Grant
			for range c.held {
				gs = append(gs, f.mustGrant())
			}
			for _, g := range gs[:c.released] {
				f.release(g, fastResult())
			}
			f.now = f.now.Add(c.after)
			r := servingReplica("a", "f1")
			r.Inflight, r.ReportedAt = c.reported, f.now
			f.p.SetReplicas(f.now, []replica.Replica{r})
			must.Eq(t, c.want, f.p.replicas["a"].used())
		})
	}
}
