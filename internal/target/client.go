package target

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Defaults of the request path.
const (
	// DefaultDialTimeout bounds setting up a connection to a target.
	DefaultDialTimeout = time.Second
	// DefaultFirstByteTimeout is how long an idempotent request waits for the first
	// byte of its answer before the connection is doubted.
	DefaultFirstByteTimeout = 5 * time.Second
	// DefaultSilenceTimeout is the same between two reads of an answer.
	DefaultSilenceTimeout = 1500 * time.Millisecond
	// probeTimeout bounds the question whether a silent target is alive.
	probeTimeout = 500 * time.Millisecond
	// DefaultMaxResponseBytes bounds a buffered answer.
	DefaultMaxResponseBytes = 8 << 20
	// maxConnsPerTarget is far above any replica's concurrency limit, so that
	// the limit in force is the grant's and never the connection pool's.
	maxConnsPerTarget = 1 << 16
	maxIdleConn       = 30 * time.Second
	readBufferBytes   = 16 << 10
)

// Options are the settings of a Client.
type Options struct {
	DialTimeout      time.Duration
	FirstByteTimeout time.Duration
	SilenceTimeout   time.Duration
	MaxResponseBytes int
}

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.FirstByteTimeout <= 0 {
		o.FirstByteTimeout = DefaultFirstByteTimeout
	}
	if o.SilenceTimeout <= 0 {
		o.SilenceTimeout = DefaultSilenceTimeout
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return o
}

// Request is one attempt at one target.
type Request struct {
	Addr           string
	Method         string
	Path           string
	ID             string
	AttemptID      string
	IdempotencyKey string
	Workspace      string
	Priority       int
	// ContentType and Body go to the target as they are.
	ContentType string
	Body        []byte
	// Deadline bounds the whole answer.
	Deadline time.Time
	// AtMostOnce marks a request that must not run twice: it gets a connection of
	// its own, since on a kept-alive one a closed connection cannot be told
	// from a lost answer, and it waits for the answer until the deadline.
	AtMostOnce bool
}

// Client sends attempts to targets, one HTTP exchange each, and never repeats one.
type Client struct {
	opts  Options
	hosts *shard.Map[*host]
}

// host holds the connections of one target address.
type host struct {
	kept  *fasthttp.HostClient // for requests that may be repeated
	fresh *fasthttp.HostClient // one connection per request
}

// New returns a client.
func New(opts Options) *Client {
	return &Client{opts: opts.withDefaults(), hosts: shard.NewMap[*host]()}
}

func (c *Client) host(addr string) *host {
	if h, ok := c.hosts.Get(addr); ok {
		return h
	}
	var out *host
	c.hosts.Update(addr, func(h *host, ok bool) (*host, bool) {
		if !ok {
			h = &host{
				kept:  c.hostClient(addr, silence{first: c.opts.FirstByteTimeout, between: c.opts.SilenceTimeout}),
				fresh: c.hostClient(addr, silence{}),
			}
		}
		out = h
		return h, true
	})
	return out
}

func (c *Client) hostClient(addr string, bound silence) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		DialTimeout:               c.dial(bound),
		MaxConns:                  maxConnsPerTarget,
		MaxIdleConnDuration:       maxIdleConn,
		ConnPoolStrategy:          fasthttp.LIFO,
		ReadBufferSize:            readBufferBytes,
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
}

func (c *Client) dial(bound silence) fasthttp.DialFuncWithTimeout {
	return func(addr string, timeout time.Duration) (net.Conn, error) {
		if timeout <= 0 || timeout > c.opts.DialTimeout {
			timeout = c.opts.DialTimeout
		}
		conn, err := net.DialTimeout("tcp", addr, timeout)
		if err != nil {
			return nil, &dialError{cause: err}
		}
		return &silenceConn{Conn: conn, bound: bound}, nil
	}
}

