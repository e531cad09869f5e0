package front

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/dispatch"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// Headers of the callers' protocol, besides those in package target.
const (
	// HeaderKind names the kind of request; routes select by it.
	HeaderKind = "X-Request-Kind"
	// HeaderIssuedAt is when the caller first issued a keyed request, in Unix
	// milliseconds; a repeated request carries the first time.
	HeaderIssuedAt = "X-Issued-At"
	// HeaderTimeout shortens the route's deadline, in milliseconds.
	HeaderTimeout = "X-Timeout-Ms"
	// HeaderOutcome says what is known about the execution: not-run, unknown or ran.
	HeaderOutcome = "X-Outcome"
	// HeaderReplayed marks a recorded result of an earlier attempt.
	HeaderReplayed = "X-Replayed"
	// HeaderReplica names the replica that served the request.
	HeaderReplica = "X-Replica"
)

// Limits of header values.
const (
	maxKeyBytes  = 256
	maxKindBytes = 128
	maxTimeoutMs = 30 * 60 * 1000
)

var bearer = []byte("Bearer ")

// parse turns the HTTP request into a dispatch.Request. It copies what
// outlives the handler.
func (s *Server) parse(ctx *fasthttp.RequestCtx, id string) (*dispatch.Request, error) {
	workspace, err := s.authenticate(ctx)
	if err != nil {
		return nil, err
	}
	r := &dispatch.Request{
		ID:          id,
		Workspace:   workspace,
		Method:      string(ctx.Method()),
		Path:        string(ctx.RequestURI()),
		ContentType: string(ctx.Request.Header.ContentType()),
		Body:        bytes.Clone(ctx.PostBody()),
		Received:    ctx.Time(),
	}
	if r.Kind, err = bounded(ctx, HeaderKind, maxKindBytes); err != nil {
		return nil, err
	}
	if r.Key, err = bounded(ctx, target.HeaderIdempotencyKey, maxKeyBytes); err != nil {
		return nil, err
	}
	if r.IssuedAt, err = issuedAt(ctx); err != nil {
		return nil, err
	}
	if r.Timeout, err = timeout(ctx); err != nil {
		return nil, err
	}
	return r, nil
}

func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (string, error) {
	token, ok := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), bearer)
	if !ok {
		return "", fault.Refuse(fault.Unauthorized, "send Authorization: Bearer TOKEN", "request carries no token")
	}
	workspace, ok := s.opts.Auth.Workspace(string(token))
	if !ok {
		return "", fault.Refuse(fault.Unauthorized, "use the token of your workspace", "token is not known")
	}
	return workspace, nil
}

func bounded(ctx *fasthttp.RequestCtx, header string, limit int) (string, error) {
	v := ctx.Request.Header.Peek(header)
	if len(v) > limit {
		return "", fault.Invalid(header, "use at most "+strconv.Itoa(limit)+" bytes", "value has %d bytes", len(v))
	}
	return string(v), nil
}

func issuedAt(ctx *fasthttp.RequestCtx) (time.Time, error) {
	v := ctx.Request.Header.Peek(HeaderIssuedAt)
	if len(v) == 0 {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, fault.Invalid(HeaderIssuedAt, "send Unix milliseconds", "%q is not a time", v)
	}
	return time.UnixMilli(ms), nil
}

func timeout(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	v := ctx.Request.Header.Peek(HeaderTimeout)
	if len(v) == 0 {
		return 0, nil
	}
	ms, err := strconv.Atoi(string(v))
	if err != nil || ms <= 0 || ms > maxTimeoutMs {
		return 0, fault.Invalid(HeaderTimeout, "send milliseconds from 1 to "+strconv.Itoa(maxTimeoutMs), "%q is not a timeout", v)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// requestID returns the caller's id, or a new one where it sent none.
func requestID(ctx *fasthttp.RequestCtx) (string, error) {
	id, err := bounded(ctx, target.HeaderRequestID, maxKeyBytes)
	if err != nil {
		return ids.New(), err
	}
	if id == "" {
		return ids.New(), nil
	}
	return id, nil
}
