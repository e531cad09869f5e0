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

func loadOrder(fencingToken uint64) target.Order {
	return target.Order{Kind: target.OrderLoad, Fence: fencingToken, Model: "m", Version: "1"}
}

func unloadOrder(fencingToken uint64) target.Order {
	return target.Order{Kind: target.OrderUnload, Fence: fencingToken}
}

func TestFencing(t *testing.T) {
	tests := []struct {
		name       string
		ignore     bool
		orders     []target.Order
		lastStatus int
		wantGroup  uint64
	}{
		{"newer load is accepted", false, []target.Order{loadOrder(5), loadOrder(6)}, 202, 6},
		{"older load is refused", false, []target.Order{loadOrder(6), loadOrder(5)}, 409, 6},
		{"older load is accepted if fencing is ignored", true, []target.Order{loadOrder(6), loadOrder(5)}, 202, 5},
		{"older unload is refused", false, []target.Order{loadOrder(6), unloadOrder(5)}, 409, 6},
		{"unload frees the VM", false, []target.Order{loadOrder(6), unloadOrder(6)}, 202, 0},
		{"load after a newer unload is refused", false, []target.Order{loadOrder(6), unloadOrder(7), loadOrder(6)}, 409, 0},
		{"unknown kind is refused", false, []target.Order{{Kind: "unknown", Fence: 9}}, 400, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			o := testOptions()
			o.IgnoreFencing = tc.ignore
			addr := startFleet(t, o).VMs()[0].Addr
			status := 0
			for _, order := range tc.orders {
				status = sendOrder(t, addr, order)
			}
			must.Eq(t, tc.lastStatus, status)
			must.Eq(t, tc.wantGroup, getReport(t, addr).Group)
		})
	}
}

func TestRepeatedLoadOrderIsNoOp(t *testing.T) {
	f := startFleet(t, testOptions())
	addr := f.VMs()[0].Addr
	for range 3 {
		must.Eq(t, http.StatusAccepted, sendOrder(t, addr, loadOrder(5)))
	}
	waitFor(t, func() bool { return getReport(t, addr).State == target.EngineReady })
	must.Len(t, 1, entriesOf(f, journal.VMReady))
}

func TestCachedWeightsNeedNoFetch(t *testing.T) {
	store, err := weights.New(weights.Options{Addr: "127.0.0.1:0", MaxConcurrentFetches: 1})
	must.NoError(t, err)
	o := testOptions()
	o.WeightsURL = store.URL()
	f := startFleet(t, o)
	addr := f.VMs()[0].Addr
	sendOrder(t, addr, loadOrder(5))
	waitFor(t, func() bool { return getReport(t, addr).State == target.EngineReady })
	must.Eq(t, []string{"m@1"}, getReport(t, addr).Cached)
	store.SetFaults(weights.Faults{Refuse: true})
	sendOrder(t, addr, unloadOrder(5))
	must.Eq(t, target.EngineFree, getReport(t, addr).State)
	sendOrder(t, addr, loadOrder(6))
	waitFor(t, func() bool { return getReport(t, addr).State == target.EngineReady })
}

func TestKilledVMFreesItsFetchSlot(t *testing.T) {
	store, err := weights.New(weights.Options{Addr: "127.0.0.1:0", MaxConcurrentFetches: 1, FetchTime: time.Hour})
	must.NoError(t, err)
	o := testOptions()
	o.WeightsURL = store.URL()
	f := startFleet(t, o)
	sendOrder(t, f.VMs()[0].Addr, loadOrder(5))
	waitFor(t, func() bool { return store.Loads().Active == 1 })
	sendOrder(t, f.VMs()[1].Addr, loadOrder(5))
	waitFor(t, func() bool { return store.Loads().Queued == 1 })
	store.SetFaults(weights.Faults{FetchTimeMS: 1})
	injectAction(t, f, "a", machines.Kill)
	waitFor(t, func() bool { return getReport(t, f.VMs()[1].Addr).State == target.EngineReady })
}

func TestReviveAssignsNewBootID(t *testing.T) {
	f := startFleet(t, testOptions())
	addr := formGroup(t, f, 5)
	before := getReport(t, addr)
	injectAction(t, f, "a", machines.Kill)
	_, err := http.Get("http://" + addr + "/v1/report")
	must.Error(t, err)
	injectAction(t, f, "a", machines.Revive)
	after := getReport(t, addr)
	must.NotEq(t, before.BootID, after.BootID)
	must.Eq(t, target.EngineFree, after.State)
	must.Eq(t, 0, after.Group)
	must.Len(t, 0, after.Cached)
}

func TestReportLags(t *testing.T) {
	o := testOptions()
	o.Timing.StateReportLag = time.Hour
	f := startFleet(t, o)
	addr := f.VMs()[0].Addr
	must.Eq(t, target.EngineFree, getReport(t, addr).State)
	sendOrder(t, addr, loadOrder(5))
	waitFor(t, func() bool { return len(entriesOf(f, journal.VMReady)) == 1 })
	must.Eq(t, target.EngineFree, getReport(t, addr).State)
}
