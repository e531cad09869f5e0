package keyed

import (
	"context"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Handlers returns the handlers of the message types that the manager serves.
func (m *Manager) Handlers() wire.Handlers {
	return wire.Handlers{
		wire.TypeOnceClaim:  m.Home.handleClaim,
		wire.TypeOnceRecord: m.Home.handleRecord,
	}
}

func (h *Home) handleClaim(ctx context.Context, from string, body []byte) (wire.Message, error) {
	var c wire.OnceClaim
	if err := wire.Unmarshal(body, &c); err != nil {
		return nil, fault.As(err).WithOutcome(fault.NotRun)
	}
	if c.Intent.Author != from {
		return nil, fault.Refuse(fault.Forbidden, "run the same release on all daemons", "daemon %s sent a claim of daemon %s", from, c.Intent.Author)
	}
	d, mayBeLogged, err := h.claim(ctx, &c)
	a := &wire.OnceClaimResponse{Decision: d, MayBeLogged: mayBeLogged}
	if err != nil {
		a.Refused = wire.FromFault(err)
	}
	return a, nil
}

func (h *Home) handleRecord(ctx context.Context, _ string, body []byte) (wire.Message, error) {
	var r wire.OnceRecord
	if err := wire.Unmarshal(body, &r); err != nil {
		return nil, fault.As(err).WithOutcome(fault.NotRun)
	}
	if err := h.record(ctx, &r); err != nil {
		return nil, err
	}
	return &wire.OnceRecordResponse{}, nil
}
