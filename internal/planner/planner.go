// Package planner carries out what package placement decides, on the one
// daemon that holds the planners' lease. All daemons follow what happens, so
// that the next one knows the groups' heads when it takes over.
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
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// leaseTTL is the planner's lease; a lost planner is replaced within it.
	leaseTTL = 1200 * time.Millisecond
	// leaseRenewals is the number of renewals within a lease.
	leaseRenewals = 3
	// leaseMargin is taken off the lease for an order's way to the engine.
	leaseMargin = 300 * time.Millisecond
	// settle is the pause before a new planner acts: longer than a renewal
	// interval, within which the old one learns that it was replaced.
	settle = 500 * time.Millisecond
	// tick is the least often that the state is looked at; changes wake sooner.
	tick = 200 * time.Millisecond
	// leastPause is the pause between two looks.
	leastPause = 40 * time.Millisecond
	// epochBits leaves room for the orders of one generation of the lease.
	epochBits = 20
	// leaveTimeout bounds giving up the lease at the end.
	leaveTimeout = 500 * time.Millisecond
)

// Lease is the store's election of one planner.
type Lease interface {
	// Renew joins the planners, or stays among them, and tells whether this one
	// holds the lease, and the generation, which grows with each change.
	Renew(member string, generation int64, ttl time.Duration) (held bool, current int64, err error)
	Leave(member string) error
}

// HeadStore keeps, for the next planner, which engine heads which formation.
type HeadStore interface {
	SaveHead(group catalog.GroupID, head *catalog.Engine) error
	DeleteHead(group string) error
}

// Report is what an engine says of itself when asked.
type Report struct {
	StartUnixMS int64
	Membership  catalog.Membership
}

// Order is one instruction to an engine.
type Order struct {
	// Fence grows with each order; engines refuse older ones.
	Fence int64
	Op    Op
	Group catalog.GroupID
	Model string
	// Members are the engines' ids, the head first.
	Members []string
	Abort   bool
}

// Op is the operation of an order.
type Op uint8

// The operations.
const (
	Join Op = iota
	Open
	Close
	Stage
)

var opNames = [...]string{"join", "open", "close", "stage"}

// String returns the operation's name for logs.
func (o Op) String() string { return opNames[o] }

// EngineClient asks and orders engines.
type EngineClient interface {
	// Report fails with kind NotFound if the address belongs to another engine
	// now, and with Unavailable if it refuses connections.
	Report(e *catalog.Engine) (Report, error)
	// Order returns nil if the engine has taken the order or was there already.
	Order(e *catalog.Engine, o Order) error
}

// Options configure a Planner. All fields are required.
type Options struct {
	// MemberID names this process among the planners; no other process, nor an
	// earlier one of this machine, has the same name.
	MemberID  string
	Directory *directory.Directory
	Lease     Lease
	Engines   EngineClient
	Heads     HeadStore
	Demand    *balance.Demand
	// Loads returns what all daemons have under way, by engine.
	Loads     func(now time.Time) map[string]balance.Load
	Heartbeat time.Duration
	// IsCandidate tells whether this daemon should be a candidate for the lease.
	IsCandidate func() bool
	// FirstStart tells that the whole system has just started: until the first
	// request, loads are not bounded.
	FirstStart bool
	// StallBound is how long a group stands still before it counts as broken.
	StallBound  time.Duration
	MinLeaseTTL time.Duration
}

// Planner is a candidate for planning; Run makes it one.
type Planner struct {
	o   Options
	ttl time.Duration

	// leaseEnd is the boot time in nanoseconds until which orders may go out.
	leaseEnd   atomic.Int64
	heldSince  atomic.Int64
	generation atomic.Int64
	// heldAs is the generation in which the lease was held last.
	heldAs  atomic.Int64
	counter atomic.Int64

	watched  *shard.Map[*watched]
	reserved *shard.Map[time.Time]
	// unanswered tells until when an order that an engine has not answered may
	// be carried out.
	unanswered *shard.Map[time.Time]
	own        *shard.Map[formation]
	opening    *shard.Map[time.Time]
	closed     *shard.Map[catalog.GroupID]
	staging    *shard.Map[staging]
	// firstSeen is when engines of a service were first seen without groups.
	firstSeen *shard.Map[time.Time]
	// memberless tells since when a noted group has had no members.
	memberless *shard.Map[time.Time]
	// headless tells since when a group has been without a known head.
	headless *shard.Map[time.Time]
	// logged is the last state written to the log, by service.
	logged   *shard.Map[string]
	suspects chan string
	serving  atomic.Bool
	loads    loadBudget
	// changes are the times at which the lease was dealt anew; only the loop that
	// renews it uses them.
	changes leaseChanges
	// pruned is the time of the last walk that dropped old notes; only the loop
	// that plans uses it.
	pruned time.Time
}

