package admin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/audit"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/operate"
)

// maxAnswerBytes bounds an answer; an audit may be long.
const maxAnswerBytes = 256 << 20

// Client calls an operators' server. It never repeats a call.
type Client struct {
	base  string
	token string
	http  *fasthttp.Client
}

// NewClient returns a client of the server at base, such as
// http://127.0.0.1:9090, for the operator with the given token.
func NewClient(base, token string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, fault.Invalid("server", "use http://HOST:PORT", "%q is not a server URL", base)
	}
	return &Client{
		base: strings.TrimSuffix(base, "/"), token: token,
		http: &fasthttp.Client{
			Name: "ragwortquay", MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxAnswerBytes,
			ReadBufferSize: maxHeaderBytes,
		},
	}, nil
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Apply sends an edit. A refused edit is an answer, not an error. An error with
// outcome Unknown leaves open whether the edit was accepted; its record id
// finds it in the audit.
func (c *Client) Apply(ctx context.Context, req operate.ApplyRequest) (operate.ApplyResponse, error) {
	var out operate.ApplyResponse
	body, err := json.Marshal(req)
	if err != nil {
		return out, fault.Wrap(fault.Internal, err, "report this", "encode the edit")
	}
	status, answer, err := c.call(ctx, fasthttp.MethodPost, "/v1/apply", body)
	if err != nil {
		return out, err
	}
	if status == fasthttp.StatusConflict {
		err = decode(answer, &out)
		return out, err
	}
	err = c.result(status, answer, &out)
	return out, err
}

// Tables returns both tables.
func (c *Client) Tables(ctx context.Context) (operate.Tables, error) {
	var out operate.Tables
	err := c.get(ctx, "/v1/tables", &out)
	return out, err
}

// Status returns the system as the server's daemon sees it.
func (c *Client) Status(ctx context.Context) (operate.Status, error) {
	var out operate.Status
	err := c.get(ctx, "/v1/status", &out)
	return out, err
}

// Audit returns the selected entries, oldest first.
func (c *Client) Audit(ctx context.Context, req operate.AuditRequest) (operate.AuditHeader, []audit.Entry, error) {
	var header operate.AuditHeader
	status, answer, err := c.call(ctx, fasthttp.MethodGet, "/v1/audit?"+auditQuery(req), nil)
	if err != nil {
		return header, nil, err
	}
	if status != fasthttp.StatusOK {
		return header, nil, c.result(status, answer, nil)
	}
	lines := bufio.NewReader(bytes.NewReader(answer))
	dec := json.NewDecoder(lines)
	if err := dec.Decode(&header); err != nil {
		return header, nil, badAnswer(err)
	}
	var entries []audit.Entry
	for dec.More() {
		var e audit.Entry
		if err := dec.Decode(&e); err != nil {
			return header, nil, badAnswer(err)
		}
		entries = append(entries, e)
	}
	return header, entries, nil
}

func auditQuery(req operate.AuditRequest) string {
	q := url.Values{}
	set := func(key, v string) {
		if v != "" {
			q.Set(key, v)
		}
	}
	set("row", req.Subject)
	set("author", req.Author)
	set("kind", string(req.Kind))
	if !req.Since.IsZero() {
		set("since", req.Since.UTC().Format(time.RFC3339))
	}
	if req.Limit > 0 {
		set("limit", strconv.Itoa(req.Limit))
	}
	if req.After != nil {
		set("after", req.After.String())
	}
	if req.Wait > 0 {
		set("wait", req.Wait.String())
	}
	return q.Encode()
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	status, answer, err := c.call(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return c.result(status, answer, out)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(requestTimeout)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return 0, nil, fault.Wrap(fault.Unavailable, err, "check the server's address, or ask another daemon", "call %s", c.base)
	}
	return resp.StatusCode(), bytes.Clone(resp.Body()), nil
}

func (c *Client) result(status int, answer []byte, out any) error {
	if status == fasthttp.StatusOK {
		return decode(answer, out)
	}
	var e ErrorBody
	if err := json.Unmarshal(answer, &e); err != nil {
		return fault.Wrap(fault.Internal, err, "check that the URL names an operators' server", "%s answered %d", c.base, status)
	}
	return e.fault()
}

func decode(answer []byte, out any) error {
	if err := json.Unmarshal(answer, out); err != nil {
		return badAnswer(err)
	}
	return nil
}

func badAnswer(err error) error {
	return fault.Wrap(fault.Internal, err, "use the same release for the command and the daemons", "answer cannot be decoded")
}

// fault returns the error that the body carries.
func (b ErrorBody) fault() *fault.Error {
	e := fault.New(b.kind(), b.Remedy, "%s", b.Message)
	e.Field = b.Field
	for _, o := range []fault.Outcome{fault.Unknown, fault.NotRun, fault.Ran} {
		if o.String() == b.Outcome {
			e.Outcome = o
		}
	}
	return e
}

func (b ErrorBody) kind() fault.Kind {
	for k := fault.Internal; k <= fault.ShuttingDown; k++ {
		if k.String() == b.Kind {
			return k
		}
	}
	return fault.Internal
}
