package fleet

import (
	"flag"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

func quietLogs() {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL"})
	klog.SetOutput(io.Discard)
}

// BenchmarkKilledMember gives the group downtime after one member is killed
// with a spare at hand, over the load time of the weight store: with a spare
// that must fetch the weights, and with one that has fetched them. Each
// iteration starts a site of its own.
func BenchmarkKilledMember(b *testing.B) {
	quietLogs()
	for _, warm := range []bool{false, true} {
		b.Run(fmt.Sprintf("warm=%t", warm), func(b *testing.B) {
			var over []time.Duration
			for i := range b.N {
				over = append(over, killedMember(b, warm, 1+i%3))
			}
			slices.Sort(over)
			b.ReportMetric(float64(over[0].Milliseconds()), "min-over-ms")
			b.ReportMetric(float64(over[len(over)/2].Milliseconds()), "median-over-ms")
			b.ReportMetric(float64(over[len(over)-1].Milliseconds()), "max-over-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func killedMember(b *testing.B, warm bool, rank int) time.Duration {
	const load = 2 * time.Second
	p := group.DefaultPolicy()
	p.DisablePrefetch = !warm
	s := newSite(b, siteOptions{size: 4, vms: 5, load: load, policy: p})
	s.served(1)
	if warm {
		s.warmed()
	}
	g := s.view.Groups("p")[0]
	start := time.Now()
	s.fault(g.Members[rank].VM, machines.Kill)
	s.await("a new group serves", func() bool { return s.serving() == 1 && s.view.Groups("p")[0].ID > g.ID })
	return time.Since(start) - load
}

// warmed waits until the spare has fetched the weights and is free.
func (s *site) warmed() {
	spare := func(vm string) bool {
		_, held := s.view.Reservation(vm)
		return !held
	}
	for _, vm := range s.engines.VMs() {
		if !spare(vm.ID) {
			continue
		}
		for {
			r, err := target.NewControlClient().Report(s.t.Context(), vm.Addr)
			must.NoError(s.t, err)
			if len(r.Cached) > 0 && r.State == target.EngineFree {
				return
			}
			<-time.After(20 * time.Millisecond)
		}
	}
}

// BenchmarkTwoBroken gives the stranded VM-seconds of two groups of one fabric
// domain that lose a member each for half a minute, until both serve again.
func BenchmarkTwoBroken(b *testing.B) {
	quietLogs()
	for _, r := range []group.RepairStrategy{group.OwnMember, group.SpareAtOnce, group.SpareOrMerge} {
		b.Run(r.String(), func(b *testing.B) {
			var stranded, down time.Duration
			for range b.N {
				st, dn := twoBroken(b, r)
				stranded += st
				down += dn
			}
			b.ReportMetric(stranded.Seconds()/float64(b.N), "stranded-s")
			b.ReportMetric(down.Seconds()/float64(b.N), "down-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func twoBroken(b *testing.B, r group.RepairStrategy) (stranded, down time.Duration) {
	const away = 30 * time.Second
	p := group.DefaultPolicy()
	p.Repair = r
	s := newSite(b, siteOptions{size: 4, vms: 8, load: 2 * time.Second, policy: p})
	s.served(2)
	before := s.fleet.Stats()[0]
	var lost []string
	for i, g := range s.view.Groups("p") {
		lost = append(lost, g.Members[i+1].VM)
	}
	for _, vm := range lost {
		s.fault(vm, machines.Kill)
	}
	<-time.After(away)
	for _, vm := range lost {
		s.fault(vm, machines.Revive)
	}
	s.await("both serve", func() bool { return s.serving() == 2 })
	after := s.fleet.Stats()[0]
	return after.StrandedTime - before.StrandedTime, after.Downtime - before.Downtime
}
