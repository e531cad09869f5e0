package peer

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// suspect is told of a call that ran out of time. If the peer sent nothing
// since the call began, the connection may have gone silent while the peer is
// well: new calls get a new connection, and this one is probed.
func (c *clientConn) suspect(begin time.Time) {
	c.mu.Lock()
	silent := c.lastRead.Before(begin) && c.failure == nil
	if silent {
		c.detached = true
	}
	c.mu.Unlock()
	if !silent {
		return
	}
	c.link.detach(c)
	c.ping()
}

// check runs when the timer fires: it closes an idle or silent connection,
// pings one whose answers are late, and sets the timer for what comes next.
func (c *clientConn) check() {
	switch next, err := c.verdict(time.Now()); {
	case err != nil:
		if err == errSilent {
			c.link.client.meter.silent.Add(1)
		}
		c.close(err)
	case next == 0:
		c.ping()
	}
}

// verdict returns the error to close with, or the time to the next check, for
// which the timer is set; 0 asks for a ping.
func (c *clientConn) verdict(now time.Time) (time.Duration, error) {
	o := &c.link.client.opts
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pinged.IsZero() {
		if left := o.PingTimeout - now.Sub(c.pinged); left > 0 {
			c.rearm(left)
			return left, nil
		}
		return 0, errSilent
	}
	if len(c.calls) == 0 {
		return c.idle(now)
	}
	since := c.lastRead
	if c.waitFrom.After(since) {
		since = c.waitFrom
	}
	left := o.PingAfter - now.Sub(since)
	if left > 0 {
		c.rearm(left)
		return left, nil
	}
	return 0, nil
}

// idle decides on a connection without calls.
func (c *clientConn) idle(now time.Time) (time.Duration, error) {
	left := c.link.client.opts.IdleTimeout - now.Sub(c.lastRead)
	if left <= 0 || c.detached {
		return 0, errIdle
	}
	c.rearm(left)
	return left, nil
}

// ping asks for a sign of life; any frame from the peer counts as one.
func (c *clientConn) ping() {
	c.mu.Lock()
	if c.pinged.IsZero() {
		c.pinged = time.Now()
	}
	c.rearm(c.link.client.opts.PingTimeout)
	c.mu.Unlock()
	body, err := wire.Marshal(&wire.Ping{})
	if err != nil {
		return
	}
	f := wire.Frame{Type: wire.TypePing, Body: body}
	// A full queue says as much as a lost ping: the probe's time runs.
	select {
	case c.out.queue <- outgoing{frame: f}:
	default:
	}
}
