package platform_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/logsvc"
	"github.com/ragwortquay/ragwortquay/internal/standin/vmlist"
	"github.com/ragwortquay/ragwortquay/internal/standin/weights"
)

// shortTimeout ends calls that are never answered.
const shortTimeout = 100 * time.Millisecond

// runner is a stand-in that a test runs.
type runner interface {
	Run(ctx context.Context) error
}

func run(t *testing.T, r runner) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
}

func newService(t *testing.T, o logsvc.Options) *logsvc.Service {
	t.Helper()
	o.Addr = "127.0.0.1:0"
	s, err := logsvc.New(o)
	must.NoError(t, err)
	run(t, s)
	return s
}

func newLog(t *testing.T, url string, timeout time.Duration, client string) platform.Log {
	t.Helper()
	l, err := platform.NewLog(platform.Options{URL: url, Timeout: timeout, Client: client})
	must.NoError(t, err)
	return l
}

func records(texts ...string) [][]byte {
	var out [][]byte
	for _, s := range texts {
		out = append(out, []byte(s))
	}
	return out
}

func TestAppendAndRead(t *testing.T) {
	s := newService(t, logsvc.Options{})
	l := newLog(t, s.URL(), 0, "")
	ctx := context.Background()
	for i, stream := range []string{"control", "odd /name?", "control"} {
		a, err := l.Append(ctx, stream, records("x", "y"))
		must.NoError(t, err)
		must.Eq(t, platform.AppendResponse{Epoch: 1, First: uint64(i / 2 * 2)}, a)
	}
	got, err := l.Read(ctx, "control", 1, 2)
	must.NoError(t, err)
	must.Eq(t, 4, got.Next)
	must.Len(t, 2, got.Records)
	must.Eq(t, 1, got.Records[0].Offset)
	must.Eq(t, "y", string(got.Records[0].Data))
	beyond, err := l.Read(ctx, "control", 99, 2)
	must.NoError(t, err)
	must.Len(t, 0, beyond.Records)
}

func TestBatchLimit(t *testing.T) {
	s := newService(t, logsvc.Options{})
	l := newLog(t, s.URL(), 0, "")
	for _, n := range []int{0, platform.MaxBatchRecords + 1} {
		_, err := l.Append(context.Background(), "s", make([][]byte, n))
		must.Eq(t, fault.NotRun, fault.As(err).Outcome)
		must.True(t, fault.Is(err, fault.BadInput))
	}
	must.Eq(t, 0, s.Stats().Appends)
}

func TestRetention(t *testing.T) {
	tests := []struct {
		name string
		opts logsvc.Options
		trim int // keep after the appends; below zero: leave
	}{
		{"by count", logsvc.Options{MaxRecords: 2}, -1},
		{"by age", logsvc.Options{MaxAge: time.Nanosecond}, -1},
		{"by hand", logsvc.Options{}, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newService(t, tc.opts)
			l := newLog(t, s.URL(), 0, "")
			for i := range 5 {
				_, err := l.Append(context.Background(), "s", records(fmt.Sprint(i)))
				must.NoError(t, err)
			}
			if tc.trim >= 0 {
				s.Trim("s", tc.trim)
			}
			waitFor(t, func() bool {
				_, err := l.Read(context.Background(), "s", 2, 10)
				var trimmed *platform.TrimmedError
				return errors.As(err, &trimmed) && trimmed.Next == 5 && trimmed.Oldest >= 3
			})
		})
	}
}

// waitFor waits for a condition that a service reaches by itself.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !ok() {
		must.True(t, time.Now().Before(deadline), must.Sprint("condition was not reached"))
		time.Sleep(time.Millisecond)
	}
}

func TestNewEpochLosesEverything(t *testing.T) {
	s := newService(t, logsvc.Options{})
	l := newLog(t, s.URL(), 0, "")
	_, err := l.Append(context.Background(), "s", records("x"))
	must.NoError(t, err)
	s.StartNewEpoch()
	got, err := l.Read(context.Background(), "s", 0, 10)
	must.NoError(t, err)
	must.Eq(t, platform.ReadResponse{Epoch: 2, Records: []platform.Record{}}, got)
}

func TestFaultsAndOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		faults  logsvc.Faults
		kind    fault.Kind
		applied int64 // appends that took effect
	}{
		{"refuse", logsvc.Faults{Refuse: true}, fault.Unavailable, 0},
		{"hang", logsvc.Faults{Hang: true}, fault.Timeout, 0},
		{"slow", logsvc.Faults{DelayMS: 60_000}, fault.Timeout, 0},
		{"answer lost", logsvc.Faults{DropNextResponses: 1}, fault.Unavailable, 1},
		{"all answers lost", logsvc.Faults{DropResponseRatio: 1}, fault.Unavailable, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newService(t, logsvc.Options{})
			hit, spared := newLog(t, s.URL(), shortTimeout, "a"), newLog(t, s.URL(), 0, "b")
			tc.faults.Clients = []string{"a"}
			s.SetFaults(tc.faults)
			_, err := hit.Append(context.Background(), "s", records("x"))
			must.Eq(t, tc.kind, fault.KindOf(err), must.Sprintf("%v", err))
			must.Eq(t, fault.Unknown, fault.As(err).Outcome)
			must.Eq(t, tc.applied, s.Stats().Appends)
			_, err = spared.Append(context.Background(), "s", records("y"))
			must.NoError(t, err)
		})
	}
}

func TestNothingIsSentTwice(t *testing.T) {
	s := newService(t, logsvc.Options{})
	l := newLog(t, s.URL(), 0, "")
	s.SetFaults(logsvc.Faults{DropResponseRatio: 0.5, Seed: 7})
	failed := 0
	const calls = 200
	for range calls {
		if _, err := l.Append(context.Background(), "s", records("x")); err != nil {
			must.Eq(t, fault.Unknown, fault.As(err).Outcome)
			failed++
		}
	}
	must.Positive(t, failed)
	must.Eq(t, calls, s.Stats().Appends)
}

func TestConnectionRefusedDidNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, ln.Close())
	_, err = newLog(t, "http://"+ln.Addr().String(), 0, "").Append(context.Background(), "s", records("x"))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

func TestContextEndsACall(t *testing.T) {
	s := newService(t, logsvc.Options{})
	s.SetFaults(logsvc.Faults{Hang: true})
	l := newLog(t, s.URL(), time.Minute, "")
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	_, err := l.Append(ctx, "s", records("x"))
	must.Eq(t, fault.Unknown, fault.As(err).Outcome)
	_, err = l.Append(ctx, "s", records("x"))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

func TestAppendRateHoldsBack(t *testing.T) {
	s := newService(t, logsvc.Options{AppendsPerSecond: 1})
	l := newLog(t, s.URL(), shortTimeout, "")
	_, err := l.Append(context.Background(), "s", records("x"))
	must.NoError(t, err)
	_, err = l.Append(context.Background(), "s", records("x"))
	must.True(t, fault.Is(err, fault.Timeout))
}

func TestBadURL(t *testing.T) {
	for _, url := range []string{"", "127.0.0.1:1", "https://127.0.0.1:1", "http://"} {
		_, err := platform.NewLog(platform.Options{URL: url})
		must.True(t, fault.Is(err, fault.BadInput), must.Sprint(url))
	}
}

func TestVMListLagsAndFails(t *testing.T) {
	a := platform.VM{ID: "a", Addr: "127.0.0.1:1", State: platform.VMLive}
	s, err := vmlist.New(vmlist.Options{Addr: "127.0.0.1:0", Lag: time.Hour, VMs: []platform.VM{a}})
	must.NoError(t, err)
	run(t, s)
	l, err := platform.NewVMLister(platform.Options{URL: s.URL(), Timeout: shortTimeout})
	must.NoError(t, err)
	must.NoError(t, vmlist.Register(s.URL(), []platform.VM{{ID: "b"}}))
	s.Apply(vmlist.Edit{StateChanges: []vmlist.StateChange{{ID: "a", State: platform.VMLeaving}}})
	got, err := l.List(context.Background())
	must.NoError(t, err)
	must.Eq(t, []platform.VM{a}, got)
	now := 0
	s.SetFaults(vmlist.Faults{LagMS: &now})
	got, err = l.List(context.Background())
	must.NoError(t, err)
	must.Len(t, 2, got)
	must.Eq(t, platform.VMLeaving, got[0].State)
	s.SetFaults(vmlist.Faults{Refuse: true})
	_, err = l.List(context.Background())
	must.True(t, fault.Is(err, fault.Unavailable))
	s.SetFaults(vmlist.Faults{Hang: true})
	_, err = l.List(context.Background())
	must.True(t, fault.Is(err, fault.Timeout))
}

func TestWeightStoreLoads(t *testing.T) {
	s, err := weights.New(weights.Options{Addr: "127.0.0.1:0", MaxConcurrentFetches: 3})
	must.NoError(t, err)
	run(t, s)
	w, err := platform.NewWeightStore(platform.Options{URL: s.URL()})
	must.NoError(t, err)
	got, err := w.Loads(context.Background())
	must.NoError(t, err)
	must.Eq(t, platform.LoadsResponse{Concurrent: 3}, got)
}
