package grant

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// errNotHome answers releases at a daemon that is not the pool's home.
var errNotHome = fault.Refuse(fault.Conflict, "ask the pool's home", "this daemon is not the pool's home")

// Handlers lists the messages that the manager answers.
func (m *Manager) Handlers() wire.Handlers {
	h := m.Home
	return wire.Handlers{
		wire.TypeAcquire: handle(func(ctx context.Context, from string, q *wire.Acquire) (wire.Message, error) {
			q.Request.Holder = from
			return h.acquire(ctx, q), nil
		}),
		wire.TypeCancel: handle(func(_ context.Context, from string, q *wire.Cancel) (wire.Message, error) {
			h.cancel(from, q)
			return &wire.Ack{}, nil
		}),
		wire.TypeRelease: handle(func(_ context.Context, _ string, q *wire.Release) (wire.Message, error) {
			if !h.release(q) {
				return nil, errNotHome
			}
			return &wire.Ack{}, nil
		}),
		wire.TypeRenew: handle(func(_ context.Context, from string, q *wire.Renew) (wire.Message, error) {
			return h.renew(from, q), nil
		}),
		wire.TypeTakeover: handle(func(_ context.Context, _ string, q *wire.Takeover) (wire.Message, error) {
			return h.takeover(q), nil
		}),
		wire.TypeHoldings: handle(func(_ context.Context, from string, q *wire.Holdings) (wire.Message, error) {
			q.Held.Holder = from
			h.push(q)
			return &wire.Ack{}, nil
		}),
		wire.TypeHandover: handle(func(_ context.Context, from string, q *wire.Handover) (wire.Message, error) {
			h.handedOver(q, from)
			return &wire.Ack{}, nil
		}),
		wire.TypeWitnessUpdate: handle(func(_ context.Context, _ string, q *wire.WitnessUpdate) (wire.Message, error) {
			if !m.Client.line(q.Pool, q.Slice).note(time.Now(), q) {
				return nil, errNotHome
			}
			return &wire.Ack{}, nil
		}),
	}
}

// handle decodes the question for answer.
func handle[Q any](answer func(ctx context.Context, from string, q *Q) (wire.Message, error)) wire.Handler {
	return func(ctx context.Context, from string, body []byte) (wire.Message, error) {
		q := new(Q)
		if err := wire.Unmarshal(body, q); err != nil {
			return nil, err
		}
		return answer(ctx, from, q)
	}
}
