// Package planner executes the steps that package placement plans, on the one
// daemon that holds the planners' lease. The other daemons track the engines as
// well, so that the next planner knows the heads of the groups when it takes
// over.
package planner

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/placement"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// leaseTTL is the duration of the planners' lease. A planner that fails is
	// replaced within it.
	leaseTTL = 1200 * time.Millisecond
	// leaseRenewals is the number of renewals per lease duration.
	leaseRenewals = 3
	// leaseMargin is subtracted from the lease to cover the transit time of an order
	// to the engine.
	leaseMargin = 300 * time.Millisecond
	// takeoverDelay is the time before a new planner acts. It is longer than a
	// renewal interval, within which the previous planner learns that it was
	// replaced.
	takeoverDelay = 500 * time.Millisecond
	// maxPlanInterval is the longest time between two planning rounds. A change in
	// the directory starts a round earlier.
	maxPlanInterval = 200 * time.Millisecond
	// minPlanInterval is the shortest time between two planning rounds.
	minPlanInterval = 40 * time.Millisecond
	// epochBits is the number of low bits of a fence that count the orders within
	// one generation of the lease.
	epochBits = 20
	// leaveTimeout limits the time to release the lease at shutdown.
	leaveTimeout = 500 * time.Millisecond
)

// Lease elects one planner through the store.
type Lease interface {
	// Renew makes member a candidate for ttl, or extends its candidacy. generation is
	// that of its last renewal in the era of the store, or 0.
	Renew(member string, generation int64, ttl time.Duration) (Renewal, error)
	// Leave withdraws the candidacy and releases the lease.
	Leave(member string) error
}

// Renewal is the result of the renewal of a candidacy.
type Renewal struct {
	// Held is set if the member holds the lease.
	Held bool
	// Generation increases with each change of the candidates, within an era.
	Generation int64
	// Era is the era of the store. A store that is restored from an older copy begins a
	// new one.
	Era uint64
}

// HeadStore persists the heads of groups for the next planner.
type HeadStore interface {
	SaveHead(group catalog.GroupID, head *catalog.Engine) error
	DeleteHead(group string) error
}

// Report is an engine's response to a query for its state.
type Report struct {
	StartUnixMS int64
	Membership  catalog.Membership
	// OrderSeq is the number of orders that the incarnation has begun to execute.
	OrderSeq int64
}

// Order is an instruction to an engine.
type Order struct {
	// Fence is the fencing token, which increases with each order. Engines refuse
	// an order with a lower fence than the last one received.
	Fence int64
	Op    Op
	Group catalog.GroupID
	Model string
	// Members are the ids of the group's engines, the head first.
	Members []string
	// Abort makes a Close order cancel running requests instead of finishing them.
	Abort bool
	// IfSeq, unless nil, makes the engine refuse the order if its OrderSeq differs.
	IfSeq *int64
}

// Op is the operation of an Order.
type Op uint8

// The operations of orders.
const (
	// Join makes the engine a member of a group, which includes loading the model.
	Join Op = iota
	// Open makes the head of a group serve requests.
	Open
	// Close makes the head of a group stop serving.
	Close
	// Leave makes a member leave a group at once. The group breaks when it notices.
	Leave
	// Stage loads a model's weights onto the engine's host.
	Stage
)

var opNames = [...]string{"join", "open", "close", "leave", "stage"}

// String returns the name of the operation as it appears in logs and orders.
func (o Op) String() string { return opNames[o] }

// EngineClient sends queries and orders to engines.
type EngineClient interface {
	// Report queries an engine's state. It fails with kind NotFound if another
	// engine answers at the address, and with Unavailable if connections are
	// refused.
	Report(e *catalog.Engine) (Report, error)
	// Answers reports whether the engine itself answers a request for the path of its
	// health checks, with whatever result. It reports false for an empty path.
	Answers(e *catalog.Engine, healthPath string) bool
	// Order sends an order. It returns nil if the engine accepted it or is already
	// in the ordered state.
	Order(e *catalog.Engine, o Order) error
}

