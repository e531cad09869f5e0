// Package host is the HTTP server that all stand-ins share: its listener and
// its connections can be broken on purpose while it runs. It knows nothing of
// what is served.
package host

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// MaxBodyBytes bounds a request to a stand-in.
const MaxBodyBytes = 64 << 20

// Host serves a handler on one address.
type Host struct {
	handler fasthttp.RequestHandler
	addr    string

	mu      sync.Mutex
	ln      net.Listener
	conns   map[*Conn]struct{}
	gate    chan struct{} // closed while the host runs, open while it is paused
	paused  bool
	stopped bool
	wg      sync.WaitGroup
}

// New listens on addr, a host:port whose port may be 0. Start begins to serve.
func New(addr string) (*Host, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	gate := make(chan struct{})
	close(gate)
	return &Host{addr: ln.Addr().String(), ln: ln, conns: make(map[*Conn]struct{}), gate: gate}, nil
}

// Start serves handler until Stop. It is called once.
func (h *Host) Start(handler fasthttp.RequestHandler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handler = handler
	if h.ln != nil {
		h.serve(h.ln)
	}
}

// Addr returns the bound host:port, which stays the same over Kill and Revive.
func (h *Host) Addr() string { return h.addr }

// Run waits for the end of ctx, then stops the host.
func (h *Host) Run(ctx context.Context) error {
	<-ctx.Done()
	h.Stop()
	return nil
}

// serve starts to accept from ln. h.mu is held.
func (h *Host) serve(ln net.Listener) {
	h.ln = ln
	server := &fasthttp.Server{
		Handler:               h.handler,
		Name:                  "standin",
		MaxRequestBodySize:    MaxBodyBytes,
		NoDefaultServerHeader: true,
		Logger:                discard{},
		Concurrency:           fasthttp.DefaultConcurrency,
	}
	h.wg.Go(func() { _ = server.Serve(&listener{Listener: ln, host: h}) })
}

// Kill closes the listener and cuts all connections.
func (h *Host) Kill() {
	h.mu.Lock()
	if h.ln != nil {
		_ = h.ln.Close()
		h.ln = nil
	}
	h.mu.Unlock()
	h.ResetConns()
}

// Revive listens again on the same address and ends a pause. A living host
// keeps its listener.
func (h *Host) Revive() error {
	h.Resume()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ln != nil || h.stopped {
		return nil
	}
	ln, err := net.Listen("tcp", h.addr)
	if err != nil {
		return eris.Wrapf(err, "listen again on %s", h.addr)
	}
	h.serve(ln)
	return nil
}

// Stop ends the host for good.
func (h *Host) Stop() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.Resume()
	h.Kill()
	h.wg.Wait()
}

// Pause makes the host accept connections and answer nothing until Resume.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.paused && !h.stopped {
		h.paused = true
		h.gate = make(chan struct{})
	}
}

// Resume ends a pause.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused {
		h.paused = false
		close(h.gate)
	}
}

// Answering reports whether the host is alive and not paused.
func (h *Host) Answering() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ln != nil && !h.paused
}

// Unpaused returns a channel that is closed while the host is not paused.
func (h *Host) Unpaused() <-chan struct{} { return h.unpaused() }

func (h *Host) unpaused() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate
}

// BlackHoleConns makes the connections that exist now swallow everything for good.
func (h *Host) BlackHoleConns() {
	for _, c := range h.open() {
		c.BlackHole()
	}
}

// ResetConns resets all connections.
func (h *Host) ResetConns() {
	for _, c := range h.open() {
		c.Reset()
	}
}

func (h *Host) open() []*Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*Conn, 0, len(h.conns))
	for c := range h.conns {
		out = append(out, c)
	}
	return out
}

func (h *Host) forget(c *Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
}

// admit remembers a new connection unless the host was killed meanwhile.
func (h *Host) admit(c *Conn, ln net.Listener) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ln != ln {
		return false
	}
	h.conns[c] = struct{}{}
	return true
}

// listener wraps each accepted connection.
type listener struct {
	net.Listener
	host *Host
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(raw, l.host)
	if !l.host.admit(c, l.Listener) {
		c.Reset()
		return nil, net.ErrClosed
	}
	return c, nil
}

// discard drops the library's log lines: broken connections are the purpose.
type discard struct{}

// Printf drops a line.
func (discard) Printf(string, ...any) {}
