package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/control"
	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/standin/engine"
	"github.com/ragwortquay/ragwortquay/internal/standin/logsvc"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
	"github.com/ragwortquay/ragwortquay/internal/standin/vmlist"
	"github.com/ragwortquay/ragwortquay/internal/standin/weights"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
	"github.com/ragwortquay/ragwortquay/internal/target"
	"github.com/ragwortquay/ragwortquay/internal/view"
)

// singleMember is the membership of a cluster of one daemon.
type singleMember struct{ never chan struct{} }

func (singleMember) Self() string               { return "d1" }
func (singleMember) Owner(string) string        { return "d1" }
func (a singleMember) Changed() <-chan struct{} { return a.never }

// site is a Manager with stand-ins for all services that it uses, over
// loopback.
type site struct {
	t       testing.TB
	view    *view.View
	control *control.Manager
	engines *engine.Fleet
	fleet   *Manager
}

type siteOptions struct {
	size, vms     int
	load          time.Duration
	ignoreFencing bool
	policy        group.Policy
}

func newSite(t testing.TB, o siteOptions) *site {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &site{t: t, view: view.New()}
	run := func(fn func(context.Context) error) {
		done := make(chan error, 1)
		go func() { done <- fn(ctx) }()
		t.Cleanup(func() {
			cancel()
			must.NoError(t, <-done)
		})
	}
	logs, err := logsvc.New(logsvc.Options{Addr: "127.0.0.1:0"})
	must.NoError(t, err)
	run(logs.Run)
	store, err := weights.New(weights.Options{Addr: "127.0.0.1:0", MaxConcurrentFetches: 4, FetchTime: o.load})
	must.NoError(t, err)
	run(store.Run)
	pool := testPool(o.size, o.vms)
	s.engines, err = engine.New(engine.Options{
		Control: "127.0.0.1:0", VMs: machinesOf(pool), WeightsURL: store.URL(), IgnoreFencing: o.ignoreFencing,
	})
	must.NoError(t, err)
	run(s.engines.Run)
	list, err := vmlist.New(vmlist.Options{Addr: "127.0.0.1:0", VMs: s.engines.VMs()})
	must.NoError(t, err)
	run(list.Run)

	s.control = control.New(control.Options{Self: "d1", Addr: "127.0.0.1:1", Log: client(t, platform.NewLog, logs.URL()), View: s.view})
	run(s.control.Run)
	s.fleet = New(Options{
		View: s.view, Members: singleMember{}, VMs: client(t, platform.NewVMLister, list.URL()),
		WeightStore: client(t, platform.NewWeightStore, store.URL()), Submitter: s.control, Engines: target.NewControlClient(), Policy: o.policy,
	})
	run(s.fleet.Run)
	s.submit(&state.Record{Edit: &state.Edit{Changes: []state.Change{{SetPool: &pool}}}})
	return s
}

func client[C any](t testing.TB, make func(platform.Options) (C, error), url string) C {
	c, err := make(platform.Options{URL: url})
	must.NoError(t, err)
	return c
}

func machinesOf(p table.Pool) []platform.VM {
	var out []platform.VM
	for _, vm := range p.VMs {
		out = append(out, platform.VM{ID: vm, FailureDomain: "plateau", FabricDomain: "f"})
	}
	return out
}

func (s *site) submit(rec *state.Record) {
	rec.ID, rec.Author, rec.At = fmt.Sprint("operator", time.Now().UnixNano()), "operator", time.Now()
	v, err := s.control.Submit(s.t.Context(), rec)
	must.NoError(s.t, err)
	must.True(s.t, v.Accepted, must.Sprint(v.Reason))
}

func (s *site) servingCount() int {
	n := 0
	for _, r := range s.fleet.Replicas("p") {
		if r.Status == replica.Serving {
			n++
		}
	}
	return n
}

// waitUntil waits until the condition on replicas or records holds and returns
// how long that took.
func (s *site) waitUntil(what string, ok func() bool) time.Duration {
	s.t.Helper()
	const limit = time.Minute
	start := time.Now()
	deadline := time.After(limit)
	for {
		changed, applied := s.fleet.Changed(), s.view.Changed()
		if ok() {
			return time.Since(start)
		}
		select {
		case <-changed:
		case <-applied:
		case <-deadline:
			s.t.Fatalf("condition %q did not hold within %s; replicas %+v", what, limit, s.fleet.Replicas("p"))
		}
	}
}

func (s *site) waitServing(n int) time.Duration {
	s.t.Helper()
	return s.waitUntil(fmt.Sprintf("%d groups serve", n), func() bool { return s.servingCount() == n })
}

func (s *site) injectFault(vm string, a machines.Action) {
	_, err := s.engines.InjectFault(engine.FaultRequest{VMs: []string{vm}, Action: a})
	must.NoError(s.t, err)
}

func (s *site) addr(vm string) string {
	for _, m := range s.engines.VMs() {
		if m.ID == vm {
			return m.Addr
		}
	}
	return ""
}

func TestRepairAgainstStandIns(t *testing.T) {
	s := newSite(t, siteOptions{size: 3, vms: 4, load: 200 * time.Millisecond, ignoreFencing: true})
	s.waitServing(1)
	first := s.view.Groups("p")[0]

	s.injectFault(first.Members[1].VM, machines.Kill)
	s.waitUntil("a new group serves", func() bool { return s.servingCount() == 1 && s.view.Groups("p")[0].ID > first.ID })
	second := s.view.Groups("p")[0]

	// A late order of the ended group reaches an engine that ignores fencing tokens.
	late := second.Members[2]
	must.NoError(t, target.NewControlClient().SendOrder(t.Context(), s.addr(late.VM), target.Order{
		ID: "late", Kind: target.OrderLoad, Fence: first.ID, Model: "m", Version: "1",
	}))
	s.waitServing(0)
	s.waitServing(1)
	must.Eq(t, second.ID, s.view.Groups("p")[0].ID)

	// The killed VM boots again, is released and becomes the spare.
	s.injectFault(first.Members[1].VM, machines.Revive)
	s.waitUntil("the VM is a spare", func() bool {
		_, held := s.view.Reservation(first.Members[1].VM)
		return !held
	})
}
