package keyed

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Client claims keys for the requests that this daemon serves.
type Client struct {
	opt  Options
	home *Home
	// openAttempts holds the attempts that acquired their key and have neither a
	// result nor a withdrawal, by id.
	openAttempts *shard.Map[once.Intent]
	outboxes     []*outbox
	recordTTL    time.Duration
}

func newClient(o Options, h *Home) *Client {
	c := &Client{opt: o, home: h, openAttempts: shard.NewMap[once.Intent](), recordTTL: o.Limits.Horizon()}
	for n := range o.Shards {
		c.outboxes = append(c.outboxes, newOutbox(c, n))
	}
	return c
}

func (c *Client) run(ctx context.Context) error {
	g := &errgroup.Group{}
	for _, b := range c.outboxes {
		g.Go(func() error { return b.run(ctx) })
	}
	return g.Wait()
}

// Claim claims the key of a request; it fills in the intent's author and attempt. If
// the verdict is Acquired, the request may be sent and the caller must call Finish or
// Abandon with the decision's attempt. If it is Finished, the decision holds the
// recorded result. While another attempt is in progress, Claim waits for its result
// until the deadline of ctx. In every other case Claim returns an error and the
// request must not be sent.
func (c *Client) Claim(ctx context.Context, in once.Intent) (once.Decision, error) {
	in.Author, in.BootID = c.opt.Members.Self(), c.opt.BootID
	if err := c.opt.Limits.CheckIntent(&in, time.Now()); err != nil {
		return once.Decision{}, err
	}
	for {
		in.Attempt = ids.New()
		d, mayBeLogged, err := c.claimAttempt(ctx, in)
		if err == nil && d.Verdict == once.Acquired {
			c.openAttempts.Set(in.Attempt, in)
			return d, nil
		}
		if mayBeLogged {
			// The intent may still be appended to the log and acquire a released key.
			c.enqueueRecord(&in, once.Record{Abandon: &once.Abandon{Attempt: in.Attempt, IssuedAt: in.IssuedAt}})
		}
		if err != nil {
			return once.Decision{}, err
		}
		retry := d.Verdict == once.Released || d.Verdict == once.Abandoned || d.Verdict == once.Undecided
		if retry && ctx.Err() == nil {
			continue
		}
		return d, d.Err(c.opt.Limits)
	}
}

