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

// tick is the step of the discrete time in which these tests run.
const tick = 100 * time.Millisecond

// simVM is one VM with its engine.
type simVM struct {
	boot        int
	up          bool
	paused      bool
	checksFence bool // refuses orders with old fencing numbers
	maxFence    uint64
	state       EngineState
	order       Order
	cached      []string
	fetching    bool
	loadLeft    time.Duration // of a load
	step        time.Duration
	// servedAt is when the VM was last ready, by group.
	servedAt map[uint64]time.Time
}

type pending[T any] struct {
	due  time.Time
	item T
}

// simSite is VMs, a weight store and the folded stream.
type simSite struct {
	now        time.Time
	pool       table.Pool
	vms        map[string]*simVM
	vmList     map[string]VM
	state      *state.State
	pastStates []*state.State // one per tick, for lagging views
	pastTicks  int            // ticks of past to keep
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
	w := &simSite{
		now: time.Unix(1000, 0), pool: pool, vms: make(map[string]*simVM), vmList: make(map[string]VM),
		state: state.New(), storeSlots: 4, fetchTime: 10 * time.Second, reloadTime: time.Second,
	}
	for i, vm := range pool.VMs {
		f := i % fabrics
		w.vms[vm] = &simVM{up: true, checksFence: i%2 == 0, servedAt: make(map[uint64]time.Time)}
		w.vmList[vm] = VM{ID: vm, Addr: vm, FailureDomain: "d" + fmt.Sprint(f%2), FabricDomain: "f" + fmt.Sprint(f)}
	}
	w.edit(pool)
	return w
}

func testPool(size, vms int) table.Pool {
	p := table.Pool{Name: "p", Kind: table.Engines, Model: "m", Version: "1", GroupSize: size, Limit: 8, ColdLimit: 1}
	for i := range vms {
		p.VMs = append(p.VMs, fmt.Sprintf("v%02d", i))
	}
	return p
}

func (w *simSite) edit(p table.Pool) {
	w.pool = p
	w.edits++
	base := w.state.Pools[p.Name].Stamp.Revision
	w.apply(&state.Record{ID: fmt.Sprint("edit", w.edits), Edit: &state.Edit{Changes: []state.Change{{Base: base, SetPool: &p}}}})
}

func (w *simSite) apply(rec *state.Record) {
	w.offset++
	if w.state.Apply(state.Position{Epoch: 1, Offset: w.offset}, rec).Accepted {
		w.accepted++
	}
}

func (w *simSite) reboot(vm string) {
	m := w.vms[vm]
	*m = simVM{boot: m.boot + 1, up: true, checksFence: m.checksFence, step: m.step, servedAt: m.servedAt}
}

func (w *simSite) kill(vm string) {
	w.reboot(vm)
	w.vms[vm].up = false
}

// advance moves the world by one tick.
func (w *simSite) advance() {
	if w.pastTicks > 0 {
		w.pastStates = append(w.pastStates[max(0, len(w.pastStates)-w.pastTicks):], w.state.Clone())
	}
	w.now = w.now.Add(tick)
	w.records = runDue(w.now, w.records, w.apply)
	w.orders = runDue(w.now, w.orders, func(o SendOrder) { w.vms[o.VM].receive(o.Order) })
	w.advanceLoads()
}

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

// advanceLoads advances the loads; at most slots machines fetch at once.
func (w *simSite) advanceLoads() {
	busy := w.fetches()
	for _, vm := range w.storeQueue() {
		m := w.vms[vm]
		if m.up && !m.paused && m.state == Loading {
			w.advanceLoad(m, &busy)
		}
		if m.up && !m.paused && m.state == Ready {
			m.servedAt[m.order.Fence] = w.now
		}
	}
}

// storeQueue is the order in which the store serves VMs that wait: one that has
// nothing to do with their groups.
func (w *simSite) storeQueue() []string {
	vms := sortedKeys(w.vms)
	slices.SortStableFunc(vms, func(a, b string) int { return cmp.Compare(shard.Hash(a), shard.Hash(b)) })
	return vms
}

func (w *simSite) advanceLoad(m *simVM, busy *int) {
	weights := WeightsKey(m.order.Model, m.order.Version)
	cached := slices.Contains(m.cached, weights)
	if m.loadLeft == 0 {
		if !cached && *busy >= w.storeSlots {
			return
		}
		m.loadLeft = w.reloadTime
		if !cached {
			m.loadLeft, m.fetching = w.fetchTime, true
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

func (w *simSite) fetches() int {
	n := 0
	for _, m := range w.vms {
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
