package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/oracle"
)

// seed fixes what the traffic sends; it is printed with each failure.
const seed = 20261204

// traffic sends token requests without pause from several callers and keeps
// what each of them saw.
type traffic struct {
	c      *procs.Cluster
	kind   string
	tokens int
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	daemons []*procs.Daemon
	sent    []sent
}

// sent is one request and what became of it.
type sent struct {
	id     string
	at     time.Time
	daemon string
	result procs.Result
	want   string
}

// whole means that the caller has the complete and right answer.
func (s sent) whole() bool {
	return s.result.Complete && s.result.Status == 200 && s.result.Text == s.want
}

// refused means that the caller was told that the request did not run.
func (s sent) refused() bool { return s.result.Outcome == "not-run" && s.result.Status >= 400 }

// wrong means that tokens came that do not belong to the answer.
func (s sent) wrong() bool {
	return s.result.Text != "" && (len(s.result.Text) > len(s.want) || s.want[:len(s.result.Text)] != s.result.Text)
}

// startTraffic starts callers that go round the daemons.
func startTraffic(t *testing.T, c *procs.Cluster, workers int, kind string, tokens int) *traffic {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{c: c, kind: kind, tokens: tokens, cancel: cancel, daemons: slices.Clone(c.Daemons)}
	for w := range workers {
		tr.wg.Go(func() { tr.work(ctx, w) })
	}
	t.Cleanup(func() { tr.stop() })
	return tr
}

func (tr *traffic) work(ctx context.Context, w int) {
	caller := procs.NewCaller("shops")
	rnd := rand.New(rand.NewPCG(seed, uint64(w)))
	for n := 0; ctx.Err() == nil; n++ {
		prompt := fmt.Sprintf("prompt %d of %d, %d", n, w, rnd.IntN(1000))
		s := sent{id: fmt.Sprintf("t%d-%d", w, n), at: time.Now(), want: oracle.ResponseText(prompt, tr.tokens)}
		d := tr.daemon(rnd)
		s.daemon = d.ID
		s.result = caller.Do(context.Background(), d.CallersAddr, procs.NewGenerateCall(tr.kind, s.id, prompt, tr.tokens))
		tr.add(s)
	}
}

func (tr *traffic) daemon(rnd *rand.Rand) *procs.Daemon {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.daemons[rnd.IntN(len(tr.daemons))]
}

// avoid stops sending to a daemon, as the balancer does with an unready one.
func (tr *traffic) avoid(d *procs.Daemon) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.daemons = slices.DeleteFunc(slices.Clone(tr.daemons), func(o *procs.Daemon) bool { return o == d })
}

func (tr *traffic) add(s sent) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.sent = append(tr.sent, s)
}

// count returns the number of finished requests so far.
func (tr *traffic) count() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.sent)
}

// stop ends the traffic once the requests under way have their answers.
func (tr *traffic) stop() []sent {
	tr.cancel()
	tr.wg.Wait()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.sent
}

// more waits until n further requests have finished.
func (tr *traffic) more(t *testing.T, n int) {
	t.Helper()
	goal := tr.count() + n
	defer func() {
		if t.Failed() {
			tr.mu.Lock()
			defer tr.mu.Unlock()
			t.Logf("the last answers:\n%s", describe(tr.sent[max(0, len(tr.sent)-4):]))
		}
	}()
	eventually(t, fmt.Sprintf("%d further answers", n), func() bool { return tr.count() >= goal })
}

// checkAnswers fails on a wrong or silently cut answer, and on an answer that is
// neither whole nor tells its outcome.
func checkAnswers(t *testing.T, all []sent) {
	t.Helper()
	must.Positive(t, len(all))
	for _, s := range all {
		must.False(t, s.wrong(), must.Sprintf("seed %d: %s got tokens of another answer: %q", seed, s.id, s.result.Text))
		if s.result.Complete && s.result.Status == 200 {
			must.Eq(t, s.want, s.result.Text, must.Sprintf("seed %d: %s is short", seed, s.id))
		}
	}
}

// unanswered returns the requests that came to neither a whole answer nor a
// true refusal.
func unanswered(all []sent) []sent {
	return slices.DeleteFunc(slices.Clone(all), func(s sent) bool { return s.whole() || s.refused() })
}

func refusals(all []sent) []sent {
	return slices.DeleteFunc(slices.Clone(all), func(s sent) bool { return !s.refused() })
}

// describe lists a few requests for a failure message.
func describe(some []sent) string {
	out := ""
	for i, s := range some {
		if i == 5 {
			return out + fmt.Sprintf("… %d in all\n", len(some))
		}
		out += fmt.Sprintf("%s by %s: status %d outcome %q took %s text %d of %d bytes err %v body %s\n", s.id, s.daemon,
			s.result.Status, s.result.Outcome, s.result.Duration, len(s.result.Text), len(s.want), s.result.Err, s.result.Body)
	}
	return out
}
