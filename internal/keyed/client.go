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
	// open are the attempts that became first and have no result yet.
	open   *shard.Map[once.Intent]
	boxes  []*outbox
	expiry time.Duration
}

func newClient(o Options, h *Home) *Client {
	c := &Client{opt: o, home: h, open: shard.NewMap[once.Intent](), expiry: o.Limits.Horizon()}
	for n := range o.Shards {
		c.boxes = append(c.boxes, newOutbox(c, n))
	}
	return c
}

func (c *Client) run(ctx context.Context) error {
	g := &errgroup.Group{}
	for _, b := range c.boxes {
		g.Go(func() error { return b.run(ctx) })
	}
	return g.Wait()
}

// Claim asks whether this daemon may send the request. It fills in the
// intent's author and attempt. On First, the caller must call Finish or
// Abandon with the decision's attempt. On Finished, the decision has the
// recorded result. While another attempt is under way, Claim waits for its
// result as long as ctx allows. Any other ending is an error, after which the
// request must not be sent.
func (c *Client) Claim(ctx context.Context, in once.Intent) (once.Decision, error) {
	in.Author, in.Boot = c.opt.Members.Self(), c.opt.Boot
	if err := c.opt.Limits.CheckIntent(&in, time.Now()); err != nil {
		return once.Decision{}, err
	}
	for {
		in.Attempt = ids.New()
		d, doubt, err := c.attempt(ctx, in)
		if err == nil && d.Verdict == once.Acquired {
			c.open.Set(in.Attempt, in)
			return d, nil
		}
		if doubt {
			// The intent may still turn up in the log and take a free key.
			c.owe(&in, once.Record{Abandon: &once.Abandon{Attempt: in.Attempt, IssuedAt: in.IssuedAt}})
		}
		if err != nil {
			return once.Decision{}, err
		}
		again := d.Verdict == once.Released || d.Verdict == once.Abandoned || d.Verdict == once.Undecided
		if again && ctx.Err() == nil {
			continue
		}
		return d, d.Err(c.opt.Limits)
	}
}

