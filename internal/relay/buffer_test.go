package relay

import (
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// bodyResponse is a Response of which only the body is used.
type bodyResponse struct {
	Response
	io.Reader
}

func (r bodyResponse) Read(p []byte) (int, error) { return r.Reader.Read(p) }

// zeros is a body without end that counts what was read of it.
type zeros struct{ read int }

func (z *zeros) Read(p []byte) (int, error) {
	clear(p)
	z.read += len(p)
	return len(p), nil
}

func TestEndlessBodiesLeaveMemoryForOthers(t *testing.T) {
	const quota = 4 << 20
	r := New(Options{BufferBytes: quota})
	var endless []*job
	for range 50 {
		j := &job{Relay: r}
		body := &zeros{}
		_, err := j.readBody(bodyResponse{Reader: body})
		must.Error(t, err)
		must.Less(t, quota, body.read)
		endless = append(endless, j)
	}
	must.LessEq(t, quota, quota-r.buffers.free.Load())

	small := strings.Repeat("x", unmeteredBytes-1)
	body, err := (&job{Relay: r}).readBody(bodyResponse{Reader: strings.NewReader(small)})
	must.NoError(t, err, must.Sprint("a small body does not fit beside the endless ones"))
	must.Eq(t, small, string(body))

	for _, j := range endless {
		j.releaseBuffers()
	}
	must.Eq(t, int64(quota), r.buffers.free.Load())
	large := strings.Repeat("x", quota/8)
	body, err = (&job{Relay: r}).readBody(bodyResponse{Reader: strings.NewReader(large)})
	must.NoError(t, err)
	must.Eq(t, large, string(body))
}

// endlessEvent is a stream that begins an event and breaks off within it.
type endlessEvent struct{ left int }

func (r *endlessEvent) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), r.left)
	for i := range p[:n] {
		p[i] = 'd' // the name of a field
	}
	r.left -= n
	return n, nil
}

// TestEndlessEventsOfAllStreamsShareTheQuota guards against an engine that sends an event
// without end on many streams: each of them held up to 256 KiB, without a common bound.
func TestEndlessEventsOfAllStreamsShareTheQuota(t *testing.T) {
	const quota, streams = 1 << 20, 100
	r := New(Options{BufferBytes: quota})
	var jobs []*job
	held := 0
	for range streams {
		j, filter, headerSent := &job{Relay: r}, &eventFilter{}, false
		err := j.copyEvents(t.Context(), nil, bodyResponse{Reader: &endlessEvent{left: maxEventBytes / 2}}, filter, &headerSent, nil)
		must.Error(t, err)
		held += cap(filter.buf)
		jobs = append(jobs, j)
	}
	must.LessEq(t, quota+streams*unmeteredEventBytes, held)
	for _, j := range jobs {
		j.releaseBuffers()
	}
	must.Eq(t, int64(quota), r.buffers.free.Load())
}