// Options configures a Planner. All fields are required.
type Options struct {
	// MemberID identifies this process among the candidates. It must differ from
	// the id of every other process, including earlier ones on this machine.
	MemberID  string
	Directory *directory.Directory
	Lease     Lease
	Engines   EngineClient
	Heads     HeadStore
	Peers     Peers
	Demand    *balance.Demand
	Heartbeat time.Duration
	// IsCandidate reports whether this daemon should try to become a candidate for the
	// lease, where it last failed to do so at boot time failedAt; 0 for never.
	IsCandidate func(failedAt time.Duration) bool
	// FirstStart is set if the whole system has just started. Until the first
	// request is served, the number of loads is not limited.
	FirstStart bool
	// StallBound is the time without progress after which a group counts as broken.
	StallBound time.Duration
	// MinLeaseTTL is the shortest lease duration that the store accepts.
	MinLeaseTTL time.Duration
}

// Planner competes for the planners' lease and plans while it holds it. It is safe
// for concurrent use.
type Planner struct {
	opts Options
	ttl  time.Duration

	// leaseEnd is the boot time in nanoseconds until which orders may be sent.
	leaseEnd atomic.Int64
	// heldSince is the boot time in nanoseconds at which the lease was acquired.
	heldSince atomic.Int64
	// candidate is set once this daemon competes for the lease.
	candidate atomic.Bool
	// accepted is set once the store has accepted the candidacy.
	accepted atomic.Bool
	// suspectAll is set when the members of all groups are to be queried.
	suspectAll atomic.Bool
	// era is the highest era of the store heard of. joined is the generation of the last
	// renewal in it, which only renewLoop uses.
	era    atomic.Uint64
	joined Renewal
	// actsAfter is the boot time in nanoseconds until which this planner sends no orders,
	// because the planner of the era before may still hold its lease.
	actsAfter atomic.Int64
	// generation is the highest generation of the lease seen, over all eras; see
	// leaseTerm.
	generation atomic.Int64
	// headsStoredIn is the last era in which this planner has stored heads that were
	// missing.
	headsStoredIn atomic.Uint64
	// fenceBase is the least generation that fences are built from.
	fenceBase atomic.Int64
	// lastHeldGeneration is the last generation in which this process held the
	// lease.
	lastHeldGeneration atomic.Int64
	orderCounter       atomic.Int64
	// membersLeft is the number of orders to leave a group that engines have answered.
	membersLeft atomic.Int64

	// engines holds the status of engines by id.
	engines *shard.Map[*engineStatus]
	// reservedUntil holds the engines that are excluded from planning.
	reservedUntil *shard.Map[time.Time]
	// unansweredUntil holds, by engine id, until when an unanswered order may still
	// be executed.
	unansweredUntil *shard.Map[time.Time]
	// formations holds the groups that this planner is forming, by name.
	formations *shard.Map[formation]
	// openingUntil holds, by group name, until when a group counts as opening.
	openingUntil *shard.Map[time.Time]
	// unopenedGroups holds, by name, the groups that were formed in this lease and whose
	// head has not been ordered to open them.
	unopenedGroups *shard.Map[catalog.GroupID]
	// closedGroups holds, by name, the groups whose head has answered a close order.
	closedGroups *shard.Map[closedGroup]
	// acceptedLeaves holds the last order to leave a group that each engine has answered,
	// by engine id.
	acceptedLeaves *shard.Map[acceptedLeave]
	// stagedLoads holds the running loads by engine id.
	stagedLoads *shard.Map[stagedLoad]
	// ungrouped holds the engines of each service that has no groups.
	ungrouped *shard.Map[ungroupedEngines]
	// memberlessSince holds, by name, since when a group with a stored head has had
	// no members.
	memberlessSince *shard.Map[time.Time]
	// headlessSince holds, by name, since when a group has had no known head.
	headlessSince *shard.Map[time.Time]
	// headVerdicts holds the last verdict on the absent head of each group, by name.
	headVerdicts *shard.Map[placement.HeadVerdict]
	// loggedState holds the last logged state by service.
	loggedState *shard.Map[loggedState]
	// suspects is the queue of engine ids reported to Suspect.
	suspects chan string
	// replan starts a planning round before maxPlanInterval has passed.
	replan chan struct{}
	// orderSlots and querySlots bound the concurrent exchanges with engines.
	orderSlots orderSlots
	querySlots slots
	// examinations bounds the engines that are examined for peers.
	examinations   slots
	requestsServed atomic.Bool
	budget         loadBudget
	// leaseHistory holds the recent changes of the lease. Only renewLoop uses it.
	leaseHistory leaseHistory
	// lastPrune is the time of the last prune. Only planLoop uses it.
	lastPrune time.Time
}

