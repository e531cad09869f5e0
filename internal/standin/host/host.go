// Package host is the HTTP server that all stand-ins share. Faults can be
// injected into its listener and connections while it runs. It is independent
// of the protocol that is served.
package host

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// MaxBodyBytes bounds the body of a request to a stand-in.
const MaxBodyBytes = 64 << 20

// Host serves an HTTP handler on one address.
type Host struct {
	handler fasthttp.RequestHandler
	addr    string

	mu         sync.Mutex
	ln         net.Listener
	conns      map[*Conn]struct{}
	unpausedCh chan struct{} // closed while the host isn't paused
	paused     bool
	stopped    bool
	wg         sync.WaitGroup
}

// New listens on addr, a host:port whose port may be 0. Requests are served
// from Start on.
func New(addr string) (*Host, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	unpausedCh := make(chan struct{})
	close(unpausedCh)
	return &Host{addr: ln.Addr().String(), ln: ln, conns: make(map[*Conn]struct{}), unpausedCh: unpausedCh}, nil
}

// Start serves handler until Stop. It must be called only once.
func (h *Host) Start(handler fasthttp.RequestHandler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handler = handler
	if h.ln != nil {
		h.serve(h.ln)
	}
}

// Addr returns the bound host:port, which Kill and Revive don't change.
func (h *Host) Addr() string { return h.addr }

// Run waits until ctx ends, then stops the host.
func (h *Host) Run(ctx context.Context) error {
	<-ctx.Done()
	h.Stop()
	return nil
}

// serve starts a server on ln. h.mu must be held.
func (h *Host) serve(ln net.Listener) {
	h.ln = ln
	server := &fasthttp.Server{
		Handler:               h.handler,
		Name:                  "standin",
		MaxRequestBodySize:    MaxBodyBytes,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
		Concurrency:           fasthttp.DefaultConcurrency,
	}
	h.wg.Go(func() { _ = server.Serve(&listener{Listener: ln, host: h}) })
}

// Kill closes the listener and resets all connections.
func (h *Host) Kill() {
	h.mu.Lock()
	if h.ln != nil {
		_ = h.ln.Close()
		h.ln = nil
	}
	h.mu.Unlock()
	h.ResetConns()
}

// Revive ends a pause and, after Kill, listens again on the same address. It does
// nothing more if the host still listens or was stopped.
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

// Stop kills the host and waits for its servers; Revive no longer has an effect.
func (h *Host) Stop() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.Resume()
	h.Kill()
	h.wg.Wait()
}

// Pause makes the host accept connections but neither process requests nor write
// responses until Resume.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.paused && !h.stopped {
		h.paused = true
		h.unpausedCh = make(chan struct{})
	}
}

// Resume ends a pause.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused {
		h.paused = false
		close(h.unpausedCh)
	}
}

// Reachable reports whether the host listens and isn't paused.
func (h *Host) Reachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ln != nil && !h.paused
}

// Unpaused returns a channel that is closed while the host isn't paused. Each
// pause has a new channel.
func (h *Host) Unpaused() <-chan struct{} { return h.unpaused() }

func (h *Host) unpaused() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unpausedCh
}

// BlackHoleConns turns all existing connections into black holes. Connections
// that are accepted later work.
func (h *Host) BlackHoleConns() {
	for _, c := range h.openConns() {
		c.BlackHole()
	}
}

// ResetConns closes all connections with a TCP reset.
func (h *Host) ResetConns() {
	for _, c := range h.openConns() {
		c.Reset()
	}
}

func (h *Host) openConns() []*Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*Conn, 0, len(h.conns))
	for c := range h.conns {
		out = append(out, c)
	}
	return out
}

func (h *Host) removeConn(c *Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
}

// addConn registers a connection that was accepted from ln. It returns false if
// the host was killed in the meantime.
func (h *Host) addConn(c *Conn, ln net.Listener) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ln != ln {
		return false
	}
	h.conns[c] = struct{}{}
	return true
}

// listener wraps each accepted connection in a Conn.
type listener struct {
	net.Listener
	host *Host
}

// Accept returns the next connection, registered with the host.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(raw, l.host)
	if !l.host.addConn(c, l.Listener) {
		c.Reset()
		return nil, net.ErrClosed
	}
	return c, nil
}

// discardLogger drops the log lines of fasthttp: connection errors are expected,
// as faults are injected on purpose.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}
