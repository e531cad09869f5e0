package view

import (
	"fmt"
	"testing"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

// largeView holds the size that the design is for: 600 VMs in groups of 16
// over 10 pools, 350 daemons, and as many verdicts as are remembered.
func largeView() (*View, uint64) {
	v := New()
	next := uint64(0)
	fold := func(r *state.Record) {
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
		fold(&state.Record{Edit: &state.Edit{Changes: []state.Change{{SetPool: &row}}}})
		for g := range vms / size {
			f := &state.Form{Pool: row.Name, Model: "m", Version: "1"}
			for _, vm := range names[g*size : (g+1)*size] {
				f.Members = append(f.Members, state.Member{VM: vm, BootID: "b", FailureDomain: "d", FabricDomain: "f"})
			}
			fold(&state.Record{Form: f})
		}
	}
	for d := range 350 {
		fold(&state.Record{Join: &state.Join{Daemon: fmt.Sprint("d", d), Addr: "10.0.0.1:7000", BootID: "01M901KBJVA7KFW3V6FHZ20DHT"}})
	}
	for range state.MaxRecentVerdicts {
		fold(&state.Record{Release: &state.Release{VM: "none"}})
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

func BenchmarkFoldEdit(b *testing.B) {
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
