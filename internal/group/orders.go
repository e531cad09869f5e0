package group

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

// unlimited stands for a weight store whose limit is not known.
const unlimited = 1 << 20

// orders sends loads to members that lack them and unloads to VMs that run
// what they should not.
func (pl *planner) orders() {
	pl.unloads()
	pl.warm(pl.loads())
}

func (pl *planner) unloads() {
	for _, vm := range sortedKeys(pl.Observations) {
		o := pl.Observations[vm]
		if pl.taken[vm] || !o.fresh(pl.Now, pl.policy) || o.lost(pl.Now, pl.policy) {
			continue
		}
		r, held := pl.Reservations[vm]
		if held && !r.Ended || pl.ahead(o) {
			continue
		}
		if held && pl.unloaded(vm, r) || !held && (o.Report.State == Free || !pl.serves()) {
			continue
		}
		if !held && pl.fetching(o, pl.Pool.Model, pl.Pool.Version) {
			continue
		}
		pl.send(vm, Order{Fence: max(r.Group, o.Report.Fence, o.Report.Group)})
	}
}

// ahead reports whether the VM runs a group whose record is not folded here.
func (pl *planner) ahead(o Observation) bool {
	return o.Report.State != Free && o.Report.Group > pl.AppliedFence
}

// unloaded reports whether the VM freshly reports itself free after the end of
// its group, and refuses, as far as it does, the group's late orders.
func (pl *planner) unloaded(vm string, r state.Reservation) bool {
	o := pl.Observations[vm]
	if o.Report.State != Free {
		return false
	}
	told := o.LastOrderAcked && !o.LastOrder.Load && o.LastOrder.Fence >= r.Group && o.ReportedAt.After(o.LastOrderAt)
	return told || o.Report.Fence >= r.Group
}

// send sends an order unless the same one is under way or was sent just now.
func (pl *planner) send(vm string, order Order) {
	pl.sendOrder(SendOrder{VM: vm, Addr: pl.VMs[vm].Addr, Order: order})
}

func (pl *planner) sendOrder(a SendOrder) {
	vm, order, o := a.VM, a.Order, pl.Observations[a.VM]
	if a.Addr == "" {
		pl.wait("VM "+vm, "its address is not known", time.Time{})
		return
	}
	same := o.LastOrder.Fence == order.Fence && o.LastOrder.Load == order.Load
	if again := o.LastOrderAt.Add(pl.policy.OrderResend); same && pl.Now.Before(again) {
		pl.wait("VM "+vm, "an order was sent just now", again)
		return
	}
	pl.do(a)
}

// load is one order that a group in force needs.
type load struct {
	g     state.Group
	rank  int
	fetch bool
	// missing and fetches are the group's members that are absent, and those
	// that have yet to fetch: what stands between the group and service.
	missing, fetches int
}

// loads orders members to load their group. Fetches queue under the weight
// store's limit, and those that complete a group soonest go first: loading two
// groups side by side would make both late. It returns the fetches that may
// still begin, none if a group waits for one.
func (pl *planner) loads() int {
	var due []load
	fetching := 0
	for _, g := range pl.Groups {
		if pl.ended[g.ID] {
			continue
		}
		ls, n := pl.groupLoads(g)
		due = append(due, ls...)
		fetching += n
	}
	slices.SortStableFunc(due, func(a, b load) int {
		return cmp.Or(cmp.Compare(a.missing, b.missing), cmp.Compare(a.fetches, b.fetches), cmp.Compare(a.g.ID, b.g.ID))
	})
	fetching += pl.warming()
	slots := pl.WeightStore.Concurrent - max(fetching, pl.WeightStore.Active)
	if pl.WeightStore.Concurrent == 0 {
		slots = unlimited
	}
	for _, l := range due {
		if l.fetch {
			if slots <= 0 {
				pl.do(Wait{Subject: groupName(l.g), Reason: "the weight store is busy", WeightStoreBusy: true})
				continue
			}
			slots--
		}
		pl.send(l.g.Members[l.rank].VM, pl.loadOrder(l.g, l.rank))
	}
	return slots
}

// warming counts the spares that fetch weights.
func (pl *planner) warming() int {
	n := 0
	for _, vm := range pl.Pool.VMs {
		if _, held := pl.Reservations[vm]; !held && pl.fetching(pl.Observations[vm], pl.Pool.Model, pl.Pool.Version) {
			n++
		}
	}
	return n
}

// warm lets one spare at a time fetch the pool's weights, while no group needs
// the weight store: a repair then takes a spare that needs no fetch. The order
// carries the last folded fencing number, which is below that of any group that
// the VM joins later, and names no group that the VM is a member of.
func (pl *planner) warm(slots int) {
	if pl.policy.DisablePrefetch || !pl.serves() || slots <= 0 || pl.AppliedFence == 0 || len(pl.taken) > 0 || pl.warming() > 0 {
		return
	}
	weights := WeightsKey(pl.Pool.Model, pl.Pool.Version)
	free := pl.free()
	for _, domain := range sortedKeys(free) {
		for _, vm := range free[domain] {
			if pl.Observations[vm].cached(weights) {
				continue
			}
			addr := pl.VMs[vm].Addr
			order := Order{Load: true, Fence: pl.AppliedFence, Model: pl.Pool.Model, Version: pl.Pool.Version, Members: []string{addr}}
			pl.sendOrder(SendOrder{VM: vm, Addr: addr, Order: order, Prefetch: true})
			return
		}
	}
}

// fetching reports whether the VM is at work on fetching these weights: a new
// order would make it begin again.
func (pl *planner) fetching(o Observation, model, version string) bool {
	r := o.Report
	return r.State == Loading && r.Model == model && r.Version == version && !o.cached(WeightsKey(model, version)) &&
		o.fresh(pl.Now, pl.policy) && pl.Now.Sub(o.StateSince) < pl.policy.FetchTimeout
}

// groupLoads returns the orders that the group needs, and how many of its
// members are fetching already.
func (pl *planner) groupLoads(g state.Group) ([]load, int) {
	weights := WeightsKey(g.Model, g.Version)
	var due []load
	missing, fetches, fetching := 0, 0, 0
	for i, m := range g.Members {
		fetch := !pl.Observations[m.VM].cached(weights)
		switch c := pl.member(g, i); c {
		case loading:
			if fetch {
				fetching++
			}
		case strayed:
			if pl.ahead(pl.Observations[m.VM]) {
				missing++
				continue
			}
			if pl.fetching(pl.Observations[m.VM], g.Model, g.Version) {
				fetching++
				continue
			}
			due = append(due, load{g: g, rank: i, fetch: fetch})
			if fetch {
				fetches++
			}
		case ready:
		default:
			missing++
		}
	}
	for i := range due {
		due[i].missing, due[i].fetches = missing, fetches
	}
	return due, fetching
}

func (pl *planner) loadOrder(g state.Group, rank int) Order {
	o := Order{Load: true, Fence: g.ID, Model: g.Model, Version: g.Version, Rank: rank}
	for _, m := range g.Members {
		o.Members = append(o.Members, pl.VMs[m.VM].Addr)
	}
	return o
}

func groupName(g state.Group) string { return "group " + strconv.FormatUint(g.ID, 10) }
