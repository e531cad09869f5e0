// Package grant runs package limit: a Home answers for the pools whose home
// this daemon is, a Client acquires, renews and gives back grants for the
// requests that this daemon serves. A pool's home is the rendezvous owner of
// its key among the live daemons; each pool has one lock, and no lock is held
// across a call to another daemon.
package grant

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Members is the set of live daemons as this one sees it.
type Members interface {
	Self() string
	// Live lists the live daemons, this one included.
	Live() []string
	Addr(id string) string
	// Owner returns the live daemon that owns the key; "" if there is none.
	Owner(key string) string
	// Changed is closed at the next change.
	Changed() <-chan struct{}
}

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, addr string, req, resp wire.Message) error
}

// Pools gives the pools' rows in force.
type Pools interface {
	Pool(name string) (state.PoolRow, bool)
	Changed() <-chan struct{}
}

// Replicas gives the replicas of the pools that this daemon watches.
type Replicas interface {
	Replicas(pool string) []replica.Replica
	Changed() <-chan struct{}
}

// Visibility says what this side of a partition may use.
type Visibility interface {
	MayUseCold() bool
	VisibleShare() (seen, total int)
}

// Daemons lists the daemons that joined, live or not.
type Daemons interface {
	Daemons() []state.Daemon
}

// Options are the parts that a Manager works with.
type Options struct {
	Members    Members
	Caller     Caller
	Pools      Pools
	Replicas   Replicas
	Visibility Visibility
	// Daemons tells which daemons may hold grants although they are not live,
	// and the failure domains of all. Without it only live ones are asked.
	Daemons Daemons
	// LocalLimits makes this daemon limit by itself, without homes: a baseline to
	// measure against, which keeps no limit that spans daemons.
	LocalLimits bool
	// Boot names this process; made up if empty.
	Boot string
}

// Times of the runtime.
const (
	// RenewInterval is the interval between renewals of held grants.
	RenewInterval = time.Second
	// callTimeout bounds a call that is answered at once.
	callTimeout = time.Second
	// repeatAfter spaces the attempts to reach a home that did not answer.
	repeatAfter = 50 * time.Millisecond
)

// Manager holds a daemon's Home and Client.
type Manager struct {
	Home   *Home
	Client *Client
}

// New returns a manager; Run starts it.
func New(o Options) *Manager {
	if o.Boot == "" {
		o.Boot = ids.New()
	}
	c := &Client{
		opt:     o,
		lines:   shard.NewMap[*line](),
		loads:   shard.NewMap[poolLoad](),
		stopped: make(chan struct{}),
	}
	h := &Home{opt: o, tenures: shard.NewMap[*tenure](), client: c, deputies: newDeputies()}
	c.home = h
	return &Manager{Home: h, Client: c}
}

// Run renews grants and follows changes until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.Home.run(ctx) })
	g.Go(func() error { return m.Client.run(ctx) })
	return g.Wait()
}

// SliceKey names a pool's slice for the choice of its home. The first slice shares
// the key by which the pool's watcher is chosen.
func SliceKey(pool string, slice int) string {
	if slice == 0 {
		return "pool/" + pool
	}
	return "pool/" + pool + "/" + strconv.Itoa(slice)
}

func (o *Options) standing() limit.Visibility {
	seen, total := o.Visibility.VisibleShare()
	return limit.Visibility{MayUseCold: o.Visibility.MayUseCold(), Seen: seen, Total: total}
}
