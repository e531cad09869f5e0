package group

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

// orders sends loads to members that lack them and unloads to VMs that run
// what they should not.
func (pl *planner) orders() {
	pl.unloads()
	pl.loads()
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
		pl.send(vm, Order{Fence: max(r.Group, o.Report.Fence, o.Report.Group)})
	}
}

// ahead reports whether the VM runs a group whose record is not folded here.
func (pl *planner) ahead(o Observation) bool {
	return o.Report.State != Free && o.Report.Group > pl.Seen
}

// unloaded reports whether the VM freshly reports itself free after the end of
// its group, and refuses, as far as it does, the group's late orders.
func (pl *planner) unloaded(vm string, r state.Reservation) bool {
	o := pl.Observations[vm]
	if o.Report.State != Free {
		return false
	}
	told := o.Acked && !o.Sent.Load && o.Sent.Fence >= r.Group && o.At.After(o.SentAt)
	return told || o.Report.Fence >= r.Group
}

// send sends an order unless the same one is under way or was sent just now.
func (pl *planner) send(vm string, order Order) {
	o := pl.Observations[vm]
	if pl.VMs[vm].Addr == "" {
		pl.wait("VM "+vm, "its address is not known", time.Time{})
		return
	}
	same := o.Sent.Fence == order.Fence && o.Sent.Load == order.Load
	if again := o.SentAt.Add(pl.policy.OrderResend); same && pl.Now.Before(again) {
		pl.wait("VM "+vm, "an order was sent just now", again)
		return
	}
	pl.do(SendOrder{VM: vm, Addr: pl.VMs[vm].Addr, Order: order})
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
// groups side by side would make both late.
func (pl *planner) loads() {
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
	slots := pl.Store.Concurrent - max(fetching, pl.Store.Active)
	for _, l := range due {
		if l.fetch && pl.Store.Concurrent > 0 {
			if slots <= 0 {
				pl.wait(groupName(l.g), "the weight store is busy", time.Time{})
				continue
			}
			slots--
		}
		pl.send(l.g.Members[l.rank].VM, pl.loadOrder(l.g, l.rank))
	}
}

// groupLoads returns the orders that the group needs, and how many of its
// members are fetching already.
func (pl *planner) groupLoads(g state.Group) ([]load, int) {
	weights := Weights(g.Model, g.Version)
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
