package group

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

// digest writes actions, but not waits, on a line each.
func digest(actions []Action) []string {
	out := []string{}
	for _, a := range actions {
		switch a := a.(type) {
		case ProposeForm:
			var vms []string
			for _, m := range a.Form.Members {
				vms = append(vms, m.VM)
			}
			out = append(out, fmt.Sprintf("form %s replaces %v", strings.Join(vms, " "), a.Form.Replaces))
		case ProposeRetire:
			out = append(out, fmt.Sprintf("retire %d", a.Retire.Group))
		case ProposeRelease:
			out = append(out, fmt.Sprintf("release %s %d: %s", a.Release.VM, a.Release.Fence, a.Release.Evidence))
		case SendOrder:
			verb := "unload"
			if a.Order.Load {
				verb = "load"
			}
			out = append(out, fmt.Sprintf("%s %s %d", verb, a.VM, a.Order.Fence))
		}
	}
	return out
}

func (s *Snapshot) end(vm string, id uint64, ago time.Duration) {
	s.Reservations[vm] = state.Reservation{Group: id, Pool: "p", Ended: true}
	s.observe(vm, func(o *Observation) { o.EndedSince, o.EndedBootID = testNow.Add(-ago), vm+"-0" })
}

func (s *Snapshot) free(vm string) {
	s.observe(vm, func(o *Observation) { o.Report = Report{BootID: vm + "-0", Cached: o.Report.Cached} })
}

// cold makes the VM forget its weights.
func (s *Snapshot) cold(vm string) {
	s.observe(vm, func(o *Observation) { o.Report.Cached = nil })
}

// warming makes the VM load the pool's weights for a group that has ended.
func (s *Snapshot) warming(vm string) {
	s.observe(vm, func(o *Observation) {
		o.StateSince = testNow.Add(-time.Second)
		o.Report.State, o.Report.Group, o.Report.Fence, o.Report.Model, o.Report.Version = Loading, 900, 900, "m", "1"
	})
}

