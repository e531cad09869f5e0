package engine

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
	"github.com/ragwortquay/ragwortquay/internal/standin/weights"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

func load(fence uint64) target.Order {
	return target.Order{Kind: target.OrderLoad, Fence: fence, Model: "m", Version: "1"}
}

func unload(fence uint64) target.Order { return target.Order{Kind: target.OrderUnload, Fence: fence} }

func TestFencing(t *testing.T) {
	tests := []struct {
		name   string
		ignore bool
		orders []target.Order
		last   int
		group  uint64
	}{
		{"newer load wins", false, []target.Order{load(5), load(6)}, 202, 6},
		{"older load is refused", false, []target.Order{load(6), load(5)}, 409, 6},
		{"older load is taken when fencing is ignored", true, []target.Order{load(6), load(5)}, 202, 5},
		{"older unload is refused", false, []target.Order{load(6), unload(5)}, 409, 6},
		{"unload", false, []target.Order{load(6), unload(6)}, 202, 0},
		{"load after a newer unload is refused", false, []target.Order{load(6), unload(7), load(6)}, 409, 0},
		{"unknown kind", false, []target.Order{{Kind: "dance", Fence: 9}}, 400, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			o := testOptions()
			o.IgnoreFencing = tc.ignore
			addr := start(t, o).VMs()[0].Addr
			status := 0
			for _, ord := range tc.orders {
				status = order(t, addr, ord)
			}
			must.Eq(t, tc.last, status)
			must.Eq(t, tc.group, report(t, addr).Group)
		})
	}
}

func TestRepeatedOrderChangesNothing(t *testing.T) {
	f := start(t, testOptions())
	addr := f.VMs()[0].Addr
	for range 3 {
		must.Eq(t, http.StatusAccepted, order(t, addr, load(5)))
	}
	waitFor(t, func() bool { return report(t, addr).State == target.EngineReady })
	must.Len(t, 1, events(f, journal.VMReady))
}

func TestCachedWeightsNeedNoFetch(t *testing.T) {
	store, err := weights.New(weights.Options{Addr: "127.0.0.1:0", MaxConcurrentFetches: 1})
	must.NoError(t, err)
	o := testOptions()
	o.WeightsURL = store.URL()
	f := start(t, o)
	addr := f.VMs()[0].Addr
	order(t, addr, load(5))
	waitFor(t, func() bool { return report(t, addr).State == target.EngineReady })
	must.Eq(t, []string{"m@1"}, report(t, addr).Cached)
	store.SetFaults(weights.Faults{Refuse: true})
	order(t, addr, unload(5))
	must.Eq(t, target.EngineFree, report(t, addr).State)
	order(t, addr, load(6))
	waitFor(t, func() bool { return report(t, addr).State == target.EngineReady })
}

func TestLoadsQueueAtTheStoreAndADeadVMGivesItsSlotBack(t *testing.T) {
	store, err := weights.New(weights.Options{Addr: "127.0.0.1:0", MaxConcurrentFetches: 1, FetchTime: time.Hour})
	must.NoError(t, err)
	o := testOptions()
	o.WeightsURL = store.URL()
	f := start(t, o)
	order(t, f.VMs()[0].Addr, load(5))
	waitFor(t, func() bool { return store.Loads().Active == 1 })
	order(t, f.VMs()[1].Addr, load(5))
	waitFor(t, func() bool { return store.Loads().Queued == 1 })
	store.SetFaults(weights.Faults{FetchTimeMS: 1})
	breakVM(t, f, "a", machines.Kill)
	waitFor(t, func() bool { return report(t, f.VMs()[1].Addr).State == target.EngineReady })
}

func TestReviveIsANewBoot(t *testing.T) {
	f := start(t, testOptions())
	addr := formGroup(t, f, 5)
	before := report(t, addr)
	breakVM(t, f, "a", machines.Kill)
	_, err := http.Get("http://" + addr + "/v1/report")
	must.Error(t, err)
	breakVM(t, f, "a", machines.Revive)
	after := report(t, addr)
	must.NotEq(t, before.BootID, after.BootID)
	must.Eq(t, target.EngineFree, after.State)
	must.Eq(t, 0, after.Group)
	must.Len(t, 0, after.Cached)
}

func TestReportLags(t *testing.T) {
	o := testOptions()
	o.Timing.StateReportLag = time.Hour
	f := start(t, o)
	addr := f.VMs()[0].Addr
	must.Eq(t, target.EngineFree, report(t, addr).State)
	order(t, addr, load(5))
	waitFor(t, func() bool { return len(events(f, journal.VMReady)) == 1 })
	must.Eq(t, target.EngineFree, report(t, addr).State)
}
