package peer

import (
	"context"
	"sync"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// addrConn manages the connection to one address. Concurrent callers share the
// open connection or, if there is none, a single dial attempt.
type addrConn struct {
	client *Client
	addr   string

	mu      sync.Mutex
	conn    *clientConn
	dialing *dialAttempt
	closed  bool
}

// dialAttempt is a connection attempt in progress. done is closed after conn or
// err was set.
type dialAttempt struct {
	done chan struct{}
	conn *clientConn
	err  error
}

// get returns the open connection, or waits for a dial attempt. The connection
// may already be closed when the caller uses it.
func (a *addrConn) get(ctx context.Context) (*clientConn, error) {
	a.mu.Lock()
	if a.conn != nil && !a.conn.closedByPeer() {
		defer a.mu.Unlock()
		return a.conn, nil
	}
	a.conn = nil // readLoop closes it
	if a.dialing == nil {
		a.dialing = &dialAttempt{done: make(chan struct{})}
		go a.connect(a.dialing)
	}
	d := a.dialing
	a.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, fault.Wrap(fault.Timeout, context.Cause(ctx), "retry the call", "connect to %s", a.addr).WithOutcome(fault.NotRun)
	}
}

// connect opens a connection, without holding the lock while it dials, and
// completes d for all callers that wait on it.
func (a *addrConn) connect(d *dialAttempt) {
	conn, err := a.client.connect(a.addr)
	if err != nil {
		d.err = err
	} else {
		d.conn = newClientConn(a, conn)
	}
	a.mu.Lock()
	a.dialing = nil
	closed := a.closed
	if !closed {
		a.conn = d.conn
	}
	a.mu.Unlock()
	if d.conn != nil {
		d.conn.start()
		if closed {
			d.conn.close(errClosed)
		}
	}
	close(d.done)
}

// detach stops the use of c for new calls; the next call opens a new connection.
func (a *addrConn) detach(c *clientConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == c {
		a.conn = nil
	}
}

func (a *addrConn) close() {
	a.mu.Lock()
	a.closed = true
	conn := a.conn
	a.conn = nil
	a.mu.Unlock()
	if conn != nil {
		conn.close(errClosed)
	}
}
