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

// Limits of an event stream.
const (
	maxEventLineBytes = 1 << 20
	eventBufferBytes  = 4 << 10
)

// Response is a target's answer whose body is still to be read.
type Response struct {
	Status      int
	ContentType string
	resp        *fasthttp.Response
	limit       int
	lines       *bufio.Scanner
	done        bool
}

// NewResponse returns the answer in resp, which it takes over; limit bounds the
// body when it is read whole.
func NewResponse(resp *fasthttp.Response, limit int) *Response {
	return &Response{
		Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()), resp: resp, limit: limit,
	}
}

// Close ends the exchange. A body that was not read to its end costs the connection.
func (r *Response) Close() error {
	if r.resp == nil {
		return nil
	}
	err := r.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(r.resp)
	r.resp = nil
	return err
}

// Abort ends the exchange and closes its connection, which cancels the request.
func (r *Response) Abort(cause error) {
	if r.resp == nil {
		return
	}
	if s, ok := r.resp.BodyStream().(fasthttp.ReadCloserWithError); ok {
		_ = s.CloseWithError(cause)
	}
	fasthttp.ReleaseResponse(r.resp)
	r.resp = nil
}

// ReadAll returns the whole body. The outcome of its errors is Unknown.
func (r *Response) ReadAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.resp.BodyStream(), int64(r.limit)+1))
	if err != nil {
		return nil, fault.Wrap(fault.Interrupted, err, "check the target", "answer was cut after %d bytes", len(body))
	}
	if len(body) > r.limit {
		err := fault.New(fault.TooLarge, "ask for less", "answer exceeds %d bytes", r.limit).WithOutcome(fault.Ran)
		r.Abort(err)
		return nil, err
	}
	return body, nil
}

// Event is one event of a token stream: a token, or the end.
type Event struct {
	// Index counts tokens from 1.
	Index int
	Token Token
	// End is set on the last event.
	End *End
}

// Next returns the next event of a token stream. A stream that stops without
// its end event is an error of kind Interrupted, never the end.
func (r *Response) Next() (Event, error) {
	if r.done {
		return Event{}, io.EOF
	}
	if r.lines == nil {
		r.lines = bufio.NewScanner(r.resp.BodyStream())
		r.lines.Buffer(make([]byte, 0, eventBufferBytes), maxEventLineBytes)
	}
	raw, err := r.scan()
	if err != nil {
		return Event{}, err
	}
	return r.decode(raw)
}

// rawEvent is a server-sent event before its data is decoded.
type rawEvent struct {
	id, name string
	data     []byte
}

func (r *Response) scan() (rawEvent, error) {
	var ev rawEvent
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 && ev.data != nil {
			return ev, nil
		}
		ev.field(line)
	}
	return ev, cutError(r.lines.Err())
}

// drain reads what follows the end event, normally only the end of the body, so
// that the connection can be kept.
func (r *Response) drain() {
	for r.lines.Scan() {
		continue
	}
}

func (ev *rawEvent) field(line []byte) {
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

func cutError(err error) error {
	switch {
	case err == nil:
		return fault.New(fault.Interrupted, "check the target", "stream stopped before its end event")
	case errors.Is(err, bufio.ErrTooLong):
		return fault.Wrap(fault.TooLarge, err, "report the target", "stream event exceeds %d bytes", maxEventLineBytes)
	case fault.IsTimeout(err):
		return fault.Wrap(fault.Timeout, err, "check the target", "stream went silent")
	default:
		return fault.Wrap(fault.Interrupted, err, "check the target", "stream was cut")
	}
}

func (r *Response) decode(raw rawEvent) (Event, error) {
	if raw.name == "end" {
		var end End
		if err := json.Unmarshal(raw.data, &end); err != nil {
			return Event{}, fault.Wrap(fault.Interrupted, err, "report the target", "decode the end event")
		}
		r.done = true
		r.drain()
		return Event{Index: end.Tokens, End: &end}, nil
	}
	var ev Event
	if err := json.Unmarshal(raw.data, &ev.Token); err != nil {
		return Event{}, fault.Wrap(fault.Interrupted, err, "report the target", "decode a token event")
	}
	index, err := strconv.Atoi(raw.id)
	if err != nil {
		return Event{}, fault.Wrap(fault.Interrupted, err, "report the target", "token event id %q", raw.id)
	}
	ev.Index = index
	return ev, nil
}
