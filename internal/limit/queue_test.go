package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/replica"
)

// releaseInTurn releases one grant after another and returns the workspaces
// whose requests were granted, in order.
func (f *fixture) releaseInTurn(first Grant, n int) []string {
	var served []string
	g := first
	for range n {
		f.release(g, fastResult())
		decisions := f.p.TakeDecisions()
		must.SliceLen(f.t, 1, decisions)
		served = append(served, decisions[0].Request.Workspace)
		g = *decisions[0].Grant
	}
	return served
}

func TestQueueOrder(t *testing.T) {
	cases := []struct {
		name string
		fill func(f *fixture)
		want []string
	}{
		{"one workspace: in order of arrival", func(f *fixture) {
			f.mustQueue(fromWorkspace("a"))
			f.mustQueue(fromWorkspace("a"))
		}, []string{"a", "a"}},
		{"higher priority first", func(f *fixture) {
			f.mustQueue(fromWorkspace("low"), withPriority(3))
			f.mustQueue(fromWorkspace("high"), withPriority(1))
		}, []string{"high", "low"}},
		{"workspaces alternate", func(f *fixture) {
			for range 4 {
				f.mustQueue(fromWorkspace("big"))
			}
			f.mustQueue(fromWorkspace("small"))
			f.mustQueue(fromWorkspace("small"))
		}, []string{"big", "small", "big", "small", "big", "big"}},
		{"new workspace does not wait for the backlog of another", func(f *fixture) {
			for range 20 {
				f.mustQueue(fromWorkspace("big"))
			}
			f.mustQueue(fromWorkspace("z"))
		}, []string{"big", "z"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Limit: 1, ColdLimit: 1}, servingReplica("a", "f1"))
			g := f.mustGrant()
			c.fill(f)
			must.Eq(t, c.want, f.releaseInTurn(g, len(c.want)))
		})
	}
}

func TestLowPriorityIsNotStarved(t *testing.T) {
	f := newFixture(t, Config{Limit: 1, ColdLimit: 1}, servingReplica("a", "f1"))
	g := f.mustGrant()
	f.mustQueue(fromWorkspace("low"), withPriority(9))
	for range 2 * lowPriorityInterval {
		f.mustQueue(fromWorkspace("high"))
	}
	must.SliceContains(t, f.releaseInTurn(g, lowPriorityInterval), "low")
}

func TestRefusals(t *testing.T) {
	slowPool := func(f *fixture) {
		for range minDurationSamples {
			f.release(f.mustGrant(), Result{Duration: 10 * time.Second})
		}
		f.mustGrant()
	}
	cases := []struct {
		name string
		do   func(f *fixture)
		req  func(*Request)
		kind fault.Kind
	}{
		{"deadline has passed", func(*fixture) {}, withTimeout(0), fault.Timeout},
		{"deadline before the estimated completion", slowPool, withTimeout(15 * time.Second), fault.Overload},
		{"workspace queue is full", func(f *fixture) {
			f.mustGrant()
			for range MaxQueuePerWorkspace {
				f.mustQueue()
			}
		}, fromWorkspace("w"), fault.Overload},
		{"pool queue is full", func(f *fixture) {
			f.mustGrant()
			for i := range MaxQueue {
				f.mustQueue(fromWorkspace(fmt.Sprint(i)))
			}
		}, fromWorkspace("w"), fault.Overload},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Limit: 1, ColdLimit: 1}, servingReplica("a", "f1"))
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

func TestBacklogOfOneWorkspaceDoesNotRefuseAnother(t *testing.T) {
	f := newFixture(t, Config{Limit: 4, ColdLimit: 4}, servingReplica("a", "f1"))
	for range minDurationSamples {
		f.release(f.mustGrant(), Result{Duration: time.Second})
	}
	f.fill()
	for range 100 {
		f.mustQueue(fromWorkspace("big"))
	}
	f.mustQueue(fromWorkspace("small"), withTimeout(5*time.Second))
	_, err := f.p.Acquire(f.now, f.request(fromWorkspace("big"), withTimeout(5*time.Second)))
	must.True(t, fault.Is(err, fault.Overload))
}

func TestQueuedRequestIsRefusedByDeadline(t *testing.T) {
	cases := []struct {
		name   string
		status replica.Status
		kind   fault.Kind
	}{
		{"no replica with free capacity", replica.Serving, fault.Overload},
		{"no available replica", replica.Broken, fault.Unavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Limit: 1, ColdLimit: 1}, servingReplica("a", "f1"))
			f.mustGrant()
			r := servingReplica("a", "f1")
			r.Status = c.status
			f.p.SetReplicas(f.now, []replica.Replica{r})
			f.mustQueue(withTimeout(time.Second))
			must.False(t, f.p.NextTick(f.now).After(f.now.Add(time.Second)))
			f.advance(time.Second)
			decisions := f.p.TakeDecisions()
			must.SliceLen(t, 1, decisions)
			must.True(t, fault.Is(decisions[0].Err, c.kind))
			must.Eq(t, fault.NotRun, fault.As(decisions[0].Err).Outcome)
		})
	}
}
