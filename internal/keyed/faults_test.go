package keyed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/once"
)

const (
	faultTestKeys  = 100
	requestsPerKey = 4
)

// executionLog counts the executions of each key at the target, and the results
// returned to callers by kind.
type executionLog struct {
	mu   sync.Mutex
	runs map[string]int
	// falseNotRun counts the results with outcome NotRun for a key that had already
	// run.
	falseNotRun int
	results     map[string]int
}

func (executions *executionLog) addRun(key string) {
	executions.mu.Lock()
	defer executions.mu.Unlock()
	executions.runs[key]++
}

func (executions *executionLog) addResult(kind string) {
	executions.mu.Lock()
	defer executions.mu.Unlock()
	executions.results[kind]++
}

func (executions *executionLog) addNotRun(key string) {
	executions.mu.Lock()
	defer executions.mu.Unlock()
	if executions.runs[key] > 0 {
		executions.falseNotRun++
	}
}

// TestNoKeyRunsTwiceUnderFaults sends each key several times through random daemons while
// the log loses responses, refuses calls and hangs, homes are paused and the daemons'
// views of the live ones differ. No key may run twice, and a recorded result must be
// that of the key's execution.
func TestNoKeyRunsTwiceUnderFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runUnderFaults(t, seed) })
	}
}

func runUnderFaults(t *testing.T, seed uint64) {
	c := newCluster(t, 3, nil)
	executions := &executionLog{runs: map[string]int{}, results: map[string]int{}}
	ctx, stop := context.WithCancel(context.Background())
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		c.injectFaults(ctx, rand.New(rand.NewPCG(seed, 0)))
	}()
	var wg sync.WaitGroup
	for k := range faultTestKeys {
		r := rand.New(rand.NewPCG(seed, uint64(k+1)))
		in := newIntent(fmt.Sprint(k))
		for range requestsPerKey {
			n := c.nodes[fmt.Sprintf("d%d", r.IntN(3))]
			limit := time.Duration(50+r.IntN(800)) * time.Millisecond
			fate := r.IntN(4)
			wg.Go(func() { executions.addResult(n.serve(executions, in, limit, fate)) })
		}
		if k%10 == 9 {
			wg.Wait()
		}
	}
	wg.Wait()
	stop()
	<-faults
	c.clearFaults()
	for key, n := range executions.runs {
		test.Eq(t, 1, n, test.Sprint(key))
	}
	t.Logf("%d keys ran; results returned to callers: %v", len(executions.runs), executions.results)
	must.Positive(t, len(executions.runs))
	t.Logf("outcome NotRun reported for keys that had run: %d", executions.falseNotRun)
	test.Eq(t, len(executions.runs), executions.results["ran"])
	test.Zero(t, executions.results["result of another key"])
	for _, n := range c.nodes {
		n.flush(t)
	}
	c.verify(t, executions)
}

// serve handles one request as a daemon does: it claims the key, runs the request and
// records the result. If fate is 0 it withdraws the attempt before sending; if fate
// is 1 it records no result, as if it had died after sending.
func (n *node) serve(executions *executionLog, in once.Intent, limit time.Duration, fate int) string {
	ctx, cancel := timeoutContext(limit)
	defer cancel()
	d, err := n.Client.Claim(ctx, in)
	switch {
	case err != nil:
		if fault.As(err).Outcome == fault.NotRun {
			executions.addNotRun(in.Key)
		}
		return "error: " + fault.As(err).Outcome.String()
	case d.Verdict == once.Finished:
		if string(d.Result.Body) != in.Key {
			return "result of another key"
		}
		return "replayed"
	case fate == 0:
		n.Client.Abandon(d.Attempt)
		return "withdrawn"
	}
	executions.addRun(in.Key)
	if fate != 1 {
		n.Client.Finish(d.Attempt, once.Result{Outcome: fault.Ran, Body: []byte(in.Key)})
	}
	return "ran"
}

// injectFaults injects or clears random faults every 5 to 34 ms until ctx is done.
func (c *cluster) injectFaults(ctx context.Context, r *rand.Rand) {
	names := []string{"d0", "d1", "d2"}
	for pause.For(ctx, time.Duration(5+r.IntN(30))*time.Millisecond) {
		n := c.nodes[names[r.IntN(3)]]
		switch r.IntN(8) {
		case 0:
			c.log.set(func(l *fakeLog) { l.loseResponses = 1 + r.IntN(3) })
		case 1:
			c.log.set(func(l *fakeLog) { l.dropAppends = 1 + r.IntN(3) })
		case 2:
			c.log.set(func(l *fakeLog) { l.refuse = r.IntN(3) == 0 })
		case 3:
			c.log.set(func(l *fakeLog) { l.hang = r.IntN(4) == 0 })
		case 4:
			n.blockMessages()
		case 5:
			c.setView(n, n.id)
		default:
			c.clearFaults()
		}
	}
}

// clearFaults ends all faults.
func (c *cluster) clearFaults() {
	c.log.set(func(l *fakeLog) { l.refuse, l.hang, l.loseResponses, l.dropAppends = false, false, 0, 0 })
	for _, n := range c.nodes {
		n.unblockMessages()
		c.setView(n)
	}
}

// verify claims each key that ran once more and checks that it is refused with an
// unknown outcome.
func (c *cluster) verify(t *testing.T, executions *executionLog) {
	for key := range executions.runs {
		ctx, cancel := timeoutContext(testTimeout)
		in := once.Intent{Key: key, Workspace: "w", IssuedAt: time.Now(), Fingerprint: once.FingerprintOf([]byte(key))}
		d, err := c.nodes["d0"].Client.Claim(ctx, in)
		cancel()
		// IssuedAt differs from the first one, so the claim is refused without a wait.
		test.Eq(t, once.IssueTimeMismatch, d.Verdict, test.Sprint(key))
		test.Eq(t, fault.Unknown, fault.As(err).Outcome)
	}
}
