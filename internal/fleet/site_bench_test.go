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

func discardLogs() {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL"})
	klog.SetOutput(io.Discard)
}

// BenchmarkKilledMember reports the downtime of a group in excess of the load
// time of the weight store, after one member is killed while a spare is
// available: with a spare that must fetch the weights, and with one that has
// prefetched them. Each iteration starts a new site.
func BenchmarkKilledMember(b *testing.B) {
	discardLogs()
	for _, prefetch := range []bool{false, true} {
		b.Run(fmt.Sprintf("warm=%t", prefetch), func(b *testing.B) {
			var excess []time.Duration
			for i := range b.N {
				excess = append(excess, measureKilledMember(b, prefetch, 1+i%3))
			}
			slices.Sort(excess)
			b.ReportMetric(float64(excess[0].Milliseconds()), "min-over-ms")
			b.ReportMetric(float64(excess[len(excess)/2].Milliseconds()), "median-over-ms")
			b.ReportMetric(float64(excess[len(excess)-1].Milliseconds()), "max-over-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureKilledMember(b *testing.B, prefetch bool, rank int) time.Duration {
	const load = 2 * time.Second
	p := group.DefaultPolicy()
	p.DisablePrefetch = !prefetch
	s := newSite(b, siteOptions{size: 4, vms: 5, load: load, policy: p})
	s.waitServing(1)
	if prefetch {
		s.waitPrefetched()
	}
	g := s.view.Groups("p")[0]
	start := time.Now()
	s.injectFault(g.Members[rank].VM, machines.Kill)
	s.waitUntil("a new group serves", func() bool { return s.servingCount() == 1 && s.view.Groups("p")[0].ID > g.ID })
	return time.Since(start) - load
}

// waitPrefetched waits until the spare has fetched the weights and is free.
func (s *site) waitPrefetched() {
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

// BenchmarkTwoBroken reports the stranded VM time and the downtime of two
// groups of one fabric domain that each lose a member for 30 s, until both
// serve again.
func BenchmarkTwoBroken(b *testing.B) {
	discardLogs()
	for _, r := range []group.RepairStrategy{group.OwnMember, group.SpareAtOnce, group.SpareOrMerge} {
		b.Run(r.String(), func(b *testing.B) {
			var stranded, down time.Duration
			for range b.N {
				st, dn := measureTwoBrokenGroups(b, r)
				stranded += st
				down += dn
			}
			b.ReportMetric(stranded.Seconds()/float64(b.N), "stranded-s")
			b.ReportMetric(down.Seconds()/float64(b.N), "down-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureTwoBrokenGroups(b *testing.B, r group.RepairStrategy) (stranded, down time.Duration) {
	const away = 30 * time.Second
	p := group.DefaultPolicy()
	p.Repair = r
	s := newSite(b, siteOptions{size: 4, vms: 8, load: 2 * time.Second, policy: p})
	s.waitServing(2)
	before := s.fleet.Stats()[0]
	var killed []string
	for i, g := range s.view.Groups("p") {
		killed = append(killed, g.Members[i+1].VM)
	}
	for _, vm := range killed {
		s.injectFault(vm, machines.Kill)
	}
	<-time.After(away)
	for _, vm := range killed {
		s.injectFault(vm, machines.Revive)
	}
	s.waitUntil("both serve", func() bool { return s.servingCount() == 2 })
	after := s.fleet.Stats()[0]
	return after.StrandedTime - before.StrandedTime, after.Downtime - before.Downtime
}
