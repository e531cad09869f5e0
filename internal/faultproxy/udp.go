package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxDatagramBytes is the size of the receive buffer for one datagram.
const maxDatagramBytes = 64 << 10

// udpLink is the forwarder of UDP links. Each client has its own socket to the
// target, so that responses can be matched to the client.
type udpLink struct {
	state  *faultState
	conn   *net.UDPConn
	target *net.UDPAddr
	wg     sync.WaitGroup

	mu      sync.Mutex
	clients map[string]*udpClient
	closed  bool
}

// udpClient is the forwarding state of one client address.
type udpClient struct {
	addr           *net.UDPAddr
	upstream       *net.UDPConn
	blackHoled     bool // guarded by udpLink.mu
	forwardedBytes [2]int64
}

func newUDP(o LinkOptions, s *faultState) (*udpLink, string, error) {
	target, err := net.ResolveUDPAddr("udp", o.Target)
	if err != nil {
		return nil, "", eris.Wrapf(err, "link %s", o.Name)
	}
	listen, err := net.ResolveUDPAddr("udp", o.Listen)
	if err != nil {
		return nil, "", eris.Wrapf(err, "link %s", o.Name)
	}
	conn, err := net.ListenUDP("udp", listen)
	if err != nil {
		return nil, "", eris.Wrapf(err, "link %s", o.Name)
	}
	u := &udpLink{state: s, conn: conn, target: target, clients: make(map[string]*udpClient)}
	u.wg.Go(u.forwardRequests)
	return u, conn.LocalAddr().String(), nil
}

// forwardRequests forwards datagrams from clients until the link is closed.
func (u *udpLink) forwardRequests() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := u.conn.ReadFromUDP(buf)
		if err != nil {
			if u.isClosed() {
				return
			}
			continue
		}
		if c := u.clientFor(from); c != nil {
			u.send(ToTarget, c, append([]byte(nil), buf[:n]...))
		}
	}
}

// clientFor returns the entry of the client address and creates it if missing. It
// returns nil if it can't create one, because the link is closed or no socket can be
// opened.
func (u *udpLink) clientFor(from *net.UDPAddr) *udpClient {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c, ok := u.clients[from.String()]; ok || u.closed {
		return c
	}
	upstream, err := net.DialUDP("udp", nil, u.target)
	if err != nil {
		return nil
	}
	c := &udpClient{addr: from, upstream: upstream}
	u.clients[from.String()] = c
	u.wg.Go(func() { u.forwardResponses(c) })
	return c
}

// forwardResponses forwards datagrams from the target to c until c is removed.
func (u *udpLink) forwardResponses(c *udpClient) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, err := c.upstream.Read(buf)
		if err != nil {
			if u.removed(c) {
				return
			}
			continue // ICMP port unreachable: the target may be restarted
		}
		u.send(ToClient, c, append([]byte(nil), buf[:n]...))
	}
}

// send forwards one datagram after the configured delay, or drops it as the faults
// require.
func (u *udpLink) send(d Direction, c *udpClient, data []byte) {
	f, _ := u.state.get()
	f = f.forClient(c.addr.IP)
	if f.Refuse || !u.admit(f, d, c, int64(len(data))) {
		return
	}
	if d == ToClient && u.state.takeResponseDrop() {
		return
	}
	if f.DelayMS <= 0 {
		u.writeDatagram(d, c, data)
		return
	}
	time.AfterFunc(f.delay(), func() { u.writeDatagram(d, c, data) })
}

// admit reports whether a datagram of n bytes may be forwarded, and counts its bytes
// if so.
func (u *udpLink) admit(f Faults, d Direction, c *udpClient, n int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	allowed := f.allowedBytes(d, c.forwardedBytes[d])
	if c.blackHoled || (allowed >= 0 && allowed < n) {
		return false
	}
	c.forwardedBytes[d] += n
	return true
}

func (u *udpLink) writeDatagram(d Direction, c *udpClient, data []byte) {
	if d == ToTarget {
		_, _ = c.upstream.Write(data)
		return
	}
	_, _ = u.conn.WriteToUDP(data, c.addr)
}

func (u *udpLink) isClosed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.closed
}

// removed reports whether c is no longer registered, or the link is closed.
func (u *udpLink) removed(c *udpClient) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.closed || u.clients[c.addr.String()] != c
}

// setRefuse does nothing: send drops all datagrams while Faults.Refuse is set.
func (u *udpLink) setRefuse(bool) error { return nil }

// resetConnections removes all clients and closes their upstream sockets.
func (u *udpLink) resetConnections() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for k, c := range u.clients {
		delete(u.clients, k)
		_ = c.upstream.Close()
	}
}

func (u *udpLink) blackHoleConnections() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.clients {
		c.blackHoled = true
	}
}

func (u *udpLink) close() {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	_ = u.conn.Close()
	u.resetConnections()
	u.wg.Wait()
}
