package view

import (
	"fmt"
	"testing"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

// largeView returns a view of the size that the system is designed for: 10 pools
// with 60 VMs each, 600 in all, in groups of 15 (16 does not divide 60), 350
// daemons, and the maximum number of recent verdicts. It also returns the next
// offset.
func largeView() (*View, uint64) {
	v := New()
	next := uint64(0)
	apply := func(r *state.Record) {
		r.ID = fmt.Sprint("r", next)
		v.Apply(at(next), r)
		next++
	}
	const pools, vms, size = 10, 60, 15
	for p := range pools {
		var names []string
		for i := range vms {
			names = append(names, fmt.Sprintf("vm-%d-%d", p, i))
		}
		row := table.Pool{Name: fmt.Sprint("p", p), Kind: table.KindEngine, Model: "m", Version: "1", GroupSize: size, VMs: names, Limit: 8, ColdLimit: 1}
		apply(&state.Record{Edit: &state.Edit{Changes: []state.Change{{SetPool: &row}}}})
		for g := range vms / size {
			f := &state.Form{Pool: row.Name, Model: "m", Version: "1"}
			for _, vm := range names[g*size : (g+1)*size] {
				f.Members = append(f.Members, state.Member{VM: vm, BootID: "b", FailureDomain: "d", FabricDomain: "f"})
			}
			apply(&state.Record{Form: f})
		}
	}
	for d := range 350 {
		apply(&state.Record{Join: &state.Join{Daemon: fmt.Sprint("d", d), Addr: "10.0.0.1:7000", BootID: "01M901KBJVA7KFW3V6FHZ20DHT"}})
	}
	for range state.MaxRecentVerdicts {
		apply(&state.Record{Release: &state.Release{VM: "none"}})
	}
	return v, next
}

func BenchmarkDigest(b *testing.B) {
	v, next := largeView()
	for b.Loop() {
		b.StopTimer()
		v.Apply(at(next), nil)
		next++
		b.StartTimer()
		v.PositionAndDigest()
	}
}

func BenchmarkApplyEdit(b *testing.B) {
	v, next := largeView()
	row, _ := v.Pool("p0")
	for b.Loop() {
		rec := &state.Record{ID: fmt.Sprint("e", next), Edit: &state.Edit{Changes: []state.Change{{Base: row.Stamp.Revision, SetPool: &row.Pool}}}}
		if v.Apply(at(next), rec).Accepted {
			row.Stamp.Revision++
		}
		next++
	}
}

func BenchmarkRoute(b *testing.B) {
	v, next := largeView()
	var changes []state.Change
	for i := range 100 {
		changes = append(changes, state.Change{SetRoute: route(fmt.Sprint("r", i), fmt.Sprint("w", i), "k", "p0")})
	}
	v.Apply(at(next), &state.Record{ID: "routes", Edit: &state.Edit{Changes: changes}})
	for b.Loop() {
		v.Route("w50", "k")
	}
}
