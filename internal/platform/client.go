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
	"github.com/ragwortquay/ragwortquay/internal/respconn"
)

const (
	// MaxResponseBytes limits the response body of a platform service.
	MaxResponseBytes = 64 << 20
	// maxConns limits the connections to one service.
	maxConns = 64
	// idleConnTimeout is the time after which an unused connection is closed.
	idleConnTimeout = 30 * time.Second
	// maxErrorTextBytes limits the part of an error response's body that becomes
	// part of the error message.
	maxErrorTextBytes = 200
)

// HeaderClient is the request header that contains the calling daemon's ID.
const HeaderClient = "X-Client"

// Options configure the client of a service.
type Options struct {
	// URL is the service's base URL, such as http://127.0.0.1:8080.
	URL string
	// Timeout limits a call; DefaultTimeout if zero.
	Timeout time.Duration
	// ClientID identifies the calling daemon in HeaderClient; may be empty.
	ClientID string
}

// httpClient sends requests to one service, without pipelining, and never
// retries them.
type httpClient struct {
	http     *fasthttp.HostClient
	base     string
	clientID string
	timeout  time.Duration
}

// dialError marks a failure to connect, after which no request was sent.
type dialError struct{ cause error }

// Error implements the error interface.
func (e *dialError) Error() string { return e.cause.Error() }

// Unwrap returns the error of the dialer.
func (e *dialError) Unwrap() error { return e.cause }

func newHTTPClient(o Options) (*httpClient, error) {
	u, err := url.Parse(o.URL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, fault.Invalid("url", "give a URL such as http://127.0.0.1:8080", "%q is not an HTTP URL", o.URL)
	}
	timeout := o.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &httpClient{
		http: newHostClient(u.Host, timeout), base: "http://" + u.Host, clientID: o.ClientID, timeout: timeout,
	}, nil
}

func newHostClient(host string, timeout time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      host,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       idleConnTimeout,
		MaxResponseBodySize:       MaxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		NoDefaultUserAgentHeader:  true,
		Dial: func(addr string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", addr, timeout)
			if err != nil {
				return nil, &dialError{cause: err}
			}
			return respconn.New(c), nil
		},
	}
}

// neverRetry disables the library's retries, because only the caller knows
// whether a request may be sent again.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// response is the result of an HTTP exchange.
type response struct {
	status int
	body   []byte
	err    error
}

// call sends a request and waits for the response, the end of ctx or the
// timeout. The library does not support contexts, so the exchange runs in its own
// goroutine. If ctx is cancelled, the exchange may continue until the deadline.
func (c *httpClient) call(ctx context.Context, method, path string, body []byte) (response, error) {
	now := time.Now()
	deadline := now.Add(c.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	// ctx.Err() may still be nil shortly after the deadline has passed.
	if ctx.Err() != nil || !now.Before(deadline) {
		return response{}, contextError(cmp.Or(ctx.Err(), context.DeadlineExceeded)).WithOutcome(fault.NotRun)
	}
	done := make(chan response, 1)
	go func() { done <- c.exchange(method, path, body, deadline) }()
	select {
	case resp := <-done:
		if resp.err != nil {
			return response{}, c.transportError(resp.err)
		}
		return resp, nil
	case <-ctx.Done():
		return response{}, contextError(ctx.Err())
	}
}

// exchange sends a request and reads the response.
func (c *httpClient) exchange(method, path string, body []byte, deadline time.Time) response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	if c.clientID != "" {
		req.Header.Set(HeaderClient, c.clientID)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return response{err: err}
	}
	return response{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
}

// transportError converts an error of the HTTP library. Only a failure to get a
// connection proves that the request was not sent.
func (c *httpClient) transportError(err error) *fault.Error {
	const remedy = "check that the platform service runs and that its URL is correct"
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return fault.Wrap(fault.Unavailable, err, remedy, "connect to %s", c.base).WithOutcome(fault.NotRun)
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return fault.Wrap(fault.TooLarge, err, "request fewer records", "response of %s", c.base)
	}
	if errors.Is(err, fasthttp.ErrTimeout) || fault.IsTimeout(err) {
		return fault.Wrap(fault.Timeout, err, remedy, "call %s", c.base)
	}
	return fault.Wrap(fault.Unavailable, err, remedy, "call %s", c.base)
}

// contextError returns the error of a call that ended with its context.
func contextError(err error) *fault.Error {
	return fault.Wrap(fault.Timeout, err, "give the call more time", "call cancelled or timed out by its caller")
}

// decode decodes a JSON response into out. A status other than 200 is an error.
func (c *httpClient) decode(resp response, out any) error {
	if resp.status != fasthttp.StatusOK {
		return c.statusError(resp)
	}
	if err := json.Unmarshal(resp.body, out); err != nil {
		return fault.Wrap(fault.Internal, err, "check that the URL is that of the right service", "decode the response of %s", c.base)
	}
	return nil
}

// statusError converts an error status. The services respond with 4xx only
// before they change anything, so these have outcome NotRun; after a 5xx the
// outcome is unknown.
func (c *httpClient) statusError(resp response) error {
	text := string(resp.body[:min(len(resp.body), maxErrorTextBytes)])
	msg := fmt.Sprintf("%s responded with status %d: %s", c.base, resp.status, text)
	switch {
	case resp.status == fasthttp.StatusRequestEntityTooLarge:
		return fault.Refuse(fault.TooLarge, "send fewer or smaller records", "%s", msg)
	case resp.status == fasthttp.StatusTooManyRequests:
		return fault.Refuse(fault.Overload, "send less often", "%s", msg)
	case resp.status >= fasthttp.StatusBadRequest && resp.status < fasthttp.StatusInternalServerError:
		return fault.Refuse(fault.BadInput, "correct the request", "%s", msg)
	default:
		return fault.New(fault.Unavailable, "wait until the platform service recovers", "%s", msg)
	}
}
