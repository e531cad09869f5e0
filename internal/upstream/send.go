package upstream

import (
	"net/http"
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/respcheck"
)

// upload is the writing of a large body by a goroutine of its own. A nil upload stands
// for a request that was written whole before its response was read.
type upload struct {
	ended chan struct{}
	err   error // valid once ended is closed
}

// state returns what is known of the upload now.
func (u *upload) state() respcheck.Sending {
	if u == nil {
		return respcheck.Sent
	}
	select {
	case <-u.ended:
	default:
		return respcheck.StillSending
	}
	if u.err != nil {
		return respcheck.SendFailed
	}
	return respcheck.Sent
}

// wait waits until the upload has ended, for up to the given time.
func (u *upload) wait(limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-u.ended:
	case <-t.C:
	}
}

// writeRequest writes the request. A large body is written by another goroutine, which
// the returned upload describes.
func writeRequest(cn *conn, r *Request) (*upload, error) {
	head := make([]byte, 0, 1024)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.Target...)
	head = append(head, " HTTP/1.1\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, v...)
			head = append(head, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	head = append(head, "\r\n"...)
	if len(r.Body) < concurrentSendBytes {
		return nil, writeStart(cn, append(head, r.Body...), r)
	}
	if err := writeStart(cn, head, r); err != nil {
		return nil, err
	}
	u := &upload{ended: make(chan struct{})}
	go func() {
		defer close(u.ended)
		_, u.err = writeAll(cn, r.Body, r)
	}()
	return u, nil
}

// writeStart writes b, with which the request begins. The error has outcome NotRun if no
// byte was written.
func writeStart(cn *conn, b []byte, r *Request) error {
	n, err := writeAll(cn, b, r)
	if err == nil {
		return nil
	}
	e := fault.Wrap(fault.Interrupted, err, "use another engine", "send the request to engine %s", r.Addr)
	if n == 0 {
		return e.WithOutcome(fault.NotRun)
	}
	return e
}

// writeAll writes b, a part of the request.
func writeAll(cn *conn, b []byte, r *Request) (int, error) {
	n, err := cn.Write(b)
	if r.OnTransfer != nil && n > 0 {
		r.OnTransfer(n, 0)
	}
	return n, err
}
