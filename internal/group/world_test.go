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

// machine is one VM with its engine.
type machine struct {
	boot     int
	up       bool
	paused   bool
	fences   bool // refuses orders with old fencing numbers
	seen     uint64
	state    EngineState
	order    Order
	cached   []string
	fetching bool
	left     time.Duration // of a load
	step     time.Duration
	// servedAt is when the VM was last ready, by group.
	servedAt map[uint64]time.Time
}

type pending[T any] struct {
	due  time.Time
	item T
}

// world is VMs, a weight store and the folded stream.
type world struct {
	now      time.Time
	pool     table.Pool
	vms      map[string]*machine
	list     map[string]VM
	state    *state.State
	past     []*state.State // one per tick, for lagging views
	keep     int            // ticks of past to keep
	offset   uint64
	slots    int
	fetch    time.Duration
	reload   time.Duration
	records  []pending[*state.Record]
	orders   []pending[SendOrder]
	edits    int
	accepted int
}

func newWorld(pool table.Pool, fabrics int) *world {
	w := &world{
		now: time.Unix(1000, 0), pool: pool, vms: make(map[string]*machine), list: make(map[string]VM),
		state: state.New(), slots: 4, fetch: 10 * time.Second, reload: time.Second,
	}
	for i, vm := range pool.VMs {
		f := i % fabrics
		w.vms[vm] = &machine{up: true, fences: i%2 == 0, servedAt: make(map[uint64]time.Time)}
		w.list[vm] = VM{ID: vm, Addr: vm, FailureDomain: "d" + fmt.Sprint(f%2), FabricDomain: "f" + fmt.Sprint(f)}
	}
	w.edit(pool)
	return w
}

func testPool(size, vms int) table.Pool {
	p := table.Pool{Name: "p", Kind: table.KindEngine, Model: "m", Version: "1", GroupSize: size, Limit: 8, ColdLimit: 1}
	for i := range vms {
		p.VMs = append(p.VMs, fmt.Sprintf("v%02d", i))
	}
	return p
}

func (w *world) edit(p table.Pool) {
	w.pool = p
	w.edits++
	base := w.state.Pools[p.Name].Stamp.Revision
	w.fold(&state.Record{ID: fmt.Sprint("edit", w.edits), Edit: &state.Edit{Changes: []state.Change{{Base: base, SetPool: &p}}}})
}

func (w *world) fold(rec *state.Record) {
	w.offset++
	if w.state.Apply(state.Position{Epoch: 1, Offset: w.offset}, rec).Accepted {
		w.accepted++
	}
}

func (w *world) reboot(vm string) {
	m := w.vms[vm]
	*m = machine{boot: m.boot + 1, up: true, fences: m.fences, step: m.step, servedAt: m.servedAt}
}

func (w *world) kill(vm string) {
	w.reboot(vm)
	w.vms[vm].up = false
}

// advance moves the world by one tick.
func (w *world) advance() {
	if w.keep > 0 {
		w.past = append(w.past[max(0, len(w.past)-w.keep):], w.state.Clone())
	}
	w.now = w.now.Add(tick)
	w.records = dueNow(w.now, w.records, w.fold)
	w.orders = dueNow(w.now, w.orders, func(o SendOrder) { w.vms[o.VM].take(o.Order) })
	w.load()
}

func dueNow[T any](now time.Time, all []pending[T], do func(T)) []pending[T] {
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

func (m *machine) take(o Order) {
	if !m.up || m.paused || (m.fences && o.Fence < m.seen) {
		return
	}
	m.seen = max(m.seen, o.Fence)
	if m.state != Free && m.order.Fence == o.Fence && o.Load {
		return
	}
	m.state, m.order, m.left, m.fetching = Free, Order{}, 0, false
	if o.Load {
		m.state, m.order = Loading, o
	}
}

// load advances the loads; at most slots machines fetch at once.
func (w *world) load() {
	busy := w.fetches()
	for _, vm := range w.queue() {
		m := w.vms[vm]
		if m.up && !m.paused && m.state == Loading {
			w.loadOne(m, &busy)
		}
		if m.up && !m.paused && m.state == Ready {
			m.servedAt[m.order.Fence] = w.now
		}
	}
}

// queue is the order in which the store serves VMs that wait: one that has
// nothing to do with their groups.
func (w *world) queue() []string {
	vms := sortedKeys(w.vms)
	slices.SortStableFunc(vms, func(a, b string) int { return cmp.Compare(shard.Hash(a), shard.Hash(b)) })
	return vms
}

func (w *world) loadOne(m *machine, busy *int) {
	weights := WeightsKey(m.order.Model, m.order.Version)
	cached := slices.Contains(m.cached, weights)
	if m.left == 0 {
		if !cached && *busy >= w.slots {
			return
		}
		m.left = w.reload
		if !cached {
			m.left, m.fetching = w.fetch, true
			*busy++
		}
	}
	m.left -= tick
	if m.left > 0 {
		return
	}
	m.state, m.left, m.fetching = Ready, 0, false
	if !cached {
		m.cached = append(slices.Clone(m.cached), weights)
	}
}

func (w *world) fetches() int {
	n := 0
	for _, m := range w.vms {
		if m.up && m.fetching {
			n++
		}
	}
	return n
}

func (m *machine) report(id string) Report {
	r := Report{BootID: fmt.Sprintf("%s-%d", id, m.boot), State: m.state, Cached: m.cached, StepTime: m.step}
	if m.state != Free {
		r.Group, r.Fence, r.Rank = m.order.Fence, m.order.Fence, m.order.Rank
		r.Model, r.Version = m.order.Model, m.order.Version
	}
	return r
}
