package group

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxLag is the greatest age of a home's view, in ticks.
const maxLag = 30

// TestNoVMInTwoGroups runs three homes concurrently, with lagging views, late and
// duplicated records and orders, restarts and faults. It checks at every tick that
// no VM is in two groups, and that all members of each group that a home reports
// as serving were ready for it within ReportTTL. After the faults, one home must
// restore as many serving groups in each fabric domain as its VMs allow.
func TestNoVMInTwoGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 4).Draw(t, "size")
		site := newSimSite(testPool(size, rapid.IntRange(size, 3*size+2).Draw(t, "vms")), rapid.IntRange(1, 2).Draw(t, "fabrics"))
		site.pastTicks = maxLag
		site.fetchTime, site.storeSlots = 3*time.Second, rapid.IntRange(1, 4).Draw(t, "slots")
		homes := []*home{newHome(site, "a", DefaultPolicy()), newHome(site, "b", DefaultPolicy()), newHome(site, "c", DefaultPolicy())}
		for i := range 400 {
			injectFault(t, site, homes, i)
			site.advance()
			for _, h := range homes {
				if rapid.IntRange(0, 3).Draw(t, "acts") > 0 {
					h.step()
					checkServing(t, h)
				}
			}
			checkMembership(t, site)
		}
		checkRecovery(t, site)
	})
}

func injectFault(t *rapid.T, site *simSite, homes []*home, i int) {
	if i < 50 || rapid.IntRange(0, 9).Draw(t, "quiet") > 0 {
		return
	}
	vm := rapid.SampledFrom(site.pool.VMs).Draw(t, "vm")
	h := rapid.IntRange(0, len(homes)-1).Draw(t, "home")
	switch rapid.IntRange(0, 7).Draw(t, "fault") {
	case 0:
		site.kill(vm)
	case 1, 2:
		site.reboot(vm)
	case 3:
		site.vms[vm].paused = !site.vms[vm].paused
	case 4:
		homes[h] = newHome(site, homes[h].name+"'", DefaultPolicy())
	case 5:
		homes[h].lag = rapid.IntRange(0, maxLag).Draw(t, "lag")
		homes[h].delay = rapid.IntRange(0, 50).Draw(t, "delay")
	case 6:
		site.records = append(site.records, site.records...)
		site.orders = append(site.orders, site.orders...)
	case 7:
		p := site.pool
		p.Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
		site.edit(p)
	}
}

func checkMembership(t *rapid.T, site *simSite) {
	in := make(map[string]uint64)
	for id, g := range site.state.Groups {
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
			at, ever := h.site.vms[m.VM].servedAt[id]
			age := h.site.now.Sub(at)
			if !ever || age > h.policy.ReportTTL {
				t.Fatalf("group %d is assessed as serving, but VM %s was last ready for it %s ago", id, m.VM, age)
			}
			if other, twice := in[m.VM]; twice {
				t.Fatalf("VM %s is in the serving groups %d and %d", m.VM, other, id)
			}
			in[m.VM] = id
		}
	}
}

// checkRecovery ends all faults and checks that a single home restores all groups
// within 10 minutes.
func checkRecovery(t *rapid.T, site *simSite) {
	want := 0
	fabrics := make(map[string]int)
	for vm, m := range site.vms {
		m.paused = false
		if !m.up {
			site.reboot(vm)
		}
		fabrics[site.vmList[vm].FabricDomain]++
	}
	for _, n := range fabrics {
		want += n / site.pool.GroupSize
	}
	h := newHome(site, "last", DefaultPolicy())
	for range int((10 * time.Minute) / tick) {
		site.advance()
		h.step()
		checkServing(t, h)
		if len(h.serving()) == want && len(site.records) == 0 {
			return
		}
	}
	t.Fatalf("after 10 minutes without faults, %d groups serve, want %d: %+v\nreservations %+v\nplan %+v", len(h.serving()), want, h.assessments, site.state.VMs, Plan(h.snapshot(), h.policy))
}
