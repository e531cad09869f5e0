package group

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// The site of BenchmarkRepair: 50 VMs in two fabric domains, with 12 groups of 4
// and two spares, for one hour with a fault every 20 s on average.
const (
	benchVMs           = 50
	benchSize          = 4
	benchDuration      = time.Hour
	benchFaultInterval = 20 * time.Second
)

// outageTimes holds the results of one run. down is the time, summed over the
// groups that the VMs suffice for, in which a group did not serve. The others are
// summed over VMs that are up: stranded is the time in which a VM was reserved for
// a group that did not serve, and idle that in which it was in no serving group.
type outageTimes struct{ down, stranded, idle time.Duration }

func (f *outageTimes) add(o outageTimes) {
	f.down += o.down
	f.stranded += o.stranded
	f.idle += o.idle
}

func (f *outageTimes) count(site *simSite, groups int, serving []uint64) {
	f.down += tick * time.Duration(groups-len(serving))
	for vm, m := range site.vms {
		r, held := site.state.VMs[vm]
		if !m.up || m.paused || held && !r.Ended && slices.Contains(serving, r.Group) {
			continue
		}
		f.idle += tick
		if held {
			f.stranded += tick
		}
	}
}

func (f *outageTimes) report(b *testing.B, runs int) {
	n := float64(runs)
	b.ReportMetric(f.down.Seconds()/n, "down-s")
	b.ReportMetric(f.stranded.Seconds()/n, "stranded-s")
	b.ReportMetric(f.idle.Seconds()/n, "idle-s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRepair compares policies under the same faults. The seeds are fixed, so
// -benchtime 1x suffices.
func BenchmarkRepair(b *testing.B) {
	change := func(fn func(*Policy)) Policy {
		p := DefaultPolicy()
		fn(&p)
		return p
	}
	cases := []struct {
		name   string
		policy Policy
	}{
		{"spare-or-merge", DefaultPolicy()},
		{"own-member", change(func(p *Policy) { p.Repair = OwnMember })},
		{"spare-at-once", change(func(p *Policy) { p.Repair = SpareAtOnce })},
		{"silent-grace=10s", change(func(p *Policy) { p.UnresponsiveGrace = 10 * time.Second })},
		{"no-warming", change(func(p *Policy) { p.DisablePrefetch = true })},
		{"no-backoff", change(func(p *Policy) { p.FlapBackoff = 0 })},
	}
	for _, c := range cases {
		for _, flappers := range []int{0, 2} {
			b.Run(fmt.Sprintf("%s/flappers=%d", c.name, flappers), func(b *testing.B) {
				var sum outageTimes
				const seeds = 5
				for range b.N {
					sum.add(runSeeds(c.policy, flappers, seeds))
				}
				sum.report(b, b.N*seeds)
			})
		}
	}
}

// runSeeds runs one hour for each seed, in parallel.
func runSeeds(p Policy, flappers, seeds int) outageTimes {
	out := make([]outageTimes, seeds)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() { out[i] = runSeed(p, flappers, uint64(i+1)) })
	}
	wg.Wait()
	var sum outageTimes
	for _, f := range out {
		sum.add(f)
	}
	return sum
}

func runSeed(p Policy, flappers int, seed uint64) outageTimes {
	site := newSimSite(testPool(benchSize, benchVMs), 2)
	site.fetchTime, site.reloadTime, site.storeSlots = 20*time.Second, 2*time.Second, 4
	h := newHome(site, "a", p)
	h.delay = 1
	for len(h.serving()) < benchVMs/benchSize {
		site.advance()
		h.step()
	}
	faults := drawFaults(seed, flappers, site.now)
	end := site.now.Add(benchDuration)
	var f outageTimes
	for site.now.Before(end) {
		site.advance()
		faults = runDue(site.now, faults, func(fn func(*simSite)) { fn(site) })
		h.step()
		f.count(site, benchVMs/benchSize, h.serving())
	}
	return f
}

