package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// MaxResponseBytes bounds one answer of a platform service.
	MaxResponseBytes = 64 << 20
	// maxConns bounds the connections to one service.
	maxConns = 64
	// idleConnTime is how long an unused connection is kept.
	idleConnTime = 30 * time.Second
	// maxMessageBytes bounds the part of a refusal that goes into an error.
	maxMessageBytes = 200
)

// HeaderClient names the daemon that calls.
const HeaderClient = "X-Client"

// Options say where a service is and how it is called.
type Options struct {
	// URL is the service's base URL, such as http://127.0.0.1:8080.
	URL string
	// Timeout bounds one call; DefaultTimeout if zero.
	Timeout time.Duration
	// Client names the caller to the service; may be empty.
	Client string
}

// caller sends one request at a time per connection and never repeats one by
// itself.
type caller struct {
	http    *fasthttp.HostClient
	base    string
	client  string
	timeout time.Duration
}

// dialError marks a failure to connect: nothing was sent.
type dialError struct{ cause error }

// Error returns the cause's text.
func (e *dialError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.cause }

func newCaller(o Options) (*caller, error) {
	u, err := url.Parse(o.URL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, fault.Invalid("url", "give a URL such as http://127.0.0.1:8080", "%q is not an http URL", o.URL)
	}
	timeout := o.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &caller{
		http: hostClient(u.Host, timeout), base: "http://" + u.Host, client: o.Client, timeout: timeout,
	}, nil
}

func hostClient(host string, timeout time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      host,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       idleConnTime,
		MaxResponseBodySize:       MaxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		NoDefaultUserAgentHeader:  true,
		Dial: func(addr string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", addr, timeout)
			if err != nil {
				return nil, &dialError{cause: err}
			}
			return c, nil
		},
	}
}

// neverRetry keeps the library from repeating a request: only the caller knows
// whether a second one is safe.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// answer is what came back of one exchange.
type answer struct {
	status int
	body   []byte
	err    error
}

// call sends one request and waits for its answer, the context or the timeout.
// The exchange runs in a goroutine of its own, which the timeout ends, because
// the library does not heed a context.
func (c *caller) call(ctx context.Context, method, path string, body []byte) (answer, error) {
	now := time.Now()
	deadline := now.Add(c.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	// The context's own timer may fire later than its deadline.
	if ctx.Err() != nil || !now.Before(deadline) {
		return answer{}, ended(cmp.Or(ctx.Err(), context.DeadlineExceeded)).WithOutcome(fault.NotRun)
	}
	done := make(chan answer, 1)
	go func() { done <- c.exchange(method, path, body, deadline) }()
	select {
	case a := <-done:
		if a.err != nil {
			return answer{}, c.failed(a.err)
		}
		return a, nil
	case <-ctx.Done():
		return answer{}, ended(ctx.Err())
	}
}

func (c *caller) exchange(method, path string, body []byte, deadline time.Time) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	if c.client != "" {
		req.Header.Set(HeaderClient, c.client)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
}

// failed classifies an error of the library. Only a failure to connect proves
// that nothing was sent.
func (c *caller) failed(err error) *fault.Error {
	const remedy = "check that the platform service is up and its URL is right"
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return fault.Wrap(fault.Unavailable, err, remedy, "connect to %s", c.base).WithOutcome(fault.NotRun)
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return fault.Wrap(fault.TooLarge, err, "ask for fewer records", "answer of %s", c.base)
	}
	if errors.Is(err, fasthttp.ErrTimeout) || fault.IsTimeout(err) {
		return fault.Wrap(fault.Timeout, err, remedy, "call %s", c.base)
	}
	return fault.Wrap(fault.Unavailable, err, remedy, "call %s", c.base)
}

func ended(err error) *fault.Error {
	return fault.Wrap(fault.Timeout, err, "give the call more time", "call ended by its caller")
}

// decode reads a JSON answer into out and turns other statuses into errors.
func (c *caller) decode(a answer, out any) error {
	if a.status != fasthttp.StatusOK {
		return c.refused(a)
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return fault.Wrap(fault.Internal, err, "check that the URL names the right service", "answer of %s", c.base)
	}
	return nil
}

// refused maps an answer that is no success. The service gives 4xx before it
// acts; of a 5xx nothing is known.
func (c *caller) refused(a answer) error {
	text := string(a.body[:min(len(a.body), maxMessageBytes)])
	msg := fmt.Sprintf("%s answered %d: %s", c.base, a.status, text)
	switch {
	case a.status == fasthttp.StatusRequestEntityTooLarge:
		return fault.Refuse(fault.TooLarge, "send fewer or smaller records", "%s", msg)
	case a.status == fasthttp.StatusTooManyRequests:
		return fault.Refuse(fault.Overload, "send less often", "%s", msg)
	case a.status >= fasthttp.StatusBadRequest && a.status < fasthttp.StatusInternalServerError:
		return fault.Refuse(fault.BadInput, "correct the request", "%s", msg)
	default:
		return fault.New(fault.Unavailable, "wait until the platform service recovers", "%s", msg)
	}
}
