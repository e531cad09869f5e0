package peer

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// onCallTimeout handles the time-out of a call that started at start. If nothing
// was received since then, the connection may be broken although the peer is
// healthy: onCallTimeout moves new calls to a new connection and pings the peer
// on this one.
func (c *clientConn) onCallTimeout(start time.Time) {
	c.mu.Lock()
	unresponsive := c.lastRead.Before(start) && c.closeErr == nil
	if unresponsive {
		c.detached = true
	}
	c.mu.Unlock()
	if !unresponsive {
		return
	}
	c.addrConn.detach(c)
	c.ping()
}

// onTimer closes an idle or unresponsive connection and pings the peer if
// responses are overdue.
func (c *clientConn) onTimer() {
	switch wait, err := c.checkLiveness(time.Now()); {
	case err != nil:
		if err == errPingTimeout {
			c.addrConn.client.counters.pingTimeouts.Add(1)
		}
		c.close(err)
	case wait == 0:
		c.ping()
	}
}

// checkLiveness returns an error if the connection is to be closed. Otherwise it
// returns the time until the next check, for which it has set the timer, or 0 if
// the peer is to be pinged now.
func (c *clientConn) checkLiveness(now time.Time) (time.Duration, error) {
	o := &c.addrConn.client.opts
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pingSentAt.IsZero() {
		if left := o.PingTimeout - now.Sub(c.pingSentAt); left > 0 {
			c.resetTimer(left)
			return left, nil
		}
		return 0, errPingTimeout
	}
	if len(c.calls) == 0 {
		return c.checkIdle(now)
	}
	since := c.lastRead
	if c.waitingSince.After(since) {
		since = c.waitingSince
	}
	left := o.PingAfter - now.Sub(since)
	if left > 0 {
		c.resetTimer(left)
		return left, nil
	}
	return 0, nil
}

// checkIdle is checkLiveness for a connection without pending calls. The caller
// holds mu.
func (c *clientConn) checkIdle(now time.Time) (time.Duration, error) {
	left := c.addrConn.client.opts.IdleTimeout - now.Sub(c.lastRead)
	if left <= 0 || c.detached {
		return 0, errIdle
	}
	c.resetTimer(left)
	return left, nil
}

// ping sends a ping and starts the ping time-out. Any frame from the peer ends
// the time-out.
func (c *clientConn) ping() {
	c.mu.Lock()
	if c.pingSentAt.IsZero() {
		c.pingSentAt = time.Now()
	}
	c.resetTimer(c.addrConn.client.opts.PingTimeout)
	c.mu.Unlock()
	body, err := wire.Marshal(&wire.Ping{})
	if err != nil {
		return
	}
	f := wire.Frame{Type: wire.TypePing, Body: body}
	// If the queue is full, the ping time-out runs as if the ping had been lost.
	select {
	case c.out.queue <- queuedFrame{frame: f}:
	default:
	}
}
