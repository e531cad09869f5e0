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
	fetchDuration      = 5 * time.Second
	cachedLoadDuration = time.Second
)

// fakeEngine is one VM with an engine that ignores fencing tokens.
type fakeEngine struct {
	report   target.Report
	boots    int
	readyAt  time.Time
	dead     bool
	paused   bool
	orders   []target.Order
	inflight int
}

// fakeEnv stands in for everything that a Manager uses: VMs, their list, the
// control stream and the membership.
type fakeEnv struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	vms     []platform.VM
	state   *state.State
	offset  uint64
	owner   string
	changed broadcast
}

func newFakeEnv(pool table.Pool) *fakeEnv {
	env := &fakeEnv{engines: make(map[string]*fakeEngine), state: state.New(), owner: "d1"}
	for _, vm := range pool.VMs {
		env.engines[vm] = &fakeEngine{}
		env.bootVM(vm)
		env.vms = append(env.vms, platform.VM{ID: vm, Addr: vm, FailureDomain: "plateau", FabricDomain: "f", State: platform.VMLive})
	}
	env.editPool(pool)
	return env
}

func (env *fakeEnv) bootVM(vm string) {
	e := env.engines[vm]
	e.boots++
	e.dead, e.paused = false, false
	e.report = target.Report{VM: vm, BootID: fmt.Sprintf("%s-%d", vm, e.boots), State: target.EngineFree}
}

// update runs fn with the lock held and signals a change of the view.
func (env *fakeEnv) update(fn func()) {
	env.mu.Lock()
	defer env.mu.Unlock()
	fn()
	env.changed.signal()
}

func (env *fakeEnv) editPool(p table.Pool) {
	base := env.state.Pools[p.Name].Stamp.Revision
	env.appendRecord(&state.Record{ID: fmt.Sprint("edit", env.offset), Edit: &state.Edit{Changes: []state.Change{{Base: base, SetPool: &p}}}})
}

func (env *fakeEnv) appendRecord(rec *state.Record) state.Verdict {
	env.offset++
	return env.state.Apply(state.Position{Epoch: 1, Offset: env.offset}, rec)
}

func (env *fakeEnv) Submit(_ context.Context, rec *state.Record) (v state.Verdict, _ error) {
	time.Sleep(10 * time.Millisecond)
	env.update(func() { v = env.appendRecord(rec) })
	return v, nil
}

func (env *fakeEnv) Report(_ context.Context, addr string) (target.Report, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	e := env.engines[addr]
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

func (env *fakeEnv) SendOrder(_ context.Context, addr string, o target.Order) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	e := env.engines[addr]
	if e.dead || e.paused {
		return fault.New(fault.Timeout, "", "timeout")
	}
	e.applyOrder(o)
	return nil
}

func (e *fakeEngine) applyOrder(o target.Order) {
	e.orders = append(e.orders, o)
	r := &e.report
	r.Group, r.Fence, r.Rank, r.Model, r.Version = 0, o.Fence, 0, "", ""
	if o.Kind == target.OrderUnload {
		r.State = target.EngineFree
		return
	}
	weights := group.WeightsKey(o.Model, o.Version)
	wait := cachedLoadDuration
	if !slices.Contains(r.Cached, weights) {
		wait = fetchDuration
	}
	r.State, r.Group, r.Rank, r.Model, r.Version = target.EngineLoading, o.Fence, o.Rank, o.Model, o.Version
	e.readyAt = time.Now().Add(wait)
}

func (env *fakeEnv) List(context.Context) ([]platform.VM, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.vms), nil
}

func (env *fakeEnv) snapshot() *state.State {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.state.Clone()
}

func (env *fakeEnv) Pool(name string) (state.PoolRow, bool) {
	row, ok := env.snapshot().Pools[name]
	return row, ok
}

func (env *fakeEnv) Pools() (out []state.PoolRow) {
	for _, row := range env.snapshot().Pools {
		out = append(out, row)
	}
	return out
}

func (env *fakeEnv) Groups(pool string) (out []state.Group) {
	for _, g := range env.snapshot().Groups {
		if g.Pool == pool {
			out = append(out, g)
		}
	}
	return out
}

func (env *fakeEnv) Reservation(vm string) (state.Reservation, bool) {
	r, ok := env.snapshot().VMs[vm]
	return r, ok
}

func (env *fakeEnv) Reservations(pool string) map[string]state.Reservation {
	out := make(map[string]state.Reservation)
	for vm, r := range env.snapshot().VMs {
		if r.Pool == pool {
			out[vm] = r
		}
	}
	return out
}

func (env *fakeEnv) Position() state.Position { return env.snapshot().Pos }
func (env *fakeEnv) Changed() <-chan struct{} { return env.changed.wait() }

func (env *fakeEnv) Owner(string) string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.owner
}

// daemonMembers is the membership as one daemon sees it.
type daemonMembers struct {
	*fakeEnv
	id string
}

func (d daemonMembers) Self() string { return d.id }

// scenario is a test of managers over a fakeEnv in a synctest bubble with fake
// time.
type scenario struct {
	t       *testing.T
	env     *fakeEnv
	manager *Manager
}

func runScenario(t *testing.T, pool table.Pool, fn func(s *scenario)) {
	synctest.Test(t, func(t *testing.T) {
		env := newFakeEnv(pool)
		s := &scenario{t: t, env: env}
		s.manager = s.startManager("d1")
		fn(s)
	})
}

// startManager runs the manager of one daemon until the test ends.
func (s *scenario) startManager(id string) *Manager {
	env := s.env
	m := New(Options{View: env, Members: daemonMembers{env, id}, VMs: env, Submitter: env, Engines: env})
	ctx, cancel := context.WithCancel(s.t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		must.NoError(s.t, <-done)
	})
	return m
}

// waitUntil waits until the condition holds and returns how long that took.
func (s *scenario) waitUntil(limit time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			s.t.Fatalf("condition %q did not hold within %s; replicas %+v", what, limit, s.manager.Replicas("p"))
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

func (s *scenario) serving() (out []replica.Replica) {
	for _, r := range s.manager.Replicas("p") {
		if r.Status == replica.Serving {
			out = append(out, r)
		}
	}
	return out
}

func (s *scenario) waitServing(n int) time.Duration {
	s.t.Helper()
	return s.waitUntil(time.Minute, fmt.Sprintf("%d groups serve", n), func() bool { return len(s.serving()) == n })
}

func testPool(size, vms int) table.Pool {
	p := table.Pool{Name: "p", Kind: table.KindEngine, Model: "m", Version: "1", GroupSize: size, Limit: 8, ColdLimit: 1}
	for i := range vms {
		p.VMs = append(p.VMs, fmt.Sprintf("v%02d", i))
	}
	return p
}