// staging is a model on its way to an engine's host.
type staging struct {
	model string
	until time.Time
}

// formation is a group that this planner has begun to form.
type formation struct {
	id    catalog.GroupID
	until time.Time
}

// New returns a planner.
func New(o Options) *Planner {
	return &Planner{
		o:          o,
		ttl:        max(leaseTTL, o.MinLeaseTTL),
		watched:    shard.NewMap[*watched](),
		reserved:   shard.NewMap[time.Time](),
		unanswered: shard.NewMap[time.Time](),
		own:        shard.NewMap[formation](),
		opening:    shard.NewMap[time.Time](),
		closed:     shard.NewMap[catalog.GroupID](),
		staging:    shard.NewMap[staging](),
		firstSeen:  shard.NewMap[time.Time](),
		headless:   shard.NewMap[time.Time](),
		memberless: shard.NewMap[time.Time](),
		logged:     shard.NewMap[string](),
		suspects:   make(chan string, 256),
	}
}

// Run competes for the lease and plans while it holds it, until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.renew(ctx) })
	g.Go(func() error { return p.observe(ctx) })
	g.Go(func() error { return p.plan(ctx) })
	return g.Wait()
}

// HoldsLease reports whether this daemon may give orders now.
func (p *Planner) HoldsLease() bool { return int64(boottime.Now()) < p.leaseEnd.Load() }

// Suspect tells the planner that an engine seems to stand still.
func (p *Planner) Suspect(id string) {
	select {
	case p.suspects <- id:
	default:
		klog.V(1).InfoS("suspicion dropped: the planner is behind", "engine", id)
	}
}

// MarkServing tells the planner that requests are served somewhere.
func (p *Planner) MarkServing() { p.serving.Store(true) }

// renew keeps this daemon among the candidates.
func (p *Planner) renew(ctx context.Context) error {
	joined := false
	for ctx.Err() == nil {
		// A place once taken is kept: each change deals the lease anew.
		if !joined && !p.o.IsCandidate() {
			pause.For(ctx, p.ttl/leaseRenewals)
			continue
		}
		joined = true
		begun := boottime.Now()
		held, generation, err := p.o.Lease.Renew(p.o.MemberID, p.generation.Load(), p.ttl)
		if err != nil {
			klog.ErrorS(err, "lease not renewed")
		} else {
			p.noteLease(held, generation, begun)
		}
		pause.For(ctx, p.ttl/leaseRenewals-(boottime.Now()-begun))
	}
	if p.HoldsLease() {
		p.leaseEnd.Store(0)
	}
	if joined {
		p.resign()
	}
	return nil
}

// resign gives up the place among the planners. It waits no longer than
// leaveTimeout: the lease runs out by itself.
func (p *Planner) resign() {
	done := make(chan error, 1)
	go func() { done <- p.o.Lease.Leave(p.o.MemberID) }()
	t := time.NewTimer(leaveTimeout)
	defer t.Stop()
	select {
	case err := <-done:
		if err != nil {
			klog.ErrorS(err, "lease not given up; it will run out")
		}
	case <-t.C:
		klog.InfoS("lease not given up in time; it will run out")
	}
}

func (p *Planner) noteLease(held bool, generation int64, begun time.Duration) {
	was := p.HoldsLease()
	now := time.Now()
	p.changes.note(generation > p.generation.Load(), now)
	p.generation.Store(max(generation, p.generation.Load()))
	if !held {
		p.leaseEnd.Store(0)
		if was {
			klog.InfoS("planner lost", "generation", generation)
		}
		return
	}
	// While the generation stays the same nobody else can have held the lease.
	if !was && p.heldAs.Load() != generation {
		p.heldSince.Store(int64(boottime.Now()))
		p.forget()
		p.doubtAll()
		if !p.o.FirstStart && p.changes.crowded(now) {
			p.loads.share(now)
		}
		klog.InfoS("planner gained", "generation", generation)
	}
	p.heldAs.Store(generation)
	p.leaseEnd.Store(int64(begun + p.ttl - leaseMargin))
}

// forget drops what belonged to an earlier lease: another planner may have acted since.
func (p *Planner) forget() {
	p.own.Clear()
	p.closed.Clear()
}

// number returns a number above all that this and earlier planners used.
func (p *Planner) number() int64 {
	return p.generation.Load()<<epochBits + p.counter.Add(1)
}

// plan looks at the state whenever it changes.
func (p *Planner) plan(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := p.o.Directory.Changed()
		if p.HoldsLease() && boottime.Now()-time.Duration(p.heldSince.Load()) > settle {
			p.act()
		}
		pause.For(ctx, leastPause)
		t := time.NewTimer(tick)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return nil
}
