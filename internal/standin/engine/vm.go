package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/host"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// vm is one simulated engine VM.
type vm struct {
	info    platform.VM
	opts    Options
	host    *host.Host
	power   *machines.Power
	journal *journal.Journal
	localVM func(addr string) *vm // returns nil for a VM of another process

	mu                  sync.Mutex
	report              target.Report // without lag; load figures are filled in by currentReport
	members             []string
	highestFencingToken uint64 // of all orders since the boot
	session             *session
	prefixes            *prefixCache
	faults              Faults
	requestCount        int // requests so far, for faults that hit every n-th one
	previousInput       responseInput
	cancelLoad          context.CancelFunc
	visibleLoad         laggedReport
	visibleState        laggedReport
}

// laggedReport is a copy of the report that is kept until it is older than the lag.
type laggedReport struct {
	takenAt time.Time
	report  target.Report
}

func newVM(info platform.VM, o Options, j *journal.Journal, localVM func(string) *vm) (*vm, error) {
	addr := info.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	h, err := host.New(addr)
	if err != nil {
		return nil, err
	}
	info.Addr = h.Addr()
	info.State = platform.VMLive
	v := &vm{info: info, opts: o, host: h, journal: j, localVM: localVM, faults: Faults{StepFactor: 1}}
	v.power = machines.NewPower(h, v, o.Timing.Boot)
	v.Boot("first start")
	return v, nil
}

// Info returns the VM's row of the platform's VM list.
func (v *vm) Info() platform.VM { return v.info }

// Host returns the VM's HTTP server.
func (v *vm) Host() *host.Host { return v.host }

// Power returns the VM's power switch.
func (v *vm) Power() *machines.Power { return v.power }

// Halt aborts all requests and the load.
func (v *vm) Halt() {
	if v.power.Off() {
		v.recordEvent(journal.VMKilled, "")
	}
	v.mu.Lock()
	v.cancelLoad()
	s := v.session
	v.mu.Unlock()
	s.end()
}

// Boot starts a new incarnation: a new boot id, no group and empty caches. The
// faults stay.
func (v *vm) Boot(reason string) {
	v.mu.Lock()
	v.cancelLoad = func() {}
	v.report = target.Report{VM: v.info.ID, BootID: ids.New(), State: target.EngineFree}
	v.members = nil
	v.highestFencingToken = 0
	v.session = newSession(v)
	v.prefixes = newPrefixCache(v.opts.PrefixCacheSize)
	v.visibleState, v.visibleLoad = laggedReport{}, laggedReport{}
	v.mu.Unlock()
	v.recordEvent(journal.VMBooted, reason)
}

// journalEntry returns an entry with the VM's current state. v.mu must be held.
func (v *vm) journalEntry(event journal.Event) journal.Entry {
	state := v.session.limiter.Snapshot(time.Now())
	return journal.Entry{
		Event: event, VM: v.info.ID, BootID: v.report.BootID, FencingToken: v.report.Fence,
		Inflight: state.Running, Limit: state.Limit, Cold: state.Cold, Draining: v.faults.Draining,
	}
}

// recordEvent journals an event that belongs to no request.
func (v *vm) recordEvent(event journal.Event, reason string) {
	v.mu.Lock()
	e := v.journalEntry(event)
	v.mu.Unlock()
	e.Reason = reason
	v.journal.Add(e)
}

// stepTime returns the duration of a decoding step with the given number of requests
// in the batch.
func (v *vm) stepTime(active int) time.Duration {
	v.mu.Lock()
	factor := v.faults.StepFactor
	v.mu.Unlock()
	timing := v.opts.Timing
	return time.Duration(float64(timing.Step+time.Duration(max(active-1, 0))*timing.StepPerRequest) * factor)
}

// Handle serves the engine protocol of package target.
func (v *vm) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/report":
		host.ReplyJSON(ctx, fasthttp.StatusOK, v.visibleReport(time.Now()))
	case "/v1/orders":
		v.handleOrder(ctx)
	case "/v1/generate":
		v.generate(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
	h := &ctx.Response.Header
	if len(h.Peek(target.HeaderRequestID)) == 0 {
		h.SetBytesV(target.HeaderRequestID, ctx.Request.Header.Peek(target.HeaderRequestID))
	}
}

// visibleReport returns the report that callers get, with its lag.
func (v *vm) visibleReport(now time.Time) target.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.currentReport(now)
	v.visibleLoad.refresh(now, v.opts.Timing.LoadReportLag, r)
	v.visibleState.refresh(now, v.opts.Timing.StateReportLag, r)
	out := v.visibleState.report
	out.Inflight, out.Queued, out.StepMs = v.visibleLoad.report.Inflight, v.visibleLoad.report.Queued, v.visibleLoad.report.StepMs
	return out
}

// refresh replaces the copy with r if it is older than lag.
func (s *laggedReport) refresh(now time.Time, lag time.Duration, r target.Report) {
	if s.takenAt.IsZero() || now.Sub(s.takenAt) >= lag {
		s.takenAt, s.report = now, r
	}
}

// currentReport returns the report without lag. v.mu must be held.
func (v *vm) currentReport(now time.Time) target.Report {
	r := v.report
	state := v.session.limiter.Snapshot(now)
	r.Inflight, r.Queued = state.Running, state.Waiting
	r.StepMs = float64(v.session.batch.recentStepTime()) / float64(time.Millisecond)
	r.Draining = v.faults.Draining
	r.Cached = slices.Clone(v.report.Cached)
	return r
}

// servesGroup reports whether the VM is ready and reachable in the group with the
// given fencing token.
func (v *vm) servesGroup(fencingToken uint64) bool {
	v.mu.Lock()
	ok := v.report.Fence == fencingToken && v.report.State == target.EngineReady
	v.mu.Unlock()
	return ok && v.host.Reachable()
}

// crash takes the VM down, at most once per session. It reboots by itself after its
// boot time.
func (v *vm) crash(s *session, reason string) {
	if !s.crashed.CompareAndSwap(false, true) {
		return
	}
	v.recordEvent(journal.VMCrashed, reason)
	v.power.Crash(reason)
}
