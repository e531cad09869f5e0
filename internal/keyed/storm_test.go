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
	stormKeys  = 100
	stormTries = 4
)

// journal is what the target saw: the runs of each key; and what callers were told.
type journal struct {
	mu   sync.Mutex
	runs map[string]int
	// false counts the answers "not run" about a key that had run by then.
	false   int
	answers map[string]int
}

func (j *journal) run(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[key]++
}

func (j *journal) answer(kind string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers[kind]++
}

func (j *journal) notRun(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.runs[key] > 0 {
		j.false++
	}
}

// Callers send the same keys again and again through all daemons while the log
// loses answers, refuses and hangs, homes are held up and views differ. No key
// runs twice, and a recorded result is that of the run.
func TestStormRunsNoKeyTwice(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { storm(t, seed) })
	}
}

func storm(t *testing.T, seed uint64) {
	c := newCluster(t, 3, nil)
	j := &journal{runs: map[string]int{}, answers: map[string]int{}}
	ctx, stop := context.WithCancel(context.Background())
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		c.trouble(ctx, rand.New(rand.NewPCG(seed, 0)))
	}()
	var wg sync.WaitGroup
	for k := range stormKeys {
		r := rand.New(rand.NewPCG(seed, uint64(k+1)))
		in := order(fmt.Sprint(k))
		for range stormTries {
			n := c.nodes[fmt.Sprintf("d%d", r.IntN(3))]
			limit := time.Duration(50+r.IntN(800)) * time.Millisecond
			fate := r.IntN(4)
			wg.Go(func() { j.answer(n.serve(j, in, limit, fate)) })
		}
		if k%10 == 9 {
			wg.Wait()
		}
	}
	wg.Wait()
	stop()
	<-faults
	c.calm()
	for key, n := range j.runs {
		test.Eq(t, 1, n, test.Sprint(key))
	}
	t.Logf("%d keys ran once; answers: %v", len(j.runs), j.answers)
	must.Positive(t, len(j.runs))
	t.Logf("not run, said of keys that had run: %d", j.false)
	test.Eq(t, len(j.runs), j.answers["ran"])
	test.Zero(t, j.answers["result of another key"])
	for _, n := range c.nodes {
		n.flush(t)
	}
	c.verify(t, j)
}

// serve is what a daemon does with one request: claim, run, record. fate 0
// withdraws before sending, 1 dies after sending without a record.
func (n *node) serve(j *journal, in once.Intent, limit time.Duration, fate int) string {
	ctx, cancel := within(limit)
	defer cancel()
	d, err := n.Client.Claim(ctx, in)
	switch {
	case err != nil:
		if fault.As(err).Outcome == fault.NotRun {
			j.notRun(in.Key)
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
	j.run(in.Key)
	if fate != 1 {
		n.Client.Finish(d.Attempt, once.Result{Outcome: fault.Ran, Body: []byte(in.Key)})
	}
	return "ran"
}

// trouble changes the faults every few milliseconds until ctx ends.
func (c *cluster) trouble(ctx context.Context, r *rand.Rand) {
	names := []string{"d0", "d1", "d2"}
	for pause.For(ctx, time.Duration(5+r.IntN(30))*time.Millisecond) {
		n := c.nodes[names[r.IntN(3)]]
		switch r.IntN(8) {
		case 0:
			c.log.set(func(l *fakeLog) { l.lose = 1 + r.IntN(3) })
		case 1:
			c.log.set(func(l *fakeLog) { l.vanish = 1 + r.IntN(3) })
		case 2:
			c.log.set(func(l *fakeLog) { l.refuse = r.IntN(3) == 0 })
		case 3:
			c.log.set(func(l *fakeLog) { l.hang = r.IntN(4) == 0 })
		case 4:
			n.shut()
		case 5:
			c.setView(n, n.id)
		default:
			c.calm()
		}
	}
}

// calm ends all faults.
func (c *cluster) calm() {
	c.log.set(func(l *fakeLog) { l.refuse, l.hang, l.lose, l.vanish = false, false, 0, 0 })
	for _, n := range c.nodes {
		n.open()
		c.setView(n)
	}
}

// verify asks for each key once more: one that ran is finished or unknown.
func (c *cluster) verify(t *testing.T, j *journal) {
	for key := range j.runs {
		ctx, cancel := within(long)
		in := once.Intent{Key: key, Workspace: "w", IssuedAt: time.Now(), Fingerprint: once.FingerprintOf([]byte(key))}
		d, err := c.nodes["d0"].Client.Claim(ctx, in)
		cancel()
		// The time of issue differs, so that a key in use can't be waited for.
		test.Eq(t, once.IssueTimeMismatch, d.Verdict, test.Sprint(key))
		test.Eq(t, fault.Unknown, fault.As(err).Outcome)
	}
}
