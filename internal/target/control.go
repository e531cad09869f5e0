package target

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/respconn"
)

// Limits of report and order calls.
const (
	// ReportTimeout bounds a request for a report.
	ReportTimeout = 700 * time.Millisecond
	// OrderTimeout bounds the sending of an order.
	OrderTimeout = time.Second
	// MaxReportBytes bounds the body of a report.
	MaxReportBytes = 64 << 10
)

const (
	maxIdleControlConnDuration = 30 * time.Second
	maxControlConnsPerTarget   = 4
	remedyCheckVM              = "check that the VM's engine runs and can be reached"
	remedyNewerFence           = "wait until this daemon has read more of the control stream; the VM has seen a newer order"
)

// ControlClient requests reports from targets and sends them orders. It makes
// one attempt per call and closes a connection on which a call failed.
type ControlClient struct {
	http *fasthttp.Client
}

// NewControlClient returns a ControlClient.
func NewControlClient() *ControlClient {
	return &ControlClient{http: &fasthttp.Client{
		Name:                      "ragwortquay",
		MaxConnsPerHost:           maxControlConnsPerTarget,
		MaxIdleConnDuration:       maxIdleControlConnDuration,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false },
		MaxResponseBodySize:       MaxReportBytes,
		ReadTimeout:               OrderTimeout,
		WriteTimeout:              OrderTimeout,
		DialTimeout:               dialChecked,
		NoDefaultUserAgentHeader:  true,
	}}
}

// Close closes the idle connections.
func (c *ControlClient) Close() { c.http.CloseIdleConnections() }

// Report requests the report of the target at addr (host:port). If the port is
// closed, the error has kind fault.Unavailable and outcome NotRun.
func (c *ControlClient) Report(ctx context.Context, addr string) (Report, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + reportPath)
	if err := c.do(ctx, req, resp, ReportTimeout); err != nil {
		return Report{}, err
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return Report{}, fault.New(fault.Unavailable, remedyCheckVM, "target %s responded to a report request with status %d", addr, code)
	}
	var r Report
	if err := json.Unmarshal(resp.Body(), &r); err != nil {
		return Report{}, fault.Wrap(fault.BadInput, err, "check that the address is a target's", "decode the report of target %s", addr)
	}
	return r, nil
}

// SendOrder sends an order to the target at addr. If the target has seen a
// higher fencing token, the error has kind fault.Conflict.
func (c *ControlClient) SendOrder(ctx context.Context, addr string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "report this with the daemon's log", "encode an order for target %s", addr)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/v1/orders")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := c.do(ctx, req, resp, OrderTimeout); err != nil {
		return err
	}
	return orderError(addr, resp.StatusCode())
}

// orderError converts the status of the response to an order to an error.
func orderError(addr string, code int) error {
	switch code {
	case fasthttp.StatusOK, fasthttp.StatusAccepted:
		return nil
	case fasthttp.StatusConflict:
		return fault.Refuse(fault.Conflict, remedyNewerFence, "target %s refused the fencing token of the order", addr)
	default:
		return fault.New(fault.Unavailable, remedyCheckVM, "target %s responded to an order with status %d", addr, code)
	}
}

// dialChecked connects to a target. On the connection, a response with an invalid head is
// an error.
func dialChecked(addr string, timeout time.Duration) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(addr, timeout)
	if err != nil {
		return nil, err
	}
	return respconn.New(c), nil
}

// do makes one attempt, bounded by limit and by the deadline of ctx.
func (c *ControlClient) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, limit time.Duration) error {
	if err := ctx.Err(); err != nil {
		return fault.Wrap(fault.Timeout, err, "try again", "the caller's context ended before the call to the target").WithOutcome(fault.NotRun)
	}
	deadline := time.Now().Add(limit)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if !time.Now().Before(deadline) {
		// The context's timer can fire after its deadline, so ctx.Err may still be nil.
		return fault.Refuse(fault.Timeout, "try again", "the deadline passed before the call to a target")
	}
	err := c.http.DoDeadline(req, resp, deadline)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return fault.Wrap(fault.Unavailable, err, remedyCheckVM, "target refused the connection").WithOutcome(fault.NotRun)
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrDialTimeout):
		return fault.Wrap(fault.Timeout, err, remedyCheckVM, "target did not respond in time")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fault.Wrap(fault.TooLarge, err, "check that the address is a target's", "response of the target exceeds %d bytes", MaxReportBytes)
	default:
		return fault.Wrap(fault.Unavailable, err, remedyCheckVM, "call to a target failed")
	}
}
