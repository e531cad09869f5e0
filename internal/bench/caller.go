package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/front"
	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// maxConns limits the connections of a caller.
const maxConns = 512

// exchangeTimeout bounds one request and its response.
const exchangeTimeout = 20 * time.Second

// requestSpec is the request that a caller sends repeatedly, with a new id each time.
type requestSpec struct {
	kind, path string
	body       []byte
	keyed      bool
}

func lookupRequest() requestSpec {
	return requestSpec{kind: "lookup", path: "/stock/lookup", body: []byte("a roll of underlay")}
}

func generateRequest(prompt string, tokens int) requestSpec {
	body, _ := json.Marshal(target.GenerateRequest{Prompt: prompt, MaxTokens: tokens}) // cannot fail for strings and numbers
	return requestSpec{kind: "quote", path: "/v1/generate", body: body}
}

// caller sends requests to one address: a daemon's or, as a baseline, a target's.
type caller struct {
	addr       string
	client     *fasthttp.HostClient
	idPrefix   string
	requestSeq atomic.Int64
}

func newCaller(addr, idPrefix string) *caller {
	return &caller{addr: addr, idPrefix: idPrefix, client: &fasthttp.HostClient{
		Addr: addr, MaxConns: maxConns, StreamResponseBody: true, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
	}}
}

// exchange sends one request. It returns the time to the first byte of the body and the
// time to its end.
func (c *caller) exchange(spec requestSpec) (first, total time.Duration, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, spec)
	start := time.Now()
	if err := c.client.DoTimeout(req, resp, exchangeTimeout); err != nil {
		return 0, 0, err
	}
	var firstByte [1]byte
	body := resp.BodyStream()
	if _, err := io.ReadFull(body, firstByte[:]); err != nil {
		return 0, 0, err
	}
	first = time.Since(start)
	if _, err := io.Copy(io.Discard, body); err != nil {
		return 0, 0, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return 0, 0, fault.New(fault.Unavailable, "read the daemon's log", "%s responded with status %d", c.addr, resp.StatusCode())
	}
	return first, time.Since(start), nil
}

func (c *caller) fillRequest(req *fasthttp.Request, spec requestSpec) {
	id := fmt.Sprintf("%s-%d", c.idPrefix, c.requestSeq.Add(1))
	req.SetRequestURI("http://" + c.addr + spec.path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+procs.CallerToken(workspace))
	req.Header.Set(front.HeaderKind, spec.kind)
	req.Header.Set(target.HeaderRequestID, id)
	if spec.keyed {
		req.Header.Set(target.HeaderIdempotencyKey, id)
		req.Header.Set(front.HeaderIssuedAt, strconv.FormatInt(time.Now().UnixMilli(), 10))
	}
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(spec.body)
}

// loopCounts counts the exchanges of a closed loop.
type loopCounts struct{ succeeded, failed int64 }

// runClosedLoop keeps conns exchanges in flight for the given time.
func (c *caller) runClosedLoop(ctx context.Context, spec requestSpec, conns int, duration time.Duration) loopCounts {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var succeeded, failed atomic.Int64
	var wg sync.WaitGroup
	for range conns {
		wg.Go(func() {
			for ctx.Err() == nil {
				if _, _, err := c.exchange(spec); err != nil {
					failed.Add(1)
					continue
				}
				succeeded.Add(1)
			}
		})
	}
	wg.Wait()
	return loopCounts{succeeded: succeeded.Load(), failed: failed.Load()}
}
