package grant

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
)

// target runs requests and judges, by itself, whether it was pushed too hard.
type target struct {
	rep   replica.Replica
	gauge *capacity.Gauge

	mu   sync.Mutex
	most int
	// broken counts the requests that found it cold and full.
	broken int
	ran    int
}

// targets returns n targets, each of which bears cold requests at first, one
// more with each that it completes, and warm in the end.
func targets(n, cold, warm int) []*target {
	var ts []*target
	for i := range n {
		ts = append(ts, &target{
			gauge: capacity.New(capacity.Settings{Cold: cold, Warm: warm, PerDone: 1, Queue: 1000}),
			rep: replica.Replica{
				ID: fmt.Sprint("r", i), Pool: "p", Incarnation: "i1", Addr: fmt.Sprint("r", i, ":80"),
				FailureDomain: fmt.Sprint("f", i%3), Status: replica.Serving,
			},
		})
	}
	return ts
}

// report brings the target's own count, as of now.
func (t *target) report() {
	t.rep.Inflight = t.gauge.Read(time.Now()).Running
	t.rep.ReportedAt = time.Now()
}

// run runs a request for a time and reports how it ended.
func (t *target) run(d time.Duration) limit.Outcome {
	verdict, _, r := t.gauge.Enter(time.Now(), 0)
	t.mu.Lock()
	t.most = max(t.most, r.Running)
	t.ran++
	if verdict != capacity.Run {
		t.broken++
	}
	t.mu.Unlock()
	if verdict != capacity.Run {
		return limit.Overloaded
	}
	time.Sleep(d)
	t.gauge.Leave(time.Now(), true)
	return limit.OK
}

// tally is what callers saw.
type tally struct {
	mu      sync.Mutex
	ok      int
	refused int
	// lastOK and gap tell the longest time without a grant.
	lastOK time.Time
	gap    time.Duration
}

func (s *tally) granted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.lastOK.IsZero() {
		s.gap = max(s.gap, now.Sub(s.lastOK))
	}
	s.lastOK = now
	s.ok++
}

func (s *tally) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
}

// call performs one request through a daemon. If the daemon dies meanwhile the
// request runs on at the target and nobody gives the grant back.
func (n *node) call(s *tally, work time.Duration) {
	now := time.Now()
	req := limit.Request{ID: ids.New(), Pool: "p", Workspace: "w", Deadline: now.Add(10 * time.Second)}
	g, err := n.m.Client.Acquire(context.Background(), req)
	if err != nil {
		s.refuse()
		return
	}
	if n.isDead() {
		return
	}
	if !g.Usable(time.Now()) {
		n.m.Client.Release(g, limit.Result{Outcome: limit.Cancelled})
		s.refuse()
		return
	}
	s.granted()
	began := time.Now()
	o := n.c.target(g.Replica).run(work)
	if !n.isDead() {
		n.m.Client.Release(g, limit.Result{Outcome: o, FirstToken: work / 10, Duration: time.Since(began)})
	}
}

func (n *node) isDead() bool {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.dead
}

func (c *cluster) target(id string) *target {
	for _, t := range c.targets {
		if t.rep.ID == id {
			return t
		}
	}
	return nil
}

// load sends requests at a steady rate through all daemons in turn for a time,
// and waits until all have ended.
func (c *cluster) load(s *tally, perSecond int, d, work time.Duration) {
	var wg sync.WaitGroup
	for i := range int(d.Seconds() * float64(perSecond)) {
		ns := c.live()
		n := ns[i%len(ns)]
		wg.Go(func() { n.call(s, work) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
}

// broken counts, over all targets, the requests that were one too many.
func (c *cluster) broken() int {
	n := 0
	for _, t := range c.targets {
		n += t.broken
	}
	return n
}
