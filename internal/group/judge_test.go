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

// scene is a snapshot in which the first groups×size VMs of one fabric domain
// serve as whole groups and the rest are free.
func scene(groups, size, vms int) Snapshot {
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
		s.serve(uint64(100+i), s.Pool.VMs[i*size:(i+1)*size])
	}
	return s
}

func (s *Snapshot) serve(id uint64, vms []string) {
	g := state.Group{ID: id, Pool: "p", Model: "m", Version: "1"}
	for rank, vm := range vms {
		g.Members = append(g.Members, state.Member{VM: vm, BootID: vm + "-0", FailureDomain: "d", FabricDomain: "f"})
		s.Reservations[vm] = state.Reservation{Group: id, Pool: "p"}
		s.observe(vm, func(o *Observation) {
			o.Report = Report{
				BootID: vm + "-0", State: Ready, Group: id, Fence: id, Rank: rank,
				Model: "m", Version: "1", Cached: []string{"m@1"},
			}
		})
	}
	s.Groups = append(s.Groups, g)
}

func (s *Snapshot) observe(vm string, fn func(*Observation)) {
	o := s.Observations[vm]
	fn(&o)
	s.Observations[vm] = o
}

func (s *Snapshot) list(vm string, fn func(*VM)) {
	entry := s.VMs[vm]
	fn(&entry)
	s.VMs[vm] = entry
}

// missed makes attempts on the VM fail since d ago.
func (s *Snapshot) missed(vm string, d time.Duration, refused bool) {
	s.observe(vm, func(o *Observation) {
		o.ReportedAt, o.FailingSince, o.ConnRefused = testNow.Add(-d-time.Second), testNow.Add(-d), refused
	})
}

func TestJudge(t *testing.T) {
	report := func(fn func(*Report)) func(*Snapshot) {
		return func(s *Snapshot) { s.observe("v01", func(o *Observation) { fn(&o.Report) }) }
	}
	cases := []struct {
		name string
		set  func(*Snapshot)
		want replica.Status
	}{
		{"whole", func(*Snapshot) {}, replica.Serving},
		{"other group", report(func(r *Report) { r.Group = 99 }), replica.Loading},
		{"other fence", report(func(r *Report) { r.Fence = 99 }), replica.Loading},
		{"other rank", report(func(r *Report) { r.Rank = 2 }), replica.Loading},
		{"other version", report(func(r *Report) { r.Version = "0" }), replica.Loading},
		{"loading", report(func(r *Report) { r.State = Loading }), replica.Loading},
		{"free", report(func(r *Report) { *r = Report{BootID: r.BootID} }), replica.Loading},
		{"rebooted", report(func(r *Report) { r.BootID = "v01-1" }), replica.Broken},
		{"stale report", func(s *Snapshot) {
			s.observe("v01", func(o *Observation) { o.ReportedAt = testNow.Add(-3 * time.Second) })
		}, replica.Broken},
		{"one attempt timed out", func(s *Snapshot) {
			s.observe("v01", func(o *Observation) { o.FailingSince = testNow })
		}, replica.Serving},
		{"port closed", func(s *Snapshot) {
			s.observe("v01", func(o *Observation) { o.FailingSince, o.ConnRefused = testNow, true })
		}, replica.Broken},
		{"never observed", func(s *Snapshot) { s.Observations["v01"] = Observation{WatchedSince: testNow} }, replica.Broken},
		{"leaving", func(s *Snapshot) { s.list("v01", func(v *VM) { v.Leaving = true }) }, replica.Draining},
		{"asks to drain", report(func(r *Report) { r.Draining = true }), replica.Draining},
		{"domain withdrawn", func(s *Snapshot) { s.Pool.Withdrawn = []string{"d"} }, replica.Draining},
		{"VM dropped", func(s *Snapshot) { s.Pool.VMs = []string{"v00", "v02"} }, replica.Draining},
		{"pool dropped", func(s *Snapshot) { s.PoolExists = false }, replica.Draining},
		{"new version", func(s *Snapshot) { s.Pool.Version = "2" }, replica.Draining},
		{"new model", func(s *Snapshot) { s.Pool.Model = "n" }, replica.Draining},
		{"new size", func(s *Snapshot) { s.Pool.GroupSize = 2 }, replica.Draining},
		{"broken and withdrawn", func(s *Snapshot) {
			s.Pool.Withdrawn = []string{"d"}
			s.missed("v02", 5*time.Second, false)
		}, replica.Broken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := scene(1, 3, 3)
			c.set(&s)
			got := Assess(s, DefaultPolicy())
			must.Len(t, 1, got)
			must.Eq(t, c.want, got[0].Status, must.Sprint(got[0].Reason))
			must.Eq(t, c.want == replica.Serving, got[0].Reason == "")
		})
	}
}

func TestJudgeRollsAShareOfThePool(t *testing.T) {
	s := scene(8, 2, 16)
	s.Pool.Version = "2"
	serving := func() (n int) {
		for _, j := range Assess(s, DefaultPolicy()) {
			if j.Status == replica.Serving {
				n++
			}
		}
		return n
	}
	must.Eq(t, 6, serving())
	// One of the new groups still loads: only one more old one goes.
	s.Groups[0].Version = "2"
	must.Eq(t, 6, serving())
}

func TestJudgeServices(t *testing.T) {
	s := scene(0, 1, 4)
	s.Pool.Kind = table.KindService
	s.missed("v01", 3*time.Second, false)
	s.list("v02", func(v *VM) { v.FailureDomain = "e" })
	s.Pool.Withdrawn = []string{"e"}
	s.observe("v03", func(o *Observation) { o.Report.State = Loading })
	var got []replica.Status
	for _, j := range Assess(s, DefaultPolicy()) {
		got = append(got, j.Status)
	}
	must.Eq(t, []replica.Status{replica.Serving, replica.Broken, replica.Draining, replica.Loading}, got)
}

func TestObservationForgetsNothingToItsHarm(t *testing.T) {
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
