package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Response is an engine's response. The caller must close it.
type Response struct {
	Status int
	Header http.Header

	conn        *conn
	body        io.ReadCloser
	cancelWatch func() bool
	client      *Client
	addr        string
	reachedEOF  bool
	reusable    bool
	sendResult  chan error // result of writing a large body; nil for a small one
}

// Read reads the body. It returns io.EOF only at the proper end of the body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.reachedEOF = true
	}
	return n, err
}

// SetReadDeadline sets the deadline of later reads.
func (r *Response) SetReadDeadline(t time.Time) error { return r.conn.SetReadDeadline(t) }

// Close ends the exchange. The connection is kept for reuse if the response was
// read to its end and the request had been written completely by then.
func (r *Response) Close() {
	alive := r.cancelWatch()
	if !alive || !r.reachedEOF || !r.reusable || !r.requestSent() || r.conn.SetDeadline(time.Time{}) != nil {
		_ = r.conn.Close()
		return
	}
	r.conn.limit.onTransfer = nil
	r.conn.maxIdle = keepAliveTimeout(r.Header.Get("Keep-Alive"))
	r.client.putIdle(r.addr, r.conn)
}

// requestSent reports whether the whole request has been written.
func (r *Response) requestSent() bool {
	if r.sendResult == nil {
		return true
	}
	select {
	case err := <-r.sendResult:
		return err == nil
	default:
		return false
	}
}
