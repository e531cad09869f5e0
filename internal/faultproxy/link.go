package faultproxy

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Network is the transport of a link.
type Network string

// The networks.
const (
	TCP Network = "tcp"
	UDP Network = "udp"
)

// LinkOptions describe one link.
type LinkOptions struct {
	Name    string  `json:"name"`
	Network Network `json:"network"`
	// Listen is the host:port to listen on; a port of 0 is bound to a free one.
	Listen string `json:"listen"`
	// Target is the host:port to forward to.
	Target string `json:"target"`
}

// Link forwards one address to one target.
type Link struct {
	opts     LinkOptions
	addr     string
	switches *switches
	forward  forwarder
}

// forwarder is the part of a link that depends on the network.
type forwarder interface {
	// refuse opens or closes the listener.
	refuse(bool) error
	// cut breaks what is open; silence makes it swallow everything for good.
	cut()
	silence()
	close()
}

// NewLink starts to forward.
func NewLink(o LinkOptions) (*Link, error) {
	l := &Link{opts: o, switches: newSwitches()}
	var err error
	switch o.Network {
	case TCP:
		l.forward, l.addr, err = newTCP(o, l.switches)
	case UDP:
		l.forward, l.addr, err = newUDP(o, l.switches)
	default:
		err = eris.Errorf("link %s: unknown network %q", o.Name, o.Network)
	}
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Name returns the link's name.
func (l *Link) Name() string { return l.opts.Name }

// Addr returns the bound host:port.
func (l *Link) Addr() string { return l.addr }

// SetFaults replaces the faults in force.
func (l *Link) SetFaults(f Faults) error {
	l.switches.set(f)
	return l.forward.refuse(f.Refuse)
}

// Faults returns the faults in force.
func (l *Link) Faults() Faults {
	f, _ := l.switches.get()
	return f
}

// Heal ends all faults. Silenced connections stay silent.
func (l *Link) Heal() error { return l.SetFaults(Faults{}) }

// ResetConnections resets the open connections.
func (l *Link) ResetConnections() { l.forward.cut() }

// BlackHoleConnections makes the open connections swallow everything for good, while new
// ones work.
func (l *Link) BlackHoleConnections() { l.forward.silence() }

// Close ends the link.
func (l *Link) Close() { l.forward.close() }

// tcpLink forwards TCP connections.
type tcpLink struct {
	opts     LinkOptions
	addr     string
	switches *switches
	wg       sync.WaitGroup

	mu     sync.Mutex
	ln     net.Listener
	pairs  map[*pair]struct{}
	closed bool
}

func newTCP(o LinkOptions, s *switches) (*tcpLink, string, error) {
	ln, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, "", eris.Wrapf(err, "link %s", o.Name)
	}
	t := &tcpLink{opts: o, addr: ln.Addr().String(), switches: s, pairs: make(map[*pair]struct{})}
	t.listen(ln)
	return t, t.addr, nil
}

// listen accepts from ln. t.mu is held, or t is not yet shared.
func (t *tcpLink) listen(ln net.Listener) {
	t.ln = ln
	t.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.wg.Go(func() { t.open(ln, c.(*net.TCPConn)) })
		}
	})
}

func (t *tcpLink) open(ln net.Listener, client *net.TCPConn) {
	up, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", t.opts.Target)
	if err != nil {
		reset(client)
		return
	}
	p := newPair(client, up.(*net.TCPConn), t.switches)
	if !t.add(ln, p) {
		p.cut()
		return
	}
	p.run()
	t.remove(p)
}

func (t *tcpLink) add(ln net.Listener, p *pair) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ln != ln {
		return false
	}
	t.pairs[p] = struct{}{}
	return true
}

func (t *tcpLink) remove(p *pair) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pairs, p)
}

func (t *tcpLink) refuse(on bool) error {
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
	t.listen(ln)
	return nil
}

func (t *tcpLink) current() []*pair {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*pair, 0, len(t.pairs))
	for p := range t.pairs {
		out = append(out, p)
	}
	return out
}

func (t *tcpLink) cut() {
	for _, p := range t.current() {
		p.cut()
	}
}

func (t *tcpLink) silence() {
	for _, p := range t.current() {
		p.silence()
	}
}

func (t *tcpLink) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	_ = t.refuse(true)
	t.cut()
	t.wg.Wait()
}
