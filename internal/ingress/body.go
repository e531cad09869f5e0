package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/intake"
	"github.com/ragwortquay/ragwortquay/internal/relay"
)

const (
	// unreadPeriod is how long net/http may read on, and discard, the body of a request
	// that was refused before it was read. A client that still sends may see a reset
	// connection in place of its response if the connection is closed at once.
	unreadPeriod = 500 * time.Millisecond
	// roomRetryAfter is the RetryAfter of requests for whose bodies there was no room.
	roomRetryAfter = 500 * time.Millisecond
)

// errNoRoom is returned if there is no room for a body, or it had to give it up.
var errNoRoom = errors.New("no room for the request body")

// serveWithBody serves a request that has a body. It decides from the head before a byte
// of the body is read, and holds the room for the body until the request ends.
func (s *Server) serveWithBody(r *http.Request, out *writer, req *relay.Request) {
	// The connection of a small body that is refused can be kept, since net/http discards
	// the body. It is closed for others, which may not end.
	closing := out.closing
	out.closing = closing || r.ContentLength < 0 || r.ContentLength > intake.SmallBody
	out.setReadDeadline(time.Now().Add(unreadPeriod))
	if s.refuseStopping(out) {
		return
	}
	deadline, ok := s.opts.Relay.CheckHead(r.Context(), req, out)
	if !ok {
		return
	}
	limit := s.maxBodyBytes()
	if r.ContentLength > limit {
		s.refuseTooLarge(out, limit)
		return
	}
	class, bytes := intake.ClassOf(r.ContentLength), r.ContentLength
	if r.ContentLength < 0 {
		bytes = intake.NextCapacity(0, limit)
		class = intake.ClassOfChunked(bytes)
	}
	l := s.room.acquire(r.Context(), class, bytes, deadline, func() { out.setReadDeadline(time.Now()) })
	if l == nil {
		s.refuseRoom(out)
		return
	}
	defer l.release()
	out.setReadDeadline(deadline)
	in := &bodyReader{body: r.Body, lease: l}
	var err error
	if r.ContentLength >= 0 {
		req.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(in, req.Body)
	} else {
		req.Body, err = in.readChunked(r, limit, deadline)
	}
	complete := l.complete()
	if err == nil && complete {
		out.closing = closing
		// The deadline would end the connection while the request runs.
		out.setReadDeadline(time.Time{})
		s.serveComplete(r, out, req)
		return
	}
	req.Body = nil
	out.closing = true
	defer out.setReadDeadline(time.Now().Add(unreadPeriod))
	switch {
	case errors.Is(err, errTooLarge):
		s.refuseTooLarge(out, limit)
	case !complete && s.rejecting.Load():
		s.refuseStopping(out)
	case !complete, errors.Is(err, errNoRoom):
		s.refuseRoom(out)
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.opts.Observer.RecordBodyRefusal("late", l.class.String())
		out.writeText(http.StatusRequestTimeout, "the request body was not complete by the deadline; the request has not run")
	default:
		// The client disconnected before the end of its request.
		panic(http.ErrAbortHandler)
	}
}

// refuseStopping refuses a request late in the shutdown, and reports whether it did.
func (s *Server) refuseStopping(out *writer) bool {
	if !s.rejecting.Load() {
		return false
	}
	out.Refuse(relay.Refusal{Cause: relay.NotReady, RetryAfter: stoppingRetryAfter, Reason: "this daemon is shutting down"})
	return true
}

func (s *Server) refuseTooLarge(out *writer, limit int64) {
	s.opts.Observer.RecordBodyRefusal("too_large", intake.Large.String())
	out.writeText(http.StatusRequestEntityTooLarge, "request body exceeds "+strconv.FormatInt(limit, 10)+" bytes; send a smaller one")
}

// refuseRoom refuses a request for whose body there is no room, which room has counted.
func (s *Server) refuseRoom(out *writer) {
	out.closing = true
	out.setReadDeadline(time.Now().Add(unreadPeriod))
	out.Refuse(relay.Refusal{Cause: relay.NotReady, RetryAfter: roomRetryAfter, Reason: "no memory for the request body at present"})
}

// maxBodyBytes returns the limit of request bodies.
func (s *Server) maxBodyBytes() int64 {
	if limit := s.opts.MaxBodyBytes(); limit > 0 {
		return int64(limit)
	}
	return defaultMaxBodyBytes
}

// errTooLarge is returned for a chunked body over the limit.
var errTooLarge = errors.New("request body exceeds the limit")

// bodyReader reads a body that has room.
type bodyReader struct {
	body  io.Reader
	lease *lease
}

// Read implements io.Reader.
func (in *bodyReader) Read(p []byte) (int, error) {
	n, err := in.body.Read(p)
	if n > 0 {
		in.lease.touch()
	}
	return n, err
}

// readChunked reads a chunked body, whose room grows with its capacity.
func (in *bodyReader) readChunked(r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	body := make([]byte, 0, in.lease.bytes)
	for {
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		case int64(cap(body)) >= limit:
			return body, in.expectEnd()
		}
		capacity := intake.NextCapacity(int64(cap(body)), limit)
		class := intake.ClassOfChunked(capacity)
		if !in.lease.grow(r.Context(), class, capacity, deadline) {
			return nil, errNoRoom
		}
		body = append(make([]byte, 0, capacity), body...)
		in.lease.shrink(class, capacity)
	}
}

// expectEnd returns errTooLarge unless the body ends here.
func (in *bodyReader) expectEnd() error {
	var next [1]byte
	for {
		n, err := in.Read(next[:])
		switch {
		case n > 0:
			return errTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
