// Package respconn rejects HTTP/1.1 responses with an invalid head on the connections of
// an HTTP client that accepts them: fasthttp reports status 000 as 200, and reads names
// of fields with blanks.
package respconn

import (
	"net"

	"github.com/ragwortquay/ragwortquay/internal/respcheck"
)

// Conn is a connection on which a read fails as soon as the head of the response to the
// last request proves invalid, or to be that of an interim response. Requests on it must
// not ask for those. It is used by one goroutine at a time, for one request after the
// other.
type Conn struct {
	net.Conn
	head respcheck.HeadScanner
}

// New returns c with the check.
func New(c net.Conn) *Conn { return &Conn{Conn: c, head: respcheck.HeadScanner{FinalOnly: true}} }

// Write sends a part of a request.
func (c *Conn) Write(b []byte) (int, error) {
	c.head.Reset()
	return c.Conn.Write(b)
}

// Read reads a part of the response.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if invalid := c.head.Scan(b[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}
