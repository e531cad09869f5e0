package group

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

var testNow = time.Unix(5000, 0)

// testSnapshot returns a snapshot of one fabric domain, in which the first
// groups×size VMs serve in complete groups and the other VMs are free.
func testSnapshot(groups, size, vms int) Snapshot {
	s := Snapshot{
		Now: testNow, AppliedFence: 1000, Pool: testPool(size, vms), PoolExists: true, VMsListed: true,
		Reservations: make(map[string]state.Reservation), VMs: make(map[string]VM),
		Observations: make(map[string]Observation), DrainingSince: make(map[uint64]time.Time),
	}
	for _, vm := range s.Pool.VMs {
		s.VMs[vm] = VM{ID: vm, Addr: vm, FailureDomain: "d", FabricDomain: "f"}
		s.Observations[vm] = Observation{WatchedSince: testNow.Add(-time.Hour), ReportedAt: testNow, Report: Report{BootID: vm + "-0", Cached: []string{"m@1"}}}
	}
	for i := range groups {
		s.addGroup(uint64(100+i), s.Pool.VMs[i*size:(i+1)*size])
	}
	return s
}

func (s *Snapshot) addGroup(id uint64, vms []string) {
	g := state.Group{ID: id, Pool: "p", Model: "m", Version: "1"}
	for rank, vm := range vms {
		g.Members = append(g.Members, state.Member{VM: vm, BootID: vm + "-0", FailureDomain: "d", FabricDomain: "f"})
		s.Reservations[vm] = state.Reservation{Group: id, Pool: "p"}
		s.updateObservation(vm, func(o *Observation) {
			o.Report = Report{
				BootID: vm + "-0", State: Ready, Group: id, Fence: id, Rank: rank,
				Model: "m", Version: "1", Cached: []string{"m@1"},
			}
		})
	}
	s.Groups = append(s.Groups, g)
}

func (s *Snapshot) updateObservation(vm string, fn func(*Observation)) {
	o := s.Observations[vm]
	fn(&o)
	s.Observations[vm] = o
}

func (s *Snapshot) updateVM(vm string, fn func(*VM)) {
	entry := s.VMs[vm]
	fn(&entry)
	s.VMs[vm] = entry
}

// setFailing makes polls of the VM fail since d before testNow.
func (s *Snapshot) setFailing(vm string, d time.Duration, refused bool) {
	s.updateObservation(vm, func(o *Observation) {
		o.ReportedAt, o.FailingSince, o.ConnRefused = testNow.Add(-d-time.Second), testNow.Add(-d), refused
	})
}

