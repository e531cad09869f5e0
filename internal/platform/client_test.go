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

// shortTimeout is the timeout of calls that are expected to time out.
const shortTimeout = 100 * time.Millisecond

// service is a stand-in for a platform service.
type service interface {
	Run(ctx context.Context) error
}

// startService runs s until the end of the test.
func startService(t *testing.T, s service) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
}

func newLogService(t *testing.T, o logsvc.Options) *logsvc.Service {
	t.Helper()
	o.Addr = "127.0.0.1:0"
	s, err := logsvc.New(o)
	must.NoError(t, err)
	startService(t, s)
	return s
}

func newLogClient(t *testing.T, url string, timeout time.Duration, client string) platform.Log {
	t.Helper()
	l, err := platform.NewLog(platform.Options{URL: url, Timeout: timeout, ClientID: client})
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
	s := newLogService(t, logsvc.Options{})
	l := newLogClient(t, s.URL(), 0, "")
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

func TestInvalidBatchSizeIsNotSent(t *testing.T) {
	s := newLogService(t, logsvc.Options{})
	l := newLogClient(t, s.URL(), 0, "")
	for _, n := range []int{0, platform.MaxBatchRecords + 1} {
		_, err := l.Append(context.Background(), "s", make([][]byte, n))
		must.Eq(t, fault.NotRun, fault.As(err).Outcome)
		must.True(t, fault.Is(err, fault.BadInput))
	}
	must.Eq(t, 0, s.Stats().Appends)
}

func TestReadBelowRetentionReturnsTrimmedError(t *testing.T) {
	tests := []struct {
		name string
		opts logsvc.Options
		trim int // number of records to retain by a Trim call; none if negative
	}{
		{"by count", logsvc.Options{MaxRecords: 2}, -1},
		{"by age", logsvc.Options{MaxAge: time.Nanosecond}, -1},
		{"by a Trim call", logsvc.Options{}, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newLogService(t, tc.opts)
			l := newLogClient(t, s.URL(), 0, "")
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

// waitFor polls until ok returns true, and fails the test after 20 s.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !ok() {
		must.True(t, time.Now().Before(deadline), must.Sprint("condition was not reached"))
		time.Sleep(time.Millisecond)
	}
}

func TestNewEpochStartsWithEmptyStream(t *testing.T) {
	s := newLogService(t, logsvc.Options{})
	l := newLogClient(t, s.URL(), 0, "")
	_, err := l.Append(context.Background(), "s", records("x"))
	must.NoError(t, err)
	s.StartNewEpoch()
	got, err := l.Read(context.Background(), "s", 0, 10)
	must.NoError(t, err)
	must.Eq(t, platform.ReadResponse{Epoch: 2, Records: []platform.Record{}}, got)
}

// TestAppendFaultsHaveUnknownOutcome checks the kind of error for each fault, and
// that a fault set for one client does not affect another one.
func TestAppendFaultsHaveUnknownOutcome(t *testing.T) {
	tests := []struct {
		name    string
		faults  logsvc.Faults
		kind    fault.Kind
		applied int64 // appends that took effect
	}{
		{"refuse", logsvc.Faults{Refuse: true}, fault.Unavailable, 0},
		{"hang", logsvc.Faults{Hang: true}, fault.Timeout, 0},
		{"slow", logsvc.Faults{DelayMS: 60_000}, fault.Timeout, 0},
		{"response lost", logsvc.Faults{DropNextResponses: 1}, fault.Unavailable, 1},
		{"all responses lost", logsvc.Faults{DropResponseRatio: 1}, fault.Unavailable, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newLogService(t, logsvc.Options{})
			affected, unaffected := newLogClient(t, s.URL(), shortTimeout, "a"), newLogClient(t, s.URL(), 0, "b")
			tc.faults.Clients = []string{"a"}
			s.SetFaults(tc.faults)
			_, err := affected.Append(context.Background(), "s", records("x"))
			must.Eq(t, tc.kind, fault.KindOf(err), must.Sprintf("%v", err))
			must.Eq(t, fault.Unknown, fault.As(err).Outcome)
			must.Eq(t, tc.applied, s.Stats().Appends)
			_, err = unaffected.Append(context.Background(), "s", records("y"))
			must.NoError(t, err)
		})
	}
}

// TestLostResponseIsNotRetried guards against retries by the HTTP library, which
// would append records twice when a response is lost.
func TestLostResponseIsNotRetried(t *testing.T) {
	s := newLogService(t, logsvc.Options{})
	l := newLogClient(t, s.URL(), 0, "")
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

func TestConnectionRefusedIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, ln.Close())
	_, err = newLogClient(t, "http://"+ln.Addr().String(), 0, "").Append(context.Background(), "s", records("x"))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

// TestContextDeadlineEndsCall checks the outcome when the context ends during the
// call, and that a call with an expired context sends nothing.
func TestContextDeadlineEndsCall(t *testing.T) {
	s := newLogService(t, logsvc.Options{})
	s.SetFaults(logsvc.Faults{Hang: true})
	l := newLogClient(t, s.URL(), time.Minute, "")
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	_, err := l.Append(ctx, "s", records("x"))
	must.Eq(t, fault.Unknown, fault.As(err).Outcome)
	_, err = l.Append(ctx, "s", records("x"))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

func TestAppendRateLimitDelaysAppends(t *testing.T) {
	s := newLogService(t, logsvc.Options{AppendsPerSecond: 1})
	l := newLogClient(t, s.URL(), shortTimeout, "")
	_, err := l.Append(context.Background(), "s", records("x"))
	must.NoError(t, err)
	_, err = l.Append(context.Background(), "s", records("x"))
	must.True(t, fault.Is(err, fault.Timeout))
}

func TestInvalidURLIsRejected(t *testing.T) {
	for _, url := range []string{"", "127.0.0.1:1", "https://127.0.0.1:1", "http://"} {
		_, err := platform.NewLog(platform.Options{URL: url})
		must.True(t, fault.Is(err, fault.BadInput), must.Sprint(url))
	}
}

func TestVMListLagAndFaults(t *testing.T) {
	a := platform.VM{ID: "a", Addr: "127.0.0.1:1", State: platform.VMLive}
	s, err := vmlist.New(vmlist.Options{Addr: "127.0.0.1:0", Lag: time.Hour, VMs: []platform.VM{a}})
	must.NoError(t, err)
	startService(t, s)
	l, err := platform.NewVMLister(platform.Options{URL: s.URL(), Timeout: shortTimeout})
	must.NoError(t, err)
	must.NoError(t, vmlist.Register(s.URL(), []platform.VM{{ID: "b"}}))
	s.Apply(vmlist.Edit{StateChanges: []vmlist.StateChange{{ID: "a", State: platform.VMLeaving}}})
	got, err := l.List(context.Background())
	must.NoError(t, err)
	must.Eq(t, []platform.VM{a}, got)
	noLag := 0
	s.SetFaults(vmlist.Faults{LagMS: &noLag})
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
	startService(t, s)
	w, err := platform.NewWeightStore(platform.Options{URL: s.URL()})
	must.NoError(t, err)
	got, err := w.Loads(context.Background())
	must.NoError(t, err)
	must.Eq(t, platform.LoadsResponse{Concurrent: 3}, got)
}
