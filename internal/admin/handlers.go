package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/audit"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/httperr"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// ErrorBody is the JSON form of an error.
type ErrorBody struct {
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy,omitempty"`
}

// apply responds with status 200 to an accepted edit and with 409, and the same
// form of body, to a refused one.
func (s *Server) apply(ctx context.Context, r *fasthttp.RequestCtx, operator string) error {
	var req operate.ApplyRequest
	dec := json.NewDecoder(bytes.NewReader(r.PostBody()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return fault.Invalid("body", "send an edit as JSON", "%v", err)
	}
	resp, err := s.opts.Service.Apply(ctx, operator, req)
	if err != nil {
		return err
	}
	if !resp.Accepted {
		r.SetStatusCode(fasthttp.StatusConflict)
	}
	return writeJSON(r, resp)
}

func (s *Server) tables(_ context.Context, r *fasthttp.RequestCtx, _ string) error {
	return writeJSON(r, s.opts.Service.Tables())
}

func (s *Server) status(ctx context.Context, r *fasthttp.RequestCtx, _ string) error {
	return writeJSON(r, s.opts.Service.Status(ctx))
}

// audit responds with JSON lines: a header, then one line per entry.
func (s *Server) audit(ctx context.Context, r *fasthttp.RequestCtx, _ string) error {
	req, err := parseAuditRequest(r.QueryArgs())
	if err != nil {
		return err
	}
	header, entries, err := s.opts.Service.Audit(ctx, req)
	if err != nil {
		return err
	}
	r.SetContentType("application/x-ndjson")
	enc := json.NewEncoder(r)
	if err := enc.Encode(header); err != nil {
		return fault.Wrap(fault.Internal, err, "report this as a bug", "encode the audit trail")
	}
	for i := range entries {
		if err := enc.Encode(&entries[i]); err != nil {
			return fault.Wrap(fault.Internal, err, "report this as a bug", "encode the audit trail")
		}
	}
	return nil
}

func parseAuditRequest(q *fasthttp.Args) (operate.AuditRequest, error) {
	req := operate.AuditRequest{Filter: audit.Filter{
		Subject: string(q.Peek("row")), Author: string(q.Peek("author")), Kind: audit.Kind(q.Peek("kind")),
	}}
	var err error
	if v := string(q.Peek("since")); v != "" {
		if req.Since, err = time.Parse(time.RFC3339, v); err != nil {
			return req, fault.Invalid("since", "write a time such as 2006-01-02T15:04:05Z", "%q is not a time", v)
		}
	}
	if v := string(q.Peek("limit")); v != "" {
		if req.Limit, err = strconv.Atoi(v); err != nil || req.Limit < 0 {
			return req, fault.Invalid("limit", "give the number of entries, 0 for all", "%q is not a number of entries", v)
		}
	}
	if v := string(q.Peek("after")); v != "" {
		pos, err := state.ParsePosition(v)
		if err != nil {
			return req, err
		}
		req.After = &pos
	}
	if v := string(q.Peek("wait")); v != "" {
		if req.Wait, err = time.ParseDuration(v); err != nil {
			return req, fault.Invalid("wait", "write a duration such as 30s", "%q is not a duration", v)
		}
	}
	return req, nil
}

func writeJSON(r *fasthttp.RequestCtx, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "report this as a bug", "encode %T", v)
	}
	r.SetContentType("application/json")
	r.SetBody(append(body, '\n'))
	return nil
}

// writeError responds with the error as an ErrorBody and logs internal errors.
func writeError(r *fasthttp.RequestCtx, err error) {
	e := fault.As(err)
	if e.Kind == fault.Internal {
		klog.ErrorS(err, "operator's request failed", "path", string(r.Path()))
	}
	r.ResetBody()
	r.SetStatusCode(httperr.StatusOf(e.Kind))
	// fault.As picks one error of a joined one; the message must name all of them.
	message := e.Unwrap().Error()
	if err.Error() != e.Error() {
		message = err.Error()
	}
	body, _ := json.Marshal(ErrorBody{ // a struct of strings always encodes
		Kind: e.Kind.String(), Outcome: e.Outcome.String(), Field: e.Field, Message: message, Remedy: e.Remedy,
	})
	r.SetContentType("application/json")
	r.SetBody(append(body, '\n'))
}
