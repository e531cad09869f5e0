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

// formatActions returns one line for each action other than Wait.
func formatActions(actions []Action) []string {
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

// endReservation ends the VM's reservation for the group, as seen ago before
// testNow.
func (s *Snapshot) endReservation(vm string, id uint64, ago time.Duration) {
	s.Reservations[vm] = state.Reservation{Group: id, Pool: "p", Ended: true}
	s.updateObservation(vm, func(o *Observation) { o.EndedSince, o.EndedBootID = testNow.Add(-ago), vm+"-0" })
}

// setFree makes the VM report itself free, with its cached weights.
func (s *Snapshot) setFree(vm string) {
	s.updateObservation(vm, func(o *Observation) { o.Report = Report{BootID: vm + "-0", Cached: o.Report.Cached} })
}

// dropWeights removes the VM's cached weights.
func (s *Snapshot) dropWeights(vm string) {
	s.updateObservation(vm, func(o *Observation) { o.Report.Cached = nil })
}

// setPrefetching makes the VM report, since one second before testNow, that it loads
// the pool's model for group 900, which has ended.
func (s *Snapshot) setPrefetching(vm string) {
	s.updateObservation(vm, func(o *Observation) {
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
		{"healthy groups need no action", 2, 2, 5, func(*Snapshot) {}, nil},
		{"free VMs form a group", 0, 2, 3, func(*Snapshot) {}, []string{"form v00 v01 replaces []"}},
		{"free VMs of two fabric domains form no group", 0, 2, 2, func(s *Snapshot) {
			s.updateVM("v01", func(v *VM) { v.FabricDomain = "g" })
		}, nil},
		{"VMs that have the weights are preferred", 0, 2, 3, func(s *Snapshot) {
			s.dropWeights("v00")
			s.dropWeights("v01")
		}, []string{"form v02 v00 replaces []"}},
		{"one spare at a time prefetches weights", 1, 2, 5, func(s *Snapshot) {
			s.updateVM("v04", func(v *VM) { v.FabricDomain = "g" })
			s.dropWeights("v03")
			s.dropWeights("v04")
			s.Pool.GroupSize, s.Pool.VMs = 2, []string{"v00", "v01", "v03", "v04"}
		}, []string{"load v03 1000"}},
		{"a prefetch in progress gets no new order", 1, 2, 3, func(s *Snapshot) {
			s.dropWeights("v02")
			s.setPrefetching("v02")
		}, nil},
		{"a spare that has the weights is unloaded", 1, 2, 3, func(s *Snapshot) {
			s.setPrefetching("v02")
			s.updateObservation("v02", func(o *Observation) { o.Report.State = Ready })
		}, []string{"unload v02 900"}},
		{"no prefetch while the weight store is at its limit", 1, 2, 3, func(s *Snapshot) {
			s.WeightStore = WeightStore{Concurrent: 1, Active: 1}
			s.dropWeights("v02")
		}, nil},
		{"a spare that is still fetching replaces a failed member", 1, 2, 3, func(s *Snapshot) {
			s.dropWeights("v02")
			s.setPrefetching("v02")
			s.setFailing("v01", long, true)
		}, []string{"form v00 v02 replaces [100]"}},
		{"a member that fetches the right weights for an ended group gets no new order", 1, 2, 2, func(s *Snapshot) {
			s.dropWeights("v01")
			s.setPrefetching("v01")
		}, nil},
		{"a fetch beyond FetchTimeout is ordered again", 1, 2, 2, func(s *Snapshot) {
			s.dropWeights("v01")
			s.setPrefetching("v01")
			s.updateObservation("v01", func(o *Observation) { o.StateSince = testNow.Add(-time.Hour) })
		}, []string{"load v01 100"}},
		{"a member that refuses connections is replaced", 1, 3, 4, func(s *Snapshot) { s.setFailing("v01", time.Second, true) }, []string{"form v00 v02 v03 replaces [100]"}},
		{"a member that has just begun to refuse connections is replaced", 1, 3, 4, func(s *Snapshot) { s.setFailing("v01", 0, true) }, []string{"form v00 v02 v03 replaces [100]"}},
		{"an unresponsive member is kept while its report is valid", 1, 3, 4, func(s *Snapshot) {
			s.setFailing("v01", DefaultPolicy().ReportTTL-time.Second, false)
		}, nil},
		{"an unresponsive member without a valid report is replaced", 1, 3, 4, func(s *Snapshot) { s.setFailing("v01", long, false) }, []string{"form v00 v02 v03 replaces [100]"}},
		{"a broken group without a spare is kept", 1, 3, 3, func(s *Snapshot) { s.setFailing("v01", long, false) }, nil},
		{"a spare of another fabric domain is not used", 1, 3, 4, func(s *Snapshot) {
			s.setFailing("v01", long, false)
			s.updateVM("v03", func(v *VM) { v.FabricDomain = "g" })
		}, nil},
		{"two broken groups are merged", 2, 3, 6, func(s *Snapshot) {
			s.setFailing("v01", long, true)
			s.setFailing("v04", long, true)
		}, []string{"form v00 v02 v03 replaces [100 101]"}},
		{"a spare goes to the group with the fewest failed members", 2, 3, 7, func(s *Snapshot) {
			s.setFailing("v00", long, true)
			s.setFailing("v01", long, true)
			s.setFailing("v04", long, true)
		}, []string{"form v03 v05 v06 replaces [101]"}},
		{"a rebooted member is reused in a new group", 1, 2, 2, func(s *Snapshot) {
			s.updateObservation("v01", func(o *Observation) { o.Report = Report{BootID: "v01-1"} })
		}, []string{"form v00 v01 replaces [100]"}},
		{"a flapping member is in backoff", 1, 2, 2, func(s *Snapshot) {
			s.updateObservation("v01", func(o *Observation) {
				o.Report = Report{BootID: "v01-1"}
				o.Flaps = []time.Time{testNow.Add(-time.Minute), testNow.Add(-time.Second)}
			})
		}, nil},
		{"no replacement within ObserveWindow after a takeover", 1, 2, 3, func(s *Snapshot) {
			s.Observations["v01"] = Observation{WatchedSince: testNow.Add(-time.Second), FailingSince: testNow}
		}, nil},
		{"no replacement for stale reports without failed polls", 1, 2, 3, func(s *Snapshot) {
			for vm := range s.Observations {
				s.updateObservation(vm, func(o *Observation) { o.ReportedAt = testNow.Add(-time.Minute) })
			}
		}, nil},
		{"groups of a withdrawn failure domain are kept", 1, 2, 4, func(s *Snapshot) {
			s.Pool.Withdrawn = []string{"d"}
			s.DrainingSince[100] = testNow.Add(-time.Hour)
		}, nil},
		{"a leaving member is replaced after the group has drained", 1, 2, 3, func(s *Snapshot) {
			s.updateVM("v01", func(v *VM) { v.Leaving = true })
			s.DrainingSince[100] = testNow.Add(-long)
		}, []string{"form v00 v02 replaces [100]"}},
		{"requests in flight delay the replacement", 1, 2, 3, func(s *Snapshot) {
			s.updateVM("v01", func(v *VM) { v.Leaving = true })
			s.DrainingSince[100] = testNow.Add(-long)
			s.updateObservation("v00", func(o *Observation) { o.Report.Inflight = 1 })
		}, nil},
		{"requests in flight delay it no longer than DrainTimeout", 1, 2, 3, func(s *Snapshot) {
			s.updateVM("v01", func(v *VM) { v.Leaving = true })
			s.DrainingSince[100] = testNow.Add(-time.Hour)
			s.updateObservation("v00", func(o *Observation) { o.Report.Inflight = 1 })
		}, []string{"form v00 v02 replaces [100]"}},
		{"a group with a VM removed from the pool is retired", 1, 2, 2, func(s *Snapshot) {
			s.Pool.VMs = []string{"v00"}
			s.DrainingSince[100] = testNow.Add(-long)
		}, []string{"retire 100"}},
		{"groups of a dropped pool are retired", 1, 2, 2, func(s *Snapshot) {
			s.PoolExists = false
			s.DrainingSince[100] = testNow.Add(-long)
		}, []string{"retire 100"}},
		{"a new version replaces a drained group", 2, 2, 4, func(s *Snapshot) {
			s.Pool.Version = "2"
			s.DrainingSince[100] = testNow.Add(-long)
		}, []string{"form v00 v01 replaces [100]"}},
		{"a group in a withdrawn failure domain does not delay a rollout", 2, 2, 4, func(s *Snapshot) {
			s.Pool.Version, s.Pool.Withdrawn = "2", []string{"e"}
			for i := range s.Groups[0].Members {
				s.Groups[0].Members[i].FailureDomain = "e"
			}
			s.DrainingSince[101] = testNow.Add(-long)
		}, []string{"form v02 v03 replaces [101]"}},
		{"a broken group does not delay a rollout", 2, 2, 4, func(s *Snapshot) {
			s.Pool.Version = "2"
			s.setFailing("v00", long, true)
			s.DrainingSince[101] = testNow.Add(-long)
		}, []string{"form v02 v03 replaces [101]"}},
		{"VMs of a plain service get no orders", 0, 1, 1, func(s *Snapshot) {
			s.Pool.Kind = table.KindService
			s.updateObservation("v00", func(o *Observation) { o.Report.State, o.Report.Group = Ready, 7 })
		}, nil},
		{"a larger group size replaces several groups by one", 2, 2, 4, func(s *Snapshot) {
			s.Pool.GroupSize = 3
			s.DrainingSince[100] = testNow.Add(-long)
			s.DrainingSince[101] = testNow.Add(-long)
		}, []string{"form v00 v01 v02 replaces [100 101]"}},
		{"a straggler is replaced by a spare", 2, 2, 5, func(s *Snapshot) {
			s.updateObservation("v02", func(o *Observation) { o.SlowSince = testNow.Add(-time.Minute) })
			s.DrainingSince[101] = testNow.Add(-long)
		}, []string{"form v03 v04 replaces [101]"}},
		{"a straggler is kept if there is no spare", 2, 2, 4, func(s *Snapshot) {
			s.updateObservation("v02", func(o *Observation) { o.SlowSince = testNow.Add(-time.Minute) })
		}, nil},
		{"a member in an ended group is ordered to load its own", 1, 2, 2, func(s *Snapshot) {
			s.updateObservation("v01", func(o *Observation) { o.Report.Group, o.Report.Fence = 90, 90 })
		}, []string{"load v01 100"}},
		{"an order is not sent again before OrderResend", 1, 2, 2, func(s *Snapshot) {
			s.setFree("v01")
			s.updateObservation("v01", func(o *Observation) { o.LastOrder, o.LastOrderAt = Order{Load: true, Fence: 100}, testNow })
		}, nil},
		{"a VM of a group that is not applied here yet gets no order", 0, 2, 1, func(s *Snapshot) {
			s.updateObservation("v00", func(o *Observation) { o.Report.State, o.Report.Group, o.Report.Fence = Ready, 2000, 2000 })
		}, nil},
		{"an unreserved VM that runs a group is unloaded", 0, 2, 1, func(s *Snapshot) {
			s.updateObservation("v00", func(o *Observation) { o.Report.State, o.Report.Group, o.Report.Fence = Ready, 90, 90 })
		}, []string{"unload v00 90"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := testSnapshot(c.groups, c.size, c.vms)
			c.set(&s)
			if c.want == nil {
				c.want = []string{}
			}
			must.Eq(t, c.want, formatActions(Plan(s, DefaultPolicy())))
		})
	}
}

func TestLoadsWaitForWeightStoreSlots(t *testing.T) {
	s := testSnapshot(2, 3, 6)
	s.WeightStore = WeightStore{Concurrent: 2}
	for _, vm := range []string{"v00", "v01", "v02", "v05"} {
		s.updateObservation(vm, func(o *Observation) { o.Report = Report{BootID: vm + "-0"} })
	}
	// The second group needs one fetch, the first group three.
	must.Eq(t, []string{"load v05 101", "load v00 100"}, formatActions(Plan(s, DefaultPolicy())))
	s.WeightStore.Active = 2
	must.Eq(t, []string{}, formatActions(Plan(s, DefaultPolicy())))
	s.updateObservation("v01", func(o *Observation) { o.Report.Cached = []string{"m@1"} })
	must.Eq(t, []string{"load v01 100"}, formatActions(Plan(s, DefaultPolicy())))
}

func TestRepairStrategies(t *testing.T) {
	s := testSnapshot(2, 3, 7)
	s.setFailing("v01", 20*time.Second, false)
	s.setFailing("v04", 20*time.Second, false)
	with := func(r RepairStrategy) []string {
		p := DefaultPolicy()
		p.Repair = r
		return formatActions(Plan(s, p))
	}
	must.Eq(t, []string{}, with(OwnMember))
	must.Eq(t, []string{"form v00 v02 v06 replaces [100]"}, with(SpareAtOnce))
	must.Eq(t, []string{"form v00 v02 v06 replaces [100]"}, with(SpareOrMerge))
	delete(s.Observations, "v06")
	must.Eq(t, []string{}, with(SpareAtOnce))
	must.Eq(t, []string{"form v00 v02 v03 replaces [100 101]"}, with(SpareOrMerge))
}

func TestStragglers(t *testing.T) {
	s := testSnapshot(2, 2, 4)
	step := func(vm string, d time.Duration) {
		s.updateObservation(vm, func(o *Observation) { o.Report.StepTime = d })
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