// loggedState is the state of a service as last logged.
type loggedState struct {
	state string
	at    time.Time
}

// formation is a group that this planner is forming.
type formation struct {
	id      catalog.GroupID
	service string
	until   time.Time
	// members holds the start times of the members by id, in Unix milliseconds.
	members map[string]int64
}

// abandoned reports whether the group can no longer be completed: a member has left,
// has started again, or is in a group that was formed later.
func (f *formation) abandoned(engines map[string]*catalog.Engine) bool {
	for id, startMS := range f.members {
		e := engines[id]
		if e == nil || e.StartUnixMS != startMS || e.Membership.Group.Epoch > f.id.Epoch {
			return true
		}
	}
	return false
}

// pending returns the members that do not announce the group yet. Their orders may
// have been answered long before: the announcements of a large fleet take seconds.
func (f *formation) pending(engines map[string]*catalog.Engine) []string {
	var out []string
	for id := range f.members {
		if engines[id].Membership.Group != f.id {
			out = append(out, id)
		}
	}
	return out
}

// New returns a planner. Run starts it.
func New(o Options) *Planner {
	return &Planner{
		opts:            o,
		ttl:             max(leaseTTL, o.MinLeaseTTL),
		engines:         shard.NewMap[*engineStatus](),
		reservedUntil:   shard.NewMap[time.Time](),
		unansweredUntil: shard.NewMap[time.Time](),
		formations:      shard.NewMap[formation](),
		openingUntil:    shard.NewMap[time.Time](),
		unopenedGroups:  shard.NewMap[catalog.GroupID](),
		closedGroups:    shard.NewMap[closedGroup](),
		acceptedLeaves:  shard.NewMap[acceptedLeave](),
		stagedLoads:     shard.NewMap[stagedLoad](),
		ungrouped:       shard.NewMap[ungroupedEngines](),
		headlessSince:   shard.NewMap[time.Time](),
		memberlessSince: shard.NewMap[time.Time](),
		headVerdicts:    shard.NewMap[placement.HeadVerdict](),
		loggedState:     shard.NewMap[loggedState](),
		suspects:        make(chan string, 256),
		replan:          make(chan struct{}, 1),
		orderSlots:      newOrderSlots(),
		querySlots:      make(slots, maxQueriesInFlight),
		examinations:    make(slots, maxExaminations),
	}
}

// Run competes for the lease, and plans while the lease is held, until ctx ends.
// A daemon that is no candidate does nothing else.
func (p *Planner) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.renewLoop(ctx) })
	g.Go(func() error { return p.observe(ctx) })
	g.Go(func() error { return p.planLoop(ctx) })
	return g.Wait()
}

// HoldsLease reports whether this daemon holds the lease and may send orders.
func (p *Planner) HoldsLease() bool { return int64(boottime.Now()) < p.leaseEnd.Load() }

// IsCandidate reports whether this daemon competes for the lease.
func (p *Planner) IsCandidate() bool { return p.accepted.Load() }

// Suspect reports that an engine appears to be stalled.
func (p *Planner) Suspect(id string) {
	select {
	case p.suspects <- id:
	default:
		klog.V(1).InfoS("suspected engine ignored: the queue is full", "engine", id)
	}
}

// MarkServing reports that a daemon has served a request, which ends the start-up
// phase.
func (p *Planner) MarkServing() { p.requestsServed.Store(true) }

