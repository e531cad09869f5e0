package platform

import (
	"context"

	"github.com/valyala/fasthttp"
)

type vmLister struct{ *httpClient }

// NewVMLister returns a client of the VM list.
func NewVMLister(o Options) (VMLister, error) {
	c, err := newHTTPClient(o)
	if err != nil {
		return nil, err
	}
	return &vmLister{httpClient: c}, nil
}

// List implements VMLister.
func (l *vmLister) List(ctx context.Context) ([]VM, error) {
	var out VMListResponse
	if err := l.get(ctx, "/v1/vms", &out); err != nil {
		return nil, err
	}
	return out.VMs, nil
}

type weightStore struct{ *httpClient }

// NewWeightStore returns a client of the weight store.
func NewWeightStore(o Options) (WeightStore, error) {
	c, err := newHTTPClient(o)
	if err != nil {
		return nil, err
	}
	return &weightStore{httpClient: c}, nil
}

// Loads implements WeightStore.
func (w *weightStore) Loads(ctx context.Context) (LoadsResponse, error) {
	var out LoadsResponse
	err := w.get(ctx, "/v1/loads", &out)
	return out, err
}

func (c *httpClient) get(ctx context.Context, path string, out any) error {
	resp, err := c.call(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return c.decode(resp, out)
}
