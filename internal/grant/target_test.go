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

// target runs requests and detects by itself whether it is overloaded.
type target struct {
	replica replica.Replica
	limiter *capacity.Limiter

	mu         sync.Mutex
	maxRunning int
	// overloads counts the requests that arrived while the target was cold and
	// at its capacity.
	overloads int
	requests  int
}

// targets returns n targets. Each can run as many requests at once as cold at
// first, one more after each that it completes, and warm at most.
func targets(n, cold, warm int) []*target {
	var ts []*target
	for i := range n {
		ts = append(ts, &target{
			limiter: capacity.New(capacity.Settings{ColdLimit: cold, WarmLimit: warm, GrowthPerRequest: 1, QueueLimit: 1000}),
			replica: replica.Replica{
				ID: fmt.Sprint("r", i), Pool: "p", Incarnation: "i1", Addr: fmt.Sprint("r", i, ":80"),
				FailureDomain: fmt.Sprint("f", i%3), Status: replica.Serving,
			},
		})
	}
	return ts
}

// report updates the replica's reported work to the present count.
func (t *target) report() {
	t.replica.Inflight = t.limiter.Snapshot(time.Now()).Running
	t.replica.ReportedAt = time.Now()
}

// run runs a request for d and returns how it ended.
func (t *target) run(d time.Duration) limit.Outcome {
	verdict, _, r := t.limiter.Admit(time.Now(), 0)
	t.mu.Lock()
	t.maxRunning = max(t.maxRunning, r.Running)
	t.requests++
	if verdict != capacity.Admitted {
		t.overloads++
	}
	t.mu.Unlock()
	if verdict != capacity.Admitted {
		return limit.Overloaded
	}
	time.Sleep(d)
	t.limiter.Release(time.Now(), true)
	return limit.OK
}

// callerStats counts what callers observed.
type callerStats struct {
	mu      sync.Mutex
	granted int
	refused int
	// lastGrant is the time of the last grant, maxGap the longest time without
	// one.
	lastGrant time.Time
	maxGap    time.Duration
}

func (stats *callerStats) addGranted() {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	now := time.Now()
	if !stats.lastGrant.IsZero() {
		stats.maxGap = max(stats.maxGap, now.Sub(stats.lastGrant))
	}
	stats.lastGrant = now
	stats.granted++
}

func (stats *callerStats) addRefused() {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.refused++
}

// call performs one request through a daemon. If the daemon dies meanwhile, the
// request continues at the target and its grant is never released.
func (n *node) call(stats *callerStats, work time.Duration) {
	now := time.Now()
	req := limit.Request{ID: ids.New(), Pool: "p", Workspace: "w", Deadline: now.Add(10 * time.Second)}
	g, err := n.manager.Client.Acquire(context.Background(), req)
	if err != nil {
		stats.addRefused()
		return
	}
	if n.isDead() {
		return
	}
	if !g.Usable(time.Now()) {
		n.manager.Client.Release(g, limit.Result{Outcome: limit.Cancelled})
		stats.addRefused()
		return
	}
	stats.addGranted()
	began := time.Now()
	outcome := n.cluster.target(g.Replica).run(work)
	if !n.isDead() {
		n.manager.Client.Release(g, limit.Result{Outcome: outcome, FirstToken: work / 10, Duration: time.Since(began)})
	}
}

func (n *node) isDead() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.dead
}

func (c *cluster) target(id string) *target {
	for _, t := range c.targets {
		if t.replica.ID == id {
			return t
		}
	}
	return nil
}

// runLoad sends requests at a steady rate through all daemons in turn for d and
// waits until all have ended.
func (c *cluster) runLoad(stats *callerStats, perSecond int, d, work time.Duration) {
	var wg sync.WaitGroup
	for i := range int(d.Seconds() * float64(perSecond)) {
		ns := c.live()
		n := ns[i%len(ns)]
		wg.Go(func() { n.call(stats, work) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
}

// overloads returns the number of requests, over all targets, that arrived at a
// target at its capacity.
func (c *cluster) overloads() int {
	n := 0
	for _, t := range c.targets {
		n += t.overloads
	}
	return n
}
