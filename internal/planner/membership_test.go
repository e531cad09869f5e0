package planner

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/placement"
)

// runSimulation plays one seed and returns the joins that broke the rule, and the number of
// all joins.
func runSimulation(t *testing.T, seed uint64) (joinedTwo []string, joins int) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(seed)
		model := catalog.Model{Name: "m", GroupSize: 3, Share: 1, TimeFactor: 1, LoadTime: time.Second, WarmLoadTime: 200 * time.Millisecond}
		service := &catalog.Service{Name: "llm", Engine: &catalog.EngineSpec{Models: []catalog.Model{model}, LoadsPerSecond: 10, MaxConcurrentLoads: 10}}
		defer s.late.Wait()
		var daemons []*simDaemon
		for i := range simDaemons {
			d := &simDaemon{simulation: s, name: fmt.Sprint("d", i)}
			d.directory = directory.New(directory.Options{Decoder: d, Topics: directory.Topics{Operator: "operator", Engines: "engines", Daemons: "daemons"}, ConfigBound: time.Second})
			d.directory.ApplyLatest(directory.DaemonsTopic, directory.Position{}, nil)
			d.planner = New(Options{Lease: &fixedLease{}, Engines: d, Peers: d, Heads: d, Directory: d.directory, Demand: balance.NewDemand(), StallBound: headStall})
			daemons = append(daemons, d)
		}
		for _, d := range daemons {
			d.peers = slices.DeleteFunc(slices.Clone(daemons), func(x *simDaemon) bool { return x == d })
		}
		begun := time.Now()
		holder, generation := 0, int64(1)
		daemons[0].planner.applyRenewal(true, generation, 1<<62-1<<40)
		for time.Since(begun) < simDuration {
			time.Sleep(simTick)
			s.mu.Lock()
			s.disturb()
			change := s.rng.IntN(200) == 0
			restart := s.rng.IntN(2) == 0
			s.mu.Unlock()
			if change {
				// The old planner learns of it by its next renewal.
				old, oldGeneration := daemons[holder].planner, generation
				time.AfterFunc(leaseTTL/leaseRenewals, func() { old.applyRenewal(false, oldGeneration, 0) })
				generation++
				holder = (holder + 1) % simDaemons
				daemons[holder].plansAt = time.Now().Add(takeoverDelay)
				if restart { // the new planner has seen nothing of the engines before
					daemons[holder].planner.engines.Clear()
				}
				daemons[holder].planner.applyRenewal(true, generation, 1<<62-1<<40)
			}
			for _, d := range daemons {
				d.readStore()
				view := d.view(service)
				d.planner.trackEngines(view)
				if d.planner.suspectAll.Swap(false) {
					d.planner.suspectAllGroups()
				}
				d.planner.querySuspects()
				if !d.planner.HoldsLease() || time.Now().Before(d.plansAt) {
					continue
				}
				for _, step := range placement.Plan(d.planner.buildSnapshot(view)) {
					d.planner.execute(service, step)
				}
			}
		}
		for _, d := range daemons {
			d.planner.applyRenewal(false, generation, 0)
		}
		time.Sleep(2 * orderExpiry)
		must.MapNotEmpty(t, daemons[0].directory.Heads(), must.Sprint("the daemons read the stored heads"))
		must.Eq(t, simDaemons, daemons[0].directory.DaemonCount())
		s.mu.Lock()
		defer s.mu.Unlock()
		joinedTwo, joins = s.joinedTwo, s.joins
	})
	return joinedTwo, joins
}

// TestNoEngineIsInTwoGroups guards against engines that join a group while the head of their
// group is open (TWO): over random cuts between any two of daemons, engines and store, late,
// lost and repeated orders, restarts, and changes of the planner.
func TestNoEngineIsInTwoGroups(t *testing.T) {
	klog.LogToStderr(false) // a run logs some thousand lines
	klog.SetOutput(io.Discard)
	defer klog.LogToStderr(true)
	joins := 0
	for seed := range uint64(20) {
		broken, n := runSimulation(t, seed)
		must.SliceEmpty(t, broken, must.Sprint("seed ", seed, ": ", strings.Join(broken, "\n")))
		joins += n
	}
	must.Greater(t, 20*10, joins, must.Sprint("joins in all seeds"))
}
