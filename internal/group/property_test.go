package group

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxLag is the greatest age of a home's view, in ticks.
const maxLag = 30

// TestNoVMInTwoGroups runs several homes at once, with views that lag, records
// and orders that are late and duplicated, restarts and faults. At every tick
// no VM is in two groups, and what a home lets serve was whole a moment ago.
// After the faults one home brings every domain back to as many groups as its
// VMs allow.
func TestNoVMInTwoGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 4).Draw(t, "size")
		w := newWorld(testPool(size, rapid.IntRange(size, 3*size+2).Draw(t, "vms")), rapid.IntRange(1, 2).Draw(t, "fabrics"))
		w.keep = maxLag
		w.fetch, w.slots = 3*time.Second, rapid.IntRange(1, 4).Draw(t, "slots")
		homes := []*home{newHome(w, "a", DefaultPolicy()), newHome(w, "b", DefaultPolicy()), newHome(w, "c", DefaultPolicy())}
		for i := range 400 {
			chaos(t, w, homes, i)
			w.advance()
			for _, h := range homes {
				if rapid.IntRange(0, 3).Draw(t, "acts") > 0 {
					h.act()
					checkServing(t, h)
				}
			}
			checkGroups(t, w)
		}
		settle(t, w)
	})
}

func chaos(t *rapid.T, w *world, homes []*home, i int) {
	if i < 50 || rapid.IntRange(0, 9).Draw(t, "quiet") > 0 {
		return
	}
	vm := rapid.SampledFrom(w.pool.VMs).Draw(t, "vm")
	h := rapid.IntRange(0, len(homes)-1).Draw(t, "home")
	switch rapid.IntRange(0, 7).Draw(t, "fault") {
	case 0:
		w.kill(vm)
	case 1, 2:
		w.reboot(vm)
	case 3:
		w.vms[vm].paused = !w.vms[vm].paused
	case 4:
		homes[h] = newHome(w, homes[h].name+"'", DefaultPolicy())
	case 5:
		homes[h].lag = rapid.IntRange(0, maxLag).Draw(t, "lag")
		homes[h].delay = rapid.IntRange(0, 50).Draw(t, "delay")
	case 6:
		w.records = append(w.records, w.records...)
		w.orders = append(w.orders, w.orders...)
	case 7:
		p := w.pool
		p.Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
		w.edit(p)
	}
}

func checkGroups(t *rapid.T, w *world) {
	in := make(map[string]uint64)
	for id, g := range w.state.Groups {
		for _, m := range g.Members {
			if other, twice := in[m.VM]; twice {
				t.Fatalf("VM %s is in groups %d and %d", m.VM, other, id)
			}
			in[m.VM] = id
		}
	}
}

func checkServing(t *rapid.T, h *home) {
	in := make(map[string]uint64)
	for _, id := range h.serving() {
		g := h.view().Groups[id]
		for _, m := range g.Members {
			at, ever := h.w.vms[m.VM].servedAt[id]
			age := h.w.now.Sub(at)
			if !ever || age > h.policy.ReportTTL {
				t.Fatalf("group %d serves, but VM %s left it %s ago", id, m.VM, age)
			}
			if other, twice := in[m.VM]; twice {
				t.Fatalf("VM %s serves in groups %d and %d", m.VM, other, id)
			}
			in[m.VM] = id
		}
	}
}

// settle ends all faults and checks that one home alone restores service.
func settle(t *rapid.T, w *world) {
	want := 0
	fabrics := make(map[string]int)
	for vm, m := range w.vms {
		m.paused = false
		if !m.up {
			w.reboot(vm)
		}
		fabrics[w.list[vm].FabricDomain]++
	}
	for _, n := range fabrics {
		want += n / w.pool.GroupSize
	}
	h := newHome(w, "last", DefaultPolicy())
	for range int((10 * time.Minute) / tick) {
		w.advance()
		h.act()
		checkServing(t, h)
		if len(h.serving()) == want && len(w.records) == 0 {
			return
		}
	}
	t.Fatalf("%d groups serve, want %d: %+v\nstate %+v\nplan %+v", len(h.serving()), want, h.judged, w.state.VMs, Plan(h.snapshot(), h.policy))
}
