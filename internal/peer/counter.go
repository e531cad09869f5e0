package peer

import (
	"net"
	"sync/atomic"
)

// Counters are the bytes and connections of a client or server so far.
type Counters struct {
	BytesIn  uint64
	BytesOut uint64
	// Conns counts the connections that completed the handshake.
	Conns uint64
	// PingTimeouts counts the connections closed because the peer did not answer.
	PingTimeouts uint64
}

type meter struct {
	in, out, conns, silent atomic.Uint64
}

func (m *meter) snapshot() Counters {
	return Counters{
		BytesIn:      m.in.Load(),
		BytesOut:     m.out.Load(),
		Conns:        m.conns.Load(),
		PingTimeouts: m.silent.Load(),
	}
}

// countedConn counts the bytes that pass through a connection.
type countedConn struct {
	net.Conn
	meter *meter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.in.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.out.Add(uint64(n))
	return n, err
}
