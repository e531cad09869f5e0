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
	// HeaderKind carries the kind of the request, which selects the route.
	HeaderKind = "X-Request-Kind"
	// HeaderIssuedAt carries the time at which the caller first issued a keyed
	// request, in Unix milliseconds. A repeated request carries the same time.
	HeaderIssuedAt = "X-Issued-At"
	// HeaderTimeout shortens the route's deadline; in milliseconds.
	HeaderTimeout = "X-Timeout-Ms"
	// HeaderOutcome states whether the request was executed: not-run, unknown or
	// ran.
	HeaderOutcome = "X-Outcome"
	// HeaderReplayed marks the recorded result of an earlier attempt.
	HeaderReplayed = "X-Replayed"
	// HeaderReplica carries the id of the replica that served the request.
	HeaderReplica = "X-Replica"
)

// Limits of header values.
const (
	maxKeyBytes  = 256
	maxKindBytes = 128
	maxTimeoutMs = 30 * 60 * 1000
)

var bearerPrefix = []byte("Bearer ")

// parse converts the HTTP request to a dispatch.Request. It copies all bytes that
// are used after the handler returns.
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
	if r.Kind, err = headerValue(ctx, HeaderKind, maxKindBytes); err != nil {
		return nil, err
	}
	if r.Key, err = headerValue(ctx, target.HeaderIdempotencyKey, maxKeyBytes); err != nil {
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
	token, ok := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), bearerPrefix)
	if !ok {
		return "", fault.Refuse(fault.Unauthorized, "send Authorization: Bearer TOKEN", "request carries no token")
	}
	workspace, ok := s.opts.Auth.Workspace(string(token))
	if !ok {
		return "", fault.Refuse(fault.Unauthorized, "use the token of your workspace", "token is not known")
	}
	return workspace, nil
}

func headerValue(ctx *fasthttp.RequestCtx, header string, limit int) (string, error) {
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

// requestID returns the request id that the caller sent, or a new one.
func requestID(ctx *fasthttp.RequestCtx) (string, error) {
	id, err := headerValue(ctx, target.HeaderRequestID, maxKeyBytes)
	if err != nil {
		return ids.New(), err
	}
	if id == "" {
		return ids.New(), nil
	}
	return id, nil
}
