package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

// tick is the time step of the simulation.
const tick = 100 * time.Millisecond

// simVM simulates one VM with its engine.
type simVM struct {
	boot        int
	up          bool
	paused      bool
	checksFence bool // refuses orders with fencing tokens below maxFence
	maxFence    uint64
	state       EngineState
	order       Order
	cached      []string
	fetching    bool
	loadLeft    time.Duration // time to the end of the current load
	step        time.Duration
	// servedAt is when the VM was last ready for each group.
	servedAt map[uint64]time.Time
}

// pending is an item that takes effect at a later time.
type pending[T any] struct {
	due  time.Time
	item T
}

// simSite simulates a pool's VMs, a weight store and the state of the control
// stream.
type simSite struct {
	now        time.Time
	pool       table.Pool
	vms        map[string]*simVM
	vmList     map[string]VM
	state      *state.State
	pastStates []*state.State // one per tick, oldest first, for lagging views
	pastTicks  int            // number of past states kept besides the newest
	offset     uint64
	storeSlots int
	fetchTime  time.Duration
	reloadTime time.Duration
	records    []pending[*state.Record]
	orders     []pending[SendOrder]
	edits      int
	accepted   int
}

func newSimSite(pool table.Pool, fabrics int) *simSite {
	site := &simSite{
		now: time.Unix(1000, 0), pool: pool, vms: make(map[string]*simVM), vmList: make(map[string]VM),
		state: state.New(), storeSlots: 4, fetchTime: 10 * time.Second, reloadTime: time.Second,
	}
	for i, vm := range pool.VMs {
		f := i % fabrics
		site.vms[vm] = &simVM{up: true, checksFence: i%2 == 0, servedAt: make(map[uint64]time.Time)}
		site.vmList[vm] = VM{ID: vm, Addr: vm, FailureDomain: "d" + fmt.Sprint(f%2), FabricDomain: "f" + fmt.Sprint(f)}
	}
	site.edit(pool)
	return site
}

func testPool(size, vms int) table.Pool {
	p := table.Pool{Name: "p", Kind: table.KindEngine, Model: "m", Version: "1", GroupSize: size, Limit: 8, ColdLimit: 1}
	for i := range vms {
		p.VMs = append(p.VMs, fmt.Sprintf("v%02d", i))
	}
	return p
}

func (site *simSite) edit(p table.Pool) {
	site.pool = p
	site.edits++
	base := site.state.Pools[p.Name].Stamp.Revision
	site.apply(&state.Record{ID: fmt.Sprint("edit", site.edits), Edit: &state.Edit{Changes: []state.Change{{Base: base, SetPool: &p}}}})
}

func (site *simSite) apply(rec *state.Record) {
	site.offset++
	if site.state.Apply(state.Position{Epoch: 1, Offset: site.offset}, rec).Accepted {
		site.accepted++
	}
}

func (site *simSite) reboot(vm string) {
	m := site.vms[vm]
	*m = simVM{boot: m.boot + 1, up: true, checksFence: m.checksFence, step: m.step, servedAt: m.servedAt}
}

func (site *simSite) kill(vm string) {
	site.reboot(vm)
	site.vms[vm].up = false
}

// advance advances the simulation by one tick.
func (site *simSite) advance() {
	if site.pastTicks > 0 {
		site.pastStates = append(site.pastStates[max(0, len(site.pastStates)-site.pastTicks):], site.state.Clone())
	}
	site.now = site.now.Add(tick)
	site.records = runDue(site.now, site.records, site.apply)
	site.orders = runDue(site.now, site.orders, func(o SendOrder) { site.vms[o.VM].receive(o.Order) })
	site.advanceLoads()
}

// runDue runs do on the items that are due and returns the others.
func runDue[T any](now time.Time, all []pending[T], do func(T)) []pending[T] {
	var rest []pending[T]
	for _, p := range all {
		if p.due.After(now) {
			rest = append(rest, p)
		} else {
			do(p.item)
		}
	}
	return rest
}

// receive delivers an order to the VM's engine.
func (m *simVM) receive(o Order) {
	if !m.up || m.paused || (m.checksFence && o.Fence < m.maxFence) {
		return
	}
	m.maxFence = max(m.maxFence, o.Fence)
	if m.state != Free && m.order.Fence == o.Fence && o.Load {
		return
	}
	m.state, m.order, m.loadLeft, m.fetching = Free, Order{}, 0, false
	if o.Load {
		m.state, m.order = Loading, o
	}
}

// advanceLoads advances the loads of all VMs by one tick. At most storeSlots VMs
// fetch at once.
func (site *simSite) advanceLoads() {
	busy := site.fetches()
	for _, vm := range site.storeQueue() {
		m := site.vms[vm]
		if m.up && !m.paused && m.state == Loading {
			site.advanceLoad(m, &busy)
		}
		if m.up && !m.paused && m.state == Ready {
			m.servedAt[m.order.Fence] = site.now
		}
	}
}

// storeQueue returns the VMs in the order in which the store serves those that
// wait. The order is by hash, so that it is independent of their groups.
func (site *simSite) storeQueue() []string {
	vms := sortedKeys(site.vms)
	slices.SortStableFunc(vms, func(a, b string) int { return cmp.Compare(shard.Hash(a), shard.Hash(b)) })
	return vms
}

func (site *simSite) advanceLoad(m *simVM, busy *int) {
	weights := WeightsKey(m.order.Model, m.order.Version)
	cached := slices.Contains(m.cached, weights)
	if m.loadLeft == 0 {
		if !cached && *busy >= site.storeSlots {
			return
		}
		m.loadLeft = site.reloadTime
		if !cached {
			m.loadLeft, m.fetching = site.fetchTime, true
			*busy++
		}
	}
	m.loadLeft -= tick
	if m.loadLeft > 0 {
		return
	}
	m.state, m.loadLeft, m.fetching = Ready, 0, false
	if !cached {
		m.cached = append(slices.Clone(m.cached), weights)
	}
}

func (site *simSite) fetches() int {
	n := 0
	for _, m := range site.vms {
		if m.up && m.fetching {
			n++
		}
	}
	return n
}

func (m *simVM) report(id string) Report {
	r := Report{BootID: fmt.Sprintf("%s-%d", id, m.boot), State: m.state, Cached: m.cached, StepTime: m.step}
	if m.state != Free {
		r.Group, r.Fence, r.Rank = m.order.Fence, m.order.Fence, m.order.Rank
		r.Model, r.Version = m.order.Model, m.order.Version
	}
	return r
}