// drawFaults returns a random schedule of faults: short and long pauses, processes
// that crash and restart, and VMs that stop answering and later reboot. The first
// VMs flap: they reboot every 30 s on average.
func drawFaults(seed uint64, flappers int, from time.Time) []pending[func(*simSite)] {
	r := rand.New(rand.NewPCG(seed, 0))
	mean := func(d time.Duration) time.Duration { return time.Duration(r.ExpFloat64() * float64(d)) }
	pool := testPool(benchSize, benchVMs)
	var out []pending[func(*simSite)]
	add := func(at time.Time, fn func(*simSite)) { out = append(out, pending[func(*simSite)]{at, fn}) }
	for at := from; at.Before(from.Add(benchDuration)); at = at.Add(mean(benchFaultInterval)) {
		vm := pool.VMs[r.IntN(benchVMs)]
		switch n := r.IntN(10); {
		case n < 4:
			addPause(add, vm, at, mean(3*time.Second))
		case n < 5:
			addPause(add, vm, at, mean(time.Minute))
		case n < 8:
			add(at, func(site *simSite) { site.kill(vm) })
			add(at.Add(mean(20*time.Second)), func(site *simSite) { site.reboot(vm) })
		default:
			add(at, func(site *simSite) { site.vms[vm].paused = true })
			add(at.Add(mean(5*time.Minute)), func(site *simSite) { site.reboot(vm) })
		}
	}
	for _, vm := range pool.VMs[:flappers] {
		for at := from; at.Before(from.Add(benchDuration)); at = at.Add(mean(30 * time.Second)) {
			add(at, func(site *simSite) { site.reboot(vm) })
		}
	}
	return out
}

func addPause(add func(time.Time, func(*simSite)), vm string, at time.Time, d time.Duration) {
	add(at, func(site *simSite) { site.vms[vm].paused = true })
	add(at.Add(d), func(site *simSite) { site.vms[vm].paused = false })
}

// BenchmarkTwoBroken measures two groups of one fabric domain that each lose a
// member for five minutes, without a spare.
func BenchmarkTwoBroken(b *testing.B) {
	for _, r := range []RepairStrategy{OwnMember, SpareAtOnce, SpareOrMerge} {
		b.Run(r.String(), func(b *testing.B) {
			var f outageTimes
			for range b.N {
				f = runTwoBroken(r)
			}
			f.report(b, 1)
		})
	}
}

func runTwoBroken(r RepairStrategy) outageTimes {
	p := DefaultPolicy()
	p.Repair = r
	site := newSimSite(testPool(benchSize, 2*benchSize), 1)
	site.fetchTime, site.reloadTime = 20*time.Second, 2*time.Second
	h := newHome(site, "a", p)
	for len(h.serving()) < 2 {
		site.advance()
		h.step()
	}
	var killed []string
	for _, g := range site.state.Groups {
		killed = append(killed, g.Members[len(killed)].VM)
	}
	for _, vm := range killed {
		site.kill(vm)
	}
	var f outageTimes
	for start := site.now; len(h.serving()) < 2 || site.now.Sub(start) < 5*time.Minute; {
		site.advance()
		if site.now.Sub(start) == 5*time.Minute {
			for _, vm := range killed {
				site.reboot(vm)
			}
		}
		h.step()
		f.count(site, 2, h.serving())
	}
	return f
}

// BenchmarkColdStart starts all groups at once with a weight store that serves two
// VMs at a time, with the fetches queued by the plan or only by the store.
func BenchmarkColdStart(b *testing.B) {
	for _, unqueue := range []bool{false, true} {
		b.Run(fmt.Sprintf("queued=%t", !unqueue), func(b *testing.B) {
			var f outageTimes
			for range b.N {
				f = runColdStart(unqueue)
			}
			f.report(b, 1)
		})
	}
}

func runColdStart(ignoreStoreLimit bool) outageTimes {
	const groups = 8
	site := newSimSite(testPool(benchSize, groups*benchSize), 1)
	site.fetchTime, site.reloadTime, site.storeSlots = 20*time.Second, 2*time.Second, 2
	h := newHome(site, "a", DefaultPolicy())
	h.ignoreStoreLimit = ignoreStoreLimit
	var f outageTimes
	for len(h.serving()) < groups {
		site.advance()
		h.step()
		f.count(site, groups, h.serving())
	}
	return f
}

// BenchmarkPlan measures one Assess and one Plan of a healthy pool.
func BenchmarkPlan(b *testing.B) {
	for _, vms := range []int{48, 600, 4800} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			const size = 16
			s := testSnapshot(vms/size, size, vms)
			b.ReportAllocs()
			for b.Loop() {
				Assess(s, DefaultPolicy())
				Plan(s, DefaultPolicy())
			}
		})
	}
}
