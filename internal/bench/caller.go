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

// maxConns bounds a caller's connections.
const maxConns = 512

// exchangeTimeout bounds one exchange.
const exchangeTimeout = 20 * time.Second

// call is what a caller sends again and again.
type call struct {
	kind, path string
	body       []byte
	keyed      bool
}

func lookupCall() call {
	return call{kind: "lookup", path: "/stock/lookup", body: []byte("a roll of underlay")}
}

func generateCall(prompt string, tokens int) call {
	body, _ := json.Marshal(target.GenerateRequest{Prompt: prompt, MaxTokens: tokens}) // strings and numbers always encode
	return call{kind: "quote", path: "/v1/generate", body: body}
}

// caller sends to one address, a daemon or a target.
type caller struct {
	addr string
	http *fasthttp.HostClient
	run  string
	next atomic.Int64
}

func newCaller(addr, run string) *caller {
	return &caller{addr: addr, run: run, http: &fasthttp.HostClient{
		Addr: addr, MaxConns: maxConns, StreamResponseBody: true, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
	}}
}

// exchange sends the call once; first is the time to the first byte of the
// body, whole the time to its end.
func (c *caller) exchange(k call) (first, whole time.Duration, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, k)
	start := time.Now()
	if err := c.http.DoTimeout(req, resp, exchangeTimeout); err != nil {
		return 0, 0, err
	}
	var one [1]byte
	body := resp.BodyStream()
	if _, err := io.ReadFull(body, one[:]); err != nil {
		return 0, 0, err
	}
	first = time.Since(start)
	if _, err := io.Copy(io.Discard, body); err != nil {
		return 0, 0, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return 0, 0, fault.New(fault.Unavailable, "read the daemon's log", "%s answered %d", c.addr, resp.StatusCode())
	}
	return first, time.Since(start), nil
}

func (c *caller) fill(req *fasthttp.Request, k call) {
	id := fmt.Sprintf("%s-%d", c.run, c.next.Add(1))
	req.SetRequestURI("http://" + c.addr + k.path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+procs.CallerToken(workspace))
	req.Header.Set(front.HeaderKind, k.kind)
	req.Header.Set(target.HeaderRequestID, id)
	if k.keyed {
		req.Header.Set(target.HeaderIdempotencyKey, id)
		req.Header.Set(front.HeaderIssuedAt, strconv.FormatInt(time.Now().UnixMilli(), 10))
	}
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(k.body)
}

// tally counts the exchanges of a closed loop.
type tally struct{ good, failed int64 }

// loop keeps so many exchanges under way for a time.
func (c *caller) loop(ctx context.Context, k call, conns int, span time.Duration) tally {
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	var good, failed atomic.Int64
	var wg sync.WaitGroup
	for range conns {
		wg.Go(func() {
			for ctx.Err() == nil {
				if _, _, err := c.exchange(k); err != nil {
					failed.Add(1)
					continue
				}
				good.Add(1)
			}
		})
	}
	wg.Wait()
	return tally{good: good.Load(), failed: failed.Load()}
}
