package service

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
	"github.com/ragwortquay/ragwortquay/internal/standin/oracle"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

func start(t *testing.T, o Options) *Fleet {
	t.Helper()
	o.Control = "127.0.0.1:0"
	o.VMs = []platform.VM{{ID: "a"}}
	f, err := New(o)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return f
}

// reply is an answer as a caller sees it.
type reply struct {
	status int
	notRun bool
	body   oracle.ServiceResponse
	err    error
}

func post(ctx context.Context, addr, id string) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/payout", bytes.NewReader([]byte(id)))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set(target.HeaderRequestID, id)
	req.Header.Set(target.HeaderIdempotencyKey, "key-"+id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	r := reply{status: resp.StatusCode, notRun: resp.Header.Get(target.HeaderNotRun) != ""}
	if r.status == http.StatusOK {
		r.err = json.NewDecoder(resp.Body).Decode(&r.body)
	}
	return r
}

// waitFor waits for a condition that the service reaches by itself.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !ok() {
		must.True(t, time.Now().Before(deadline), must.Sprint("condition was not reached"))
		time.Sleep(time.Millisecond)
	}
}

func count(f *Fleet, ev journal.Event) int { return f.Journal().Count(ev) }

func TestAnswerIsAFunctionOfTheRequest(t *testing.T) {
	f := start(t, Options{})
	r := post(context.Background(), f.VMs()[0].Addr, "r1")
	must.Eq(t, oracle.NewServiceResponse("r1", http.MethodPost, "/payout", []byte("r1")), r.body)
	entries := f.Journal().Since(1)
	must.Len(t, 2, entries)
	must.Eq(t, journal.RequestStarted, entries[0].Event)
	must.Eq(t, "key-r1", entries[0].IdempotencyKey)
	must.True(t, entries[1].ResponseComplete)
}

func TestReport(t *testing.T) {
	f := start(t, Options{})
	resp, err := http.Get("http://" + f.VMs()[0].Addr + "/v1/report")
	must.NoError(t, err)
	defer resp.Body.Close()
	var r target.Report
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&r))
	must.Eq(t, target.EngineReady, r.State)
	must.NotEq(t, "", r.BootID)
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		set    Faults
		starts int // executions of the second request
		status int // its answer; 0 is none
		hangs  bool
	}{
		{"none", Faults{}, 1, 200, false},
		{"closed before it ran", Faults{CloseOnNth: 1}, 0, 0, false},
		{"closed after it ran", Faults{CloseOnNth: 1, CloseAfterRun: true}, 1, 0, false},
		{"answer lost", Faults{DropResponseEvery: 2}, 1, 0, true},
		{"refused", Faults{RefuseEvery: 2}, 0, 503, false},
		{"slow", Faults{DelayMS: 3_600_000}, 1, 0, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := start(t, Options{})
			addr := f.VMs()[0].Addr
			must.Eq(t, 200, post(context.Background(), addr, "r1").status)
			http.DefaultClient.CloseIdleConnections()
			_, err := f.InjectFault(FaultRequest{Faults: &tc.set})
			must.NoError(t, err)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			got := make(chan reply, 1)
			go func() { got <- post(ctx, addr, "r2") }()
			if tc.hangs {
				waitFor(t, func() bool { return count(f, journal.RequestStarted) == 1+tc.starts })
				cancel()
			}
			r := <-got
			must.Eq(t, tc.status, r.status)
			must.Eq(t, tc.status == 503, r.notRun)
			must.Eq(t, 1+tc.starts, count(f, journal.RequestStarted))
		})
	}
}

func TestColdServiceFallsOver(t *testing.T) {
	f := start(t, Options{WorkTime: time.Hour, BootTime: time.Millisecond, Capacity: capacity.Settings{ColdLimit: 1, WarmLimit: 2}})
	addr := f.VMs()[0].Addr
	var wg sync.WaitGroup
	for _, id := range []string{"r1", "r2"} {
		wg.Go(func() {
			if post(context.Background(), addr, id).err == nil {
				t.Error("a service that fell over answered")
			}
		})
	}
	wg.Wait()
	must.Eq(t, 1, count(f, journal.VMCrashed))
	// A caller sees the reset before its run has noted that it was cut.
	waitFor(t, func() bool { return count(f, journal.RequestAborted) == 2 })
}

func TestKillCutsWhatRuns(t *testing.T) {
	f := start(t, Options{WorkTime: time.Hour})
	got := make(chan reply, 1)
	go func() { got <- post(context.Background(), f.VMs()[0].Addr, "r1") }()
	waitFor(t, func() bool { return count(f, journal.RequestStarted) == 1 })
	for _, a := range []machines.Action{machines.Kill, machines.Revive} {
		_, err := f.InjectFault(FaultRequest{Action: a})
		must.NoError(t, err)
	}
	must.Error(t, (<-got).err)
	_, err := f.InjectFault(FaultRequest{Action: "nonsense"})
	must.Error(t, err)
}
