package drive

import (
	"encoding/json"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/front"
	"github.com/ragwortquay/ragwortquay/internal/load"
	"github.com/ragwortquay/ragwortquay/internal/standin/oracle"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

const (
	// maxConns limits the connections to one daemon.
	maxConns = 20_000
	// maxResponseBytes limits the size of a response that is read into memory.
	maxResponseBytes = 8 << 20
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = 2 * time.Second
)

// errDial marks a failure to connect, after which nothing has been sent.
var errDial = errors.New("connect")

// errTokenOrder is the reason for which a stream with tokens out of order is aborted.
var errTokenOrder = errors.New("token out of order")

// sender sends the requests of a plan and classifies the responses.
type sender struct {
	start    time.Time
	balancer *balancer
}

func callerClient(addr string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  maxConns,
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		NoDefaultUserAgentHeader:  true,
		Dial: func(addr string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err != nil {
				return nil, errors.Join(errDial, err)
			}
			return c, nil
		},
	}
}

func (s *sender) now() time.Duration { return time.Since(s.start) }

// send sends one request and returns its outcome. A daemon that refuses the connection
// has received nothing, so the next one is tried, as a load balancer does.
func (s *sender) send(a load.Arrival) load.Observation {
	o := load.Observation{Arrival: a, Class: load.Unreachable, Reason: "no daemon", SentAt: s.now()}
	for _, d := range s.balancer.candidates() {
		if s.trySend(d, &o) {
			break
		}
	}
	o.DoneAt = s.now()
	return o
}

// trySend sends the request to one daemon. It returns false if the daemon could not be
// reached.
func (s *sender) trySend(d *daemon, o *load.Observation) bool {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	s.fillRequest(req, d.addr, o.Arrival)
	resp := fasthttp.AcquireResponse()
	deadline := s.start.Add(o.Arrival.At + time.Duration(o.Arrival.Kind.Timeout))
	if err := d.client.DoDeadline(req, resp, deadline); err != nil {
		fasthttp.ReleaseResponse(resp)
		return s.classifyError(o, err)
	}
	s.readResponse(o, resp)
	return true
}

// classifyError classifies a failed exchange. It returns false if no connection was made,
// so that another daemon may be tried.
func (s *sender) classifyError(o *load.Observation, err error) bool {
	if errors.Is(err, errDial) {
		return false
	}
	o.Class, o.Reason = load.Unknown, "connection"
	if errors.Is(err, fasthttp.ErrTimeout) {
		o.Reason = fault.Timeout.String()
	}
	return true
}

func (s *sender) fillRequest(req *fasthttp.Request, addr string, a load.Arrival) {
	req.SetRequestURI("http://" + addr + a.Kind.Path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+a.Workspace.Token)
	req.Header.Set(front.HeaderKind, a.Kind.Kind)
	req.Header.Set(target.HeaderRequestID, a.ID)
	if a.Key != "" {
		req.Header.Set(target.HeaderIdempotencyKey, a.Key)
		req.Header.Set(front.HeaderIssuedAt, strconv.FormatInt(s.start.Add(a.IssuedAt).UnixMilli(), 10))
	}
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body(a))
}

// body returns the request's body. Marshal cannot fail for a struct of strings and
// numbers.
func body(a load.Arrival) []byte {
	if a.Kind.Form == load.Call {
		return []byte(a.Payload)
	}
	b, _ := json.Marshal(target.GenerateRequest{Prompt: a.Payload, MaxTokens: a.Tokens})
	return b
}

// readResponse reads the response and classifies it.
func (s *sender) readResponse(o *load.Observation, resp *fasthttp.Response) {
	outcome := outcomeOf(resp)
	replayed := len(resp.Header.Peek(front.HeaderReplayed)) > 0
	id := string(resp.Header.Peek(target.HeaderRequestID))
	r := target.NewResponse(resp, maxResponseBytes)
	defer func() { _ = r.Close() }()
	o.Class, o.Reason = load.Answered, ""
	if replayed {
		o.Class = load.Replayed
	}
	switch {
	case r.Status >= fasthttp.StatusBadRequest:
		classifyErrorResponse(o, r, outcome)
	case id != o.Arrival.ID:
		o.Class, o.Reason = load.Wrong, "another request's answer"
	case strings.HasPrefix(r.ContentType, "text/event-stream"):
		s.readStream(o, r)
	default:
		readServiceResponse(o, r)
	}
}

