// Package keyed decides which attempt of a keyed request may be sent to a
// target. It runs the fold of package once at a soft home per stream, which
// batches appends, reads its own records back and answers; and it holds the
// client through which a daemon claims keys.
//
// What is safe, and why. An attempt may be sent only after its home has read
// its intent back from the log as the first one for its key. Any number of
// daemons may think that they are the home, and any of them may be cut off,
// paused or replaced: the order of the stream is the same for all, and a home
// that begins anew first reads the stream as far back as any record can matter.
// The holder of a key changes only through an Abandon by the holder's author,
// which writes it only when it has not sent the request and never will. So a
// claimer that was paused for any time after it became first may still send.
//
// What an answer means. A claim that ends with an error was not sent by this
// daemon, and never will be: the attempt is withdrawn in the background, for as
// long as that takes. Until the withdrawal is in the log, other attempts at the
// key are told "unknown", not "not run", since they can't tell a withdrawn
// attempt from one under way; if the daemon dies before, they are told so for
// ever. That errs on the side of a question to a person instead of a second
// payout. A refusal says "not run" only of a key that no attempt can have used:
// the home has read its stream since the claim came and found none, or the
// request was issued after the log went down. Other refusals, and a claim that
// no home answered, say "unknown", for an earlier attempt may have run. All of
// them may be sent again with the same key.
//
// Claims are repeated at another home when one does not answer: the attempt's
// id makes a repeated claim get the same answer.
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

// Members is the set of live daemons as this one sees it.
type Members interface {
	Self() string
	// Live lists the live daemons, this one included.
	Live() []string
	Addr(id string) string
	// Boot names the process that runs as a live daemon; "" for others.
	Boot(id string) string
	// Changed is closed at the next change.
	Changed() <-chan struct{}
	// Check asks for a probe of a daemon that did not answer.
	Check(id string)
}

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, addr string, req, resp wire.Message) error
}

// Options are the parts and settings of a Manager. Members, Caller, Log, Boot
// and Retention are required; zero values elsewhere take defaults.
type Options struct {
	Members Members
	Caller  Caller
	Log     platform.Log
	// Boot names this process.
	Boot string
	// Shards is the number of streams. The log keeps the first number it saw,
	// and a daemon with another one refuses to serve keys.
	Shards int
	Limits once.Limits
	// Retention is how long the log keeps records.
	Retention time.Duration
	// LogAge, if set, is the time since this daemon last read the log: claims
	// are refused at once while it is longer than LogAgeLimit.
	LogAge      func() time.Duration
	LogAgeLimit time.Duration
	// LogTimeout bounds one call to the log.
	LogTimeout time.Duration
	// AppendInterval is the least time between two appends to a stream; it
	// bounds what the streams take of the log.
	AppendInterval time.Duration
	// Linger is how long results and withdrawals wait for company.
	Linger time.Duration
	// ClaimTimeout is how long a home may take to answer a claim before another
	// one is asked.
	ClaimTimeout time.Duration
	// MaxWait bounds the wait for another attempt's result in one call.
	MaxWait time.Duration
	// FollowInterval spaces the reads of a stream at its home while nobody
	// claims, so that it notices an outage, or what another home wrote, early.
	FollowInterval time.Duration
	// ProbeInterval spaces the attempts to reach a log that is down, and the
	// reads for those that wait for a result.
	ProbeInterval time.Duration
	// IdleTimeout is how long a daemon remembers a stream that it is not home of.
	IdleTimeout time.Duration
	// DrainTimeout bounds the recording of results at the end of Run.
	DrainTimeout time.Duration
}

// Defaults.
const (
	DefaultShards        = 8
	defaultLogAgeLimit   = 3 * time.Second
	defaultAppendSpacing = 20 * time.Millisecond
	defaultLinger        = 100 * time.Millisecond
	defaultClaimTimeout  = time.Second
	defaultWaitLimit     = 5 * time.Second
	defaultProbeInterval = 500 * time.Millisecond
	defaultFollow        = time.Second
	defaultIdleAfter     = 2 * time.Minute
	defaultDrainTimeout  = 5 * time.Second
	// maxQueue bounds the records that wait for an append to one stream.
	maxQueue = 4096
)

func (o *Options) complete() error {
	setDefault(&o.Shards, DefaultShards)
	setDefault(&o.Limits.MaxKeyAge, once.DefaultMaxKeyAge)
	setDefault(&o.Limits.MaxSkew, once.DefaultMaxSkew)
	setDefault(&o.LogAgeLimit, defaultLogAgeLimit)
	setDefault(&o.LogTimeout, platform.DefaultTimeout)
	setDefault(&o.AppendInterval, defaultAppendSpacing)
	setDefault(&o.Linger, defaultLinger)
	setDefault(&o.ClaimTimeout, defaultClaimTimeout)
	setDefault(&o.MaxWait, defaultWaitLimit)
	setDefault(&o.ProbeInterval, defaultProbeInterval)
	setDefault(&o.FollowInterval, defaultFollow)
	setDefault(&o.IdleTimeout, defaultIdleAfter)
	setDefault(&o.DrainTimeout, defaultDrainTimeout)
	return o.Limits.Check(o.Retention)
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// logStale returns the time since the log was read, and whether it is so long
// that the log must be out of reach.
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

// New returns a manager; Run starts it.
func New(o Options) (*Manager, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	h := &Home{opt: o, streams: shard.NewMap[*stream](), layout: newLayout(&o)}
	c := newClient(o, h)
	return &Manager{Home: h, Client: c}, nil
}

// Run serves the streams whose home this daemon is and records what the client
// owes, until ctx ends; then it records what is left within DrainTimeout.
func (m *Manager) Run(ctx context.Context) error {
	// The home outlives the client, which may need it to record what is left.
	homeCtx, stopHome := context.WithCancel(context.WithoutCancel(ctx))
	g := &errgroup.Group{}
	g.Go(func() error { return m.Home.run(homeCtx) })
	g.Go(func() error {
		defer stopHome()
		return m.Client.run(ctx)
	})
	return g.Wait()
}

// refusal is the answer to what waits when the log can't be used.
func refusal(cause error) error {
	if fault.Is(cause, fault.Conflict) { // a setting that differs from the others'
		return cause
	}
	return fault.Wrap(fault.LogDown, cause, "try again with the same key once the platform's log answers", "keyed request refused")
}
