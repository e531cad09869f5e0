package group

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// The experiment's site: 50 VMs in two fabric domains, 12 groups of 4 and two
// spares; an hour with a fault every 20 s in the mean.
const (
	benchVMs    = 50
	benchSize   = 4
	benchHour   = time.Hour
	benchFaults = 20 * time.Second
)

// figures of one run: the time in which groups that the VMs would allow did not
// serve, and, summed over VMs that are up, the time in which they were held by
// a group that did not serve, and in which they were in no serving group.
type figures struct{ down, stranded, idle time.Duration }

func (f *figures) add(o figures) {
	f.down += o.down
	f.stranded += o.stranded
	f.idle += o.idle
}

func (f *figures) count(w *world, groups int, serving []uint64) {
	f.down += tick * time.Duration(groups-len(serving))
	for vm, m := range w.vms {
		r, held := w.state.VMs[vm]
		if !m.up || m.paused || held && !r.Ended && slices.Contains(serving, r.Group) {
			continue
		}
		f.idle += tick
		if held {
			f.stranded += tick
		}
	}
}

func (f *figures) report(b *testing.B, runs int) {
	n := float64(runs)
	b.ReportMetric(f.down.Seconds()/n, "down-s")
	b.ReportMetric(f.stranded.Seconds()/n, "stranded-s")
	b.ReportMetric(f.idle.Seconds()/n, "idle-s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRepair compares repair policies over the same faults. The seeds are
// fixed; run it with -benchtime 1x.
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
		{"silent-grace=10s", change(func(p *Policy) { p.SilentGrace = 10 * time.Second })},
		{"no-warming", change(func(p *Policy) { p.DisablePrefetch = true })},
		{"no-backoff", change(func(p *Policy) { p.FlapBackoff = 0 })},
	}
	for _, c := range cases {
		for _, flappers := range []int{0, 2} {
			b.Run(fmt.Sprintf("%s/flappers=%d", c.name, flappers), func(b *testing.B) {
				var sum figures
				const seeds = 5
				for range b.N {
					sum.add(runHours(c.policy, flappers, seeds))
				}
				sum.report(b, b.N*seeds)
			})
		}
	}
}

// runHours runs one hour for each seed, side by side.
func runHours(p Policy, flappers, seeds int) figures {
	out := make([]figures, seeds)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() { out[i] = runHour(p, flappers, uint64(i+1)) })
	}
	wg.Wait()
	var sum figures
	for _, f := range out {
		sum.add(f)
	}
	return sum
}

func runHour(p Policy, flappers int, seed uint64) figures {
	w := newWorld(testPool(benchSize, benchVMs), 2)
	w.fetch, w.reload, w.slots = 20*time.Second, 2*time.Second, 4
	h := newHome(w, "a", p)
	h.delay = 1
	for len(h.serving()) < benchVMs/benchSize {
		w.advance()
		h.act()
	}
	faults := schedule(seed, flappers, w.now)
	end := w.now.Add(benchHour)
	var f figures
	for w.now.Before(end) {
		w.advance()
		faults = dueNow(w.now, faults, func(fn func(*world)) { fn(w) })
		h.act()
		f.count(w, benchVMs/benchSize, h.serving())
	}
	return f
}

