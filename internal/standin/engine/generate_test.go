package engine

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
	"github.com/ragwortquay/ragwortquay/internal/standin/oracle"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// endless is longer than any test waits.
var endless = target.GenerateRequest{Prompt: "endless", MaxTokens: MaxTokens}

func TestWholeAndResumedAnswers(t *testing.T) {
	f := start(t, testOptions())
	addr := formGroup(t, f, 5)
	for _, from := range []int{0, 7, 10} {
		a := generate(addr, "r1", target.GenerateRequest{Prompt: "p", MaxTokens: 10, ResumeFrom: from})
		must.True(t, a.whole())
		must.Eq(t, "r1", a.id)
		must.Eq(t, target.End{RequestID: "r1", Tokens: 10}, *a.end)
		must.Eq(t, oracle.ResponseText("p", 10), oracle.ResponseText("p", from)+a.text(from+1))
	}
	must.Len(t, 3, events(f, journal.RequestCompleted))
}

func TestRefusals(t *testing.T) {
	f := start(t, testOptions())
	formGroup(t, f, 5)
	follower := f.VMs()[1].Addr
	a := generate(follower, "r", target.GenerateRequest{Prompt: "p", MaxTokens: 1})
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	must.True(t, a.notRun)
	a = generate(f.VMs()[0].Addr, "r", target.GenerateRequest{Prompt: "p", MaxTokens: 1, ResumeFrom: 2})
	must.Eq(t, http.StatusBadRequest, a.status)
	must.Len(t, 0, events(f, journal.RequestStarted))
	must.Len(t, 1, events(f, journal.RequestRefused))
}

// begin starts endless requests and returns once all of them run.
func begin(t *testing.T, f *Fleet, addr string, n int) (stop context.CancelFunc, answers <-chan answer) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	out := make(chan answer, n)
	before := len(events(f, journal.RequestStarted))
	for i := range n {
		go func() {
			resp, err := open(ctx, addr, fmt.Sprint("bg", i), endless)
			if err != nil {
				out <- answer{err: err}
				return
			}
			defer resp.Body.Close()
			a := answer{status: resp.StatusCode, tokens: map[int]string{}}
			a.err = a.read(resp.Body)
			out <- a
		}()
		waitFor(t, func() bool { return len(events(f, journal.RequestStarted)) >= before+i+1 })
	}
	return cancel, out
}

func TestClosingTheConnectionCancels(t *testing.T) {
	tests := []struct {
		name  string
		stall bool
	}{{"streaming", false}, {"stalled", true}}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := start(t, testOptions())
			addr := formGroup(t, f, 5)
			if tc.stall {
				breakVM(t, f, "b", machines.Kill)
				waitFor(t, func() bool { return len(events(f, journal.MemberMissing)) > 0 })
			}
			stop, _ := begin(t, f, addr, 1)
			stop()
			waitFor(t, func() bool { return len(events(f, journal.RequestCanceled)) == 1 })
			waitFor(t, func() bool { return report(t, addr).Inflight == 0 })
		})
	}
}

func TestColdEngineFallsOver(t *testing.T) {
	f := start(t, testOptions())
	addr := formGroup(t, f, 5)
	boot := report(t, addr).BootID
	_, answers := begin(t, f, addr, 4)
	must.False(t, generate(addr, "straw", endless).whole())
	for range 4 {
		a := <-answers
		must.Error(t, a.err)
		must.Nil(t, a.end)
	}
	waitFor(t, func() bool {
		resp, err := http.Get("http://" + addr + "/v1/report")
		return err == nil && resp.Body.Close() == nil
	})
	r := report(t, addr)
	must.NotEq(t, boot, r.BootID)
	must.Eq(t, target.EngineFree, r.State)
	fell := events(f, journal.VMCrashed)
	must.Len(t, 1, fell)
	must.Eq(t, 4, fell[0].Limit)
}

func TestWarmEngineQueuesAndRefuses(t *testing.T) {
	o := testOptions()
	o.Capacity = capacity.Settings{ColdLimit: 1, WarmLimit: 2, GrowthPerRequest: 1, QueueLimit: 1}
	f := start(t, o)
	addr := formGroup(t, f, 5)
	must.True(t, generate(addr, "warm", target.GenerateRequest{Prompt: "p", MaxTokens: 1}).whole())
	stop, _ := begin(t, f, addr, 2)
	queued := make(chan answer, 1)
	go func() { queued <- generate(addr, "queued", target.GenerateRequest{Prompt: "p", MaxTokens: 1}) }()
	waitFor(t, func() bool { return report(t, addr).Queued == 1 })
	a := generate(addr, "one too many", endless)
	must.True(t, a.notRun)
	stop()
	must.True(t, (<-queued).whole())
	must.Len(t, 0, events(f, journal.VMCrashed))
}

