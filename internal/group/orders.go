package group

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

// unlimited is the number of fetch slots assumed when the weight store's limit is
// unknown.
const unlimited = 1 << 20

// sendOrders orders members to load their group's model, VMs that must not run a
// model to unload it, and spares to prefetch weights.
func (pl *planner) sendOrders() {
	pl.orderUnloads()
	pl.orderPrefetch(pl.orderLoads())
}

// orderUnloads orders VMs whose group has ended, or that have none, to unload.
func (pl *planner) orderUnloads() {
	for _, vm := range sortedKeys(pl.Observations) {
		o := pl.Observations[vm]
		if pl.taken[vm] || !o.fresh(pl.Now, pl.policy) || o.unresponsive(pl.Now, pl.policy) {
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

// runsUnappliedGroup reports whether the VM runs a group whose record has not been
// applied here yet.
func (pl *planner) runsUnappliedGroup(o Observation) bool {
	return o.Report.State != Free && o.Report.Group > pl.AppliedFence
}

// confirmedUnloaded reports whether the VM reports itself free after the end of
// its group, and has seen a fencing token that makes an engine that checks tokens
// refuse late orders of the group.
func (pl *planner) confirmedUnloaded(vm string, r state.Reservation) bool {
	o := pl.Observations[vm]
	if o.Report.State != Free {
		return false
	}
	unloadAcked := o.LastOrderAcked && !o.LastOrder.Load && o.LastOrder.Fence >= r.Group && o.ReportedAt.After(o.LastOrderAt)
	return unloadAcked || o.Report.Fence >= r.Group
}

// orderVM emits an order to the VM; see emitOrder.
func (pl *planner) orderVM(vm string, order Order) {
	pl.emitOrder(SendOrder{VM: vm, Addr: pl.VMs[vm].Addr, Order: order})
}

// emitOrder emits the order, unless the VM's address is unknown or the same order
// was sent less than OrderResend ago.
func (pl *planner) emitOrder(a SendOrder) {
	vm, order, o := a.VM, a.Order, pl.Observations[a.VM]
	if a.Addr == "" {
		pl.emitWait("VM "+vm, "its address is unknown", time.Time{})
		return
	}
	same := o.LastOrder.Fence == order.Fence && o.LastOrder.Load == order.Load
	if resendAt := o.LastOrderAt.Add(pl.policy.OrderResend); same && pl.Now.Before(resendAt) {
		pl.emitWait("VM "+vm, "the last order may still take effect", resendAt)
		return
	}
	pl.emit(a)
}

// pendingLoad is a load order that a member of a group needs. fetch is set if the
// member must fetch the weights.
type pendingLoad struct {
	group state.Group
	rank  int
	fetch bool
	// missingMembers is the number of the group's members that cannot load now,
	// and pendingFetches the number of its fetches that have not been ordered.
	missingMembers, pendingFetches int
}

// orderLoads orders members to load their group's model. It keeps the number of
// concurrent fetches within the weight store's limit and prefers the groups that
// need the fewest members and fetches, since two groups that load in parallel
// both become ready late. It returns the number of fetches that may still start,
// which is not positive if a group waits for a fetch.
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
				pl.emit(Wait{Subject: groupSubject(l.group), Reason: "the weight store is at its limit of concurrent fetches", WeightStoreBusy: true})
				continue
			}
			slots--
		}
		pl.orderVM(l.group.Members[l.rank].VM, pl.loadOrder(l.group, l.rank))
	}
	return slots
}

// prefetching returns the number of unreserved VMs that fetch the pool's weights.
func (pl *planner) prefetching() int {
	n := 0
	for _, vm := range pl.Pool.VMs {
		if _, held := pl.Reservations[vm]; !held && pl.isFetching(pl.Observations[vm], pl.Pool.Model, pl.Pool.Version) {
			n++
		}
	}
	return n
}

// orderPrefetch orders one spare at a time to fetch the pool's weights, while no
// group needs the weight store, so that a repair can use a spare that needs no
// fetch. The order carries the last applied fencing token, which is lower than
// that of any group that the VM joins later, and belongs to no group of the VM.
func (pl *planner) orderPrefetch(slots int) {
	if pl.policy.DisablePrefetch || !pl.wantsGroups() || slots <= 0 || pl.AppliedFence == 0 || len(pl.taken) > 0 || pl.prefetching() > 0 {
		return
	}
	weights := WeightsKey(pl.Pool.Model, pl.Pool.Version)
	spares := pl.spares()
	for _, domain := range sortedKeys(spares) {
		for _, vm := range spares[domain] {
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

// isFetching reports whether the VM is fetching these weights, for no longer than
// FetchTimeout. A new order would restart the fetch.
func (pl *planner) isFetching(o Observation, model, version string) bool {
	r := o.Report
	return r.State == Loading && r.Model == model && r.Version == version && !o.cached(WeightsKey(model, version)) &&
		o.fresh(pl.Now, pl.policy) && pl.Now.Sub(o.StateSince) < pl.policy.FetchTimeout
}

// groupLoads returns the load orders that the group needs, and the number of its
// members that are already fetching.
func (pl *planner) groupLoads(g state.Group) ([]pendingLoad, int) {
	weights := WeightsKey(g.Model, g.Version)
	var due []pendingLoad
	missing, pendingFetches, fetching := 0, 0, 0
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
				pendingFetches++
			}
		case ready:
		default:
			missing++
		}
	}
	for i := range due {
		due[i].missingMembers, due[i].pendingFetches = missing, pendingFetches
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

// groupSubject returns the Subject of a Wait for the group.
func groupSubject(g state.Group) string { return "group " + strconv.FormatUint(g.ID, 10) }
