package target

import (
	"net"
	"time"
)

// dialError marks an attempt that never reached the target.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// silenceConn is a connection on which each read waits at most for silence,
// besides the deadline that the HTTP client sets for the whole exchange. One
// goroutine uses a connection at a time.
type silenceConn struct {
	net.Conn
	silence time.Duration
	limit   time.Time // the client's read deadline; zero means none
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

// Read reads within the silence bound and the client's deadline.
func (c *silenceConn) Read(b []byte) (int, error) {
	if c.silence > 0 {
		if err := c.Conn.SetReadDeadline(c.next()); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(b)
}

func (c *silenceConn) next() time.Time {
	t := time.Now().Add(c.silence)
	if !c.limit.IsZero() && c.limit.Before(t) {
		return c.limit
	}
	return t
}