func TestAssess(t *testing.T) {
	report := func(fn func(*Report)) func(*Snapshot) {
		return func(s *Snapshot) { s.updateObservation("v01", func(o *Observation) { fn(&o.Report) }) }
	}
	cases := []struct {
		name string
		set  func(*Snapshot)
		want replica.Status
	}{
		{"all members ready", func(*Snapshot) {}, replica.Serving},
		{"a member of another group", report(func(r *Report) { r.Group = 99 }), replica.Loading},
		{"a member with another fencing token", report(func(r *Report) { r.Fence = 99 }), replica.Loading},
		{"a member with another rank", report(func(r *Report) { r.Rank = 2 }), replica.Loading},
		{"a member with another version", report(func(r *Report) { r.Version = "0" }), replica.Loading},
		{"a member loading", report(func(r *Report) { r.State = Loading }), replica.Loading},
		{"a member free", report(func(r *Report) { *r = Report{BootID: r.BootID} }), replica.Loading},
		{"a member rebooted", report(func(r *Report) { r.BootID = "v01-1" }), replica.Broken},
		{"a stale report", func(s *Snapshot) {
			s.updateObservation("v01", func(o *Observation) { o.ReportedAt = testNow.Add(-3 * time.Second) })
		}, replica.Broken},
		{"one poll timed out", func(s *Snapshot) {
			s.updateObservation("v01", func(o *Observation) { o.FailingSince = testNow })
		}, replica.Serving},
		{"connection refused", func(s *Snapshot) {
			s.updateObservation("v01", func(o *Observation) { o.FailingSince, o.ConnRefused = testNow, true })
		}, replica.Broken},
		{"a member never observed", func(s *Snapshot) { s.Observations["v01"] = Observation{WatchedSince: testNow} }, replica.Broken},
		{"a member leaving", func(s *Snapshot) { s.updateVM("v01", func(v *VM) { v.Leaving = true }) }, replica.Draining},
		{"a member asks to drain", report(func(r *Report) { r.Draining = true }), replica.Draining},
		{"failure domain withdrawn", func(s *Snapshot) { s.Pool.Withdrawn = []string{"d"} }, replica.Draining},
		{"a member removed from the pool", func(s *Snapshot) { s.Pool.VMs = []string{"v00", "v02"} }, replica.Draining},
		{"pool dropped", func(s *Snapshot) { s.PoolExists = false }, replica.Draining},
		{"new version", func(s *Snapshot) { s.Pool.Version = "2" }, replica.Draining},
		{"new model", func(s *Snapshot) { s.Pool.Model = "n" }, replica.Draining},
		{"new group size", func(s *Snapshot) { s.Pool.GroupSize = 2 }, replica.Draining},
		{"broken in a withdrawn failure domain", func(s *Snapshot) {
			s.Pool.Withdrawn = []string{"d"}
			s.setFailing("v02", 5*time.Second, false)
		}, replica.Broken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := testSnapshot(1, 3, 3)
			c.set(&s)
			got := Assess(s, DefaultPolicy())
			must.Len(t, 1, got)
			must.Eq(t, c.want, got[0].Status, must.Sprint(got[0].Reason))
			must.Eq(t, c.want == replica.Serving, got[0].Reason == "")
		})
	}
}

func TestAssessDrainsAShareOfThePoolForRollout(t *testing.T) {
	s := testSnapshot(8, 2, 16)
	s.Pool.Version = "2"
	serving := func() (n int) {
		for _, a := range Assess(s, DefaultPolicy()) {
			if a.Status == replica.Serving {
				n++
			}
		}
		return n
	}
	must.Eq(t, 6, serving())
	// While one new group is loading, only one more old group is drained.
	s.Groups[0].Version = "2"
	must.Eq(t, 6, serving())
}

func TestAssessServices(t *testing.T) {
	s := testSnapshot(0, 1, 4)
	s.Pool.Kind = table.KindService
	s.setFailing("v01", 3*time.Second, false)
	s.updateVM("v02", func(v *VM) { v.FailureDomain = "e" })
	s.Pool.Withdrawn = []string{"e"}
	s.updateObservation("v03", func(o *Observation) { o.Report.State = Loading })
	var got []replica.Status
	for _, a := range Assess(s, DefaultPolicy()) {
		got = append(got, a.Status)
	}
	must.Eq(t, []replica.Status{replica.Serving, replica.Broken, replica.Draining, replica.Loading}, got)
}

func TestFlapBackoff(t *testing.T) {
	p := DefaultPolicy()
	at := func(s float64) time.Time { return testNow.Add(time.Duration(s * float64(time.Second))) }
	o := Observation{WatchedSince: at(0)}.WithReport(Report{BootID: "a"}, at(0), p)
	must.True(t, o.usableFrom(at(1), p).IsZero())
	for i := range 3 {
		o = o.WithFailure(true, at(float64(10*i+1))).WithReport(Report{BootID: "b"}, at(float64(10*i+5)), p)
	}
	must.Len(t, 3, o.Flaps)
	must.Eq(t, at(25).Add(2*p.FlapBackoff), o.usableFrom(at(26), p))
	must.True(t, o.usableFrom(at(25+p.FlapWindow.Seconds()+1), p).IsZero())
}
