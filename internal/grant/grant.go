// Package grant runs the admission control of package limit across daemons. A
// Home decides on grants for the pools whose home this daemon is; a Client
// acquires, renews and releases grants for the requests that this daemon serves.
// A pool's home is the rendezvous owner of its key among the live daemons. Each
// pool has one lock, and no lock is held during a call to another daemon.
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

// Members is the set of live daemons as seen by this one.
type Members interface {
	Self() string
	// Live lists the live daemons, including this one.
	Live() []string
	Addr(id string) string
	// Owner returns the live daemon that owns the key; "" if there is none.
	Owner(key string) string
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Caller sends requests to other daemons.
type Caller interface {
	Call(ctx context.Context, addr string, req, resp wire.Message) error
}

// Pools provides the configuration rows of the pools.
type Pools interface {
	Pool(name string) (state.PoolRow, bool)
	Changed() <-chan struct{}
}

// Replicas provides the replicas of the pools that this daemon watches.
type Replicas interface {
	Replicas(pool string) []replica.Replica
	Changed() <-chan struct{}
}

// Visibility tells what this daemon's side of a network partition may use.
type Visibility interface {
	// MayUseCold reports whether this side may use cold replicas.
	MayUseCold() bool
	// VisibleDaemons returns the number of joined daemons that are live as seen by
	// this one, and that of all joined daemons.
	VisibleDaemons() (seen, total int)
}

// Daemons lists the daemons that have joined, whether live or not.
type Daemons interface {
	Daemons() []state.Daemon
}

// Options are the dependencies and settings of a Manager.
type Options struct {
	Members    Members
	Caller     Caller
	Pools      Pools
	Replicas   Replicas
	Visibility Visibility
	// Daemons provides the daemons that may hold grants although they are not
	// live, and the failure domains of all. If nil, only live daemons are asked
	// for their grants.
	Daemons Daemons
	// LocalLimits makes this daemon apply the limits by itself, without homes.
	// It is a baseline for measurements and keeps no limit across daemons.
	LocalLimits bool
	// BootID identifies this process; generated if empty.
	BootID string
}

// Intervals and timeouts.
const (
	// RenewInterval is the interval between renewals of held grants.
	RenewInterval = time.Second
	// callTimeout limits a call that the other daemon answers at once.
	callTimeout = time.Second
	// retryDelay is the delay before a home that did not answer is called again.
	retryDelay = 50 * time.Millisecond
)

// Manager holds the Home and the Client of a daemon.
type Manager struct {
	Home   *Home
	Client *Client
}

// New returns a manager; call Run to start it.
func New(o Options) *Manager {
	if o.BootID == "" {
		o.BootID = ids.New()
	}
	c := &Client{
		opt:          o,
		holderStates: shard.NewMap[*holderState](),
		queueLengths: shard.NewMap[sliceQueueLengths](),
		stopped:      make(chan struct{}),
	}
	h := &Home{opt: o, tenures: shard.NewMap[*tenure](), client: c, witnesses: newWitnesses()}
	c.home = h
	return &Manager{Home: h, Client: c}
}

// Run renews grants and follows changes until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.Home.run(ctx) })
	g.Go(func() error { return m.Client.run(ctx) })
	return g.Wait()
}

// SliceKey returns the key of a pool's slice for the choice of its home. The
// first slice has the same key as the choice of the pool's replica watcher.
func SliceKey(pool string, slice int) string {
	if slice == 0 {
		return "pool/" + pool
	}
	return "pool/" + pool + "/" + strconv.Itoa(slice)
}

func (o *Options) visibility() limit.Visibility {
	seen, total := o.Visibility.VisibleDaemons()
	return limit.Visibility{MayUseCold: o.Visibility.MayUseCold(), Seen: seen, Total: total}
}
