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

// unendingRequest asks for more tokens than any test waits for.
var unendingRequest = target.GenerateRequest{Prompt: "endless", MaxTokens: MaxTokens}

func TestCompleteAndResumedStreams(t *testing.T) {
	f := startFleet(t, testOptions())
	addr := formGroup(t, f, 5)
	for _, from := range []int{0, 7, 10} {
		response := generate(addr, "r1", target.GenerateRequest{Prompt: "p", MaxTokens: 10, ResumeFrom: from})
		must.True(t, response.complete())
		must.Eq(t, "r1", response.id)
		must.Eq(t, target.End{RequestID: "r1", Tokens: 10}, *response.end)
		must.Eq(t, oracle.ResponseText("p", 10), oracle.ResponseText("p", from)+response.text(from+1))
	}
	must.Len(t, 3, entriesOf(f, journal.RequestCompleted))
}

func TestRefusedRequests(t *testing.T) {
	f := startFleet(t, testOptions())
	formGroup(t, f, 5)
	follower := f.VMs()[1].Addr
	response := generate(follower, "r", target.GenerateRequest{Prompt: "p", MaxTokens: 1})
	must.Eq(t, http.StatusServiceUnavailable, response.status)
	must.True(t, response.notExecuted)
	response = generate(f.VMs()[0].Addr, "r", target.GenerateRequest{Prompt: "p", MaxTokens: 1, ResumeFrom: 2})
	must.Eq(t, http.StatusBadRequest, response.status)
	must.Len(t, 0, entriesOf(f, journal.RequestStarted))
	must.Len(t, 1, entriesOf(f, journal.RequestRefused))
}

// startStreams starts n streams that don't end during a test and returns once all
// of them run. stop closes their connections.
func startStreams(t *testing.T, f *Fleet, addr string, n int) (stop context.CancelFunc, responses <-chan streamResponse) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	received := make(chan streamResponse, n)
	before := len(entriesOf(f, journal.RequestStarted))
	for i := range n {
		go func() {
			resp, err := postGenerate(ctx, addr, fmt.Sprint("background-", i), unendingRequest)
			if err != nil {
				received <- streamResponse{err: err}
				return
			}
			defer resp.Body.Close()
			response := streamResponse{status: resp.StatusCode, tokens: map[int]string{}}
			response.err = response.readEvents(resp.Body)
			received <- response
		}()
		waitFor(t, func() bool { return len(entriesOf(f, journal.RequestStarted)) >= before+i+1 })
	}
	return cancel, received
}

func TestConnectionCloseCancelsRequest(t *testing.T) {
	tests := []struct {
		name    string
		stalled bool
	}{{"streaming", false}, {"stalled", true}}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := startFleet(t, testOptions())
			addr := formGroup(t, f, 5)
			if tc.stalled {
				injectAction(t, f, "b", machines.Kill)
				waitFor(t, func() bool { return len(entriesOf(f, journal.MemberMissing)) > 0 })
			}
			stop, _ := startStreams(t, f, addr, 1)
			stop()
			waitFor(t, func() bool { return len(entriesOf(f, journal.RequestCanceled)) == 1 })
			waitFor(t, func() bool { return getReport(t, addr).Inflight == 0 })
		})
	}
}

func TestColdEngineCrashesOnOverload(t *testing.T) {
	f := startFleet(t, testOptions())
	addr := formGroup(t, f, 5)
	bootID := getReport(t, addr).BootID
	_, responses := startStreams(t, f, addr, 4)
	must.False(t, generate(addr, "overloading", unendingRequest).complete())
	for range 4 {
		response := <-responses
		must.Error(t, response.err)
		must.Nil(t, response.end)
	}
	waitFor(t, func() bool {
		resp, err := http.Get("http://" + addr + "/v1/report")
		return err == nil && resp.Body.Close() == nil
	})
	r := getReport(t, addr)
	must.NotEq(t, bootID, r.BootID)
	must.Eq(t, target.EngineFree, r.State)
	crashes := entriesOf(f, journal.VMCrashed)
	must.Len(t, 1, crashes)
	must.Eq(t, 4, crashes[0].Limit)
}

func TestWarmEngineQueuesAndRefuses(t *testing.T) {
	o := testOptions()
	o.Capacity = capacity.Settings{ColdLimit: 1, WarmLimit: 2, GrowthPerRequest: 1, QueueLimit: 1}
	f := startFleet(t, o)
	addr := formGroup(t, f, 5)
	must.True(t, generate(addr, "warm", target.GenerateRequest{Prompt: "p", MaxTokens: 1}).complete())
	stop, _ := startStreams(t, f, addr, 2)
	queued := make(chan streamResponse, 1)
	go func() { queued <- generate(addr, "queued", target.GenerateRequest{Prompt: "p", MaxTokens: 1}) }()
	waitFor(t, func() bool { return getReport(t, addr).Queued == 1 })
	response := generate(addr, "beyond the queue", unendingRequest)
	must.True(t, response.notExecuted)
	stop()
	must.True(t, (<-queued).complete())
	must.Len(t, 0, entriesOf(f, journal.VMCrashed))
}

