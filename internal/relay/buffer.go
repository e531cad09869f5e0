package relay

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// maxBufferedBytes bounds a response body that is buffered.
	maxBufferedBytes = 16 << 20
	// unmeteredBytes is the size up to which a body is buffered without taking from
	// the bufferQuota, so that large bodies cannot keep small ones from being read.
	unmeteredBytes = 64 << 10
	// unmeteredEventBytes is the same for the incomplete event of a stream.
	unmeteredEventBytes = 16 << 10
)

// errBodyTooLarge is returned for a response body over maxBufferedBytes.
var errBodyTooLarge = errors.New("response body exceeds the limit of 16 MiB for buffered responses")

// bufferQuota bounds the memory of the large bodies and incomplete events that all
// requests of a daemon have buffered. It is safe for concurrent use.
type bufferQuota struct{ free atomic.Int64 }

func newBufferQuota(bytes int64) *bufferQuota {
	q := &bufferQuota{}
	q.free.Store(bytes)
	return q
}

// take takes n bytes from the quota. It reports false and takes nothing if fewer
// are free.
func (q *bufferQuota) take(n int) bool {
	if q.free.Add(-int64(n)) >= 0 {
		return true
	}
	q.give(n)
	return false
}

func (q *bufferQuota) give(n int) { q.free.Add(int64(n)) }

// readBody reads the whole body of a response. What it takes from the daemon's bufferQuota
// is counted in bodyBytes.
func (a *attempt) readBody(resp Response) ([]byte, error) {
	body := make([]byte, 0, readBufferBytes)
	for {
		n, err := resp.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		if body, err = a.growBody(body); err != nil {
			return nil, err
		}
	}
}

// growBody returns the body with twice its capacity.
func (a *attempt) growBody(body []byte) ([]byte, error) {
	size := 2 * cap(body)
	if size > maxBufferedBytes {
		return nil, errBodyTooLarge
	}
	if size > unmeteredBytes {
		if !a.buffers.take(size) {
			return nil, errBuffersFull()
		}
		a.bodyBytes += size
	}
	return append(make([]byte, 0, size), body...), nil
}

// meterEvent takes the memory of the stream's incomplete event from the daemon's
// bufferQuota. If that is used up it discards the event, since an engine that sends one
// without end to many clients would otherwise take all memory.
func (a *attempt) meterEvent() error {
	size := cap(a.filter.buf)
	if size <= unmeteredEventBytes || size <= a.eventBytes {
		return nil
	}
	if !a.buffers.take(size - a.eventBytes) {
		a.filter.buf, a.filter.searched = nil, 0
		return errBuffersFull()
	}
	a.eventBytes = size
	return nil
}

// dropEvent discards the stream's incomplete event and returns its memory.
func (a *attempt) dropEvent() {
	a.filter.buf, a.filter.searched = nil, 0
	a.buffers.give(a.eventBytes)
	a.eventBytes = 0
}

func errBuffersFull() error {
	return fault.New(fault.Overload, "send fewer large requests at once", "large responses in progress take up the memory for buffered responses")
}