// schedule draws faults: short and long pauses, crashes of a process that
// starts again, and VMs that fall silent and come back booted. The first VMs
// flap: they boot anew all the time.
func schedule(seed uint64, flappers int, from time.Time) []pending[func(*world)] {
	r := rand.New(rand.NewPCG(seed, 0))
	mean := func(d time.Duration) time.Duration { return time.Duration(r.ExpFloat64() * float64(d)) }
	pool := testPool(benchSize, benchVMs)
	var out []pending[func(*world)]
	add := func(at time.Time, fn func(*world)) { out = append(out, pending[func(*world)]{at, fn}) }
	for at := from; at.Before(from.Add(benchHour)); at = at.Add(mean(benchFaults)) {
		vm := pool.VMs[r.IntN(benchVMs)]
		switch n := r.IntN(10); {
		case n < 4:
			pause(add, vm, at, mean(3*time.Second))
		case n < 5:
			pause(add, vm, at, mean(time.Minute))
		case n < 8:
			add(at, func(w *world) { w.kill(vm) })
			add(at.Add(mean(20*time.Second)), func(w *world) { w.reboot(vm) })
		default:
			add(at, func(w *world) { w.vms[vm].paused = true })
			add(at.Add(mean(5*time.Minute)), func(w *world) { w.reboot(vm) })
		}
	}
	for _, vm := range pool.VMs[:flappers] {
		for at := from; at.Before(from.Add(benchHour)); at = at.Add(mean(30 * time.Second)) {
			add(at, func(w *world) { w.reboot(vm) })
		}
	}
	return out
}

func pause(add func(time.Time, func(*world)), vm string, at time.Time, d time.Duration) {
	add(at, func(w *world) { w.vms[vm].paused = true })
	add(at.Add(d), func(w *world) { w.vms[vm].paused = false })
}

// BenchmarkTwoBroken measures two groups of one fabric domain that lose a
// member each for five minutes, with no spare.
func BenchmarkTwoBroken(b *testing.B) {
	for _, r := range []RepairStrategy{OwnMember, SpareAtOnce, SpareOrMerge} {
		b.Run(r.String(), func(b *testing.B) {
			var f figures
			for range b.N {
				f = runTwoBroken(r)
			}
			f.report(b, 1)
		})
	}
}

func runTwoBroken(r RepairStrategy) figures {
	p := DefaultPolicy()
	p.Repair = r
	w := newWorld(testPool(benchSize, 2*benchSize), 1)
	w.fetch, w.reload = 20*time.Second, 2*time.Second
	h := newHome(w, "a", p)
	for len(h.serving()) < 2 {
		w.advance()
		h.act()
	}
	var lost []string
	for _, g := range w.state.Groups {
		lost = append(lost, g.Members[len(lost)].VM)
	}
	for _, vm := range lost {
		w.kill(vm)
	}
	var f figures
	for start := w.now; len(h.serving()) < 2 || w.now.Sub(start) < 5*time.Minute; {
		w.advance()
		if w.now.Sub(start) == 5*time.Minute {
			for _, vm := range lost {
				w.reboot(vm)
			}
		}
		h.act()
		f.count(w, 2, h.serving())
	}
	return f
}

// BenchmarkColdStart starts all groups at once behind a store for two VMs, with
// the loads queued by the plan and by the store alone.
func BenchmarkColdStart(b *testing.B) {
	for _, unqueue := range []bool{false, true} {
		b.Run(fmt.Sprintf("queued=%t", !unqueue), func(b *testing.B) {
			var f figures
			for range b.N {
				f = runColdStart(unqueue)
			}
			f.report(b, 1)
		})
	}
}

func runColdStart(unqueue bool) figures {
	const groups = 8
	w := newWorld(testPool(benchSize, groups*benchSize), 1)
	w.fetch, w.reload, w.slots = 20*time.Second, 2*time.Second, 2
	h := newHome(w, "a", DefaultPolicy())
	h.unqueue = unqueue
	var f figures
	for len(h.serving()) < groups {
		w.advance()
		h.act()
		f.count(w, groups, h.serving())
	}
	return f
}

// BenchmarkPlan gives the cost of one judgement and plan of a healthy pool.
func BenchmarkPlan(b *testing.B) {
	for _, vms := range []int{48, 600, 4800} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			const size = 16
			s := scene(vms/size, size, vms)
			b.ReportAllocs()
			for b.Loop() {
				Assess(s, DefaultPolicy())
				Plan(s, DefaultPolicy())
			}
		})
	}
}
