package main

import (
	"net"
	"sync"
)

// gate is a TCP proxy on the path between one daemon and the store. While it is cut it
// holds all bytes in both directions, as a silent partition does.
type gate struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	cut    bool
	healed chan struct{}
	conns  map[net.Conn]struct{}
}

func newGate(target string) (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{listener: l, target: target, healed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go g.accept()
	return g, nil
}

func (g *gate) addr() string { return g.listener.Addr().String() }

func (g *gate) accept() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.forward(c)
	}
}

func (g *gate) forward(c net.Conn) {
	defer g.track(c)()
	g.pass()
	up, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer g.track(up)()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{c, up}, {up, c}} {
		go func() {
			g.copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// track remembers a connection and returns the function that closes it.
func (g *gate) track(c net.Conn) func() {
	g.mu.Lock()
	g.conns[c] = struct{}{}
	g.mu.Unlock()
	return func() {
		g.mu.Lock()
		delete(g.conns, c)
		g.mu.Unlock()
		_ = c.Close()
	}
}

func (g *gate) copy(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		g.pass()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass returns when the path is not cut.
func (g *gate) pass() {
	g.mu.Lock()
	cut, healed := g.cut, g.healed
	g.mu.Unlock()
	if cut {
		<-healed
	}
}

func (g *gate) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut && !cut {
		close(g.healed)
		g.healed = make(chan struct{})
	}
	g.cut = cut
}

func (g *gate) close() {
	_ = g.listener.Close()
	g.setCut(false)
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		_ = c.Close()
	}
}
