package faultproxy

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Network is the transport protocol of a link.
type Network string

// The supported transport protocols.
const (
	TCP Network = "tcp"
	UDP Network = "udp"
)

// LinkOptions configures a link.
type LinkOptions struct {
	Name    string  `json:"name"`
	Network Network `json:"network"`
	// Listen is the host:port to listen on; port 0 picks a free port.
	Listen string `json:"listen"`
	// Target is the host:port to forward to.
	Target string `json:"target"`
}

// Link forwards the traffic of one listen address to one target and injects faults.
type Link struct {
	opts    LinkOptions
	addr    string
	state   *faultState
	forward forwarder
}

// forwarder is the transport-specific part of a link.
type forwarder interface {
	// setRefuse closes the listener if its argument is true, else reopens it.
	setRefuse(bool) error
	// resetConnections resets the open connections.
	resetConnections()
	// blackHoleConnections permanently blocks all traffic of the open connections.
	blackHoleConnections()
	close()
}

// NewLink binds the listen address and starts to forward.
func NewLink(o LinkOptions) (*Link, error) {
	l := &Link{opts: o, state: newFaultState()}
	var err error
	switch o.Network {
	case TCP:
		l.forward, l.addr, err = newTCP(o, l.state)
	case UDP:
		l.forward, l.addr, err = newUDP(o, l.state)
	default:
		err = eris.Errorf("link %s: unknown network %q", o.Name, o.Network)
	}
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Name returns the name that identifies the link in FaultRequest.Links.
func (l *Link) Name() string { return l.opts.Name }

// Addr returns the host:port that the link listens on.
func (l *Link) Addr() string { return l.addr }

// SetFaults replaces the current faults.
func (l *Link) SetFaults(f Faults) error {
	l.state.set(f)
	return l.forward.setRefuse(f.Refuse)
}

// Faults returns the current faults.
func (l *Link) Faults() Faults {
	f, _ := l.state.get()
	return f
}

// Heal clears all faults. Connections that BlackHoleConnections has affected stay
// black-holed.
func (l *Link) Heal() error { return l.SetFaults(Faults{}) }

// ResetConnections resets the open connections. A UDP link closes the upstream
// socket of each client.
func (l *Link) ResetConnections() { l.forward.resetConnections() }

// BlackHoleConnections permanently blocks all traffic of the open connections
// without closing them. New connections are not affected.
func (l *Link) BlackHoleConnections() { l.forward.blackHoleConnections() }

// Close closes the listener and resets the open connections.
func (l *Link) Close() { l.forward.close() }

// tcpLink is the forwarder of TCP links.
type tcpLink struct {
	opts  LinkOptions
	addr  string
	state *faultState
	wg    sync.WaitGroup

	mu     sync.Mutex
	ln     net.Listener
	pairs  map[*connPair]struct{}
	closed bool
}

func newTCP(o LinkOptions, s *faultState) (*tcpLink, string, error) {
	ln, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, "", eris.Wrapf(err, "link %s", o.Name)
	}
	t := &tcpLink{opts: o, addr: ln.Addr().String(), state: s, pairs: make(map[*connPair]struct{})}
	t.acceptFrom(ln)
	return t, t.addr, nil
}

// acceptFrom accepts connections from ln until ln is closed. The caller holds t.mu,
// or t is not shared yet.
func (t *tcpLink) acceptFrom(ln net.Listener) {
	t.ln = ln
	t.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.wg.Go(func() { t.serveClient(ln, c.(*net.TCPConn)) })
		}
	})
}

// serveClient connects client to the target and forwards until both directions
// have ended. If the target is unreachable, it resets client.
func (t *tcpLink) serveClient(ln net.Listener, client *net.TCPConn) {
	upstream, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", t.opts.Target)
	if err != nil {
		resetConn(client)
		return
	}
	p := newConnPair(client, upstream.(*net.TCPConn), t.state)
	if !t.addPair(ln, p) {
		p.abort()
		return
	}
	p.run()
	t.removePair(p)
}

// addPair registers p and reports true, or reports false if ln, which accepted the
// client, has been closed since.
func (t *tcpLink) addPair(ln net.Listener, p *connPair) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ln != ln {
		return false
	}
	t.pairs[p] = struct{}{}
	return true
}

func (t *tcpLink) removePair(p *connPair) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pairs, p)
}

func (t *tcpLink) setRefuse(on bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if on && t.ln != nil {
		_ = t.ln.Close()
		t.ln = nil
	}
	if on || t.ln != nil || t.closed {
		return nil
	}
	ln, err := net.Listen("tcp", t.addr)
	if err != nil {
		return eris.Wrapf(err, "link %s", t.opts.Name)
	}
	t.acceptFrom(ln)
	return nil
}

func (t *tcpLink) openPairs() []*connPair {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*connPair, 0, len(t.pairs))
	for p := range t.pairs {
		out = append(out, p)
	}
	return out
}

func (t *tcpLink) resetConnections() {
	for _, p := range t.openPairs() {
		p.abort()
	}
}

func (t *tcpLink) blackHoleConnections() {
	for _, p := range t.openPairs() {
		p.blackHole()
	}
}

func (t *tcpLink) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	_ = t.setRefuse(true)
	t.resetConnections()
	t.wg.Wait()
}
