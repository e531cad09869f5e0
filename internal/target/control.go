package target

import (
	"context"
	"encoding/json"
	"errors"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Limits of one exchange with a target about its state.
const (
	// ReportTimeout bounds asking for a report.
	ReportTimeout = 700 * time.Millisecond
	// OrderTimeout bounds sending an order.
	OrderTimeout = time.Second
	// MaxReportBytes bounds a report.
	MaxReportBytes = 64 << 10
)

const (
	controlIdle     = 30 * time.Second
	controlConns    = 4
	remedyTarget    = "check that the VM's engine runs and can be reached"
	remedyNewerSeen = "wait for the control stream; the VM has seen a later order"
)

// ControlClient asks targets for reports and gives them orders. It makes one attempt
// per call; a connection on which a call failed is closed.
type ControlClient struct {
	http *fasthttp.Client
}

// NewControlClient returns a Control.
func NewControlClient() *ControlClient {
	return &ControlClient{http: &fasthttp.Client{
		Name:                      "ragwortquay",
		MaxConnsPerHost:           controlConns,
		MaxIdleConnDuration:       controlIdle,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false },
		MaxResponseBodySize:       MaxReportBytes,
		ReadTimeout:               OrderTimeout,
		WriteTimeout:              OrderTimeout,
		DialTimeout:               fasthttp.DialTimeout,
		NoDefaultUserAgentHeader:  true,
	}}
}

// Close ends idle connections.
func (c *ControlClient) Close() { c.http.CloseIdleConnections() }

// Report asks the target at addr (host:port) for its report. A closed port
// comes back as fault.Unavailable with outcome NotRun.
func (c *ControlClient) Report(ctx context.Context, addr string) (Report, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + reportPath)
	if err := c.do(ctx, req, resp, ReportTimeout); err != nil {
		return Report{}, err
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return Report{}, fault.New(fault.Unavailable, remedyTarget, "target %s answers %d to a report", addr, code)
	}
	var r Report
	if err := json.Unmarshal(resp.Body(), &r); err != nil {
		return Report{}, fault.Wrap(fault.BadInput, err, "check that the address is a target's", "report of %s", addr)
	}
	return r, nil
}

// SendOrder gives the target at addr an order. A target that has seen a later
// fencing number answers with fault.Conflict.
func (c *ControlClient) SendOrder(ctx context.Context, addr string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "report this with the daemon's log", "encode an order")
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
	return orderAnswer(addr, resp.StatusCode())
}

func orderAnswer(addr string, code int) error {
	switch code {
	case fasthttp.StatusOK, fasthttp.StatusAccepted:
		return nil
	case fasthttp.StatusConflict:
		return fault.Refuse(fault.Conflict, remedyNewerSeen, "target %s refuses the order's fencing number", addr)
	default:
		return fault.New(fault.Unavailable, remedyTarget, "target %s answers %d to an order", addr, code)
	}
}

// do makes one attempt, bounded by limit and by ctx's deadline.
func (c *ControlClient) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, limit time.Duration) error {
	if err := ctx.Err(); err != nil {
		return fault.Wrap(fault.Timeout, err, "try again", "call to a target").WithOutcome(fault.NotRun)
	}
	deadline := time.Now().Add(limit)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if !time.Now().Before(deadline) {
		// The context's own timer may fire later than its deadline.
		return fault.Refuse(fault.Timeout, "try again", "the deadline passed before the call to a target")
	}
	err := c.http.DoDeadline(req, resp, deadline)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return fault.Wrap(fault.Unavailable, err, remedyTarget, "target refuses connections").WithOutcome(fault.NotRun)
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrDialTimeout):
		return fault.Wrap(fault.Timeout, err, remedyTarget, "target does not answer")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fault.Wrap(fault.TooLarge, err, "check that the address is a target's", "target's answer")
	default:
		return fault.Wrap(fault.Unavailable, err, remedyTarget, "call to a target")
	}
}
