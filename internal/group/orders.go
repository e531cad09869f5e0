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

// sendOrders sends loads to members that lack them and unloads to VMs that run
// what they should not.
func (pl *planner) sendOrders() {
	pl.orderUnloads()
	pl.orderPrefetch(pl.orderLoads())
}

func (pl *planner) orderUnloads() {
	for _, vm := range sortedKeys(pl.Observations) {
		o := pl.Observations[vm]
		if pl.taken[vm] || !o.fresh(pl.Now, pl.policy) || o.lost(pl.Now, pl.policy) {
			continue
		}
		r, held := pl.Reservations[vm]
		if held && !r.Ended || pl.runsUnappliedGroup(o) {
			continue
		}
		if held && pl.confirmedUnloaded(vm, r) || !held && (o.Report.State == Free || !pl.wantsGroups()) {
			continue
		}
		if !held && pl.isFetching(o, pl.Pool.Model, pl.Pool.Version) {
			continue
		}
		pl.orderVM(vm, Order{Fence: max(r.Group, o.Report.Fence, o.Report.Group)})
	}
}

// runsUnappliedGroup reports whether the VM runs a group whose record is not folded here.
func (pl *planner) runsUnappliedGroup(o Observation) bool {
	return o.Report.State != Free && o.Report.Group > pl.AppliedFence
}

// confirmedUnloaded reports whether the VM freshly reports itself free after the end of
// its group, and refuses, as far as it does, the group's late orders.
func (pl *planner) confirmedUnloaded(vm string, r state.Reservation) bool {
	o := pl.Observations[vm]
	if o.Report.State != Free {
		return false
	}
	told := o.LastOrderAcked && !o.LastOrder.Load && o.LastOrder.Fence >= r.Group && o.ReportedAt.After(o.LastOrderAt)
	return told || o.Report.Fence >= r.Group
}

// orderVM sends an order unless the same one is under way or was sent just now.
func (pl *planner) orderVM(vm string, order Order) {
	pl.emitOrder(SendOrder{VM: vm, Addr: pl.VMs[vm].Addr, Order: order})
}

func (pl *planner) emitOrder(a SendOrder) {
	vm, order, o := a.VM, a.Order, pl.Observations[a.VM]
	if a.Addr == "" {
		pl.emitWait("VM "+vm, "its address is not known", time.Time{})
		return
	}
	same := o.LastOrder.Fence == order.Fence && o.LastOrder.Load == order.Load
	if again := o.LastOrderAt.Add(pl.policy.OrderResend); same && pl.Now.Before(again) {
		pl.emitWait("VM "+vm, "an order was sent just now", again)
		return
	}
	pl.emit(a)
}

// pendingLoad is one order that a group in force needs.
type pendingLoad struct {
	group state.Group
	rank  int
	fetch bool
	// missingMembers and pendingFetches are the group's members that are absent, and those
	// that have yet to fetch: what stands between the group and service.
	missingMembers, pendingFetches int
}

// orderLoads orders members to load their group. Fetches queue under the weight
// store's limit, and those that complete a group soonest go first: loading two
// groups side by side would make both late. It returns the fetches that may
// still begin, none if a group waits for one.
func (pl *planner) orderLoads() int {
	var due []pendingLoad
	fetching := 0
	for _, g := range pl.Groups {
		if pl.ended[g.ID] {
			continue
		}
		ls, n := pl.groupLoads(g)
		due = append(due, ls...)
		fetching += n
	}
	slices.SortStableFunc(due, func(a, b pendingLoad) int {
		return cmp.Or(cmp.Compare(a.missingMembers, b.missingMembers), cmp.Compare(a.pendingFetches, b.pendingFetches), cmp.Compare(a.group.ID, b.group.ID))
	})
	fetching += pl.prefetching()
	slots := pl.WeightStore.Concurrent - max(fetching, pl.WeightStore.Active)
	if pl.WeightStore.Concurrent == 0 {
		slots = unlimited
	}
	for _, l := range due {
		if l.fetch {
			if slots <= 0 {
				pl.emit(Wait{Subject: groupSubject(l.group), Reason: "the weight store is busy", WeightStoreBusy: true})
				continue
			}
			slots--
		}
		pl.orderVM(l.group.Members[l.rank].VM, pl.loadOrder(l.group, l.rank))
	}
	return slots
}

// prefetching counts the spares that fetch weights.
func (pl *planner) prefetching() int {
	n := 0
	for _, vm := range pl.Pool.VMs {
		if _, held := pl.Reservations[vm]; !held && pl.isFetching(pl.Observations[vm], pl.Pool.Model, pl.Pool.Version) {
			n++
		}
	}
	return n
}

// orderPrefetch lets one spare at a time fetch the pool's weights, while no group needs
// the weight store: a repair then takes a spare that needs no fetch. The order
// carries the last folded fencing number, which is below that of any group that
// the VM joins later, and names no group that the VM is a member of.
func (pl *planner) orderPrefetch(slots int) {
	if pl.policy.DisablePrefetch || !pl.wantsGroups() || slots <= 0 || pl.AppliedFence == 0 || len(pl.taken) > 0 || pl.prefetching() > 0 {
		return
	}
	weights := WeightsKey(pl.Pool.Model, pl.Pool.Version)
	free := pl.spares()
	for _, domain := range sortedKeys(free) {
		for _, vm := range free[domain] {
			if pl.Observations[vm].cached(weights) {
				continue
			}
			addr := pl.VMs[vm].Addr
			order := Order{Load: true, Fence: pl.AppliedFence, Model: pl.Pool.Model, Version: pl.Pool.Version, Members: []string{addr}}
			pl.emitOrder(SendOrder{VM: vm, Addr: addr, Order: order, Prefetch: true})
			return
		}
	}
}

// isFetching reports whether the VM is at work on isFetching these weights: a new
// order would make it begin again.
func (pl *planner) isFetching(o Observation, model, version string) bool {
	r := o.Report
	return r.State == Loading && r.Model == model && r.Version == version && !o.cached(WeightsKey(model, version)) &&
		o.fresh(pl.Now, pl.policy) && pl.Now.Sub(o.StateSince) < pl.policy.FetchTimeout
}

// groupLoads returns the orders that the group needs, and how many of its
// members are fetching already.
func (pl *planner) groupLoads(g state.Group) ([]pendingLoad, int) {
	weights := WeightsKey(g.Model, g.Version)
	var due []pendingLoad
	missing, fetches, fetching := 0, 0, 0
	for i, m := range g.Members {
		fetch := !pl.Observations[m.VM].cached(weights)
		switch c := pl.memberCondition(g, i); c {
		case loading:
			if fetch {
				fetching++
			}
		case misassigned:
			if pl.runsUnappliedGroup(pl.Observations[m.VM]) {
				missing++
				continue
			}
			if pl.isFetching(pl.Observations[m.VM], g.Model, g.Version) {
				fetching++
				continue
			}
			due = append(due, pendingLoad{group: g, rank: i, fetch: fetch})
			if fetch {
				fetches++
			}
		case ready:
		default:
			missing++
		}
	}
	for i := range due {
		due[i].missingMembers, due[i].pendingFetches = missing, fetches
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

func groupSubject(g state.Group) string { return "group " + strconv.FormatUint(g.ID, 10) }
