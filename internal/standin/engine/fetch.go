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
	// fetchTimeout bounds one fetch, the wait for a slot included.
	fetchTimeout = 30 * time.Minute
	// fetchPause is the time between two tries of a fetch.
	fetchPause = 500 * time.Millisecond
)

// fetch gets weights from the store; it tries until it succeeds or ctx ends.
func fetch(ctx context.Context, url, vm string, o target.Order) error {
	for {
		if err := fetchOnce(ctx, url, vm, o); err == nil {
			return nil
		}
		if err := wait(ctx, fetchPause); err != nil {
			return err
		}
	}
}

func fetchOnce(ctx context.Context, url, vm string, o target.Order) error {
	body, err := json.Marshal(weights.FetchRequest{VM: vm, Model: o.Model, Version: o.Version})
	if err != nil {
		return eris.Wrap(err, "encode fetch")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url + "/v1/fetches")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetConnectionClose()
	req.SetBodyRaw(body)
	if err := cancellable(ctx, url).DoTimeout(req, resp, fetchTimeout); err != nil {
		return eris.Wrap(err, "fetch weights")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("weight store answered %d", resp.StatusCode())
	}
	return nil
}

// cancellable returns a client whose connection closes when ctx ends, so that
// a VM that dies gives its slot back.
func cancellable(ctx context.Context, url string) *fasthttp.HostClient {
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
