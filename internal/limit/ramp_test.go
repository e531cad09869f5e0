package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/replica"
)

func TestRamp(t *testing.T) {
	cfg := Config{Limit: 16, ColdLimit: 2}
	slow := Result{FirstToken: 5 * time.Second, Duration: 9 * time.Second}
	slowStep := Result{FirstToken: 50 * time.Millisecond, TokenInterval: time.Second, Duration: 9 * time.Second}
	steady := Result{FirstToken: 50 * time.Millisecond, TokenInterval: 20 * time.Millisecond, Duration: time.Second}
	cases := []struct {
		name string
		do   func(f *fixture)
		want int
	}{
		{"starts at the cold limit", func(*fixture) {}, 2},
		{"time alone proves nothing", func(f *fixture) { f.pass(time.Hour) }, 2},
		{"a full round of answers raises it", func(f *fixture) { f.rounds(1, quick()) }, 3},
		{"each round raises it by one", func(f *fixture) { f.rounds(3, quick()) }, 5},
		{"it ends at the limit", func(f *fixture) { f.rounds(20, quick()) }, 16},
		{"answers of a replica that was never full prove nothing", func(f *fixture) {
			for range 50 {
				f.release(f.granted(), quick())
			}
		}, 2},
		{"failures and cancellations prove nothing", func(f *fixture) {
			f.rounds(5, Result{Outcome: Failed, Duration: time.Second})
			f.rounds(5, Result{Outcome: Cancelled})
		}, 2},
		{"a refusal by the target returns to cold", func(f *fixture) {
			f.rounds(5, quick())
			f.release(f.granted(), Result{Outcome: Overloaded})
		}, 2},
		{"a crash returns to cold", func(f *fixture) {
			f.rounds(5, quick())
			f.release(f.granted(), Result{Outcome: Crashed})
		}, 2},
		{"one slow answer does not", func(f *fixture) {
			f.rounds(3, quick())
			f.release(f.granted(), slow)
		}, 5},
		{"slow first tokens in a row do", func(f *fixture) {
			f.rounds(3, quick())
			for range slowRun {
				f.release(f.granted(), slow)
			}
		}, 2},
		{"slow steps in a row do", func(f *fixture) {
			f.rounds(3, steady)
			for range slowRun {
				f.release(f.granted(), slowStep)
			}
		}, 2},
		{"a lasting change becomes the new baseline", func(f *fixture) {
			f.rounds(3, quick())
			f.rounds(40, slow)
		}, 16},
		{"a new incarnation is cold", func(f *fixture) {
			f.rounds(20, quick())
			r := rep("a", "f1")
			r.Incarnation = "i2"
			f.p.SetReplicas(f.now, []replica.Replica{r})
		}, 2},
		{"answers from before the new incarnation prove nothing", func(f *fixture) {
			gs := f.fill()
			r := rep("a", "f1")
			r.Incarnation = "i2"
			f.p.SetReplicas(f.now, []replica.Replica{r})
			for _, g := range gs {
				f.release(g, quick())
			}
		}, 2},
		{"a withdrawn domain comes back cold", func(f *fixture) {
			f.rounds(20, quick())
			f.p.Configure(f.now, Config{Limit: 16, ColdLimit: 2, Withdrawn: []string{"f1"}})
			f.p.Configure(f.now, cfg)
		}, 2},
		{"a missed report does not chill", func(f *fixture) {
			f.rounds(20, quick())
			f.p.SetReplicas(f.now, nil)
			f.pass(time.Second)
			f.p.SetReplicas(f.now, []replica.Replica{rep("a", "f1")})
		}, 16},
		{"a long absence does", func(f *fixture) {
			f.rounds(20, quick())
			f.p.SetReplicas(f.now, nil)
			f.pass(2 * coolAfter)
			f.p.SetReplicas(f.now, []replica.Replica{rep("a", "f1")})
		}, 2},
		{"a lower limit in the row binds at once", func(f *fixture) {
			f.rounds(20, quick())
			f.p.Configure(f.now, Config{Limit: 4, ColdLimit: 2})
		}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, cfg, rep("a", "f1"))
			c.do(f)
			must.Eq(t, c.want, f.p.units["a"].ramp.level)
		})
	}
}

func TestReportedWork(t *testing.T) {
	cases := []struct {
		name     string
		held     int
		released int
		after    time.Duration
		reported int
		want     int
	}{
		{"a report of what is held adds nothing", 3, 0, time.Second, 3, 3},
		{"unexplained work counts", 3, 0, time.Second, 5, 5},
		{"a lagging report of released work does not", 3, 2, time.Second, 3, 1},
		{"the same report after the lag does", 3, 2, 2 * MaxReportLag, 3, 3},
		{"a report below what is held frees nothing", 3, 0, time.Second, 0, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Limit: 8, ColdLimit: 8}, rep("a", "f1"))
			var gs []Grant
			for range c.held {
				gs = append(gs, f.granted())
			}
			for _, g := range gs[:c.released] {
				f.release(g, quick())
			}
			f.now = f.now.Add(c.after)
			r := rep("a", "f1")
			r.Inflight, r.ReportedAt = c.reported, f.now
			f.p.SetReplicas(f.now, []replica.Replica{r})
			must.Eq(t, c.want, f.p.units["a"].used())
		})
	}
}