// renewLoop makes this daemon a candidate when IsCandidate allows it, and renews the
// candidacy until ctx ends.
func (p *Planner) renewLoop(ctx context.Context) error {
	// joined is set once the store has accepted the candidacy.
	joined, failedAt := false, time.Duration(0)
	for ctx.Err() == nil {
		// A candidacy is never given up before the end: each change of the
		// candidates makes the store assign the lease anew. One that the store did not
		// accept is; an answer that was lost costs one change when the candidacy lapses.
		if !joined && !p.opts.IsCandidate(failedAt) {
			pause.For(ctx, p.ttl/leaseRenewals)
			continue
		}
		p.candidate.Store(true)
		begun := boottime.Now()
		renewal, err := p.opts.Lease.Renew(p.opts.MemberID, p.joinedGeneration(), p.ttl)
		if err != nil {
			klog.ErrorS(err, "lease not renewed")
			failedAt = boottime.Now()
		} else {
			joined = true
			p.accepted.Store(true)
			p.applyAnswer(ctx, renewal, begun)
		}
		pause.For(ctx, p.ttl/leaseRenewals-(boottime.Now()-begun))
	}
	if p.HoldsLease() {
		p.leaseEnd.Store(0)
	}
	if p.candidate.Load() {
		p.resign()
	}
	return nil
}

// resign withdraws the candidacy. It waits no longer than leaveTimeout, since the
// lease expires by itself.
func (p *Planner) resign() {
	done := make(chan error, 1)
	go func() { done <- p.opts.Lease.Leave(p.opts.MemberID) }()
	t := time.NewTimer(leaveTimeout)
	defer t.Stop()
	select {
	case err := <-done:
		if err != nil {
			klog.ErrorS(err, "planners' lease not released; it will expire")
		}
	case <-t.C:
		klog.InfoS("planners' lease not released within the timeout; it will expire")
	}
}

// applyRenewal applies the result of a renewal that began at boot time begun.
func (p *Planner) applyRenewal(held bool, generation int64, begun time.Duration) {
	was := p.HoldsLease()
	now := time.Now()
	p.leaseHistory.record(generation > p.generation.Load(), now)
	p.generation.Store(max(generation, p.generation.Load()))
	if !held {
		p.leaseEnd.Store(0)
		if was {
			klog.InfoS("planner lost", "generation", generation)
		}
		return
	}
	// In an unchanged generation no other process can have held the lease, so the
	// state of the last lease is still valid.
	if !was && p.lastHeldGeneration.Load() != generation {
		p.heldSince.Store(int64(boottime.Now()))
		p.clearLeaseState()
		p.suspectAll.Store(true)
		if !p.opts.FirstStart && p.leaseHistory.predecessorsInWindow(now) {
			p.budget.reserveForPredecessors(now)
		}
		klog.InfoS("planner gained", "generation", generation)
	}
	p.lastHeldGeneration.Store(generation)
	p.leaseEnd.Store(int64(begun + p.ttl - leaseMargin))
}

// clearLeaseState discards the formations, the unopened and closed groups and the accepted
// leaves of an earlier lease, since another planner may have sent orders in between.
func (p *Planner) clearLeaseState() {
	p.formations.Clear()
	p.closedGroups.Clear()
	p.unopenedGroups.Clear()
	p.acceptedLeaves.Clear()
}

// nextFence returns a fence above all fences that this and earlier planners used. It
// also serves as the epoch and name of a new group.
func (p *Planner) nextFence() int64 {
	return max(p.generation.Load(), p.fenceBase.Load())<<epochBits + p.orderCounter.Add(1)
}

// planLoop runs a planning round when the directory changes, or after
// maxPlanInterval.
func (p *Planner) planLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if !p.HoldsLease() {
			pause.For(ctx, maxPlanInterval)
			continue
		}
		changed := p.opts.Directory.Changed()
		if now := boottime.Now(); now-time.Duration(p.heldSince.Load()) > takeoverDelay && int64(now) > p.actsAfter.Load() {
			p.planServices()
		}
		pause.For(ctx, minPlanInterval)
		t := time.NewTimer(maxPlanInterval)
		select {
		case <-changed:
		case <-p.replan:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return nil
}
