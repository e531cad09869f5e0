package engine

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/standin/weights"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

const (
	// fetchTimeout bounds one fetch, including the wait for a slot of the store.
	fetchTimeout = 30 * time.Minute
	// fetchRetryDelay is the time between a failed fetch and the next one.
	fetchRetryDelay = 500 * time.Millisecond
)

// fetchWeights fetches a model's weights from the store at url. It retries until
// it succeeds or ctx ends.
func fetchWeights(ctx context.Context, url, vm string, o target.Order) error {
	for {
		if err := fetchWeightsOnce(ctx, url, vm, o); err == nil {
			return nil
		}
		if err := sleep(ctx, fetchRetryDelay); err != nil {
			return err
		}
	}
}

func fetchWeightsOnce(ctx context.Context, url, vm string, o target.Order) error {
	body, err := json.Marshal(weights.FetchRequest{VM: vm, Model: o.Model, Version: o.Version})
	if err != nil {
		return eris.Wrap(err, "encode fetch request")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url + "/v1/fetches")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetConnectionClose()
	req.SetBodyRaw(body)
	if err := newCancelableClient(ctx, url).DoTimeout(req, resp, fetchTimeout); err != nil {
		return eris.Wrapf(err, "fetch weights of %s from %s", weightsKey(o), url)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("fetch weights of %s from %s: status %d", weightsKey(o), url, resp.StatusCode())
	}
	return nil
}

// newCancelableClient returns a client whose connection is closed when ctx ends,
// so that the store frees the slot of a VM that is halted.
func newCancelableClient(ctx context.Context, url string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      strings.TrimPrefix(url, "http://"),
		MaxConns:                  1,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			context.AfterFunc(ctx, func() { _ = c.Close() })
			return c, nil
		},
	}
}
