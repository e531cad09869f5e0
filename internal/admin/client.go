package admin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/audit"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/respconn"
)

// maxResponseBytes bounds the body of a response; an audit trail may be long.
const maxResponseBytes = 256 << 20

// Client is a client of the operators' server. It never retries a request.
type Client struct {
	baseURL string
	token   string
	http    *fasthttp.Client
}

// NewClient returns a client for the server at the base URL, such as
// http://127.0.0.1:9090, and the operator with the given token.
func NewClient(base, token string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, fault.Invalid("server", "use http://HOST:PORT", "%q is not a server URL", base)
	}
	return &Client{
		baseURL: strings.TrimSuffix(base, "/"), token: token,
		http: &fasthttp.Client{
			Name: "ragwortquay", MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxResponseBytes,
			ReadBufferSize: maxHeaderBytes, Dial: dial,
		},
	}, nil
}

// dial connects to a server. On the connection, a response with an invalid head is an
// error.
func dial(addr string) (net.Conn, error) {
	c, err := fasthttp.Dial(addr)
	if err != nil {
		return nil, err
	}
	return respconn.New(c), nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Apply sends an edit and returns the verdict. A refused edit is no error. After
// an error with outcome Unknown the edit may have been accepted or not; the audit
// trail shows it under its record id.
func (c *Client) Apply(ctx context.Context, req operate.ApplyRequest) (operate.ApplyResponse, error) {
	var out operate.ApplyResponse
	body, err := json.Marshal(req)
	if err != nil {
		return out, fault.Wrap(fault.Internal, err, "report this as a bug", "encode the edit")
	}
	status, respBody, err := c.call(ctx, fasthttp.MethodPost, "/v1/apply", body)
	if err != nil {
		return out, err
	}
	if status == fasthttp.StatusConflict {
		err = decode(respBody, &out)
		return out, err
	}
	err = c.decodeResult(status, respBody, &out)
	return out, err
}

// Tables returns both tables as seen by the server's daemon.
func (c *Client) Tables(ctx context.Context) (operate.Tables, error) {
	var out operate.Tables
	err := c.get(ctx, "/v1/tables", &out)
	return out, err
}

// Status returns the status of the system as seen by the server's daemon.
func (c *Client) Status(ctx context.Context) (operate.Status, error) {
	var out operate.Status
	err := c.get(ctx, "/v1/status", &out)
	return out, err
}

// Audit returns the selected entries of the audit trail, oldest first.
func (c *Client) Audit(ctx context.Context, req operate.AuditRequest) (operate.AuditHeader, []audit.Entry, error) {
	var header operate.AuditHeader
	status, respBody, err := c.call(ctx, fasthttp.MethodGet, "/v1/audit?"+auditQuery(req), nil)
	if err != nil {
		return header, nil, err
	}
	if status != fasthttp.StatusOK {
		return header, nil, c.decodeResult(status, respBody, nil)
	}
	lines := bufio.NewReader(bytes.NewReader(respBody))
	dec := json.NewDecoder(lines)
	if err := dec.Decode(&header); err != nil {
		return header, nil, decodeError(err)
	}
	var entries []audit.Entry
	for dec.More() {
		var e audit.Entry
		if err := dec.Decode(&e); err != nil {
			return header, nil, decodeError(err)
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
	status, respBody, err := c.call(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return c.decodeResult(status, respBody, out)
}

// call sends a request and returns the status and the body of the response. It
// uses requestTimeout if ctx has no deadline.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.baseURL + path)
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
		return 0, nil, fault.Wrap(fault.Unavailable, err, "check the server's address, or use another daemon", "call %s", c.baseURL)
	}
	return resp.StatusCode(), bytes.Clone(resp.Body()), nil
}

// decodeResult decodes the response into out, or returns the error that it
// carries.
func (c *Client) decodeResult(status int, respBody []byte, out any) error {
	if status == fasthttp.StatusOK {
		return decode(respBody, out)
	}
	var e ErrorBody
	if err := json.Unmarshal(respBody, &e); err != nil {
		return fault.Wrap(fault.Internal, err, "check that the URL is that of an operators' server", "%s returned status %d without an error body", c.baseURL, status)
	}
	return e.fault()
}

func decode(respBody []byte, out any) error {
	if err := json.Unmarshal(respBody, out); err != nil {
		return decodeError(err)
	}
	return nil
}

func decodeError(err error) error {
	return fault.Wrap(fault.Internal, err, "use the same release for the command and the daemons", "response of the operators' server cannot be decoded")
}

// fault returns the error that b describes.
func (b ErrorBody) fault() *fault.Error {
	e := fault.New(b.faultKind(), b.Remedy, "%s", b.Message)
	e.Field = b.Field
	for _, o := range []fault.Outcome{fault.Unknown, fault.NotRun, fault.Ran} {
		if o.String() == b.Outcome {
			e.Outcome = o
		}
	}
	return e
}

func (b ErrorBody) faultKind() fault.Kind {
	for k := fault.Internal; k <= fault.ShuttingDown; k++ {
		if k.String() == b.Kind {
			return k
		}
	}
	return fault.Internal
}