func TestTurnColdWithoutReboot(t *testing.T) {
	o := testOptions()
	o.Capacity = capacity.Settings{ColdLimit: 1, WarmLimit: 2, GrowthPerRequest: 1}
	f := startFleet(t, o)
	addr := formGroup(t, f, 5)
	must.True(t, generate(addr, "warm", target.GenerateRequest{Prompt: "p", MaxTokens: 1}).complete())
	injectAction(t, f, "a", machines.TurnCold)
	startStreams(t, f, addr, 1)
	generate(addr, "overloading", unendingRequest)
	must.Len(t, 1, entriesOf(f, journal.VMCrashed))
}

func TestMissingMemberPolicies(t *testing.T) {
	for _, policy := range []MissingMemberPolicy{StallStreams, ResetStreams} {
		t.Run(string(policy), func(t *testing.T) {
			o := testOptions()
			o.OnMissingMember = policy
			f := startFleet(t, o)
			addr := formGroup(t, f, 5)
			_, responses := startStreams(t, f, addr, 1)
			injectAction(t, f, "b", machines.Kill)
			if policy == ResetStreams {
				must.Error(t, (<-responses).err)
				return
			}
			waitFor(t, func() bool { return len(entriesOf(f, journal.MemberMissing)) > 0 })
			startStreams(t, f, addr, 1)
			starts := entriesOf(f, journal.RequestStarted)
			must.False(t, starts[0].GroupIncomplete)
			must.True(t, starts[1].GroupIncomplete)
			must.Len(t, 0, entriesOf(f, journal.RequestCompleted))
		})
	}
}

func TestPauseStallsStreams(t *testing.T) {
	f := startFleet(t, testOptions())
	addr := formGroup(t, f, 5)
	injectAction(t, f, "a", machines.Pause)
	got := make(chan streamResponse, 1)
	go func() { got <- generate(addr, "r", target.GenerateRequest{Prompt: "p", MaxTokens: 3}) }()
	select {
	case <-got:
		t.Fatal("a paused engine sent a response")
	case <-time.After(50 * time.Millisecond):
	}
	injectAction(t, f, "a", machines.Resume)
	must.True(t, (<-got).complete())
}

func TestBlackHoleAffectsExistingConnectionsOnly(t *testing.T) {
	f := startFleet(t, testOptions())
	addr := formGroup(t, f, 5)
	_, responses := startStreams(t, f, addr, 1)
	injectAction(t, f, "a", machines.BlackHoleConns)
	must.True(t, generateOnNewConn(addr).complete())
	must.Eq(t, 0, len(responses))
}

// generateOnNewConn sends a request on a new connection.
func generateOnNewConn(addr string) streamResponse {
	http.DefaultClient.CloseIdleConnections()
	return generate(addr, "alone", target.GenerateRequest{Prompt: "p", MaxTokens: 2})
}

func TestPoisonCrashesTheEngine(t *testing.T) {
	f := startFleet(t, testOptions())
	addr := formGroup(t, f, 5)
	setFaults(t, f, "a", Faults{Poison: "venom"})
	must.True(t, generate(addr, "good", target.GenerateRequest{Prompt: "p", MaxTokens: 1}).complete())
	must.False(t, generate(addr, "bad", target.GenerateRequest{Prompt: "a venom b", MaxTokens: 1}).complete())
	crashes := entriesOf(f, journal.VMCrashed)
	must.Len(t, 1, crashes)
	must.True(t, strings.Contains(crashes[0].Reason, "bad"))
}

func TestSwapResponseReturnsPreviousRequestsResponse(t *testing.T) {
	f := startFleet(t, testOptions())
	addr := formGroup(t, f, 5)
	setFaults(t, f, "a", Faults{SwapResponseEvery: 2})
	must.Eq(t, "r1", generate(addr, "r1", target.GenerateRequest{Prompt: "p1", MaxTokens: 2}).id)
	response := generate(addr, "r2", target.GenerateRequest{Prompt: "p2", MaxTokens: 2})
	must.Eq(t, "r1", response.id)
	must.Eq(t, "r1", response.end.RequestID)
	must.Eq(t, oracle.ResponseText("p1", 2), response.text(1))
}

func TestPrefixCacheIsBounded(t *testing.T) {
	o := testOptions()
	o.PrefixCacheSize = 2
	f := startFleet(t, o)
	addr := formGroup(t, f, 5)
	for i, tc := range []struct {
		prompt string
		hit    bool
	}{{"a", false}, {"a", true}, {"b", false}, {"c", false}, {"a", false}, {"c", true}} {
		must.True(t, generate(addr, "r", target.GenerateRequest{Prompt: tc.prompt, MaxTokens: 1}).complete())
		must.Eq(t, tc.hit, entriesOf(f, journal.RequestStarted)[i].PrefixHit, must.Sprint(i))
	}
}

func TestConcurrentStreamsReceiveOwnTokens(t *testing.T) {
	o := testOptions()
	o.Capacity = capacity.Settings{ColdLimit: 64, WarmLimit: 64, QueueLimit: 64}
	f := startFleet(t, o)
	addr := formGroup(t, f, 5)
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			p := fmt.Sprint("prompt ", i)
			response := generate(addr, p, target.GenerateRequest{Prompt: p, MaxTokens: 20})
			if !response.complete() || response.text(1) != oracle.ResponseText(p, 20) || response.end.RequestID != p {
				t.Errorf("response to request %d is wrong: %+v", i, response)
			}
		})
	}
	wg.Wait()
}
