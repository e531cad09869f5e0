package front

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"strconv"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/dispatch"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/httperr"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// Paths that the daemon itself answers.
const (
	PathReady   = "/-/ready"
	PathHealthy = "/-/healthy"
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathHealthy:
		ctx.SetBodyString("ok\n")
	case PathReady:
		s.ready(ctx)
	default:
		s.serve(ctx)
	}
	if s.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if err := s.opts.Readiness.Ready(); err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(err.Error() + "\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	s.begin()
	id, err := requestID(ctx)
	ctx.Response.Header.Set(target.HeaderRequestID, id)
	if err != nil {
		s.fail(ctx, id, err)
		s.end()
		return
	}
	r, err := s.parse(ctx, id)
	if err != nil {
		s.fail(ctx, id, err)
		s.end()
		return
	}
	answer, err := s.opts.Dispatcher.Serve(s.base, r)
	if err != nil {
		s.fail(ctx, id, err)
		s.end()
		return
	}
	s.answer(ctx, answer)
}

// answer encodes a; a streamed answer ends its request when the stream closes.
func (s *Server) answer(ctx *fasthttp.RequestCtx, a *dispatch.Response) {
	h := &ctx.Response.Header
	h.Set(HeaderOutcome, a.Outcome.String())
	h.Set(HeaderReplica, a.Replica)
	if a.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	if a.Stream != nil {
		h.SetContentType("text/event-stream")
		h.Set(fasthttp.HeaderCacheControl, "no-store")
		ctx.SetBodyStream(&eventBody{id: a.RequestID, stream: a.Stream, end: s.end}, -1)
		return
	}
	ctx.SetStatusCode(a.Status)
	h.SetContentType(a.ContentType)
	ctx.SetBody(a.Body)
	s.end()
}

// errorBody is the JSON form of an error.
type errorBody struct {
	RequestID string `json:"request_id"`
	Kind      string `json:"kind"`
	Outcome   string `json:"outcome"`
	Field     string `json:"field,omitempty"`
	Message   string `json:"message"`
	Remedy    string `json:"remedy,omitempty"`
}

func (s *Server) fail(ctx *fasthttp.RequestCtx, id string, err error) {
	e := fault.As(err)
	if e.Kind == fault.Internal {
		klog.ErrorS(err, "Request failed", "request", id)
	}
	ctx.SetStatusCode(httperr.StatusOf(e.Kind))
	ctx.Response.Header.Set(HeaderOutcome, e.Outcome.String())
	ctx.SetContentType("application/json")
	if e.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	body, _ := json.Marshal(bodyOf(id, e)) // a struct of strings always encodes
	ctx.SetBody(append(body, '\n'))
}

func bodyOf(id string, e *fault.Error) errorBody {
	return errorBody{
		RequestID: id, Kind: e.Kind.String(), Outcome: e.Outcome.String(),
		Field: e.Field, Message: e.Unwrap().Error(), Remedy: e.Remedy,
	}
}

// protocolError answers what could not be read as a request: it did not run.
func (s *Server) protocolError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	status, e := fasthttp.StatusBadRequest, fault.Refuse(fault.BadInput, "send a well-formed HTTP/1.1 request", "request cannot be read as HTTP")
	switch {
	case errors.As(err, &small):
		status, e = fasthttp.StatusRequestHeaderFieldsTooLarge, fault.Refuse(fault.TooLarge, "send smaller headers", "headers exceed %d bytes", s.opts.MaxHeaderBytes)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, e = fasthttp.StatusRequestEntityTooLarge, fault.Refuse(fault.TooLarge, "send a smaller body", "body exceeds %d bytes", s.opts.MaxBodyBytes)
	}
	s.fail(ctx, "", e)
	ctx.SetStatusCode(status)
	ctx.Response.Header.SetConnectionClose()
	if c, ok := ctx.Conn().(*stallConn); ok {
		c.linger = true
	}
}

// eventBody encodes a stream as server-sent events. fasthttp reads it, and a
// read error makes fasthttp close the connection without the final chunk: a
// cut answer cannot be taken for a whole one.
type eventBody struct {
	id     string
	stream dispatch.Stream
	end    func()
	buf    []byte
	last   bool
	failed bool
}

// Read returns the next event's bytes.
func (b *eventBody) Read(p []byte) (int, error) {
	if len(b.buf) == 0 {
		if err := b.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, b.buf)
	b.buf = b.buf[n:]
	return n, nil
}

func (b *eventBody) fill() error {
	if b.last {
		return io.EOF
	}
	ev, err := b.stream.Next()
	if err != nil {
		return b.fail(err)
	}
	if ev.End != nil {
		b.last = true
		b.buf = appendEvent(b.buf[:0], "event: end\n", ev.End)
		return nil
	}
	b.buf = appendEvent(b.buf[:0], "id: "+strconv.Itoa(ev.Index)+"\n", ev.Token)
	return nil
}

// fail sends an error event once; the read after it reports the cut.
func (b *eventBody) fail(err error) error {
	if b.failed {
		return err
	}
	b.failed = true
	b.buf = appendEvent(b.buf[:0], "event: error\n", bodyOf(b.id, fault.As(err)))
	return nil
}

func appendEvent(buf []byte, head string, data any) []byte {
	body, _ := json.Marshal(data) // typed data without channels or functions always encodes
	buf = append(buf, head...)
	buf = append(buf, "data: "...)
	buf = append(buf, body...)
	return append(buf, "\n\n"...)
}

// Close ends the request; fasthttp calls it after the last byte or a failed write.
func (b *eventBody) Close() error {
	if b.end == nil {
		return nil
	}
	err := b.stream.Close()
	b.end()
	b.end = nil
	return err
}
