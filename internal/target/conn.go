package target

import (
	"net"
	"time"
)

// dialError marks an attempt that never reached the target.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// silence bounds how long a target may send nothing.
type silence struct {
	// first bounds the wait for the first byte of an answer, between the wait
	// for each later one. Zero means no bound.
	first, between time.Duration
}

// silenceConn is a connection on which each read waits at most for the silence
// bound, besides the deadline that the HTTP client sets for the whole
// exchange. One goroutine uses a connection at a time.
type silenceConn struct {
	net.Conn
	bound    silence
	answered bool      // since the last write
	limit    time.Time // the client's read deadline; zero means none
}

// SetDeadline remembers the read part for Read.
func (c *silenceConn) SetDeadline(t time.Time) error {
	c.limit = t
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline remembers the deadline for Read.
func (c *silenceConn) SetReadDeadline(t time.Time) error {
	c.limit = t
	return c.Conn.SetReadDeadline(t)
}

// Write begins an exchange.
func (c *silenceConn) Write(b []byte) (int, error) {
	c.answered = false
	return c.Conn.Write(b)
}

// Read reads within the silence bound and the client's deadline.
func (c *silenceConn) Read(b []byte) (int, error) {
	if d := c.patience(); d > 0 {
		if err := c.Conn.SetReadDeadline(c.next(d)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	c.answered = c.answered || n > 0
	return n, err
}

func (c *silenceConn) patience() time.Duration {
	if c.answered {
		return c.bound.between
	}
	return c.bound.first
}

func (c *silenceConn) next(d time.Duration) time.Time {
	t := time.Now().Add(d)
	if !c.limit.IsZero() && c.limit.Before(t) {
		return c.limit
	}
	return t
}
