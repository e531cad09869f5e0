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

// vm plays one machine.
type vm struct {
	info    platform.VM
	opts    Options
	host    *host.Host
	power   *machines.Power
	journal *journal.Journal
	peers   func(addr string) *vm // VMs of the same process; nil for others

	mu        sync.Mutex
	report    target.Report // the truth
	members   []string
	fence     uint64 // the highest one seen
	session   *session
	prefixes  *prefixCache
	behaviour Faults
	requests  int // arrivals, for faults that hit every n-th
	previous  content
	stopLoad  context.CancelFunc
	shownLoad snapshot
	shown     snapshot
}

// snapshot is a report as it was at a time.
type snapshot struct {
	at     time.Time
	report target.Report
}

func newVM(info platform.VM, o Options, j *journal.Journal, peers func(string) *vm) (*vm, error) {
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
	v := &vm{info: info, opts: o, host: h, journal: j, peers: peers, behaviour: Faults{StepFactor: 1}}
	v.power = machines.NewPower(h, v, o.Timing.Boot)
	v.Boot("first start")
	return v, nil
}

// Info returns the VM as the platform lists it.
func (v *vm) Info() platform.VM { return v.info }

// Host returns the VM's server.
func (v *vm) Host() *host.Host { return v.host }

// Power returns the VM's switch.
func (v *vm) Power() *machines.Power { return v.power }

// Halt breaks off what runs.
func (v *vm) Halt() {
	if v.power.Off() {
		v.note(journal.VMKilled, "")
	}
	v.mu.Lock()
	v.stopLoad()
	s := v.session
	v.mu.Unlock()
	s.end()
}

// Boot starts the VM anew: a new boot id, no group, nothing cached.
func (v *vm) Boot(reason string) {
	v.mu.Lock()
	v.stopLoad = func() {}
	v.report = target.Report{VM: v.info.ID, BootID: ids.New(), State: target.EngineFree}
	v.members = nil
	v.fence = 0
	v.session = newSession(v)
	v.prefixes = newPrefixCache(v.opts.PrefixCacheSize)
	v.shown, v.shownLoad = snapshot{}, snapshot{}
	v.mu.Unlock()
	v.note(journal.VMBooted, reason)
}

// entry returns a journal entry of the VM as it is. v.mu is held.
func (v *vm) entry(ev journal.Event) journal.Entry {
	r := v.session.gauge.Snapshot(time.Now())
	return journal.Entry{
		Event: ev, VM: v.info.ID, BootID: v.report.BootID, FencingToken: v.report.Fence,
		Inflight: r.Running, Limit: r.Limit, Cold: r.Cold, Draining: v.behaviour.Draining,
	}
}

// note journals an event of the VM.
func (v *vm) note(ev journal.Event, reason string) {
	v.mu.Lock()
	e := v.entry(ev)
	v.mu.Unlock()
	e.Reason = reason
	v.journal.Add(e)
}

// step returns the length of a step with n running requests.
func (v *vm) step(n int) time.Duration {
	v.mu.Lock()
	factor := v.behaviour.StepFactor
	v.mu.Unlock()
	t := v.opts.Timing
	return time.Duration(float64(t.Step+time.Duration(max(n-1, 0))*t.StepPerRequest) * factor)
}

// Handle serves the engine's protocol.
func (v *vm) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/report":
		host.ReplyJSON(ctx, fasthttp.StatusOK, v.lagged(time.Now()))
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

// lagged returns the report as it shows outside.
func (v *vm) lagged(now time.Time) target.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.truth(now)
	v.shownLoad.refresh(now, v.opts.Timing.LoadReportLag, r)
	v.shown.refresh(now, v.opts.Timing.StateReportLag, r)
	out := v.shown.report
	out.Inflight, out.Queued, out.StepMs = v.shownLoad.report.Inflight, v.shownLoad.report.Queued, v.shownLoad.report.StepMs
	return out
}

func (s *snapshot) refresh(now time.Time, lag time.Duration, r target.Report) {
	if s.at.IsZero() || now.Sub(s.at) >= lag {
		s.at, s.report = now, r
	}
}

// truth returns the report as it is. v.mu is held.
func (v *vm) truth(now time.Time) target.Report {
	r := v.report
	g := v.session.gauge.Snapshot(now)
	r.Inflight, r.Queued = g.Running, g.Waiting
	r.StepMs = float64(v.session.clock.recent()) / float64(time.Millisecond)
	r.Draining = v.behaviour.Draining
	r.Cached = slices.Clone(v.report.Cached)
	return r
}

// serves reports whether the VM takes part in the group with the given fence.
func (v *vm) serves(fence uint64) bool {
	v.mu.Lock()
	ok := v.report.Fence == fence && v.report.State == target.EngineReady
	v.mu.Unlock()
	return ok && v.host.Answering()
}

// fallOver breaks the VM, once per session; it comes back by itself after its
// boot time.
func (v *vm) fallOver(s *session, reason string) {
	if !s.fell.CompareAndSwap(false, true) {
		return
	}
	v.note(journal.VMCrashed, reason)
	v.power.Crash(reason)
}
