package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/replica"
)

// serveAll frees one slot after another and returns the workspaces served.
func (f *fixture) serveAll(first Grant, n int) []string {
	var order []string
	g := first
	for range n {
		f.release(g, quick())
		as := f.p.TakeDecisions()
		must.SliceLen(f.t, 1, as)
		order = append(order, as[0].Request.Workspace)
		g = *as[0].Grant
	}
	return order
}

func TestOrder(t *testing.T) {
	cases := []struct {
		name string
		fill func(f *fixture)
		want []string
	}{
		{"first come first served in one workspace", func(f *fixture) {
			f.queued(from("a"))
			f.queued(from("a"))
		}, []string{"a", "a"}},
		{"priority first", func(f *fixture) {
			f.queued(from("low"), withPriority(3))
			f.queued(from("high"), withPriority(1))
		}, []string{"high", "low"}},
		{"workspaces take turns", func(f *fixture) {
			for range 4 {
				f.queued(from("big"))
			}
			f.queued(from("small"))
			f.queued(from("small"))
		}, []string{"big", "small", "big", "small", "big", "big"}},
		{"a newcomer does not wait behind a backlog", func(f *fixture) {
			for range 20 {
				f.queued(from("big"))
			}
			f.queued(from("z"))
		}, []string{"big", "z"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Limit: 1, ColdLimit: 1}, rep("a", "f1"))
			g := f.granted()
			c.fill(f)
			must.Eq(t, c.want, f.serveAll(g, len(c.want)))
		})
	}
}

func TestLowPriorityIsNotStarved(t *testing.T) {
	f := newFixture(t, Config{Limit: 1, ColdLimit: 1}, rep("a", "f1"))
	g := f.granted()
	f.queued(from("low"), withPriority(9))
	for range 2 * lowShare {
		f.queued(from("high"))
	}
	must.SliceContains(t, f.serveAll(g, lowShare), "low")
}

func TestRefusals(t *testing.T) {
	slowPool := func(f *fixture) {
		for range speedSamples {
			f.release(f.granted(), Result{Duration: 10 * time.Second})
		}
		f.granted()
	}
	cases := []struct {
		name string
		do   func(f *fixture)
		req  func(*Request)
		kind fault.Kind
	}{
		{"a passed deadline", func(*fixture) {}, within(0), fault.Timeout},
		{"too little time by the measured rate", slowPool, within(15 * time.Second), fault.Overload},
		{"a full workspace", func(f *fixture) {
			f.granted()
			for range MaxQueuePerWorkspace {
				f.queued()
			}
		}, from("w"), fault.Overload},
		{"a full pool", func(f *fixture) {
			f.granted()
			for i := range MaxQueue {
				f.queued(from(fmt.Sprint(i)))
			}
		}, from("w"), fault.Overload},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Limit: 1, ColdLimit: 1}, rep("a", "f1"))
			c.do(f)
			_, err := f.p.Acquire(f.now, f.request(c.req))
			must.True(t, fault.Is(err, c.kind), must.Sprint(err))
			must.Eq(t, fault.NotRun, fault.As(err).Outcome)
			if c.kind == fault.Overload {
				must.Positive(t, fault.As(err).RetryAfter)
			}
		})
	}
}

func TestSmallWorkspaceIsNotRefusedForAnothersBacklog(t *testing.T) {
	f := newFixture(t, Config{Limit: 4, ColdLimit: 4}, rep("a", "f1"))
	for range speedSamples {
		f.release(f.granted(), Result{Duration: time.Second})
	}
	f.fill()
	for range 100 {
		f.queued(from("big"))
	}
	f.queued(from("small"), within(5*time.Second))
	_, err := f.p.Acquire(f.now, f.request(from("big"), within(5*time.Second)))
	must.True(t, fault.Is(err, fault.Overload))
}

func TestQueuedRequestIsRefusedInTime(t *testing.T) {
	cases := []struct {
		name   string
		status replica.Status
		kind   fault.Kind
	}{
		{"no free replica", replica.Serving, fault.Overload},
		{"no replica at all", replica.Broken, fault.Unavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Limit: 1, ColdLimit: 1}, rep("a", "f1"))
			f.granted()
			r := rep("a", "f1")
			r.Status = c.status
			f.p.SetReplicas(f.now, []replica.Replica{r})
			f.queued(within(time.Second))
			must.False(t, f.p.NextTick(f.now).After(f.now.Add(time.Second)))
			f.pass(time.Second)
			as := f.p.TakeDecisions()
			must.SliceLen(t, 1, as)
			must.True(t, fault.Is(as[0].Err, c.kind))
			must.Eq(t, fault.NotRun, fault.As(as[0].Err).Outcome)
		})
	}
}
