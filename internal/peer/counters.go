package peer

import (
	"net"
	"sync/atomic"
)

// Counters are the totals of a client or server since its start.
type Counters struct {
	BytesIn  uint64
	BytesOut uint64
	// Conns counts the connections that completed the handshake.
	Conns uint64
	// PingTimeouts counts the connections closed because the peer sent nothing
	// within the ping time-out.
	PingTimeouts uint64
}

// connCounters is the internal form of Counters, updated concurrently.
type connCounters struct {
	bytesIn, bytesOut, conns, pingTimeouts atomic.Uint64
}

func (c *connCounters) snapshot() Counters {
	return Counters{
		BytesIn:      c.bytesIn.Load(),
		BytesOut:     c.bytesOut.Load(),
		Conns:        c.conns.Load(),
		PingTimeouts: c.pingTimeouts.Load(),
	}
}

// countedConn counts the bytes read from and written to a connection.
type countedConn struct {
	net.Conn
	counters *connCounters
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesIn.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.bytesOut.Add(uint64(n))
	return n, err
}
