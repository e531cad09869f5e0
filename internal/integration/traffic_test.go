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

// seed is the seed of the tests' random numbers.
const seed = 20261204

// traffic sends token requests continuously from several callers and records the
// results.
type traffic struct {
	c      *procs.Cluster
	kind   string
	tokens int
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	daemons []*procs.Daemon
	sent    []sentRequest
}

// sentRequest is a request and its result.
type sentRequest struct {
	id       string
	sentAt   time.Time
	daemon   string
	result   procs.Result
	wantText string
}

// complete reports whether the caller got the complete and correct response.
func (s sentRequest) complete() bool {
	return s.result.Complete && s.result.Status == 200 && s.result.Text == s.wantText
}

// refused reports whether the request was refused as not run.
func (s sentRequest) refused() bool { return s.result.Outcome == "not-run" && s.result.Status >= 400 }

// hasForeignTokens reports whether the received text is not a prefix of the expected
// one.
func (s sentRequest) hasForeignTokens() bool {
	return s.result.Text != "" && (len(s.result.Text) > len(s.wantText) || s.wantText[:len(s.result.Text)] != s.result.Text)
}

// startTraffic starts workers that send requests to random daemons.
func startTraffic(t *testing.T, c *procs.Cluster, workers int, kind string, tokens int) *traffic {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{c: c, kind: kind, tokens: tokens, cancel: cancel, daemons: slices.Clone(c.Daemons)}
	for w := range workers {
		tr.wg.Go(func() { tr.runWorker(ctx, w) })
	}
	t.Cleanup(func() { tr.stop() })
	return tr
}

// runWorker sends one request after the other until ctx is done.
func (tr *traffic) runWorker(ctx context.Context, w int) {
	caller := procs.NewCaller("shops")
	rnd := rand.New(rand.NewPCG(seed, uint64(w)))
	for n := 0; ctx.Err() == nil; n++ {
		prompt := fmt.Sprintf("prompt %d of %d, %d", n, w, rnd.IntN(1000))
		s := sentRequest{id: fmt.Sprintf("t%d-%d", w, n), sentAt: time.Now(), wantText: oracle.ResponseText(prompt, tr.tokens)}
		d := tr.pickDaemon(rnd)
		s.daemon = d.ID
		s.result = caller.Do(context.Background(), d.CallersAddr, procs.NewGenerateCall(tr.kind, s.id, prompt, tr.tokens))
		tr.add(s)
	}
}

func (tr *traffic) pickDaemon(rnd *rand.Rand) *procs.Daemon {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.daemons[rnd.IntN(len(tr.daemons))]
}

// stopSendingTo removes d from the daemons that get requests, as a load balancer does
// with an unready daemon.
func (tr *traffic) stopSendingTo(d *procs.Daemon) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.daemons = slices.DeleteFunc(slices.Clone(tr.daemons), func(o *procs.Daemon) bool { return o == d })
}

func (tr *traffic) add(s sentRequest) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.sent = append(tr.sent, s)
}

// finished returns the number of requests that have finished.
func (tr *traffic) finished() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.sent)
}

// stop ends the traffic, waits for the requests in flight and returns all requests.
func (tr *traffic) stop() []sentRequest {
	tr.cancel()
	tr.wg.Wait()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.sent
}

// waitForMore waits until n more requests have finished.
func (tr *traffic) waitForMore(t *testing.T, n int) {
	t.Helper()
	goal := tr.finished() + n
	defer func() {
		if t.Failed() {
			tr.mu.Lock()
			defer tr.mu.Unlock()
			t.Logf("the last results:\n%s", describe(tr.sent[max(0, len(tr.sent)-4):]))
		}
	}()
	waitFor(t, fmt.Sprintf("%d more finished requests", n), func() bool { return tr.finished() >= goal })
}

// checkResponses fails on a response with tokens of another request, and on one that
// ends normally with status 200 but is truncated.
func checkResponses(t *testing.T, all []sentRequest) {
	t.Helper()
	must.Positive(t, len(all))
	for _, s := range all {
		must.False(t, s.hasForeignTokens(), must.Sprintf("seed %d: request %s got tokens of another response: %q", seed, s.id, s.result.Text))
		if s.result.Complete && s.result.Status == 200 {
			must.Eq(t, s.wantText, s.result.Text, must.Sprintf("seed %d: request %s: response is truncated", seed, s.id))
		}
	}
}

// failures returns the requests that were neither completed nor refused as not run.
func failures(all []sentRequest) []sentRequest {
	return slices.DeleteFunc(slices.Clone(all), func(s sentRequest) bool { return s.complete() || s.refused() })
}

// refusals returns the requests that were refused as not run.
func refusals(all []sentRequest) []sentRequest {
	return slices.DeleteFunc(slices.Clone(all), func(s sentRequest) bool { return !s.refused() })
}

// describe lists up to five requests for a failure message.
func describe(some []sentRequest) string {
	out := ""
	for i, s := range some {
		if i == 5 {
			return out + fmt.Sprintf("… %d in total\n", len(some))
		}
		out += fmt.Sprintf("request %s to %s: status %d, outcome %q, duration %s, text %d of %d bytes, error %v, body %s\n", s.id, s.daemon,
			s.result.Status, s.result.Outcome, s.result.Duration, len(s.result.Text), len(s.wantText), s.result.Err, s.result.Body)
	}
	return out
}