// attempt claims under one attempt id until there is an answer or no time.
// doubt means that the intent may be in the log without an answer.
func (c *Client) attempt(ctx context.Context, in once.Intent) (d once.Decision, doubt bool, err error) {
	a := &asking{client: c, shard: once.ShardOf(in.Workspace, in.Key, c.opt.Shards)}
	for {
		held := d
		// Only a claim that was told to wait waits: the first answer must come
		// soon, or another home is asked.
		d, err = a.claim(ctx, in, held.Verdict == once.HeldByOther)
		if err != nil && held.Verdict == once.HeldByOther {
			return held, a.doubt, nil // more is known than the error says
		}
		if err != nil || d.Verdict != once.HeldByOther || d.Lost || ctx.Err() != nil {
			return d, a.doubt, err
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < waitMargin {
			return d, a.doubt, nil
		}
	}
}

// waitMargin is what is left of a deadline for the answer to a wait.
const waitMargin = 100 * time.Millisecond

// Finish records the result of an attempt that was first. It returns at once;
// the result is recorded in the background, however long the log is down.
func (c *Client) Finish(attempt string, r once.Result) {
	in, ok := c.open.Get(attempt)
	if !ok || !c.open.Delete(attempt) {
		return
	}
	c.owe(&in, once.Record{Done: &once.Done{Attempt: attempt, Result: r.Bounded()}})
}

// Abandon withdraws an attempt that was first, so that the key can be used
// again. Call it only if the request was not sent and will not be, or if the
// target said that it did not run it. It returns at once.
func (c *Client) Abandon(attempt string) {
	in, ok := c.open.Get(attempt)
	if !ok || !c.open.Delete(attempt) {
		return
	}
	c.owe(&in, once.Record{Abandon: &once.Abandon{Attempt: attempt, IssuedAt: in.IssuedAt}})
}

func (c *Client) owe(in *once.Intent, r once.Record) {
	c.boxes[once.ShardOf(in.Workspace, in.Key, c.opt.Shards)].add(r)
}

// Flush waits until all results and withdrawals so far are recorded.
func (c *Client) Flush(ctx context.Context) error {
	for _, b := range c.boxes {
		if err := b.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Pending returns the number of results and withdrawals not yet recorded.
func (c *Client) Pending() int {
	n := 0
	for _, b := range c.boxes {
		n += b.len()
	}
	return n
}

// asking is one question to the homes of a stream. The first choice is the
// rendezvous owner among the live daemons; one that does not answer is passed
// over, so that all claimers turn to the same next one.
type asking struct {
	client *Client
	shard  int
	tried  []string
	asked  string // the last one asked
	// logDown counts the homes that could not use the log: another may.
	logDown int
	// doubt means that the intent may be in the log.
	doubt bool
	// clear is the refusal of a home that knew of no other attempt.
	clear error
}

// overloadPause is the least time before a home that is overloaded is asked again.
const overloadPause = 50 * time.Millisecond

// logDownTries is the number of homes asked when the log seems down.
const logDownTries = 2

func (a *asking) claim(ctx context.Context, in once.Intent, waits bool) (once.Decision, error) {
	o := &a.client.opt
	for {
		var wait time.Duration
		if waits {
			wait = waitTime(ctx, o.MaxWait)
		}
		req := &wire.OnceClaim{Shard: a.shard, Shards: o.Shards, WaitMs: wait.Milliseconds(), Intent: in}
		var resp wire.OnceClaimResponse
		err := a.try(ctx, o.ClaimTimeout+wait, req, &resp, func(ctx context.Context) error {
			d, tried, err := a.client.home.claim(ctx, req)
			resp.Decision, resp.MayBeLogged = d, tried
			return err
		})
		if err != nil && a.asked != o.Members.Self() {
			// No home answered: it may have got the intent, and nothing is
			// known of other attempts at the key.
			resp.MayBeLogged = fault.As(err).Outcome != fault.NotRun
			err = fault.As(err).WithOutcome(fault.Unknown)
		}
		a.doubt = a.doubt || resp.MayBeLogged
		if resp.Refused != nil {
			err = resp.Refused.Fault()
		}
		if err == nil {
			return resp.Decision, nil
		}
		if a.clear == nil && fault.As(err).Outcome == fault.NotRun {
			a.clear = err
		}
		if !a.again(ctx, err) {
			return once.Decision{}, cmp.Or(a.clear, err)
		}
	}
}

// waitTime is how long a home may wait for another attempt's result.
func waitTime(ctx context.Context, limit time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return limit
	}
	return min(limit, max(0, time.Until(deadline)-waitMargin))
}

// try asks the present first choice.
func (a *asking) try(ctx context.Context, limit time.Duration, req, resp wire.Message, local func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	m := a.client.opt.Members
	a.asked = a.choice()
	if a.asked == m.Self() {
		return local(ctx)
	}
	return a.client.opt.Caller.Call(ctx, m.Addr(a.asked), req, resp)
}

func (a *asking) choice() string {
	live := a.client.opt.Members.Live()
	left := slices.DeleteFunc(slices.Clone(live), func(id string) bool { return slices.Contains(a.tried, id) })
	if len(left) == 0 {
		a.tried = nil
		left = live
	}
	return ids.Owner(homeKey(a.shard), left)
}

// again decides whether the question is put once more after an error, and to whom.
func (a *asking) again(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch e := fault.As(err); e.Kind {
	case fault.Overload:
		return pause.For(ctx, max(e.RetryAfter, overloadPause))
	case fault.Timeout, fault.Unavailable, fault.ShuttingDown:
		a.client.opt.Members.Check(a.asked)
		a.tried = append(a.tried, a.asked)
		return len(a.tried) < len(a.client.opt.Members.Live()) || pause.For(ctx, a.client.opt.ProbeInterval)
	case fault.LogDown:
		a.tried = append(a.tried, a.asked)
		a.logDown++
		return a.logDown < logDownTries && len(a.client.opt.Members.Live()) > 1
	default:
		return false
	}
}

// errDropped ends a record that became too old to matter.
var errDropped = errors.New("record is older than any key")
