package peer

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// outgoing is a frame on its way to the writer. claim, if set, is asked just
// before the frame is written; false drops the frame.
type outgoing struct {
	frame wire.Frame
	claim func() bool
}

// writer owns the sending half of a connection: callers queue frames, one
// goroutine writes them, several in one system call when they queue up.
type writer struct {
	conn    net.Conn
	queue   chan outgoing
	done    chan struct{} // closed once the connection is given up
	last    chan struct{} // closed once nothing more will be queued
	once    sync.Once
	ending  sync.Once
	timeout time.Duration
}

func newWriter(conn net.Conn, timeout time.Duration) *writer {
	return &writer{
		conn:    conn,
		queue:   make(chan outgoing, queueFrames),
		done:    make(chan struct{}),
		last:    make(chan struct{}),
		timeout: timeout,
	}
}

// close gives the connection up; frames still queued are not written.
func (w *writer) close() {
	w.once.Do(func() {
		close(w.done)
		_ = w.conn.Close()
	})
}

// finish lets the writer write what is queued and then give up the connection.
func (w *writer) finish() { w.ending.Do(func() { close(w.last) }) }

// post queues a frame and reports whether the writer will see it. cancel may be
// nil.
func (w *writer) post(o outgoing, cancel <-chan struct{}) bool {
	select {
	case <-w.done:
		return false
	default:
	}
	select {
	case w.queue <- o:
		return true
	case <-w.done:
		return false
	case <-cancel:
		return false
	}
}

// run writes until the connection is given up or a write fails, which gives
// it up.
func (w *writer) run() {
	defer w.close()
	buf := bufio.NewWriter(w.conn)
	for {
		select {
		case o := <-w.queue:
			if !w.burst(buf, o) {
				return
			}
		case <-w.last:
			w.burst(buf, outgoing{claim: func() bool { return false }})
			return
		case <-w.done:
			return
		}
	}
}

// burst writes o and all that is queued behind it, then flushes.
func (w *writer) burst(buf *bufio.Writer, o outgoing) bool {
	_ = w.conn.SetWriteDeadline(time.Now().Add(w.timeout))
	for {
		if err := write(buf, o); err != nil {
			return false
		}
		select {
		case o = <-w.queue:
		default:
			return buf.Flush() == nil
		}
	}
}

func write(buf *bufio.Writer, o outgoing) error {
	if o.claim != nil && !o.claim() {
		return nil
	}
	return wire.WriteFrame(buf, o.frame)
}
