package upstream

import (
	"net/http"
	"strconv"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// writeRequest writes the request. A large body is written by another goroutine,
// which sends its result on the returned channel; the channel is nil for a small
// body.
func writeRequest(cn *conn, r *Request) (chan error, error) {
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
		return nil, writeAll(cn, append(head, r.Body...), r)
	}
	if err := writeAll(cn, head, r); err != nil {
		return nil, err
	}
	sendResult := make(chan error, 1)
	go func() { sendResult <- writeAll(cn, r.Body, r) }()
	return sendResult, nil
}

// writeAll writes b, a part of the request. The error has outcome NotRun if no byte was
// written.
func writeAll(cn *conn, b []byte, r *Request) error {
	n, err := cn.Write(b)
	if r.OnTransfer != nil && n > 0 {
		r.OnTransfer(n, 0)
	}
	if err == nil {
		return nil
	}
	e := fault.Wrap(fault.Interrupted, err, "use another engine", "send the request to engine %s", r.Addr)
	if n == 0 {
		return e.WithOutcome(fault.NotRun)
	}
	return e
}
