package target

import (
	"net"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// dialError is the error of an attempt whose connection could not be opened,
// so that the request never reached the target.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// silenceTimeouts bound how long a target may send nothing.
type silenceTimeouts struct {
	// firstByte bounds the wait for the first byte of a response, betweenReads
	// the wait for each later read. Zero means no bound.
	firstByte, betweenReads time.Duration
}

// silenceConn is a connection that applies silenceTimeouts to each read, in
// addition to the deadline that the HTTP client sets for the whole exchange.
// It is used by one goroutine at a time.
type silenceConn struct {
	net.Conn
	// onSilence is that of Response.OnSilence for the response being read, or nil.
	onSilence       func() bool
	timeouts        silenceTimeouts
	responseStarted bool      // a byte was read since the last write
	clientDeadline  time.Time // the HTTP client's read deadline; zero means none
}

// SetDeadline sets the deadline and records it as the limit for Read.
func (c *silenceConn) SetDeadline(t time.Time) error {
	c.clientDeadline = t
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the deadline and records it as the limit for Read.
func (c *silenceConn) SetReadDeadline(t time.Time) error {
	c.clientDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// Write sends a part of a request, after which Read awaits the first byte of
// its response.
func (c *silenceConn) Write(b []byte) (int, error) {
	c.responseStarted = false
	return c.Conn.Write(b)
}

// Read reads within the silence timeout and the HTTP client's deadline.
func (c *silenceConn) Read(b []byte) (int, error) {
	for {
		if d := c.readTimeout(); d > 0 {
			if err := c.Conn.SetReadDeadline(c.readDeadline(d)); err != nil {
				return 0, err
			}
		}
		n, err := c.Conn.Read(b)
		c.responseStarted = c.responseStarted || n > 0
		if n > 0 || !fault.IsTimeout(err) || !c.waitsOn() {
			return n, err
		}
	}
}

// waitsOn reports whether a read goes on after a silence timeout.
func (c *silenceConn) waitsOn() bool {
	expired := !c.clientDeadline.IsZero() && !time.Now().Before(c.clientDeadline)
	return !expired && c.onSilence != nil && c.onSilence()
}

// LocalAddr returns a connAddr. fasthttp keeps it in the response, and has no other way
// from a response to its connection.
func (c *silenceConn) LocalAddr() net.Addr { return connAddr{c.Conn.LocalAddr(), c} }

// connAddr is the local address of a connection, and the connection itself.
type connAddr struct {
	net.Addr
	conn *silenceConn
}

func (c *silenceConn) readTimeout() time.Duration {
	if c.responseStarted {
		return c.timeouts.betweenReads
	}
	return c.timeouts.firstByte
}

// readDeadline returns the earlier of the end of the silence timeout d and the
// HTTP client's deadline.
func (c *silenceConn) readDeadline(d time.Duration) time.Time {
	t := time.Now().Add(d)
	if !c.clientDeadline.IsZero() && c.clientDeadline.Before(t) {
		return c.clientDeadline
	}
	return t
}