// outcomeOf returns what an error response states about the execution of the request. A
// target that is called directly, as a baseline, has its own header for a request that
// did not run.
func outcomeOf(resp *fasthttp.Response) string {
	if len(resp.Header.Peek(target.HeaderNotRun)) > 0 {
		return fault.NotRun.String()
	}
	return string(resp.Header.Peek(front.HeaderOutcome))
}

// errorBody is the part of an error response that is evaluated.
type errorBody struct {
	Kind string `json:"kind"`
}

func classifyErrorResponse(o *load.Observation, r *target.Response, outcome string) {
	switch outcome {
	case fault.NotRun.String():
		o.Class = load.NotRun
	case fault.Ran.String():
		o.Class = load.Failed
	default:
		o.Class = load.Unknown
	}
	var parsed errorBody
	if data, err := r.ReadAll(); err == nil {
		_ = json.Unmarshal(data, &parsed) // without a kind, the reason is the status code
	}
	o.Reason = parsed.Kind
	if o.Reason == "" {
		o.Reason = "status " + strconv.Itoa(r.Status)
	}
}

// readStream reads tokens until the end event and classifies the stream.
func (s *sender) readStream(o *load.Observation, r *target.Response) {
	var text strings.Builder
	last := time.Duration(0)
	for n := 1; ; n++ {
		ev, err := r.Next()
		if err != nil {
			o.Class, o.Reason = load.Truncated, fault.KindOf(err).String()
			r.Abort(err)
			return
		}
		if ev.End != nil {
			checkStream(o, text.String(), n-1, ev.End)
			return
		}
		now := s.now()
		if n == 1 {
			o.FirstTokenAt = now
		} else {
			o.TokenGaps = append(o.TokenGaps, now-last)
		}
		last = now
		if ev.Index != n {
			o.Class, o.Reason = load.Wrong, "token out of order"
			r.Abort(errTokenOrder)
			return
		}
		text.WriteString(ev.Token.Text)
	}
}

// checkStream compares a complete stream with the expected response.
func checkStream(o *load.Observation, text string, tokens int, end *target.End) {
	a := o.Arrival
	switch {
	case a.Kind.Unchecked:
	case !slices.Contains(acceptableIDs(a), end.RequestID):
		o.Class, o.Reason = load.Wrong, "another request's answer"
	case end.Tokens != a.Tokens || tokens != a.Tokens:
		o.Class, o.Reason = load.Wrong, "not whole"
	case text != oracle.ResponseText(a.Payload, a.Tokens):
		o.Class, o.Reason = load.Wrong, "other content"
	}
}

// acceptableIDs returns the request ids that a response may carry: a replayed result
// has the id of the request that ran.
func acceptableIDs(a load.Arrival) []string {
	if a.Key == "" {
		return []string{a.ID}
	}
	if a.OriginalID != "" {
		return []string{a.ID, a.OriginalID}
	}
	return []string{a.ID, a.ID + load.ResendSuffix}
}

// readServiceResponse reads the response of a plain service and compares it with the
// expected one.
func readServiceResponse(o *load.Observation, r *target.Response) {
	data, err := r.ReadAll()
	if err != nil {
		o.Class, o.Reason = load.Truncated, fault.KindOf(err).String()
		return
	}
	if o.Arrival.Kind.Unchecked {
		return
	}
	var got oracle.ServiceResponse
	if err := json.Unmarshal(data, &got); err != nil {
		o.Class, o.Reason = load.Wrong, "no answer of a service"
		return
	}
	for _, id := range acceptableIDs(o.Arrival) {
		if got == oracle.NewServiceResponse(id, fasthttp.MethodPost, o.Arrival.Kind.Path, body(o.Arrival)) {
			return
		}
	}
	o.Class, o.Reason = load.Wrong, "other content"
}
