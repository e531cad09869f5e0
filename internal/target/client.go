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
	"github.com/ragwortquay/ragwortquay/internal/respconn"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Default and fixed limits of a Client.
const (
	// DefaultDialTimeout bounds the set-up of a connection to a target.
	DefaultDialTimeout = time.Second
	// DefaultFirstByteTimeout is how long a request that may be repeated waits
	// for the first byte of the response.
	DefaultFirstByteTimeout = 5 * time.Second
	// DefaultSilenceTimeout is how long such a request waits between two reads
	// of the response.
	DefaultSilenceTimeout = 1500 * time.Millisecond
	// probeTimeout bounds a Probe of a target that sends nothing.
	probeTimeout = 500 * time.Millisecond
	// DefaultMaxResponseBytes bounds a response that is read whole.
	DefaultMaxResponseBytes = 8 << 20
	// maxConnsPerTarget is far above the concurrency limit of any replica, so
	// that only grants limit concurrency and never the connection pool.
	maxConnsPerTarget   = 1 << 16
	maxIdleConnDuration = 30 * time.Second
	readBufferBytes     = 16 << 10
)

// Options configure a Client. Zero values take the defaults.
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

// Request is one attempt to send a request to a target.
type Request struct {
	Addr           string
	Method         string
	Path           string
	ID             string
	AttemptID      string
	IdempotencyKey string
	Workspace      string
	Priority       int
	// ContentType and Body are sent unchanged.
	ContentType string
	Body        []byte
	// Deadline bounds the whole exchange.
	Deadline time.Time
	// AtMostOnce marks a request that must not run twice. It gets a connection
	// of its own, since on a reused one an idle connection that the target
	// closed cannot be told from a lost response, and it waits for the
	// response until Deadline.
	AtMostOnce bool
	// Resent marks a request that may have been sent before under the same ID. It gets
	// a connection of its own, since on a reused one the response to the earlier
	// attempt, written once more, cannot be told from its own.
	Resent bool
}

// Client sends requests to targets. It makes one HTTP exchange per call and
// never retries.
type Client struct {
	opts  Options
	hosts *shard.Map[*hostClients]
}

// hostClients holds the HTTP clients of one target address.
type hostClients struct {
	keepAlive *fasthttp.HostClient // reuses connections; for requests that may be repeated
	resent    *fasthttp.HostClient // a new connection per request, with the timeouts of keepAlive
	singleUse *fasthttp.HostClient // a new connection per request
}

// New returns a Client.
func New(opts Options) *Client {
	return &Client{opts: opts.withDefaults(), hosts: shard.NewMap[*hostClients]()}
}

func (c *Client) clientsFor(addr string) *hostClients {
	if h, ok := c.hosts.Get(addr); ok {
		return h
	}
	var clients *hostClients
	c.hosts.Update(addr, func(h *hostClients, ok bool) (*hostClients, bool) {
		if !ok {
			timeouts := silenceTimeouts{firstByte: c.opts.FirstByteTimeout, betweenReads: c.opts.SilenceTimeout}
			h = &hostClients{
				keepAlive: c.newHostClient(addr, timeouts),
				resent:    c.newHostClient(addr, timeouts),
				singleUse: c.newHostClient(addr, silenceTimeouts{}),
			}
		}
		clients = h
		return h, true
	})
	return clients
}

func (c *Client) newHostClient(addr string, timeouts silenceTimeouts) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		DialTimeout:               c.dialFunc(timeouts),
		MaxConns:                  maxConnsPerTarget,
		MaxIdleConnDuration:       maxIdleConnDuration,
		ConnPoolStrategy:          fasthttp.LIFO,
		ReadBufferSize:            readBufferBytes,
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
}

func (c *Client) dialFunc(timeouts silenceTimeouts) fasthttp.DialFuncWithTimeout {
	return func(addr string, timeout time.Duration) (net.Conn, error) {
		if timeout <= 0 || timeout > c.opts.DialTimeout {
			timeout = c.opts.DialTimeout
		}
		conn, err := net.DialTimeout("tcp", addr, timeout)
		if err != nil {
			return nil, &dialError{cause: err}
		}
		return &silenceConn{Conn: respconn.New(conn), timeouts: timeouts}, nil
	}
}

