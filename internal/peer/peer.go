// Package peer implements calls between daemons. It sends the frames of package
// wire over authenticated TCP connections and multiplexes calls on one
// connection per peer. Apart from the handshake and the ping it does not
// interpret messages, and it never sends a request twice.
//
// The handshake proves that both ends hold a cluster key. Later frames are
// neither signed nor encrypted, so the network between daemons must prevent
// third parties from altering connections.
package peer

import (
	"time"
)

// Keys provides the cluster keys. The first key signs; all keys verify. Keys are
// read for each handshake and datagram, so that a key can be rotated without a
// restart: add the new key in second place on all daemons, then move it to
// first place, then remove the old key.
type Keys interface {
	Keys() [][]byte
}

// StaticKeys is a Keys whose keys never change.
type StaticKeys [][]byte

// Keys implements the Keys interface.
func (k StaticKeys) Keys() [][]byte { return k }

// Defaults and limits of connections. ClientOptions and ServerOptions describe
// the time-outs.
const (
	defaultHandshakeTimeout = 2 * time.Second
	defaultDialTimeout      = time.Second
	defaultCallTimeout      = 5 * time.Second
	defaultWriteTimeout     = 5 * time.Second
	defaultDrainTimeout     = 5 * time.Second
	// defaultServerIdleTimeout is longer than defaultClientIdleTimeout, so that
	// the client closes idle connections first and does not send a call on a
	// connection that the server is closing.
	defaultServerIdleTimeout = 2 * time.Minute
	defaultClientIdleTimeout = time.Minute
	defaultPingAfter         = time.Second
	defaultPingTimeout       = time.Second

	defaultMaxCalls = 1024
	defaultMaxConns = 2048
	// maxHandshakeFrameBytes limits frames from peers that are not yet
	// authenticated.
	maxHandshakeFrameBytes = 4 << 10
	// maxQueuedFrames limits the frames queued for a connection's writer.
	maxQueuedFrames = 256
)

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