func TestPlan(t *testing.T) {
	const long = 20 * time.Second
	cases := []struct {
		name              string
		groups, size, vms int
		set               func(*Snapshot)
		want              []string
	}{
		{"all is well", 2, 2, 5, func(*Snapshot) {}, nil},
		{"free VMs form a group", 0, 2, 3, func(*Snapshot) {}, []string{"form v00 v01 replaces []"}},
		{"free VMs of two fabric domains do not", 0, 2, 2, func(s *Snapshot) {
			s.list("v01", func(v *VM) { v.FabricDomain = "g" })
		}, nil},
		{"VMs that hold the weights go first", 0, 2, 3, func(s *Snapshot) {
			s.cold("v00")
			s.cold("v01")
		}, []string{"form v02 v00 replaces []"}},
		{"one spare at a time fetches weights", 1, 2, 5, func(s *Snapshot) {
			s.list("v04", func(v *VM) { v.FabricDomain = "g" })
			s.cold("v03")
			s.cold("v04")
			s.Pool.GroupSize, s.Pool.VMs = 2, []string{"v00", "v01", "v03", "v04"}
		}, []string{"load v03 1000"}},
		{"and is left to it", 1, 2, 3, func(s *Snapshot) {
			s.cold("v02")
			s.warming("v02")
		}, nil},
		{"a spare that holds the weights is unloaded", 1, 2, 3, func(s *Snapshot) {
			s.warming("v02")
			s.observe("v02", func(o *Observation) { o.Report.State = Ready })
		}, []string{"unload v02 900"}},
		{"a spare is not warmed while a group needs the store", 1, 2, 3, func(s *Snapshot) {
			s.WeightStore = WeightStore{Concurrent: 1, Active: 1}
			s.cold("v02")
		}, nil},
		{"a spare that still fetches is taken", 1, 2, 3, func(s *Snapshot) {
			s.cold("v02")
			s.warming("v02")
			s.missed("v01", long, true)
		}, []string{"form v00 v02 replaces [100]"}},
		{"a member that fetches the weights for an ended group goes on", 1, 2, 2, func(s *Snapshot) {
			s.cold("v01")
			s.warming("v01")
		}, nil},
		{"but not for ever", 1, 2, 2, func(s *Snapshot) {
			s.cold("v01")
			s.warming("v01")
			s.observe("v01", func(o *Observation) { o.StateSince = testNow.Add(-time.Hour) })
		}, []string{"load v01 100"}},
		{"a killed member is replaced", 1, 3, 4, func(s *Snapshot) { s.missed("v01", time.Second, true) }, []string{"form v00 v02 v03 replaces [100]"}},
		{"a member just killed is replaced at once", 1, 3, 4, func(s *Snapshot) { s.missed("v01", 0, true) }, []string{"form v00 v02 v03 replaces [100]"}},
		{"a silent member is given a report's life", 1, 3, 4, func(s *Snapshot) {
			s.missed("v01", DefaultPolicy().ReportTTL-time.Second, false)
		}, nil},
		{"a member long silent is replaced", 1, 3, 4, func(s *Snapshot) { s.missed("v01", long, false) }, []string{"form v00 v02 v03 replaces [100]"}},
		{"no spare, no action", 1, 3, 3, func(s *Snapshot) { s.missed("v01", long, false) }, nil},
		{"a spare of another fabric domain does not help", 1, 3, 4, func(s *Snapshot) {
			s.missed("v01", long, false)
			s.list("v03", func(v *VM) { v.FabricDomain = "g" })
		}, nil},
		{"two broken groups make one", 2, 3, 6, func(s *Snapshot) {
			s.missed("v01", long, true)
			s.missed("v04", long, true)
		}, []string{"form v00 v02 v03 replaces [100 101]"}},
		{"a spare goes to the group that misses least", 2, 3, 7, func(s *Snapshot) {
			s.missed("v00", long, true)
			s.missed("v01", long, true)
			s.missed("v04", long, true)
		}, []string{"form v03 v05 v06 replaces [101]"}},
		{"a rebooted member forms a new group", 1, 2, 2, func(s *Snapshot) {
			s.observe("v01", func(o *Observation) { o.Report = Report{BootID: "v01-1"} })
		}, []string{"form v00 v01 replaces [100]"}},
		{"a flapping member waits", 1, 2, 2, func(s *Snapshot) {
			s.observe("v01", func(o *Observation) {
				o.Report = Report{BootID: "v01-1"}
				o.Flaps = []time.Time{testNow.Add(-time.Minute), testNow.Add(-time.Second)}
			})
		}, nil},
		{"a takeover concludes nothing", 1, 2, 3, func(s *Snapshot) {
			s.Observations["v01"] = Observation{WatchedSince: testNow.Add(-time.Second), FailingSince: testNow}
		}, nil},
		{"a paused daemon concludes nothing", 1, 2, 3, func(s *Snapshot) {
			for vm := range s.Observations {
				s.observe(vm, func(o *Observation) { o.ReportedAt = testNow.Add(-time.Minute) })
			}
		}, nil},
		{"a withdrawn domain keeps its groups", 1, 2, 4, func(s *Snapshot) {
			s.Pool.Withdrawn = []string{"d"}
			s.DrainingSince[100] = testNow.Add(-time.Hour)
		}, nil},
		{"a leaving member is replaced after the drain", 1, 2, 3, func(s *Snapshot) {
			s.list("v01", func(v *VM) { v.Leaving = true })
			s.DrainingSince[100] = testNow.Add(-long)
		}, []string{"form v00 v02 replaces [100]"}},
		{"requests in flight hold up the replacement", 1, 2, 3, func(s *Snapshot) {
			s.list("v01", func(v *VM) { v.Leaving = true })
			s.DrainingSince[100] = testNow.Add(-long)
			s.observe("v00", func(o *Observation) { o.Report.Inflight = 1 })
		}, nil},
		{"but not for ever", 1, 2, 3, func(s *Snapshot) {
			s.list("v01", func(v *VM) { v.Leaving = true })
			s.DrainingSince[100] = testNow.Add(-time.Hour)
			s.observe("v00", func(o *Observation) { o.Report.Inflight = 1 })
		}, []string{"form v00 v02 replaces [100]"}},
		{"a group without one of the pool's VMs ends", 1, 2, 2, func(s *Snapshot) {
			s.Pool.VMs = []string{"v00"}
			s.DrainingSince[100] = testNow.Add(-long)
		}, []string{"retire 100"}},
		{"a dropped pool's groups end", 1, 2, 2, func(s *Snapshot) {
			s.PoolExists = false
			s.DrainingSince[100] = testNow.Add(-long)
		}, []string{"retire 100"}},
		{"a new version replaces a drained group", 2, 2, 4, func(s *Snapshot) {
			s.Pool.Version = "2"
			s.DrainingSince[100] = testNow.Add(-long)
		}, []string{"form v00 v01 replaces [100]"}},
		{"a withdrawn group does not hold up a new version", 2, 2, 4, func(s *Snapshot) {
			s.Pool.Version, s.Pool.Withdrawn = "2", []string{"e"}
			for i := range s.Groups[0].Members {
				s.Groups[0].Members[i].FailureDomain = "e"
			}
			s.DrainingSince[101] = testNow.Add(-long)
		}, []string{"form v02 v03 replaces [101]"}},
		{"nor does a broken one", 2, 2, 4, func(s *Snapshot) {
			s.Pool.Version = "2"
			s.missed("v00", long, true)
			s.DrainingSince[101] = testNow.Add(-long)
		}, []string{"form v02 v03 replaces [101]"}},
		{"a service's VMs get no orders", 0, 1, 1, func(s *Snapshot) {
			s.Pool.Kind = table.KindService
			s.observe("v00", func(o *Observation) { o.Report.State, o.Report.Group = Ready, 7 })
		}, nil},
		{"a larger size takes several groups", 2, 2, 4, func(s *Snapshot) {
			s.Pool.GroupSize = 3
			s.DrainingSince[100] = testNow.Add(-long)
			s.DrainingSince[101] = testNow.Add(-long)
		}, []string{"form v00 v01 v02 replaces [100 101]"}},
		{"a straggler makes way for a spare", 2, 2, 5, func(s *Snapshot) {
			s.observe("v02", func(o *Observation) { o.SlowSince = testNow.Add(-time.Minute) })
			s.DrainingSince[101] = testNow.Add(-long)
		}, []string{"form v03 v04 replaces [101]"}},
		{"a straggler stays while there is no spare", 2, 2, 4, func(s *Snapshot) {
			s.observe("v02", func(o *Observation) { o.SlowSince = testNow.Add(-time.Minute) })
		}, nil},
		{"a late order is mended", 1, 2, 2, func(s *Snapshot) {
			s.observe("v01", func(o *Observation) { o.Report.Group, o.Report.Fence = 90, 90 })
		}, []string{"load v01 100"}},
		{"an order is not repeated at once", 1, 2, 2, func(s *Snapshot) {
			s.free("v01")
			s.observe("v01", func(o *Observation) { o.LastOrder, o.LastOrderAt = Order{Load: true, Fence: 100}, testNow })
		}, nil},
		{"a group that is not folded here yet is left alone", 0, 2, 1, func(s *Snapshot) {
			s.observe("v00", func(o *Observation) { o.Report.State, o.Report.Group, o.Report.Fence = Ready, 2000, 2000 })
		}, nil},
		{"an unreserved VM that runs a group is unloaded", 0, 2, 1, func(s *Snapshot) {
			s.observe("v00", func(o *Observation) { o.Report.State, o.Report.Group, o.Report.Fence = Ready, 90, 90 })
		}, []string{"unload v00 90"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := scene(c.groups, c.size, c.vms)
			c.set(&s)
			if c.want == nil {
				c.want = []string{}
			}
			must.Eq(t, c.want, digest(Plan(s, DefaultPolicy())))
		})
	}
}

