// Package fleet manages the VMs of the pools whose home this daemon is. It polls
// their reports, lets package group plan from them, submits the records and sends
// the orders of the plan, and publishes the replicas. All its state can be observed
// again by a new home.
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

// View is the state that results from the applied control stream.
type View interface {
	Pool(name string) (state.PoolRow, bool)
	Pools() []state.PoolRow
	Groups(pool string) []state.Group
	Reservation(vm string) (state.Reservation, bool)
	Reservations(pool string) map[string]state.Reservation
	Position() state.Position
	Changed() <-chan struct{}
}

// Members provides the live daemons.
type Members interface {
	Self() string
	Owner(key string) string
	Changed() <-chan struct{}
}

// Submitter appends records to the control stream and returns their verdicts.
type Submitter interface {
	Submit(ctx context.Context, rec *state.Record) (state.Verdict, error)
}

// EngineClient requests reports from VMs and sends them orders.
type EngineClient interface {
	Report(ctx context.Context, addr string) (target.Report, error)
	SendOrder(ctx context.Context, addr string, o target.Order) error
}

// Default values of Options.
const (
	// DefaultReportInterval is the time between two reports of a VM.
	DefaultReportInterval = 500 * time.Millisecond
	// DefaultFastReportInterval is the same while the VM's group does not
	// serve or the VM does not respond.
	DefaultFastReportInterval = 100 * time.Millisecond
	// DefaultListInterval is the shortest time between two reads of the VM
	// list.
	DefaultListInterval = time.Second
	// DefaultMaxConcurrentCalls bounds the concurrent reports and orders.
	DefaultMaxConcurrentCalls = 64
)

// Limits on the load that polling causes.
const (
	// maxReportsPerSecond bounds the reports per second of one pool at the
	// normal report interval.
	maxReportsPerSecond = 100
	// listIntervalPerVM lengthens the interval between reads of the VM list
	// with the length of the list.
	listIntervalPerVM = 10 * time.Millisecond
	// maxListInterval is the longest interval between reads of the VM list.
	maxListInterval = 10 * time.Second
)

// Options configure a Manager. Zero durations, counts and policy take the
// defaults.
type Options struct {
	View    View
	Members Members
	VMs     platform.VMLister
	// WeightStore may be nil; the number of concurrent fetches is then not limited.
	WeightStore platform.WeightStore
	Submitter   Submitter
	Engines     EngineClient
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
	// vms holds the VM list and the VMs that were recently removed from it.
	vms             *shard.Map[group.VM]
	vmsListed       atomic.Bool
	weightStoreLoad atomic.Pointer[group.WeightStore]
	// fetchesWaiting holds a token while a load waits for capacity of the
	// weight store.
	fetchesWaiting chan struct{}
	// published holds the latest results of each pool's worker.
	published *shard.Map[publishedPool]
	// homeCount is the number of workers. The platform is polled only while it
	// is not zero.
	homeCount atomic.Int64
	changed   broadcast
	// inputsChanged is signalled when the VM list or the load of the weight
	// store changes, or when the first worker starts.
	inputsChanged broadcast
	// callSlots bounds the concurrent calls to VMs.
	callSlots chan struct{}
}

// publishedPool is the latest result of a pool's worker.
type publishedPool struct {
	worker      *worker
	assessments []group.Assessment
	stats       PoolStats
}

// New returns a Manager. Run starts it.
func New(o Options) *Manager {
	o = o.withDefaults()
	return &Manager{
		opts:      o,
		vms:       shard.NewMap[group.VM](),
		published: shard.NewMap[publishedPool](),
		callSlots: make(chan struct{}, o.MaxConcurrentCalls),

		fetchesWaiting: make(chan struct{}, 1),
	}
}

// Run polls the platform and runs the workers until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.pollVMs(ctx) })
	g.Go(func() error { return m.pollWeightStore(ctx) })
	g.Go(func() error { return m.supervise(ctx) })
	return g.Wait()
}

// Replicas returns the replicas of a pool, or none if this daemon is not its
// home. A replica whose reports have expired since its assessment is returned
// as broken.
func (m *Manager) Replicas(pool string) []replica.Replica {
	p, ok := m.published.Get(pool)
	if !ok {
		return nil
	}
	now := time.Now()
	out := make([]replica.Replica, 0, len(p.assessments))
	for _, a := range p.assessments {
		if a.Status != replica.Broken && now.After(a.ValidUntil) {
			a.Status, a.Reason = replica.Broken, "its reports are stale"
		}
		out = append(out, a.Replica)
	}
	return out
}

// Changed returns a channel that is closed at the next change of any replica.
func (m *Manager) Changed() <-chan struct{} { return m.changed.wait() }