// claimAttempt repeats a claim under one attempt id until there is a decision or ctx
// is done. mayBeLogged means that the intent may be in the log although no decision
// on it was received.
func (c *Client) claimAttempt(ctx context.Context, in once.Intent) (d once.Decision, mayBeLogged bool, err error) {
	a := &homeRequest{client: c, shard: once.ShardOf(in.Workspace, in.Key, c.opt.Shards)}
	for {
		held := d
		// Wait at the home only once the key is known to be held: the first response
		// has to come within ClaimTimeout, or else another home is tried.
		d, err = a.claim(ctx, in, held.Verdict == once.HeldByOther)
		if err != nil && held.Verdict == once.HeldByOther {
			return held, a.mayBeLogged, nil // the earlier decision tells more than the error
		}
		if err != nil || d.Verdict != once.HeldByOther || d.Lost || ctx.Err() != nil {
			return d, a.mayBeLogged, err
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < waitMargin {
			return d, a.mayBeLogged, nil
		}
	}
}

// waitMargin is reserved before a deadline for the response to a waiting claim to
// arrive.
const waitMargin = 100 * time.Millisecond

// Finish records the result of an attempt that acquired its key. It returns
// immediately; the result is recorded in the background and retried while the log is
// down.
func (c *Client) Finish(attempt string, r once.Result) {
	in, ok := c.openAttempts.Get(attempt)
	if !ok || !c.openAttempts.Delete(attempt) {
		return
	}
	c.enqueueRecord(&in, once.Record{Done: &once.Done{Attempt: attempt, Result: r.Bounded()}})
}

// Abandon withdraws an attempt that acquired its key, so that the key can be claimed
// again. It must be called only if the request was not sent and will not be, or if
// the target reported that it did not run the request. It returns immediately.
func (c *Client) Abandon(attempt string) {
	in, ok := c.openAttempts.Get(attempt)
	if !ok || !c.openAttempts.Delete(attempt) {
		return
	}
	c.enqueueRecord(&in, once.Record{Abandon: &once.Abandon{Attempt: attempt, IssuedAt: in.IssuedAt}})
}

// enqueueRecord puts a record into the outbox of the stream that the intent's key
// belongs to.
func (c *Client) enqueueRecord(in *once.Intent, r once.Record) {
	c.outboxes[once.ShardOf(in.Workspace, in.Key, c.opt.Shards)].add(r)
}

// Flush waits until all results and withdrawals passed in so far are recorded.
func (c *Client) Flush(ctx context.Context) error {
	for _, b := range c.outboxes {
		if err := b.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Pending returns the number of results and withdrawals not yet recorded.
func (c *Client) Pending() int {
	n := 0
	for _, b := range c.outboxes {
		n += b.len()
	}
	return n
}

// homeRequest is a request to the home of a stream, with failover. The home is the
// rendezvous owner among the live daemons, excluding those that did not respond, so
// that all daemons fail over to the same next home.
type homeRequest struct {
	client      *Client
	shard       int
	triedHomes  []string
	currentHome string // the home called last
	// logDownCount is the number of homes that could not use the log. Another daemon
	// may still reach it.
	logDownCount int
	// mayBeLogged means that the intent may be in the log.
	mayBeLogged bool
	// notRunErr is the first refusal by a home that could exclude any other attempt.
	notRunErr error
}

// minOverloadBackoff is the minimum delay before a retry at an overloaded home.
const minOverloadBackoff = 50 * time.Millisecond

// maxLogDownHomes is the number of homes that are tried when they report that the log
// is down.
const maxLogDownHomes = 2

func (a *homeRequest) claim(ctx context.Context, in once.Intent, waitForResult bool) (once.Decision, error) {
	o := &a.client.opt
	for {
		var wait time.Duration
		if waitForResult {
			wait = resultWait(ctx, o.MaxWait)
		}
		req := &wire.OnceClaim{Shard: a.shard, Shards: o.Shards, WaitMs: wait.Milliseconds(), Intent: in}
		var resp wire.OnceClaimResponse
		err := a.callHome(ctx, o.ClaimTimeout+wait, req, &resp, func(ctx context.Context) error {
			d, mayBeLogged, err := a.client.home.claim(ctx, req)
			resp.Decision, resp.MayBeLogged = d, mayBeLogged
			return err
		})
		if err != nil && a.currentHome != o.Members.Self() {
			// The home did not respond. It may have received the intent, and nothing is
			// known about other attempts at the key.
			resp.MayBeLogged = fault.As(err).Outcome != fault.NotRun
			err = fault.As(err).WithOutcome(fault.Unknown)
		}
		a.mayBeLogged = a.mayBeLogged || resp.MayBeLogged
		if resp.Refused != nil {
			err = resp.Refused.Fault()
		}
		if err == nil {
			return resp.Decision, nil
		}
		if a.notRunErr == nil && fault.As(err).Outcome == fault.NotRun {
			a.notRunErr = err
		}
		if !a.shouldRetry(ctx, err) {
			return once.Decision{}, cmp.Or(a.notRunErr, err)
		}
	}
}

// resultWait returns how long a home may wait for another attempt's result: up to
// limit, and waitMargin less than the time until the deadline of ctx.
func resultWait(ctx context.Context, limit time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return limit
	}
	return min(limit, max(0, time.Until(deadline)-waitMargin))
}

// callHome sends the request to the current home, or calls local if that is this
// daemon.
func (a *homeRequest) callHome(ctx context.Context, limit time.Duration, req, resp wire.Message, local func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	m := a.client.opt.Members
	a.currentHome = a.selectHome()
	if a.currentHome == m.Self() {
		return local(ctx)
	}
	return a.client.opt.Caller.Call(ctx, m.Addr(a.currentHome), req, resp)
}

func (a *homeRequest) selectHome() string {
	live := a.client.opt.Members.Live()
	left := slices.DeleteFunc(slices.Clone(live), func(id string) bool { return slices.Contains(a.triedHomes, id) })
	if len(left) == 0 {
		a.triedHomes = nil
		left = live
	}
	return ids.Owner(homeKey(a.shard), left)
}

// shouldRetry reports whether to repeat the request after err, waiting if necessary.
// It excludes a home that did not respond or can't use the log from the next try.
func (a *homeRequest) shouldRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch e := fault.As(err); e.Kind {
	case fault.Overload:
		return pause.For(ctx, max(e.RetryAfter, minOverloadBackoff))
	case fault.Timeout, fault.Unavailable, fault.ShuttingDown:
		a.client.opt.Members.ProbeNow(a.currentHome)
		a.triedHomes = append(a.triedHomes, a.currentHome)
		return len(a.triedHomes) < len(a.client.opt.Members.Live()) || pause.For(ctx, a.client.opt.ProbeInterval)
	case fault.LogDown:
		a.triedHomes = append(a.triedHomes, a.currentHome)
		a.logDownCount++
		return a.logDownCount < maxLogDownHomes && len(a.client.opt.Members.Live()) > 1
	default:
		return false
	}
}

// errRecordExpired is logged for a record dropped because its key has expired.
var errRecordExpired = errors.New("key of the record has expired")
