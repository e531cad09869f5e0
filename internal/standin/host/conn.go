package host

import (
	"net"
	"sync"
	"time"
)

// Conn is a server's connection that can be silenced, paused, cut and watched.
type Conn struct {
	net.Conn
	host   *Host
	gone   chan struct{} // closed when the connection can't be used any more
	silent chan struct{} // closed when the connection went silent for good

	mu       sync.Mutex
	isSilent bool
	watcher  *watcher
	closed   bool
	cut      bool
}

// watcher is one read that runs while a request is served: it sees the peer
// close the connection. Its byte, if any, starts the next request.
type watcher struct {
	done chan struct{}
	buf  [1]byte
	n    int
	err  error
}

func newConn(c net.Conn, h *Host) *Conn {
	return &Conn{Conn: c, host: h, gone: make(chan struct{}), silent: make(chan struct{})}
}

// Closed is closed once the connection is closed by either end. The peer's close
// is noticed only after Watch.
func (c *Conn) Closed() <-chan struct{} { return c.gone }

// WatchClose begins to watch for the peer closing the connection. It is called
// while a request is served, when the server itself does not read.
func (c *Conn) WatchClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watcher != nil || c.closed {
		return
	}
	w := &watcher{done: make(chan struct{})}
	c.watcher = w
	go c.watch(w)
}

func (c *Conn) watch(w *watcher) {
	w.n, w.err = c.Conn.Read(w.buf[:])
	close(w.done)
	if w.err != nil {
		_ = c.Close()
	}
}

// Read returns the watcher's byte first. A silent connection reads nothing.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if err != nil {
		return n, err
	}
	return n, c.hold()
}

func (c *Conn) read(p []byte) (int, error) {
	c.mu.Lock()
	w := c.watcher
	c.watcher = nil
	c.mu.Unlock()
	if w == nil || len(p) == 0 {
		return c.Conn.Read(p)
	}
	<-w.done
	return copy(p, w.buf[:w.n]), w.err
}

// Write sends p unless the connection is silent or the host is paused.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.hold(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// hold waits while the host is paused, and until the close when silent. A
// connection that is being closed is gone: bytes written between the decision
// to cut and the reset would end an answer properly.
func (c *Conn) hold() error {
	select {
	case <-c.gone:
		return net.ErrClosed
	default:
	}
	select {
	case <-c.silent:
		<-c.gone
		return net.ErrClosed
	default:
	}
	select {
	case <-c.host.unpaused():
		return nil
	case <-c.gone:
		return net.ErrClosed
	}
}

// SetReadDeadline is ignored while a watcher reads: it must see the close.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watcher != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// BlackHole makes the connection swallow everything from now on.
func (c *Conn) BlackHole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isSilent {
		c.isSilent = true
		close(c.silent)
	}
}

// Reset closes the connection with a reset, so that no answer on it looks whole.
func (c *Conn) Reset() {
	c.mu.Lock()
	c.cut = c.cut || !c.closed
	c.mu.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// WasReset reports whether this end broke the connection.
func (c *Conn) WasReset() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

// Close closes the connection and forgets it.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	close(c.gone)
	c.mu.Unlock()
	c.host.forget(c)
	return c.Conn.Close()
}
