// Package keyed decides which attempt of a request with an idempotency key may be
// sent to a target. Keys are spread over several streams of the log. For each stream
// one daemon, chosen by rendezvous hashing among the live ones, is the home: it runs the state machine of package once, appends records
// in batches, reads them back and replies to claims. A Client claims keys on behalf
// of the requests that a daemon serves.
//
// Safety: an attempt may be sent only after a home has read the attempt's intent back
// from the log and found that it acquired the key. The home is only an optimisation:
// several daemons may act as the home of a stream at the same time, and any of them
// may be partitioned, paused or replaced. All of them see the records in the same
// order, and a new home first reads the stream as far back as any record can matter.
// A key passes to another attempt only after an Abandon by the author of its holder,
// which writes it only if it has not sent the request and never will. So a daemon
// that is paused for any length of time after acquiring a key may still send the
// request.
//
// Outcomes: if a claim ends with an error, this daemon has not sent the request and
// never will. It withdraws the attempt in the background and retries that until it
// succeeds. Until the withdrawal is in the log, other attempts at the key get the
// outcome Unknown rather than NotRun, since they can't tell a withdrawn attempt from
// one in progress; if the daemon dies before, the outcome stays Unknown for ever.
// Unknown may require a person to check, but wrongly reporting NotRun could execute
// a payout twice. A refusal has the outcome NotRun only if no attempt can
// have used the key: either the home has read its stream since the claim arrived and
// found no attempt, or the request was issued after the log went down. All other
// refusals, and claims that no home answered, have the outcome Unknown, since an
// earlier attempt may have run. In every case the caller may send the request again
// with the same key.
//
// A claim is sent to another home if one does not respond. That is safe because the
// intent carries the attempt's id, so that duplicates get the same decision.
package keyed

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Members is this daemon's view of the live daemons.
type Members interface {
	Self() string
	// Live lists the live daemons, this one included.
	Live() []string
	Addr(id string) string
	// BootID returns the boot id of a live daemon, or "" if it is not live.
	BootID(id string) string
	// Changed returns a channel that is closed when the set next changes.
	Changed() <-chan struct{}
	// ProbeNow requests a probe of a daemon that did not respond.
	ProbeNow(id string)
}

// Caller sends requests to other daemons.
type Caller interface {
	Call(ctx context.Context, addr string, req, resp wire.Message) error
}

// Options configures a Manager. Members, Caller, Log, BootID and Retention are
// required. LogAge is optional. Other fields have defaults for their zero values.
type Options struct {
	Members Members
	Caller  Caller
	Log     platform.Log
	// BootID is the boot id of this process.
	BootID string
	// Shards is the number of streams. The layout stream of the log fixes it, and a
	// daemon with a different number refuses to serve keys.
	Shards int
	Limits once.Limits
	// Retention is how long the log retains records.
	Retention time.Duration
	// LogAge, if set, returns the time since this daemon last read the log. While it
	// exceeds LogAgeLimit, claims are refused without a call to the log.
	LogAge      func() time.Duration
	LogAgeLimit time.Duration
	// LogTimeout bounds one call to the log.
	LogTimeout time.Duration
	// AppendInterval is the minimum time between two appends to a stream. It limits
	// the load that the streams put on the log.
	AppendInterval time.Duration
	// Linger is how long results and withdrawals wait so that more records can join
	// the same append.
	Linger time.Duration
	// ClaimTimeout is how long a home may take to respond to a claim before another
	// home is tried.
	ClaimTimeout time.Duration
	// MaxWait bounds the wait for another attempt's result in one call.
	MaxWait time.Duration
	// FollowInterval is the time between reads of a stream at its home while there
	// are no claims. The reads detect an outage, and records appended by another
	// home, before the next claim arrives.
	FollowInterval time.Duration
	// ProbeInterval is the time between attempts to reach a log that is down, and
	// between reads while claims wait for a result.
	ProbeInterval time.Duration
	// IdleTimeout is how long a daemon keeps an unused stream of which it is not the
	// home.
	IdleTimeout time.Duration
	// DrainTimeout bounds the recording of pending results when Run ends.
	DrainTimeout time.Duration
}

// Defaults and limits.
const (
	DefaultShards         = 8
	defaultLogAgeLimit    = 3 * time.Second
	defaultAppendInterval = 20 * time.Millisecond
	defaultLinger         = 100 * time.Millisecond
	defaultClaimTimeout   = time.Second
	defaultMaxWait        = 5 * time.Second
	defaultProbeInterval  = 500 * time.Millisecond
	defaultFollowInterval = time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultDrainTimeout   = 5 * time.Second
	// maxQueuedRecords bounds the records queued for append to one stream.
	maxQueuedRecords = 4096
)

// applyDefaults sets defaults for zero values and checks the limits.
func (o *Options) applyDefaults() error {
	setDefault(&o.Shards, DefaultShards)
	setDefault(&o.Limits.MaxKeyAge, once.DefaultMaxKeyAge)
	setDefault(&o.Limits.MaxSkew, once.DefaultMaxSkew)
	setDefault(&o.LogAgeLimit, defaultLogAgeLimit)
	setDefault(&o.LogTimeout, platform.DefaultTimeout)
	setDefault(&o.AppendInterval, defaultAppendInterval)
	setDefault(&o.Linger, defaultLinger)
	setDefault(&o.ClaimTimeout, defaultClaimTimeout)
	setDefault(&o.MaxWait, defaultMaxWait)
	setDefault(&o.ProbeInterval, defaultProbeInterval)
	setDefault(&o.FollowInterval, defaultFollowInterval)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.DrainTimeout, defaultDrainTimeout)
	return o.Limits.Check(o.Retention)
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// logStale returns the time since this daemon last read the log, and whether it
// exceeds LogAgeLimit, in which case the log is taken to be unreachable.
func (o *Options) logStale() (time.Duration, bool) {
	if o.LogAge == nil {
		return 0, false
	}
	age := o.LogAge()
	return age, age > o.LogAgeLimit
}

// Manager holds a daemon's Home and Client.
type Manager struct {
	Home   *Home
	Client *Client
}

// New returns a manager that is started by Run.
func New(o Options) (*Manager, error) {
	if err := o.applyDefaults(); err != nil {
		return nil, err
	}
	h := &Home{opt: o, streams: shard.NewMap[*stream](), layout: newLayout(&o)}
	c := newClient(o, h)
	return &Manager{Home: h, Client: c}, nil
}

// Run serves the streams of which this daemon is the home and records the client's
// results and withdrawals until ctx is done. Then it records those still pending,
// for up to DrainTimeout.
func (m *Manager) Run(ctx context.Context) error {
	// The home must outlive the client, which may need it to record pending results.
	homeCtx, stopHome := context.WithCancel(context.WithoutCancel(ctx))
	g := &errgroup.Group{}
	g.Go(func() error { return m.Home.run(homeCtx) })
	g.Go(func() error {
		defer stopHome()
		return m.Client.run(ctx)
	})
	return g.Wait()
}

// logUnavailable returns the error for requests that can't be served because the log
// can't be used.
func logUnavailable(cause error) error {
	if fault.Is(cause, fault.Conflict) { // once.shards differs from the number that the layout stream sets
		return cause
	}
	return fault.Wrap(fault.LogDown, cause, "try again with the same key once the platform's log answers", "keyed request refused")
}
