package fleet

import (
	"flag"
	"io"
	"slices"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
)

func quietLogs() {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL"})
	klog.SetOutput(io.Discard)
}

// BenchmarkKilledMember gives the group downtime after one member is killed
// with a spare at hand, over the load time of the weight store. Each iteration
// starts a site of its own.
func BenchmarkKilledMember(b *testing.B) {
	quietLogs()
	const load = 2 * time.Second
	var over []time.Duration
	for range b.N {
		s := newSite(b, siteOptions{size: 4, vms: 5, load: load})
		s.served(1)
		g := s.view.Groups("p")[0]
		start := time.Now()
		s.fault(g.Members[1+len(over)%3].VM, machines.Kill)
		s.await("a new group serves", func() bool { return s.serving() == 1 && s.view.Groups("p")[0].ID > g.ID })
		over = append(over, time.Since(start)-load)
	}
	slices.Sort(over)
	b.ReportMetric(float64(over[0].Milliseconds()), "min-over-ms")
	b.ReportMetric(float64(over[len(over)/2].Milliseconds()), "median-over-ms")
	b.ReportMetric(float64(over[len(over)-1].Milliseconds()), "max-over-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkTwoBroken gives the stranded VM-seconds of two groups of one fabric
// domain that lose a member each for half a minute, until both serve again.
func BenchmarkTwoBroken(b *testing.B) {
	quietLogs()
	for _, r := range []group.Repair{group.OwnMember, group.SpareAtOnce, group.SpareOrMerge} {
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

func twoBroken(b *testing.B, r group.Repair) (stranded, down time.Duration) {
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
