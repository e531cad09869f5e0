package grant

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// run renews grants and sends releases until ctx ends.
func (c *Client) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.runRenewals(ctx) })
	g.Go(func() error { return c.runReleases(ctx) })
	return g.Wait()
}

func (c *Client) runRenewals(ctx context.Context) error {
	ticker := time.NewTicker(RenewEvery)
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

// renewAll sends one message to each home that this daemon has grants from.
func (c *Client) renewAll(ctx context.Context) {
	byHome := make(map[string]*wire.Renew)
	c.lines.Range(func(_ string, l *line) bool {
		r := l.renewal(c.opt.Boot)
		if len(r.Grants) == 0 && l.settled(r.Seq) {
			return true
		}
		home := c.homeOf(l)
		if byHome[home] == nil {
			byHome[home] = &wire.Renew{}
		}
		byHome[home].Renewals = append(byHome[home].Renewals, r)
		return true
	})
	for home, m := range byHome {
		go c.renewAt(ctx, home, m)
	}
}

func (c *Client) renewAt(ctx context.Context, home string, m *wire.Renew) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp := &wire.Renewed{}
	if home == c.opt.Members.Self() {
		resp = c.home.renew(home, m)
	} else if err := c.opt.Caller.Call(ctx, c.opt.Members.Addr(home), m, resp); err != nil {
		return
	}
	for _, r := range m.Renewals {
		c.line(r.Pool, r.Slice).settle(r)
	}
	for _, u := range resp.Unknown {
		c.push(ctx, home, u)
	}
}

// push tells a home about grants that it does not know.
func (c *Client) push(ctx context.Context, home string, u wire.PoolSlice) {
	held := c.line(u.Pool, u.Slice).holdings()
	held.Holder, held.Boot = c.opt.Members.Self(), c.opt.Boot
	m := &wire.Holdings{Pool: u.Pool, Slice: u.Slice, Held: held}
	if home == c.opt.Members.Self() {
		c.home.push(m)
		return
	}
	_ = c.opt.Caller.Call(ctx, c.opt.Members.Addr(home), m, &wire.Done{})
}

// runReleases sends what has gathered while the batch before was under way.
func (c *Client) runReleases(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.pushes:
		}
		if !c.sendReleases(ctx) {
			c.wakeLater()
		}
	}
}

// wakeLater repeats releases that did not reach their home.
func (c *Client) wakeLater() { time.AfterFunc(repeatAfter, c.wake) }

func (c *Client) sendReleases(ctx context.Context) bool {
	var g errgroup.Group
	c.lines.Range(func(_ string, l *line) bool {
		if e := l.takeEnded(); len(e) > 0 {
			g.Go(func() error { return c.sendLine(ctx, l, e) })
		}
		return true
	})
	return g.Wait() == nil
}

func (c *Client) sendLine(ctx context.Context, l *line, e []limit.Release) error {
	m := &wire.Release{Pool: l.pool, Slice: l.slice, Releases: e}
	err := c.sendRelease(ctx, c.homeOf(l), m)
	if err != nil {
		l.putEnded(e)
	}
	return err
}

func (c *Client) sendRelease(ctx context.Context, home string, m *wire.Release) error {
	if home == c.opt.Members.Self() {
		if !c.home.release(m) {
			return errNotHome
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.opt.Caller.Call(ctx, c.opt.Members.Addr(home), m, &wire.Done{})
}
