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

func startFleet(t *testing.T, o Options) *Fleet {
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

// response is a service's response as the caller received it.
type response struct {
	status      int
	notExecuted bool
	body        oracle.ServiceResponse
	err         error
}

func post(ctx context.Context, addr, id string) response {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/payout", bytes.NewReader([]byte(id)))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set(target.HeaderRequestID, id)
	req.Header.Set(target.HeaderIdempotencyKey, "key-"+id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	r := response{status: resp.StatusCode, notExecuted: resp.Header.Get(target.HeaderNotRun) != ""}
	if r.status == http.StatusOK {
		r.err = json.NewDecoder(resp.Body).Decode(&r.body)
	}
	return r
}

// waitFor polls a condition for at most 20 s.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !ok() {
		must.True(t, time.Now().Before(deadline), must.Sprint("condition not met within 20 s"))
		time.Sleep(time.Millisecond)
	}
}

func countEvents(f *Fleet, event journal.Event) int { return f.Journal().Count(event) }

func TestResponseDependsOnlyOnRequest(t *testing.T) {
	f := startFleet(t, Options{})
	r := post(context.Background(), f.VMs()[0].Addr, "r1")
	must.Eq(t, oracle.NewServiceResponse("r1", http.MethodPost, "/payout", []byte("r1")), r.body)
	entries := f.Journal().Since(1)
	must.Len(t, 2, entries)
	must.Eq(t, journal.RequestStarted, entries[0].Event)
	must.Eq(t, "key-r1", entries[0].IdempotencyKey)
	must.True(t, entries[1].ResponseComplete)
}

func TestReport(t *testing.T) {
	f := startFleet(t, Options{})
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
		name       string
		faults     Faults
		executions int // of the second request
		status     int // of the second request; 0 if there is no response
		hangs      bool
	}{
		{"no fault", Faults{}, 1, 200, false},
		{"connection closed before execution", Faults{CloseOnNth: 1}, 0, 0, false},
		{"connection closed after execution", Faults{CloseOnNth: 1, CloseAfterRun: true}, 1, 0, false},
		{"response dropped", Faults{DropResponseEvery: 2}, 1, 0, true},
		{"request refused", Faults{RefuseEvery: 2}, 0, 503, false},
		{"response delayed", Faults{DelayMS: 3_600_000}, 1, 0, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := startFleet(t, Options{})
			addr := f.VMs()[0].Addr
			must.Eq(t, 200, post(context.Background(), addr, "r1").status)
			http.DefaultClient.CloseIdleConnections()
			_, err := f.InjectFault(FaultRequest{Faults: &tc.faults})
			must.NoError(t, err)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			got := make(chan response, 1)
			go func() { got <- post(ctx, addr, "r2") }()
			if tc.hangs {
				waitFor(t, func() bool { return countEvents(f, journal.RequestStarted) == 1+tc.executions })
				cancel()
			}
			r := <-got
			must.Eq(t, tc.status, r.status)
			must.Eq(t, tc.status == 503, r.notExecuted)
			must.Eq(t, 1+tc.executions, countEvents(f, journal.RequestStarted))
		})
	}
}

func TestColdServiceCrashesOnOverload(t *testing.T) {
	f := startFleet(t, Options{WorkTime: time.Hour, BootTime: time.Millisecond, Capacity: capacity.Settings{ColdLimit: 1, WarmLimit: 2}})
	addr := f.VMs()[0].Addr
	var wg sync.WaitGroup
	for _, id := range []string{"r1", "r2"} {
		wg.Go(func() {
			if post(context.Background(), addr, id).err == nil {
				t.Errorf("request %s got a response from a crashed service", id)
			}
		})
	}
	wg.Wait()
	must.Eq(t, 1, countEvents(f, journal.VMCrashed))
	// The caller may receive the reset before the aborted run is journaled.
	waitFor(t, func() bool { return countEvents(f, journal.RequestAborted) == 2 })
}

func TestKillAbortsRunningRequests(t *testing.T) {
	f := startFleet(t, Options{WorkTime: time.Hour})
	got := make(chan response, 1)
	go func() { got <- post(context.Background(), f.VMs()[0].Addr, "r1") }()
	waitFor(t, func() bool { return countEvents(f, journal.RequestStarted) == 1 })
	for _, a := range []machines.Action{machines.Kill, machines.Revive} {
		_, err := f.InjectFault(FaultRequest{Action: a})
		must.NoError(t, err)
	}
	must.Error(t, (<-got).err)
	_, err := f.InjectFault(FaultRequest{Action: "unknown"})
	must.Error(t, err)
}
