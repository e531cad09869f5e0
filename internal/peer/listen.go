package peer

import (
	"net"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// maxListenAttempts limits the search for a port that is free for TCP and UDP.
const maxListenAttempts = 20

// Listen opens addr over TCP for calls and over UDP for membership datagrams.
// With port 0 it chooses a port that is free for both protocols.
func Listen(addr string) (net.Listener, net.PacketConn, error) {
	var err error
	for range maxListenAttempts {
		var ln net.Listener
		if ln, err = net.Listen("tcp", addr); err != nil {
			break
		}
		var conn net.PacketConn
		if conn, err = net.ListenPacket("udp", ln.Addr().String()); err == nil {
			return ln, conn, nil
		}
		_ = ln.Close()
		if _, port, _ := net.SplitHostPort(addr); port != "0" {
			break
		}
	}
	return nil, nil, fault.Wrap(fault.BadInput, err, "choose an address of this VM whose port is free for TCP and UDP", "listen.peers: %s", addr)
}
