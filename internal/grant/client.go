package grant

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Client acquires and releases grants for the requests of this daemon.
type Client struct {
	opt          Options
	home         *Home
	holderStates *shard.Map[*holderState]
	// queueLengths has the last known queue lengths of each pool's slices.
	queueLengths *shard.Map[sliceQueueLengths]
	// stopped is closed when the client no longer renews grants.
	stopped chan struct{}
}

// Acquire requests a grant from the pool's home and waits for its decision. It
// tries again when the home changes or does not answer, until ctx or the
// request's deadline ends. Every error has outcome NotRun.
func (c *Client) Acquire(ctx context.Context, req limit.Request) (limit.Grant, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	req.Holder, req.BootID = c.opt.Members.Self(), c.opt.BootID
	baseID, homeHint := req.ID, ""
	for n := 0; ; n++ {
		if n > 0 {
			// Each attempt has its own id, so that a late response to an earlier attempt
			// is not taken for a response to this one.
			req.ID = baseID + "." + strconv.Itoa(n)
		}
		res := c.tryAcquire(ctx, req, homeHint)
		if res.grant != nil {
			return *res.grant, nil
		}
		if res.refusal != nil {
			return limit.Grant{}, res.refusal
		}
		if res.homeHint != "" && homeHint == "" {
			homeHint = res.homeHint
			continue
		}
		// Ignore the next hint and wait, so that two homes that name each other do
		// not cause a busy loop.
		homeHint = ""
		if err := c.waitBeforeRetry(ctx, res.membersChanged); err != nil {
			return limit.Grant{}, err
		}
	}
}

// waitBeforeRetry waits for retryDelay or until the members change.
func (c *Client) waitBeforeRetry(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fault.Refuse(fault.Unavailable, "try again; check the live daemons with the status command", "no home of the pool answered before the request ended")
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// attemptResult is the result of one attempt to acquire a grant.
type attemptResult struct {
	grant   *limit.Grant
	refusal error
	// homeHint is the home to try next; "" for the owner.
	homeHint string
	// membersChanged is closed when the members change.
	membersChanged <-chan struct{}
}

func (c *Client) tryAcquire(ctx context.Context, req limit.Request, homeHint string) attemptResult {
	membersChanged := c.opt.Members.Changed()
	slice := c.chooseSlice(&req)
	home := homeHint
	if home == "" {
		home = c.owner(req.Pool, slice)
	}
	if home == "" {
		return attemptResult{membersChanged: membersChanged}
	}
	hs := c.holderState(req.Pool, slice)
	req.Seq = hs.addPending(req.ID)
	defer hs.removePending(req.ID)
	resp, err := c.sendAcquire(ctx, home, &wire.Acquire{Slice: slice, Term: hs.latestTerm(), Request: req}, membersChanged)
	if err != nil {
		go c.sendCancel(home, req, slice)
		return attemptResult{membersChanged: membersChanged}
	}
	c.recordQueueLength(req.Pool, slice, resp)
	switch {
	case resp.Refused != nil:
		return attemptResult{refusal: resp.Refused.Fault()}
	case resp.Grant != nil && hs.accept(*resp.Grant):
		return attemptResult{grant: resp.Grant}
	case resp.Grant != nil:
		go c.sendCancel(home, req, slice)
	case resp.NotHome && resp.Home != home:
		return attemptResult{homeHint: resp.Home, membersChanged: membersChanged}
	}
	return attemptResult{membersChanged: membersChanged}
}

func (c *Client) owner(pool string, slice int) string {
	if c.opt.LocalLimits {
		return c.opt.Members.Self()
	}
	return c.home.owner(pool, slice)
}

// homeOf returns the daemon to send renewals and releases to: the home of the
// latest known tenure while it is live, otherwise the owner.
func (c *Client) homeOf(hs *holderState) string {
	if home, _ := hs.latestTenure(); home != "" && slices.Contains(c.opt.Members.Live(), home) {
		return home
	}
	return c.owner(hs.pool, hs.slice)
}

// sendAcquire sends the request and waits for the response. It returns early if
// ctx ends, the slice's owner changes, or the home is no longer live.
func (c *Client) sendAcquire(ctx context.Context, home string, req *wire.Acquire, membersChanged <-chan struct{}) (*wire.AcquireResponse, error) {
	if home == c.opt.Members.Self() {
		return c.home.acquire(ctx, req), nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go c.cancelOnOwnerChange(home, req, membersChanged, stop, cancel)
	resp := &wire.AcquireResponse{}
	err := c.opt.Caller.Call(ctx, c.opt.Members.Addr(home), req, resp)
	return resp, err
}

// cancelOnOwnerChange cancels a pending request when the slice's owner changes or
// the home that was asked is no longer live.
func (c *Client) cancelOnOwnerChange(home string, req *wire.Acquire, membersChanged, stop <-chan struct{}, cancel func()) {
	owner := c.owner(req.Request.Pool, req.Slice)
	for {
		select {
		case <-stop:
			return
		case <-membersChanged:
		}
		membersChanged = c.opt.Members.Changed()
		if c.owner(req.Request.Pool, req.Slice) != owner || !slices.Contains(c.opt.Members.Live(), home) {
			cancel()
			return
		}
	}
}

// sendCancel tells a home that a request is no longer pending. If the message is
// lost, the next renewal has the same effect.
func (c *Client) sendCancel(home string, req limit.Request, slice int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	m := &wire.Cancel{Pool: req.Pool, Slice: slice, Request: req.ID}
	_ = c.opt.Caller.Call(ctx, c.opt.Members.Addr(home), m, &wire.Ack{})
}

// Release gives a grant back without waiting; the message is resent until the
// pool's home has received it.
func (c *Client) Release(g limit.Grant, r limit.Result) {
	hs := c.holderState(g.Pool, g.Slice)
	if hs.queueRelease(time.Now(), limit.Release{Grant: g.ID, Result: r}) {
		go c.flushReleases(hs)
	}
}

// holderState returns the state of this daemon as a holder of the slice's grants.
func (c *Client) holderState(pool string, slice int) *holderState {
	return c.holderStates.GetOrMake(SliceKey(pool, slice), func() *holderState { return newHolderState(pool, slice) })
}

// reportHoldings records the slice's new home and fills resp with what this daemon
// holds, or with the later tenure that it knows of.
func (c *Client) reportHoldings(req *wire.Takeover, resp *wire.Holdings) {
	resp.Held, resp.LaterHome, resp.LaterTerm = c.holderState(req.Pool, req.Slice).recordTakeover(req.Home, req.Term)
	resp.Held.Holder, resp.Held.BootID = c.opt.Members.Self(), c.opt.BootID
}
