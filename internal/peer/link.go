package peer

import (
	"context"
	"sync"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// link is the way to one address: the connection in use, or the attempt to
// make one that all callers share.
type link struct {
	client *Client
	addr   string

	mu      sync.Mutex
	conn    *clientConn
	dialing *dial
	closed  bool
}

// dial is one attempt to connect; done is closed once conn or err is set.
type dial struct {
	done chan struct{}
	conn *clientConn
	err  error
}

// get returns a connection that was usable a moment ago.
func (l *link) get(ctx context.Context) (*clientConn, error) {
	l.mu.Lock()
	if l.conn != nil {
		defer l.mu.Unlock()
		return l.conn, nil
	}
	if l.dialing == nil {
		l.dialing = &dial{done: make(chan struct{})}
		go l.connect(l.dialing)
	}
	d := l.dialing
	l.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, fault.Wrap(fault.Timeout, context.Cause(ctx), "try again", "connect to %s", l.addr).WithOutcome(fault.NotRun)
	}
}

// connect makes a connection outside the lock and hands it to all who wait.
func (l *link) connect(d *dial) {
	conn, err := l.client.connect(l.addr)
	if err != nil {
		d.err = err
	} else {
		d.conn = newClientConn(l, conn)
	}
	l.mu.Lock()
	l.dialing = nil
	closed := l.closed
	if !closed {
		l.conn = d.conn
	}
	l.mu.Unlock()
	if d.conn != nil {
		d.conn.start()
		if closed {
			d.conn.close(errClosed)
		}
	}
	close(d.done)
}

// detach lets the next call make a new connection.
func (l *link) detach(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.conn = nil
	}
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	conn := l.conn
	l.conn = nil
	l.mu.Unlock()
	if conn != nil {
		conn.close(errClosed)
	}
}
