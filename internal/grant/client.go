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

// Client acquires grants for this daemon's requests and gives them back.
type Client struct {
	opt   Options
	home  *Home
	lines *shard.Map[*line]
	// loads has what homes last said of each pool's slices.
	loads *shard.Map[poolLoad]
	// stopped is closed when the client no longer renews.
	stopped chan struct{}
}

// Acquire asks the pool's home for a grant and waits for its decision. It asks
// again when the home moves or does not answer, until ctx or the deadline ends.
// Every error has outcome NotRun.
func (c *Client) Acquire(ctx context.Context, req limit.Request) (limit.Grant, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	req.Holder, req.Boot = c.opt.Members.Self(), c.opt.Boot
	base, hint := req.ID, ""
	for n := 0; ; n++ {
		if n > 0 {
			// Each attempt has an id of its own: a late answer to an earlier one
			// is then never taken for this one's.
			req.ID = base + "." + strconv.Itoa(n)
		}
		a := c.attempt(ctx, req, hint)
		if a.grant != nil {
			return *a.grant, nil
		}
		if a.refused != nil {
			return limit.Grant{}, a.refused
		}
		if a.hint != "" && hint == "" {
			hint = a.hint
			continue
		}
		// Two homes that name each other must not make this a spin.
		hint = ""
		if err := c.pause(ctx, a.moved); err != nil {
			return limit.Grant{}, err
		}
	}
}

// pause waits before another attempt until the members change or a short time
// passes.
func (c *Client) pause(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(repeatAfter)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fault.Refuse(fault.Unavailable, "try again; see status for the daemons that live", "no home answered in time")
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// attempted is the end of one attempt to get a grant.
type attempted struct {
	grant   *limit.Grant
	refused error
	// hint is the home to try next; "" for the owner.
	hint string
	// moved is closed when the members change.
	moved <-chan struct{}
}

func (c *Client) attempt(ctx context.Context, req limit.Request, hint string) attempted {
	moved := c.opt.Members.Changed()
	slice := c.slice(&req)
	home := hint
	if home == "" {
		home = c.owner(req.Pool, slice)
	}
	if home == "" {
		return attempted{moved: moved}
	}
	l := c.line(req.Pool, slice)
	req.Seq = l.expect(req.ID)
	defer l.unexpect(req.ID)
	m, err := c.ask(ctx, home, &wire.Acquire{Slice: slice, Term: l.latestTerm(), Request: req}, moved)
	if err != nil {
		go c.withdraw(home, req, slice)
		return attempted{moved: moved}
	}
	c.noteLoad(req.Pool, slice, m)
	switch {
	case m.Refused != nil:
		return attempted{refused: m.Refused.Fault()}
	case m.Grant != nil && l.accept(*m.Grant):
		return attempted{grant: m.Grant}
	case m.Grant != nil:
		go c.withdraw(home, req, slice)
	case m.NotHome && m.Home != home:
		return attempted{hint: m.Home, moved: moved}
	}
	return attempted{moved: moved}
}

func (c *Client) owner(pool string, slice int) string {
	if c.opt.LocalLimits {
		return c.opt.Members.Self()
	}
	return c.home.owner(pool, slice)
}

// homeOf returns the daemon that keeps account of what the line holds: the one
// that announced itself last while it lives, or else the owner.
func (c *Client) homeOf(l *line) string {
	if last, _ := l.latest(); last != "" && slices.Contains(c.opt.Members.Live(), last) {
		return last
	}
	return c.owner(l.pool, l.slice)
}

// ask sends the question and waits for the answer, for the end of ctx, or until
// the members change and the pool with them.
func (c *Client) ask(ctx context.Context, home string, m *wire.Acquire, moved <-chan struct{}) (*wire.AcquireResponse, error) {
	if home == c.opt.Members.Self() {
		return c.home.acquire(ctx, m), nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go c.watch(home, m, moved, stop, cancel)
	resp := &wire.AcquireResponse{}
	err := c.opt.Caller.Call(ctx, c.opt.Members.Addr(home), m, resp)
	return resp, err
}

// watch cancels a question when the pool's owner changes, or when the daemon
// that was asked is gone.
func (c *Client) watch(home string, m *wire.Acquire, moved, stop <-chan struct{}, cancel func()) {
	owner := c.owner(m.Request.Pool, m.Slice)
	for {
		select {
		case <-stop:
			return
		case <-moved:
		}
		moved = c.opt.Members.Changed()
		if c.owner(m.Request.Pool, m.Slice) != owner || !slices.Contains(c.opt.Members.Live(), home) {
			cancel()
			return
		}
	}
}

// withdraw tells a home that an answer is no longer wanted. If the message is
// lost, the next renewal tells the same.
func (c *Client) withdraw(home string, req limit.Request, slice int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	m := &wire.Cancel{Pool: req.Pool, Slice: slice, Request: req.ID}
	_ = c.opt.Caller.Call(ctx, c.opt.Members.Addr(home), m, &wire.Ack{})
}

// Release gives a grant back. It does not wait; the message is repeated until
// the pool's home has it.
func (c *Client) Release(g limit.Grant, r limit.Result) {
	l := c.line(g.Pool, g.Slice)
	if l.release(time.Now(), limit.Release{Grant: g.ID, Result: r}) {
		go c.giveBack(l)
	}
}

// line returns what this daemon holds of a slice.
func (c *Client) line(pool string, slice int) *line {
	return c.lines.GetOrMake(SliceKey(pool, slice), func() *line { return newLine(pool, slice) })
}

// takeover notes the pool's new home and adds all that this daemon holds, or
// the later tenure that it knows of.
func (c *Client) takeover(m *wire.Takeover, resp *wire.Holdings) {
	resp.Held, resp.LaterHome, resp.LaterTerm = c.line(m.Pool, m.Slice).takeover(m.Home, m.Term)
	resp.Held.Holder, resp.Held.Boot = c.opt.Members.Self(), c.opt.Boot
}
