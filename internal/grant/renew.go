package grant

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// run renews grants until ctx is done.
func (c *Client) run(ctx context.Context) error {
	defer close(c.stopped)
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.renewAll(ctx)
		}
	}
}

// renewAll sends one renewal message to each home of held grants.
func (c *Client) renewAll(ctx context.Context) {
	byHome := make(map[string]*wire.Renew)
	c.holderStates.Range(func(_ string, hs *holderState) bool {
		r := hs.renewal(c.opt.BootID)
		if len(r.Grants) == 0 && hs.acknowledged(r.Seq) {
			return true
		}
		home := c.homeOf(hs)
		if byHome[home] == nil {
			byHome[home] = &wire.Renew{}
		}
		byHome[home].Renewals = append(byHome[home].Renewals, r)
		return true
	})
	for home, m := range byHome {
		go c.sendRenewal(ctx, home, m)
	}
}

func (c *Client) sendRenewal(ctx context.Context, home string, m *wire.Renew) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp := &wire.RenewResponse{}
	if home == c.opt.Members.Self() {
		resp = c.home.renew(home, m)
	} else if err := c.opt.Caller.Call(ctx, c.opt.Members.Addr(home), m, resp); err != nil {
		return
	}
	for _, r := range m.Renewals {
		c.holderState(r.Pool, r.Slice).recordRenewed(r)
	}
	for _, u := range resp.Unknown {
		c.pushHoldings(ctx, home, u)
	}
}

// pushHoldings tells a home about grants that it does not know. Like the response
// to a Takeover, it voids grants of earlier tenures that are still in transit.
func (c *Client) pushHoldings(ctx context.Context, home string, t wire.Tenure) {
	held, later, _ := c.holderState(t.Pool, t.Slice).recordTakeover(home, t.Term)
	if later != "" {
		return
	}
	held.Holder, held.BootID = c.opt.Members.Self(), c.opt.BootID
	m := &wire.Holdings{Pool: t.Pool, Slice: t.Slice, Held: held}
	if home == c.opt.Members.Self() {
		c.home.receiveHoldings(m)
		return
	}
	// If the call fails, the next renewal calls pushHoldings again.
	_ = c.opt.Caller.Call(ctx, c.opt.Members.Addr(home), m, &wire.Ack{})
}

// flushReleases sends queued releases until there are none left. Each message has
// the releases that were queued during the previous one.
func (c *Client) flushReleases(hs *holderState) {
	for {
		releases := hs.takeReleases()
		if len(releases) == 0 {
			return
		}
		if c.sendReleases(hs, releases) == nil {
			continue
		}
		hs.requeueReleases(releases)
		if !c.waitRetryDelay() {
			return
		}
	}
}

// waitRetryDelay waits for retryDelay. It reports false if the client has stopped.
func (c *Client) waitRetryDelay() bool {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-c.stopped:
		return false
	case <-timer.C:
		return true
	}
}

func (c *Client) sendReleases(hs *holderState, releases []limit.Release) error {
	m := &wire.Release{Pool: hs.pool, Slice: hs.slice, Releases: releases}
	home := c.homeOf(hs)
	if home == c.opt.Members.Self() {
		if !c.home.release(m) {
			return errNotHome
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return c.opt.Caller.Call(ctx, c.opt.Members.Addr(home), m, &wire.Ack{})
}
