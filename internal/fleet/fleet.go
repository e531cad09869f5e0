// Package fleet watches the VMs behind the pools whose home this daemon is,
// runs package group on what they report, submits the records and sends the
// orders that it asks for, and publishes the replicas. It keeps nothing that a
// new home could not observe again.
package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// View is the folded control stream.
type View interface {
	Pool(name string) (state.PoolRow, bool)
	Pools() []state.PoolRow
	Groups(pool string) []state.Group
	Reservation(vm string) (state.Reservation, bool)
	Reservations(pool string) map[string]state.Reservation
	Position() state.Position
	Changed() <-chan struct{}
}

// Members are the live daemons.
type Members interface {
	Self() string
	Owner(key string) string
	Changed() <-chan struct{}
}

// Submitter appends records to the control stream and returns their verdicts.
type Submitter interface {
	Submit(ctx context.Context, rec *state.Record) (state.Verdict, error)
}

// Engines asks VMs for reports and gives them orders.
type Engines interface {
	Report(ctx context.Context, addr string) (target.Report, error)
	SendOrder(ctx context.Context, addr string, o target.Order) error
}

// Defaults of Options.
const (
	// DefaultReportInterval is the interval between two reports of a VM.
	DefaultReportInterval = 500 * time.Millisecond
	// DefaultFastReportInterval is the same while something is amiss with the VM's group.
	DefaultFastReportInterval = 100 * time.Millisecond
	// DefaultListInterval is the shortest interval between reads of the VM list.
	DefaultListInterval = time.Second
	// DefaultMaxConcurrentCalls bounds reports and orders under way.
	DefaultMaxConcurrentCalls = 64
)

// Limits on the load that watching causes.
const (
	// reportsPerSecond bounds the reports of one pool while all is well.
	reportsPerSecond = 100
	// listPerVM stretches the interval of the VM list with its length.
	listPerVM = 10 * time.Millisecond
	// maxListEvery is the longest interval of the VM list.
	maxListEvery = 10 * time.Second
)

// Options are what a Manager works with. Zero durations and counts mean the defaults.
type Options struct {
	View    View
	Members Members
	VMs     platform.VMLister
	// WeightStore may be nil: loads are then not queued.
	WeightStore platform.WeightStore
	Submitter   Submitter
	Engines     Engines
	Policy      group.Policy

	ReportInterval     time.Duration
	FastReportInterval time.Duration
	ListInterval       time.Duration
	MaxConcurrentCalls int
}

func (o Options) withDefaults() Options {
	if o.ReportInterval <= 0 {
		o.ReportInterval = DefaultReportInterval
	}
	if o.FastReportInterval <= 0 {
		o.FastReportInterval = DefaultFastReportInterval
	}
	if o.ListInterval <= 0 {
		o.ListInterval = DefaultListInterval
	}
	if o.MaxConcurrentCalls <= 0 {
		o.MaxConcurrentCalls = DefaultMaxConcurrentCalls
	}
	if o.Policy == (group.Policy{}) {
		o.Policy = group.DefaultPolicy()
	}
	return o
}

// Manager runs one worker for each pool whose home this daemon is.
type Manager struct {
	opts Options
	// vms is the VM list, with entries that have dropped out of it lately.
	vms    *shard.Map[group.VM]
	listed atomic.Bool
	store  atomic.Pointer[group.WeightStore]
	// storeAwaited holds a token while a fetch waits for the weight store.
	storeAwaited chan struct{}
	// pools holds what each worker publishes.
	pools *shard.Map[published]
	// homes counts the workers; the platform is asked only while there are any.
	homes   atomic.Int64
	changed broadcast
	// inputs is signalled when the VM list, the store or the homes change.
	inputs broadcast
	// slots bounds calls to VMs.
	slots chan struct{}
}

// published is what a pool's worker last said.
type published struct {
	by       *worker
	replicas []group.Assessment
	stats    PoolStats
}

// New returns a Manager; Run starts it.
func New(o Options) *Manager {
	o = o.withDefaults()
	return &Manager{
		opts:  o,
		vms:   shard.NewMap[group.VM](),
		pools: shard.NewMap[published](),
		slots: make(chan struct{}, o.MaxConcurrentCalls),

		storeAwaited: make(chan struct{}, 1),
	}
}

// Run watches and repairs until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.followVMs(ctx) })
	g.Go(func() error { return m.followStore(ctx) })
	g.Go(func() error { return m.supervise(ctx) })
	return g.Wait()
}

// Replicas returns the pool's replicas; none if this daemon is not its home. A
// replica whose reports have become stale since it was judged is broken.
func (m *Manager) Replicas(pool string) []replica.Replica {
	p, ok := m.pools.Get(pool)
	if !ok {
		return nil
	}
	now := time.Now()
	out := make([]replica.Replica, 0, len(p.replicas))
	for _, j := range p.replicas {
		if j.Status != replica.Broken && now.After(j.ValidUntil) {
			j.Status, j.Reason = replica.Broken, "its reports are stale"
		}
		out = append(out, j.Replica)
	}
	return out
}

// Changed returns a channel that is closed when any replica changes.
func (m *Manager) Changed() <-chan struct{} { return m.changed.wait() }