func TestLoadsQueueUnderTheStoresLimit(t *testing.T) {
	s := scene(2, 3, 6)
	s.WeightStore = WeightStore{Concurrent: 2}
	for _, vm := range []string{"v00", "v01", "v02", "v05"} {
		s.observe(vm, func(o *Observation) { o.Report = Report{BootID: vm + "-0"} })
	}
	// The second group lacks one fetch, the first one three.
	must.Eq(t, []string{"load v05 101", "load v00 100"}, digest(Plan(s, DefaultPolicy())))
	s.WeightStore.Active = 2
	must.Eq(t, []string{}, digest(Plan(s, DefaultPolicy())))
	s.observe("v01", func(o *Observation) { o.Report.Cached = []string{"m@1"} })
	must.Eq(t, []string{"load v01 100"}, digest(Plan(s, DefaultPolicy())))
}

func TestPoliciesDiffer(t *testing.T) {
	s := scene(2, 3, 7)
	s.missed("v01", 20*time.Second, false)
	s.missed("v04", 20*time.Second, false)
	with := func(r RepairStrategy) []string {
		p := DefaultPolicy()
		p.Repair = r
		return digest(Plan(s, p))
	}
	must.Eq(t, []string{}, with(OwnMember))
	must.Eq(t, []string{"form v00 v02 v06 replaces [100]"}, with(SpareAtOnce))
	must.Eq(t, []string{"form v00 v02 v06 replaces [100]"}, with(SpareOrMerge))
	delete(s.Observations, "v06")
	must.Eq(t, []string{}, with(SpareAtOnce))
	must.Eq(t, []string{"form v00 v02 v03 replaces [100 101]"}, with(SpareOrMerge))
}

func TestStragglers(t *testing.T) {
	s := scene(2, 2, 4)
	step := func(vm string, d time.Duration) {
		s.observe(vm, func(o *Observation) { o.Report.StepTime = d })
	}
	slow := func() (out []string) {
		for vm, since := range stragglers(s.Groups, s.Observations, testNow, DefaultPolicy()) {
			if !since.IsZero() {
				out = append(out, vm)
			}
		}
		return out
	}
	step("v00", 50*time.Millisecond)
	must.SliceEmpty(t, slow())
	step("v02", 20*time.Millisecond)
	must.Eq(t, []string{"v00"}, slow())
	step("v01", 50*time.Millisecond)
	must.SliceEmpty(t, slow())
}