func TestGoesColdWithoutABoot(t *testing.T) {
	o := testOptions()
	o.Capacity = capacity.Settings{ColdLimit: 1, WarmLimit: 2, GrowthPerRequest: 1}
	f := start(t, o)
	addr := formGroup(t, f, 5)
	must.True(t, generate(addr, "warm", target.GenerateRequest{Prompt: "p", MaxTokens: 1}).whole())
	breakVM(t, f, "a", machines.TurnCold)
	begin(t, f, addr, 1)
	generate(addr, "straw", endless)
	must.Len(t, 1, events(f, journal.VMCrashed))
}

func TestMissingMember(t *testing.T) {
	for _, policy := range []MissingMemberPolicy{StallStreams, ResetStreams} {
		t.Run(string(policy), func(t *testing.T) {
			o := testOptions()
			o.OnMissingMember = policy
			f := start(t, o)
			addr := formGroup(t, f, 5)
			_, answers := begin(t, f, addr, 1)
			breakVM(t, f, "b", machines.Kill)
			if policy == ResetStreams {
				must.Error(t, (<-answers).err)
				return
			}
			waitFor(t, func() bool { return len(events(f, journal.MemberMissing)) > 0 })
			begin(t, f, addr, 1)
			starts := events(f, journal.RequestStarted)
			must.False(t, starts[0].GroupIncomplete)
			must.True(t, starts[1].GroupIncomplete)
			must.Len(t, 0, events(f, journal.RequestCompleted))
		})
	}
}

func TestPauseHoldsStreams(t *testing.T) {
	f := start(t, testOptions())
	addr := formGroup(t, f, 5)
	breakVM(t, f, "a", machines.Pause)
	got := make(chan answer, 1)
	go func() { got <- generate(addr, "r", target.GenerateRequest{Prompt: "p", MaxTokens: 3}) }()
	select {
	case <-got:
		t.Fatal("a paused engine answered")
	case <-time.After(50 * time.Millisecond):
	}
	breakVM(t, f, "a", machines.Resume)
	must.True(t, (<-got).whole())
}

func TestSilenceHitsExistingConnectionsOnly(t *testing.T) {
	f := start(t, testOptions())
	addr := formGroup(t, f, 5)
	_, answers := begin(t, f, addr, 1)
	breakVM(t, f, "a", machines.BlackHoleConns)
	must.True(t, generateAlone(addr).whole())
	must.Eq(t, 0, len(answers))
}

// generateAlone uses a connection of its own.
func generateAlone(addr string) answer {
	http.DefaultClient.CloseIdleConnections()
	return generate(addr, "alone", target.GenerateRequest{Prompt: "p", MaxTokens: 2})
}

func TestPoisonCrashesTheEngine(t *testing.T) {
	f := start(t, testOptions())
	addr := formGroup(t, f, 5)
	behave(t, f, "a", Faults{Poison: "venom"})
	must.True(t, generate(addr, "good", target.GenerateRequest{Prompt: "p", MaxTokens: 1}).whole())
	must.False(t, generate(addr, "bad", target.GenerateRequest{Prompt: "a venom b", MaxTokens: 1}).whole())
	fell := events(f, journal.VMCrashed)
	must.Len(t, 1, fell)
	must.True(t, strings.Contains(fell[0].Reason, "bad"))
}

func TestMixupGivesAnotherRequestsAnswer(t *testing.T) {
	f := start(t, testOptions())
	addr := formGroup(t, f, 5)
	behave(t, f, "a", Faults{SwapResponseEvery: 2})
	must.Eq(t, "r1", generate(addr, "r1", target.GenerateRequest{Prompt: "p1", MaxTokens: 2}).id)
	a := generate(addr, "r2", target.GenerateRequest{Prompt: "p2", MaxTokens: 2})
	must.Eq(t, "r1", a.id)
	must.Eq(t, "r1", a.end.RequestID)
	must.Eq(t, oracle.ResponseText("p1", 2), a.text(1))
}

func TestPrefixCacheIsBounded(t *testing.T) {
	o := testOptions()
	o.PrefixCacheSize = 2
	f := start(t, o)
	addr := formGroup(t, f, 5)
	for i, tc := range []struct {
		prompt string
		hit    bool
	}{{"a", false}, {"a", true}, {"b", false}, {"c", false}, {"a", false}, {"c", true}} {
		must.True(t, generate(addr, "r", target.GenerateRequest{Prompt: tc.prompt, MaxTokens: 1}).whole())
		must.Eq(t, tc.hit, events(f, journal.RequestStarted)[i].PrefixHit, must.Sprint(i))
	}
}

func TestManyStreamsAreAllRight(t *testing.T) {
	o := testOptions()
	o.Capacity = capacity.Settings{ColdLimit: 64, WarmLimit: 64, QueueLimit: 64}
	f := start(t, o)
	addr := formGroup(t, f, 5)
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			p := fmt.Sprint("prompt ", i)
			a := generate(addr, p, target.GenerateRequest{Prompt: p, MaxTokens: 20})
			if !a.whole() || a.text(1) != oracle.ResponseText(p, 20) || a.end.RequestID != p {
				t.Errorf("answer %d is wrong: %+v", i, a)
			}
		})
	}
	wg.Wait()
}
