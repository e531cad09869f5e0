package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

const (
	fetchTime = 5 * time.Second
	cacheTime = time.Second
)

// fakeEngine is one VM with an engine that ignores fencing numbers.
type fakeEngine struct {
	report   target.Report
	boots    int
	readyAt  time.Time
	dead     bool
	paused   bool
	orders   []target.Order
	inflight int
}

// world is all that surrounds a Manager: VMs, their list and the stream.
type world struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	vms     []platform.VM
	state   *state.State
	offset  uint64
	owner   string
	changed broadcast
}

func newWorld(pool table.Pool) *world {
	w := &world{engines: make(map[string]*fakeEngine), state: state.New(), owner: "d1"}
	for _, vm := range pool.VMs {
		w.engines[vm] = &fakeEngine{}
		w.boot(vm)
		w.vms = append(w.vms, platform.VM{ID: vm, Addr: vm, FailureDomain: "plateau", FabricDomain: "f", State: platform.VMLive})
	}
	w.edit(pool)
	return w
}

func (w *world) boot(vm string) {
	e := w.engines[vm]
	e.boots++
	e.dead, e.paused = false, false
	e.report = target.Report{VM: vm, BootID: fmt.Sprintf("%s-%d", vm, e.boots), State: target.EngineFree}
}

// with runs fn with the lock held.
func (w *world) with(fn func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fn()
	w.changed.signal()
}

func (w *world) edit(p table.Pool) {
	base := w.state.Pools[p.Name].Stamp.Revision
	w.apply(&state.Record{ID: fmt.Sprint("edit", w.offset), Edit: &state.Edit{Changes: []state.Change{{Base: base, SetPool: &p}}}})
}

func (w *world) apply(rec *state.Record) state.Verdict {
	w.offset++
	return w.state.Apply(state.Position{Epoch: 1, Offset: w.offset}, rec)
}

func (w *world) Submit(_ context.Context, rec *state.Record) (v state.Verdict, _ error) {
	time.Sleep(10 * time.Millisecond)
	w.with(func() { v = w.apply(rec) })
	return v, nil
}

func (w *world) Report(_ context.Context, addr string) (target.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[addr]
	switch {
	case e.dead:
		return target.Report{}, fault.Refuse(fault.Unavailable, "", "refused")
	case e.paused:
		return target.Report{}, fault.New(fault.Timeout, "", "timeout")
	}
	if e.report.State == target.EngineLoading && !time.Now().Before(e.readyAt) {
		e.report.State = target.EngineReady
		if weights := group.WeightsKey(e.report.Model, e.report.Version); !slices.Contains(e.report.Cached, weights) {
			e.report.Cached = append(slices.Clone(e.report.Cached), weights)
		}
	}
	e.report.Inflight = e.inflight
	return e.report, nil
}

func (w *world) SendOrder(_ context.Context, addr string, o target.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[addr]
	if e.dead || e.paused {
		return fault.New(fault.Timeout, "", "timeout")
	}
	e.take(o)
	return nil
}

func (e *fakeEngine) take(o target.Order) {
	e.orders = append(e.orders, o)
	r := &e.report
	r.Group, r.Fence, r.Rank, r.Model, r.Version = 0, o.Fence, 0, "", ""
	if o.Kind == target.OrderUnload {
		r.State = target.EngineFree
		return
	}
	weights := group.WeightsKey(o.Model, o.Version)
	wait := cacheTime
	if !slices.Contains(r.Cached, weights) {
		wait = fetchTime
	}
	r.State, r.Group, r.Rank, r.Model, r.Version = target.EngineLoading, o.Fence, o.Rank, o.Model, o.Version
	e.readyAt = time.Now().Add(wait)
}

func (w *world) List(context.Context) ([]platform.VM, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.vms), nil
}

func (w *world) snapshot() *state.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Clone()
}

func (w *world) Pool(name string) (state.PoolRow, bool) {
	row, ok := w.snapshot().Pools[name]
	return row, ok
}

func (w *world) Pools() (out []state.PoolRow) {
	for _, row := range w.snapshot().Pools {
		out = append(out, row)
	}
	return out
}

func (w *world) Groups(pool string) (out []state.Group) {
	for _, g := range w.snapshot().Groups {
		if g.Pool == pool {
			out = append(out, g)
		}
	}
	return out
}

func (w *world) Reservation(vm string) (state.Reservation, bool) {
	r, ok := w.snapshot().VMs[vm]
	return r, ok
}

func (w *world) Reservations(pool string) map[string]state.Reservation {
	out := make(map[string]state.Reservation)
	for vm, r := range w.snapshot().VMs {
		if r.Pool == pool {
			out[vm] = r
		}
	}
	return out
}

func (w *world) Position() state.Position { return w.snapshot().Pos }
func (w *world) Changed() <-chan struct{} { return w.changed.wait() }

func (w *world) Owner(string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owner
}

// daemon is one daemon's view of the world.
type daemon struct {
	*world
	id string
}

func (d daemon) Self() string { return d.id }

// session runs one daemon over a world in a bubble of fake time.
type session struct {
	t *testing.T
	w *world
	m *Manager
}

func play(t *testing.T, pool table.Pool, fn func(s *session)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(pool)
		s := &session{t: t, w: w}
		s.m = s.daemon("d1")
		fn(s)
	})
}

func (s *session) daemon(id string) *Manager {
	w := s.w
	m := New(Options{View: w, Members: daemon{w, id}, VMs: w, Submitter: w, Engines: w})
	ctx, cancel := context.WithCancel(s.t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		must.NoError(s.t, <-done)
	})
	return m
}

// until waits for the condition and returns how long that took.
func (s *session) until(limit time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			s.t.Fatalf("%s: not within %s; replicas %+v", what, limit, s.m.Replicas("p"))
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

func (s *session) serving() (out []replica.Replica) {
	for _, r := range s.m.Replicas("p") {
		if r.Status == replica.Serving {
			out = append(out, r)
		}
	}
	return out
}

func (s *session) served(n int) time.Duration {
	s.t.Helper()
	return s.until(time.Minute, fmt.Sprintf("%d groups serve", n), func() bool { return len(s.serving()) == n })
}

func testPool(size, vms int) table.Pool {
	p := table.Pool{Name: "p", Kind: table.KindEngine, Model: "m", Version: "1", GroupSize: size, Limit: 8, ColdLimit: 1}
	for i := range vms {
		p.VMs = append(p.VMs, fmt.Sprintf("v%02d", i))
	}
	return p
}
