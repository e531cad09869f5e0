package host

import (
	"net"
	"sync"
	"time"
)

// Conn is a server's connection with injectable faults: it can be paused, reset,
// or turned into a black hole. It also detects that the peer closed it while a
// request is served.
type Conn struct {
	net.Conn
	host       *Host
	closedCh   chan struct{} // closed once the connection is unusable
	blackHoled chan struct{} // closed once the connection is a black hole

	mu          sync.Mutex
	isBlackHole bool
	watcher     *closeWatcher
	closed      bool
	wasReset    bool
}

// closeWatcher is a one-byte read that runs while a request is served, to detect
// that the peer closes the connection. A byte that it reads belongs to the next
// request.
type closeWatcher struct {
	done chan struct{}
	buf  [1]byte
	n    int
	err  error
}

func newConn(c net.Conn, h *Host) *Conn {
	return &Conn{Conn: c, host: h, closedCh: make(chan struct{}), blackHoled: make(chan struct{})}
}

// Closed returns a channel that is closed once either end has closed the
// connection. A close by the peer is detected only after WatchClose.
func (c *Conn) Closed() <-chan struct{} { return c.closedCh }

// WatchClose starts to detect a close by the peer. It is called while a request
// is served, when the server itself doesn't read.
func (c *Conn) WatchClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watcher != nil || c.closed {
		return
	}
	w := &closeWatcher{done: make(chan struct{})}
	c.watcher = w
	go c.runWatcher(w)
}

func (c *Conn) runWatcher(w *closeWatcher) {
	w.n, w.err = c.Conn.Read(w.buf[:])
	close(w.done)
	if w.err != nil {
		_ = c.Close()
	}
}

// Read returns the byte of the close watcher first, if there is one. On a black
// hole it blocks until the connection is closed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.readBuffered(p)
	if err != nil {
		return n, err
	}
	return n, c.awaitIO()
}

func (c *Conn) readBuffered(p []byte) (int, error) {
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

// Write sends p. It blocks while the host is paused, and on a black hole until
// the connection is closed.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.awaitIO(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// awaitIO blocks while the host is paused, and on a black hole until the
// connection is closed. It fails as soon as a close has begun: bytes written
// between the decision to reset and the reset itself could complete a response
// that must look truncated.
func (c *Conn) awaitIO() error {
	select {
	case <-c.closedCh:
		return net.ErrClosed
	default:
	}
	select {
	case <-c.blackHoled:
		<-c.closedCh
		return net.ErrClosed
	default:
	}
	select {
	case <-c.host.unpaused():
		return nil
	case <-c.closedCh:
		return net.ErrClosed
	}
}

// SetReadDeadline does nothing while a close watcher reads: a deadline would end
// the read before the peer closes.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watcher != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// BlackHole makes the connection deliver no more data in either direction, without
// closing it.
func (c *Conn) BlackHole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isBlackHole {
		c.isBlackHole = true
		close(c.blackHoled)
	}
}

// Reset closes the connection with a TCP reset, so that a response under way
// can't appear complete to the peer.
func (c *Conn) Reset() {
	c.mu.Lock()
	c.wasReset = c.wasReset || !c.closed
	c.mu.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// WasReset reports whether Reset closed the connection.
func (c *Conn) WasReset() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wasReset
}

// Close closes the connection and removes it from the host.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	close(c.closedCh)
	c.mu.Unlock()
	c.host.removeConn(c)
	return c.Conn.Close()
}
