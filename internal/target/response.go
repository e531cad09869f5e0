package target

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Sizes of an event stream.
const (
	// maxEventBytes bounds the lines of one event, and each line of it.
	maxEventBytes    = 1 << 20
	eventBufferBytes = 4 << 10
	// maxTrailingBytes bounds the lines that are read after the end event.
	maxTrailingBytes = 4 << 10
)

// Response is the response of a target, whose body is still to be read.
type Response struct {
	Status      int
	ContentType string
	resp        *fasthttp.Response
	maxBytes    int
	lines       *bufio.Scanner // of an event stream; nil before the first Next
	done        bool           // the end event was read
}

// NewResponse returns a Response that takes over resp. maxBytes bounds a body
// that is read whole.
func NewResponse(resp *fasthttp.Response, maxBytes int) *Response {
	return &Response{
		Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()), resp: resp, maxBytes: maxBytes,
	}
}

// Close ends the exchange. If the body was not read to its end, the connection
// is closed instead of reused.
func (r *Response) Close() error {
	if r.resp == nil {
		return nil
	}
	r.OnSilence(nil) // the connection may serve another request next
	err := r.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(r.resp)
	r.resp = nil
	return err
}

// Abort ends the exchange and closes the connection, which cancels the request
// at the target.
func (r *Response) Abort(cause error) {
	if r.resp == nil {
		return
	}
	r.Interrupt(cause)
	r.OnSilence(nil)
	fasthttp.ReleaseResponse(r.resp)
	r.resp = nil
}

// Interrupt closes the connection, so that a call of Next ends with an error. Unlike the
// other methods it may run beside Next. Abort or Close must follow.
func (r *Response) Interrupt(cause error) {
	if s, ok := r.resp.BodyStream().(fasthttp.ReadCloserWithError); ok {
		_ = s.CloseWithError(cause)
	}
}

// OnSilence sets a function that Next calls each time that the target has sent nothing for
// the silence timeout. Next goes on waiting if it returns true, until the deadline of the
// request. Without one, or if it returns false, Next returns an error of kind Timeout.
func (r *Response) OnSilence(f func() bool) {
	if a, ok := r.resp.LocalAddr().(connAddr); ok {
		a.conn.onSilence = f
	}
}

// ReadAll returns the whole body. The outcome of an error is Unknown, except
// for a body that exceeds the limit, which shows that the request ran.
func (r *Response) ReadAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.resp.BodyStream(), int64(r.maxBytes)+1))
	if err != nil {
		return nil, fault.Wrap(fault.Interrupted, err, "check the target", "the response was cut after %d bytes", len(body))
	}
	if len(body) > r.maxBytes {
		err := fault.New(fault.TooLarge, "request a smaller response", "the response exceeds %d bytes", r.maxBytes).WithOutcome(fault.Ran)
		r.Abort(err)
		return nil, err
	}
	return body, nil
}

// Event is one event of a token stream: a token or the end of the stream.
type Event struct {
	// Index is the number of the token, from 1; on the last event, the number of
	// tokens.
	Index int
	Token Token
	// End is set on the last event only.
	End *End
}

// Next returns the next event of a token stream, and io.EOF after the end
// event. A stream that stops without its end event yields an error of kind
// Interrupted, never io.EOF.
func (r *Response) Next() (Event, error) {
	if r.done {
		return Event{}, io.EOF
	}
	if r.lines == nil {
		r.lines = bufio.NewScanner(r.resp.BodyStream())
		r.lines.Buffer(make([]byte, 0, eventBufferBytes), maxEventBytes)
	}
	raw, err := r.scanEvent()
	if err != nil {
		return Event{}, err
	}
	return r.decodeEvent(raw)
}

// rawEvent is a server-sent event before its data is decoded.
type rawEvent struct {
	id, name string
	data     []byte
}

// scanEvent reads the lines of one event.
func (r *Response) scanEvent() (rawEvent, error) {
	var ev rawEvent
	for size := 0; r.lines.Scan(); {
		line := r.lines.Bytes()
		if len(line) == 0 && ev.data != nil {
			return ev, nil
		}
		if size += len(line) + 1; size > maxEventBytes {
			return ev, streamError(bufio.ErrTooLong)
		}
		ev.setField(line)
	}
	return ev, streamError(r.lines.Err())
}

// drainBody reads the rest of the body after the end event, normally nothing,
// so that the connection can be reused.
func (r *Response) drainBody() {
	for size := 0; size <= maxTrailingBytes && r.lines.Scan(); {
		size += len(r.lines.Bytes()) + 1
	}
}

// setField stores one line of the event stream format; other fields are
// ignored.
func (ev *rawEvent) setField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		ev.id = string(value)
	case "event":
		ev.name = string(value)
	case "data":
		ev.data = append(ev.data, value...)
	}
}

// streamError converts the error that ended a stream early to a fault.
func streamError(err error) error {
	switch {
	case err == nil:
		return fault.New(fault.Interrupted, "check the target", "the token stream stopped before its end event")
	case errors.Is(err, bufio.ErrTooLong):
		return fault.Wrap(fault.TooLarge, err, "report the target", "an event of the token stream exceeds %d bytes", maxEventBytes)
	case fault.IsTimeout(err):
		return fault.Wrap(fault.Timeout, err, "check the target", "the token stream sent nothing within its timeout")
	default:
		return fault.Wrap(fault.Interrupted, err, "check the target", "the token stream was cut")
	}
}

// decodeEvent decodes the data of an event.
func (r *Response) decodeEvent(raw rawEvent) (Event, error) {
	if raw.name == "end" {
		var end End
		if err := json.Unmarshal(raw.data, &end); err != nil {
			return Event{}, fault.Wrap(fault.Interrupted, err, "report the target", "decode the end event of the token stream")
		}
		r.done = true
		r.drainBody()
		return Event{Index: end.Tokens, End: &end}, nil
	}
	var ev Event
	if err := json.Unmarshal(raw.data, &ev.Token); err != nil {
		return Event{}, fault.Wrap(fault.Interrupted, err, "report the target", "decode a token event of the token stream")
	}
	index, err := strconv.Atoi(raw.id)
	if err != nil {
		return Event{}, fault.Wrap(fault.Interrupted, err, "report the target", "token event has id %q instead of a number", raw.id)
	}
	ev.Index = index
	return ev, nil
}
