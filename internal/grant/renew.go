package grant

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// run renews grants until ctx ends.
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
	resp := &wire.RenewResponse{}
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

// push tells a home about grants that it does not know. Like an answer to a
// take-over, it voids what earlier tenures still have under way.
func (c *Client) push(ctx context.Context, home string, u wire.Tenure) {
	held, later, _ := c.line(u.Pool, u.Slice).takeover(home, u.Term)
	if later != "" {
		return
	}
	held.Holder, held.Boot = c.opt.Members.Self(), c.opt.Boot
	m := &wire.Holdings{Pool: u.Pool, Slice: u.Slice, Held: held}
	if home == c.opt.Members.Self() {
		c.home.push(m)
		return
	}
	// If the call fails the next renewal leads here again.
	_ = c.opt.Caller.Call(ctx, c.opt.Members.Addr(home), m, &wire.Ack{})
}

// giveBack sends releases until there are none left: each message has what
// gathered while the one before was under way.
func (c *Client) giveBack(l *line) {
	for {
		e := l.takeEnded()
		if len(e) == 0 {
			return
		}
		if c.sendReleases(l, e) == nil {
			continue
		}
		l.putEnded(e)
		if !c.rest() {
			return
		}
	}
}

// rest waits before a repetition; false once the client has stopped.
func (c *Client) rest() bool {
	timer := time.NewTimer(repeatAfter)
	defer timer.Stop()
	select {
	case <-c.stopped:
		return false
	case <-timer.C:
		return true
	}
}

func (c *Client) sendReleases(l *line, e []limit.Release) error {
	m := &wire.Release{Pool: l.pool, Slice: l.slice, Releases: e}
	home := c.homeOf(l)
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
