package ingress

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/intake"
)

// connTable bounds the connections of callers. At the bound it closes the connection
// that has been idle or without a complete request for longest, so that a crowd of them
// does not take the descriptors that engines, the store and other daemons need. It is
// safe for concurrent use.
type connTable struct {
	// max is the bound, or 0 for none.
	max     int
	onClose func(cause string)

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
	// closable holds the connections without a complete request, the longest first.
	closable *list.List
	bound    pressure
}

// callerConn is a caller's connection. Its fields are guarded by the table's lock.
type callerConn struct {
	net.Conn
	table *connTable
	// place is its element of closable, or nil while a complete request is served.
	place *list.Element
	// closed is set once the connection is closed for others.
	closed bool
}

func newConnTable(limit int, onClose func(cause string)) *connTable {
	return &connTable{max: limit, onClose: onClose, conns: map[net.Conn]*callerConn{}, closable: list.New()}
}

// connKey is the key of a callerConn in the context of a request.
type connKey struct{}

func (t *connTable) connContext(ctx context.Context, c net.Conn) context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	return context.WithValue(ctx, connKey{}, t.conns[c])
}

// setComplete marks the request of the connection as complete, so that the connection is
// not closed for others until the response is written. It reports false if it has been
// closed already, so that the request need not run.
func setComplete(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok || c == nil {
		return false
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.place != nil {
		c.table.closable.Remove(c.place)
		c.place = nil
	}
	return !c.closed
}

// connState follows the states of the connections. It is the ConnState of the server.
func (t *connTable) connState(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.conns[conn]
	switch {
	case c == nil: // closed for others
	case state == http.StateClosed || state == http.StateHijacked:
		t.remove(c)
	case state == http.StateIdle || state == http.StateActive:
		if c.place == nil {
			c.place = t.closable.PushBack(c)
		} else {
			t.closable.MoveToBack(c.place)
		}
	}
}

// remove forgets a connection. The lock must be held.
func (t *connTable) remove(c *callerConn) {
	delete(t.conns, c.Conn)
	if c.place != nil {
		t.closable.Remove(c.place)
		c.place = nil
	}
}

// add adds a connection and returns the one to close for it, which is the new one itself
// if all others are served, or nil.
func (t *connTable) add(conn net.Conn, now time.Time) (surplus net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.max > 0 && len(t.conns) >= t.max {
		t.bound.hit(now, "callers' connections are at their bound", "connections", len(t.conns))
		oldest := t.closable.Front()
		if oldest == nil {
			return conn
		}
		c := oldest.Value.(*callerConn)
		t.remove(c)
		c.closed, surplus = true, c.Conn
	}
	c := &callerConn{Conn: conn, table: t}
	c.place = t.closable.PushBack(c)
	t.conns[conn] = c
	return surplus
}

// count returns the number of connections.
func (t *connTable) count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bound.ease(now, "callers' connections are below their bound again")
	return len(t.conns)
}

// boundedListener accepts the connections of callers.
type boundedListener struct {
	net.Listener
	table *connTable
}

// Accept implements net.Listener. It returns only connections within the bound.
func (l boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			// It fails only if the connection has ended, which the server notices.
			_ = tcp.SetReadBuffer(intake.SocketBuffer)
		}
		surplus := l.table.add(conn, time.Now())
		if surplus == nil {
			return conn, nil
		}
		_ = surplus.Close() // the client is told nothing, whatever the error
		if surplus != conn {
			l.table.onClose("idle")
			return conn, nil
		}
		l.table.onClose("busy")
	}
}