// Forget drops the kept connections of a target, so that the next request gets
// a new one.
func (c *Client) Forget(addr string) {
	h, ok := c.hosts.Get(addr)
	if !ok {
		return
	}
	c.hosts.Delete(addr)
	h.kept.CloseIdleConnections()
}

// Probe asks the target for its report over a new connection, and returns the
// boot id that it gives; false if it does not answer. A target that answers
// under the same boot id is not the cause of another connection's silence.
func (c *Client) Probe(addr string) (bootID string, alive bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + reportPath)
	req.SetConnectionClose()
	if err := c.host(addr).fresh.DoTimeout(req, resp, probeTimeout); err != nil {
		fasthttp.ReleaseResponse(resp)
		return "", false
	}
	answer := NewResponse(resp, MaxReportBytes)
	defer func() { _ = answer.Close() }()
	body, err := answer.ReadAll()
	if err != nil {
		return "", false
	}
	var r Report
	if err := json.Unmarshal(body, &r); err != nil {
		return "", false
	}
	return r.BootID, true
}

// Do performs one attempt. The error's outcome is NotRun if the target cannot
// have seen the request or said that it did not run it, and Unknown otherwise.
// The caller must Close the response.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, fault.Wrap(fault.Timeout, err, "send the request again", "caller gave up").WithOutcome(fault.NotRun)
	}
	if !time.Now().Before(r.Deadline) {
		return nil, fault.Refuse(fault.Timeout, "allow a longer deadline", "deadline passed before the request was sent")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	r.fill(req)
	resp := fasthttp.AcquireResponse()
	if err := c.pick(r).DoDeadline(req, resp, r.Deadline); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, classify(r, err)
	}
	return c.accept(r, resp)
}

func (c *Client) pick(r *Request) *fasthttp.HostClient {
	if r.AtMostOnce {
		return c.host(r.Addr).fresh
	}
	return c.host(r.Addr).kept
}

func (r *Request) fill(req *fasthttp.Request) {
	req.SetRequestURI("http://" + r.Addr + r.Path)
	req.Header.SetMethod(r.Method)
	req.Header.Set(HeaderRequestID, r.ID)
	req.Header.Set(HeaderAttemptID, r.AttemptID)
	req.Header.Set(HeaderWorkspace, r.Workspace)
	req.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
	if r.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, r.IdempotencyKey)
	}
	if r.ContentType != "" {
		req.Header.SetContentType(r.ContentType)
	}
	if r.AtMostOnce {
		req.SetConnectionClose()
	}
	req.SetBodyRaw(r.Body)
}

// accept checks that the answer belongs to the request and that the target ran it.
func (c *Client) accept(r *Request, resp *fasthttp.Response) (*Response, error) {
	out := NewResponse(resp, c.opts.MaxResponseBytes)
	if got := string(resp.Header.Peek(HeaderRequestID)); got != r.ID {
		err := fault.New(fault.Interrupted, "report the target: its answers are mixed up", "target %s answered request %q instead of %q", r.Addr, got, r.ID)
		out.Abort(err)
		return nil, err
	}
	if len(resp.Header.Peek(HeaderNotRun)) > 0 {
		err := fault.Refuse(fault.Overload, "try again later", "target %s refused with status %d", r.Addr, out.Status)
		_ = out.Close()
		return nil, err
	}
	return out, nil
}

// classify turns an error of the HTTP client into one with a kind and an outcome.
func classify(r *Request, err error) error {
	var dial *dialError
	switch {
	case errors.As(err, &dial):
		return fault.Wrap(fault.Unavailable, err, "try again; the target is down", "connect to %s", r.Addr).WithOutcome(fault.NotRun)
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return fault.Wrap(fault.Overload, err, "try again later", "connections to %s", r.Addr).WithOutcome(fault.NotRun)
	case fault.IsTimeout(err):
		return fault.Wrap(fault.Timeout, err, "check the target", "no answer from %s", r.Addr)
	default:
		return fault.Wrap(fault.Interrupted, err, "check the target", "exchange with %s", r.Addr)
	}
}
