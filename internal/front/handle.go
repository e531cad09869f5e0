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

// Paths served by the daemon itself.
const (
	PathReady   = "/-/ready"
	PathHealthy = "/-/healthy"
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathHealthy:
		ctx.SetBodyString("ok\n")
	case PathReady:
		s.serveReady(ctx)
	default:
		s.serveRequest(ctx)
	}
	if s.closeConns.Load() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) serveReady(ctx *fasthttp.RequestCtx) {
	if err := s.opts.Readiness.Ready(); err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(err.Error() + "\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) serveRequest(ctx *fasthttp.RequestCtx) {
	s.beginRequest()
	id, err := requestID(ctx)
	ctx.Response.Header.Set(target.HeaderRequestID, id)
	if err != nil {
		s.writeError(ctx, id, err)
		s.endRequest()
		return
	}
	r, err := s.parse(ctx, id)
	if err != nil {
		s.writeError(ctx, id, err)
		s.endRequest()
		return
	}
	resp, err := s.opts.Dispatcher.Serve(s.baseCtx, r)
	if err != nil {
		s.writeError(ctx, id, err)
		s.endRequest()
		return
	}
	s.writeResponse(ctx, resp)
}

// writeResponse encodes resp. A streamed response ends its request when the stream
// is closed.
func (s *Server) writeResponse(ctx *fasthttp.RequestCtx, resp *dispatch.Response) {
	h := &ctx.Response.Header
	h.Set(HeaderOutcome, resp.Outcome.String())
	h.Set(HeaderReplica, resp.Replica)
	if resp.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	if resp.Stream != nil {
		h.SetContentType("text/event-stream")
		h.Set(fasthttp.HeaderCacheControl, "no-store")
		ctx.SetBodyStream(&eventBody{id: resp.RequestID, stream: resp.Stream, end: s.endRequest}, -1)
		return
	}
	ctx.SetStatusCode(resp.Status)
	h.SetContentType(resp.ContentType)
	ctx.SetBody(resp.Body)
	s.endRequest()
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

func (s *Server) writeError(ctx *fasthttp.RequestCtx, id string, err error) {
	e := fault.As(err)
	if e.Kind == fault.Internal {
		klog.ErrorS(err, "request failed with an internal error", "request", id)
	}
	ctx.SetStatusCode(httperr.StatusOf(e.Kind))
	ctx.Response.Header.Set(HeaderOutcome, e.Outcome.String())
	ctx.SetContentType("application/json")
	if e.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	body, _ := json.Marshal(errorBodyOf(id, e)) // a struct of strings always encodes
	ctx.SetBody(append(body, '\n'))
}

func errorBodyOf(id string, e *fault.Error) errorBody {
	return errorBody{
		RequestID: id, Kind: e.Kind.String(), Outcome: e.Outcome.String(),
		Field: e.Field, Message: e.Unwrap().Error(), Remedy: e.Remedy,
	}
}

// writeProtocolError answers bytes that cannot be parsed as an HTTP request, or
// exceed the limits. Such a request has not run.
func (s *Server) writeProtocolError(ctx *fasthttp.RequestCtx, err error) {
	var headerTooLarge *fasthttp.ErrSmallBuffer
	status, e := fasthttp.StatusBadRequest, fault.Refuse(fault.BadInput, "send a well-formed HTTP/1.1 request", "request cannot be read as HTTP")
	switch {
	case errors.As(err, &headerTooLarge):
		status, e = fasthttp.StatusRequestHeaderFieldsTooLarge, fault.Refuse(fault.TooLarge, "send smaller headers", "headers exceed %d bytes", s.opts.MaxHeaderBytes)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, e = fasthttp.StatusRequestEntityTooLarge, fault.Refuse(fault.TooLarge, "send a smaller body", "body exceeds %d bytes", s.opts.MaxBodyBytes)
	}
	s.writeError(ctx, "", e)
	ctx.SetStatusCode(status)
	ctx.Response.Header.SetConnectionClose()
	if c, ok := ctx.Conn().(*writeTimeoutConn); ok {
		c.linger = true
	}
}

// eventBody encodes a stream as server-sent events. fasthttp reads it. If a read
// fails, fasthttp closes the connection without the final chunk, so that the caller
// cannot take an incomplete response for a complete one.
type eventBody struct {
	id        string
	stream    dispatch.Stream
	end       func()
	buf       []byte
	endSent   bool
	errorSent bool
}

// Read reads encoded events.
func (b *eventBody) Read(p []byte) (int, error) {
	if len(b.buf) == 0 {
		if err := b.nextEvent(); err != nil {
			return 0, err
		}
	}
	n := copy(p, b.buf)
	b.buf = b.buf[n:]
	return n, nil
}

func (b *eventBody) nextEvent() error {
	if b.endSent {
		return io.EOF
	}
	ev, err := b.stream.Next()
	if err != nil {
		return b.encodeError(err)
	}
	if ev.End != nil {
		b.endSent = true
		b.buf = appendEvent(b.buf[:0], "event: end\n", ev.End)
		return nil
	}
	b.buf = appendEvent(b.buf[:0], "id: "+strconv.Itoa(ev.Index)+"\n", ev.Token)
	return nil
}

// encodeError encodes an error event. Called again, it returns err, which ends the body.
func (b *eventBody) encodeError(err error) error {
	if b.errorSent {
		return err
	}
	b.errorSent = true
	b.buf = appendEvent(b.buf[:0], "event: error\n", errorBodyOf(b.id, fault.As(err)))
	return nil
}

func appendEvent(buf []byte, head string, data any) []byte {
	body, _ := json.Marshal(data) // typed data without channels or functions always encodes
	buf = append(buf, head...)
	buf = append(buf, "data: "...)
	buf = append(buf, body...)
	return append(buf, "\n\n"...)
}

// Close ends the request. fasthttp calls it after the last byte or a failed write.
func (b *eventBody) Close() error {
	if b.end == nil {
		return nil
	}
	err := b.stream.Close()
	b.end()
	b.end = nil
	return err
}
