package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxDatagram bounds one datagram.
const maxDatagram = 64 << 10

// udpLink forwards datagrams; each client has a socket of its own towards the
// target, so that answers find their way back.
type udpLink struct {
	switches *switches
	conn     *net.UDPConn
	target   *net.UDPAddr
	wg       sync.WaitGroup

	mu      sync.Mutex
	clients map[string]*udpClient
	closed  bool
}

type udpClient struct {
	addr   *net.UDPAddr
	up     *net.UDPConn
	silent bool // guarded by the link's lock
	passed [2]int64
}

func newUDP(o LinkOptions, s *switches) (*udpLink, string, error) {
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
	u := &udpLink{switches: s, conn: conn, target: target, clients: make(map[string]*udpClient)}
	u.wg.Go(u.receive)
	return u, conn.LocalAddr().String(), nil
}

func (u *udpLink) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := u.conn.ReadFromUDP(buf)
		if err != nil {
			if u.isClosed() {
				return
			}
			continue
		}
		if c := u.client(from); c != nil {
			u.send(ToTarget, c, append([]byte(nil), buf[:n]...))
		}
	}
}

// client returns the sender's entry, a new one if it is unknown.
func (u *udpLink) client(from *net.UDPAddr) *udpClient {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c, ok := u.clients[from.String()]; ok || u.closed {
		return c
	}
	up, err := net.DialUDP("udp", nil, u.target)
	if err != nil {
		return nil
	}
	c := &udpClient{addr: from, up: up}
	u.clients[from.String()] = c
	u.wg.Go(func() { u.answers(c) })
	return c
}

func (u *udpLink) answers(c *udpClient) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.up.Read(buf)
		if err != nil {
			if u.forgotten(c) {
				return
			}
			continue // an ICMP refusal: the target may come back
		}
		u.send(ToClient, c, append([]byte(nil), buf[:n]...))
	}
}

// send passes one datagram on, now or after the delay, unless it is dropped.
func (u *udpLink) send(d Direction, c *udpClient, data []byte) {
	f, _ := u.switches.get()
	f = f.of(c.addr.IP)
	if f.Refuse || !u.account(f, d, c, int64(len(data))) {
		return
	}
	if d == ToClient && u.switches.takeAnswer() {
		return
	}
	if f.DelayMS <= 0 {
		u.write(d, c, data)
		return
	}
	time.AfterFunc(f.delay(), func() { u.write(d, c, data) })
}

// account counts a datagram and reports whether it may pass.
func (u *udpLink) account(f Faults, d Direction, c *udpClient, n int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	allowed := f.allowance(d, c.passed[d])
	if c.silent || (allowed >= 0 && allowed < n) {
		return false
	}
	c.passed[d] += n
	return true
}

func (u *udpLink) write(d Direction, c *udpClient, data []byte) {
	if d == ToTarget {
		_, _ = c.up.Write(data)
		return
	}
	_, _ = u.conn.WriteToUDP(data, c.addr)
}

func (u *udpLink) isClosed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.closed
}

func (u *udpLink) forgotten(c *udpClient) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.closed || u.clients[c.addr.String()] != c
}

// refuse needs no listener: send drops everything while the fault is set.
func (u *udpLink) refuse(bool) error { return nil }

// cut forgets all clients.
func (u *udpLink) cut() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for k, c := range u.clients {
		delete(u.clients, k)
		_ = c.up.Close()
	}
}

func (u *udpLink) silence() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.clients {
		c.silent = true
	}
}

func (u *udpLink) close() {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	_ = u.conn.Close()
	u.cut()
	u.wg.Wait()
}
