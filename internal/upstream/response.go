package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/respcheck"
)

// uploadGrace is how long a request may still be being written after the engine has ended
// its side of the connection. An engine that refuses a request early may read on.
const uploadGrace = userTimeout

// Response is an engine's response. The caller must close it.
type Response struct {
	Status int
	Header http.Header

	conn *conn
	body io.ReadCloser
	// endsByClose is set if only the end of the connection marks that of the body.
	endsByClose bool
	upload      *upload
	cancelWatch func() bool
	client      *Client
	addr        string
	complete    bool // the body was read to its end
	reusable    bool
}

// endsByClose reports whether only the end of the connection marks that of the body.
func endsByClose(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Read reads the body. It returns io.EOF only at the proper end of the body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := r.checkEnd(); err != nil {
		return n, err
	}
	r.complete = true
	return n, io.EOF
}

// checkEnd returns an error unless the body, which has come to its end, is complete. It
// waits for the end of the upload if that decides.
func (r *Response) checkEnd() error {
	verdict := r.verdict()
	if verdict == respcheck.Undecided {
		r.upload.wait(uploadGrace)
		verdict = r.verdict()
	}
	if verdict == respcheck.Complete {
		return nil
	}
	return fault.New(fault.Interrupted, "check the engine", "the request to engine %s was %s when its response without a length ended; a part of it may be missing", r.addr, r.upload.state())
}

func (r *Response) verdict() respcheck.Verdict {
	return respcheck.BodyEnd{ByClose: r.endsByClose, Request: r.upload.state()}.Verdict()
}

// SetReadDeadline sets the deadline of later reads.
func (r *Response) SetReadDeadline(t time.Time) error { return r.conn.SetReadDeadline(t) }

// Close ends the exchange. The connection is kept for reuse if the response was
// read to its end and the request had been written completely by then.
func (r *Response) Close() {
	alive := r.cancelWatch()
	if !alive || !r.complete || !r.reusable || r.upload.state() != respcheck.Sent || r.conn.SetDeadline(time.Time{}) != nil {
		_ = r.conn.Close()
		return
	}
	r.conn.limit.onTransfer = nil
	r.conn.maxIdle = keepAliveTimeout(r.Header.Get("Keep-Alive"))
	r.client.putIdle(r.addr, r.conn)
}
