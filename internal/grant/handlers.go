package grant

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// errNotHome rejects releases at a daemon that is not the pool's home, and
// updates of witnessed grants from an earlier home.
var errNotHome = fault.Refuse(fault.Conflict, "send the message to the pool's home", "this daemon is not the home of the pool")

// Handlers returns the handlers of the messages that the manager answers.
func (m *Manager) Handlers() wire.Handlers {
	h := m.Home
	return wire.Handlers{
		wire.TypeAcquire: decoded(func(ctx context.Context, from string, req *wire.Acquire) (wire.Message, error) {
			req.Request.Holder = from
			return h.acquire(ctx, req), nil
		}),
		wire.TypeCancel: decoded(func(_ context.Context, from string, req *wire.Cancel) (wire.Message, error) {
			h.cancel(from, req)
			return &wire.Ack{}, nil
		}),
		wire.TypeRelease: decoded(func(_ context.Context, _ string, req *wire.Release) (wire.Message, error) {
			if !h.release(req) {
				return nil, errNotHome
			}
			return &wire.Ack{}, nil
		}),
		wire.TypeRenew: decoded(func(_ context.Context, from string, req *wire.Renew) (wire.Message, error) {
			return h.renew(from, req), nil
		}),
		wire.TypeTakeover: decoded(func(_ context.Context, _ string, req *wire.Takeover) (wire.Message, error) {
			return h.takeover(req), nil
		}),
		wire.TypeHoldings: decoded(func(_ context.Context, from string, req *wire.Holdings) (wire.Message, error) {
			req.Held.Holder = from
			h.receiveHoldings(req)
			return &wire.Ack{}, nil
		}),
		wire.TypeHandover: decoded(func(_ context.Context, from string, req *wire.Handover) (wire.Message, error) {
			h.acceptHandover(req, from)
			return &wire.Ack{}, nil
		}),
		wire.TypeWitnessUpdate: decoded(func(_ context.Context, _ string, req *wire.WitnessUpdate) (wire.Message, error) {
			if !m.Client.holderState(req.Pool, req.Slice).recordWitnessed(time.Now(), req) {
				return nil, errNotHome
			}
			return &wire.Ack{}, nil
		}),
	}
}

// decoded returns a handler that decodes the request and calls fn.
func decoded[Q any](fn func(ctx context.Context, from string, req *Q) (wire.Message, error)) wire.Handler {
	return func(ctx context.Context, from string, body []byte) (wire.Message, error) {
		req := new(Q)
		if err := wire.Unmarshal(body, req); err != nil {
			return nil, err
		}
		return fn(ctx, from, req)
	}
}
