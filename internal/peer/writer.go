package peer

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// queuedFrame is a frame queued for the writer. beforeWrite, if set, is called
// immediately before the frame is written; the frame is discarded if it returns
// false.
type queuedFrame struct {
	frame       wire.Frame
	beforeWrite func() bool
}

// writer is the sending half of a connection. Callers queue frames; one
// goroutine writes them and combines queued frames into one system call.
type writer struct {
	conn       net.Conn
	queue      chan queuedFrame
	closed     chan struct{} // closed when the connection is closed
	finishing  chan struct{} // closed when no more frames will be queued
	closeOnce  sync.Once
	finishOnce sync.Once
	timeout    time.Duration
}

func newWriter(conn net.Conn, timeout time.Duration) *writer {
	return &writer{
		conn:      conn,
		queue:     make(chan queuedFrame, maxQueuedFrames),
		closed:    make(chan struct{}),
		finishing: make(chan struct{}),
		timeout:   timeout,
	}
}

// close closes the connection and discards the queued frames.
func (w *writer) close() {
	w.closeOnce.Do(func() {
		close(w.closed)
		_ = w.conn.Close()
	})
}

// finish makes the writer write the queued frames and then close the connection.
func (w *writer) finish() { w.finishOnce.Do(func() { close(w.finishing) }) }

// enqueue queues a frame and reports whether it did. It gives up when the
// connection is closed or cancel is closed; cancel may be nil.
func (w *writer) enqueue(q queuedFrame, cancel <-chan struct{}) bool {
	select {
	case <-w.closed:
		return false
	default:
	}
	select {
	case w.queue <- q:
		return true
	case <-w.closed:
		return false
	case <-cancel:
		return false
	}
}

// run writes queued frames until the connection is closed, and closes it if a
// write fails.
func (w *writer) run() {
	defer w.close()
	buf := bufio.NewWriter(w.conn)
	for {
		select {
		case q := <-w.queue:
			if !w.writeQueued(buf, q) {
				return
			}
		case <-w.finishing:
			w.writeQueued(buf, queuedFrame{beforeWrite: func() bool { return false }})
			return
		case <-w.closed:
			return
		}
	}
}

// writeQueued writes q and all frames queued after it, then flushes. It reports
// whether all writes succeeded.
func (w *writer) writeQueued(buf *bufio.Writer, q queuedFrame) bool {
	_ = w.conn.SetWriteDeadline(time.Now().Add(w.timeout))
	for {
		if err := writeFrame(buf, q); err != nil {
			return false
		}
		select {
		case q = <-w.queue:
		default:
			return buf.Flush() == nil
		}
	}
}

func writeFrame(buf *bufio.Writer, q queuedFrame) error {
	if q.beforeWrite != nil && !q.beforeWrite() {
		return nil
	}
	return wire.WriteFrame(buf, q.frame)
}