// CloseIdle closes the idle connections to a target, so that the next request
// opens a new one.
func (c *Client) CloseIdle(addr string) {
	h, ok := c.hosts.Get(addr)
	if !ok {
		return
	}
	c.hosts.Delete(addr)
	h.keepAlive.CloseIdleConnections()
}

// Probe requests the report of a target over a new connection. It returns the
// boot id in the report, and false if the target does not respond. If the boot
// id has not changed, the target is not the cause of the silence on another
// connection.
func (c *Client) Probe(addr string) (bootID string, alive bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + reportPath)
	req.SetConnectionClose()
	if err := c.clientsFor(addr).singleUse.DoTimeout(req, resp, probeTimeout); err != nil {
		fasthttp.ReleaseResponse(resp)
		return "", false
	}
	report := NewResponse(resp, MaxReportBytes)
	defer func() { _ = report.Close() }()
	body, err := report.ReadAll()
	if err != nil {
		return "", false
	}
	var r Report
	if err := json.Unmarshal(body, &r); err != nil {
		return "", false
	}
	return r.BootID, true
}

// Do performs one attempt. The outcome of an error is NotRun if the target
// cannot have received the request or responded that it did not run it, and
// Unknown otherwise. The caller must Close the response.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, fault.Wrap(fault.Timeout, err, "send the request again", "the caller's context ended before the request was sent").WithOutcome(fault.NotRun)
	}
	if !time.Now().Before(r.Deadline) {
		return nil, fault.Refuse(fault.Timeout, "allow a longer deadline", "the deadline passed before the request was sent")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	r.writeTo(req)
	resp := fasthttp.AcquireResponse()
	if err := c.selectClient(r).DoDeadline(req, resp, r.Deadline); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, classifyError(r, err)
	}
	return c.checkResponse(r, resp)
}

func (c *Client) selectClient(r *Request) *fasthttp.HostClient {
	switch {
	case r.AtMostOnce:
		return c.clientsFor(r.Addr).singleUse
	case r.Resent:
		return c.clientsFor(r.Addr).resent
	default:
		return c.clientsFor(r.Addr).keepAlive
	}
}

func (r *Request) writeTo(req *fasthttp.Request) {
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
	if r.AtMostOnce || r.Resent {
		req.SetConnectionClose()
	}
	req.SetBodyRaw(r.Body)
}

// checkResponse checks that the response belongs to the request and that the
// target ran it.
func (c *Client) checkResponse(r *Request, resp *fasthttp.Response) (*Response, error) {
	out := NewResponse(resp, c.opts.MaxResponseBytes)
	if got := string(resp.Header.Peek(HeaderRequestID)); got != r.ID {
		err := fault.New(fault.Interrupted, "report the target: its responses are mixed up", "target %s sent the response to request %q instead of %q", r.Addr, got, r.ID)
		out.Abort(err)
		return nil, err
	}
	if len(resp.Header.Peek(HeaderNotRun)) > 0 {
		err := fault.Refuse(fault.Overload, "try again later", "target %s refused the request with status %d before running it", r.Addr, out.Status)
		_ = out.Close()
		return nil, err
	}
	return out, nil
}

// classifyError converts an error of the HTTP client to a fault with a kind
// and an outcome.
func classifyError(r *Request, err error) error {
	var dial *dialError
	switch {
	case errors.As(err, &dial):
		return fault.Wrap(fault.Unavailable, err, "try again; the target is down", "connect to target %s", r.Addr).WithOutcome(fault.NotRun)
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return fault.Wrap(fault.Overload, err, "try again later", "no free connection to target %s", r.Addr).WithOutcome(fault.NotRun)
	case fault.IsTimeout(err):
		return fault.Wrap(fault.Timeout, err, "check the target", "target %s did not respond in time", r.Addr)
	default:
		return fault.Wrap(fault.Interrupted, err, "check the target", "HTTP exchange with target %s failed", r.Addr)
	}
}
