package control

import (
	"context"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Handlers returns the handlers of peers' calls, for the peer server.
func (m *Manager) Handlers() wire.Handlers {
	return wire.Handlers{
		wire.TypePositionUpdate:  m.onPositionUpdate,
		wire.TypePositionRequest: m.onPositionRequest,
		wire.TypeRecordsRequest:  m.onRecordsRequest,
		wire.TypeStateRequest:    m.onStateRequest,
	}
}

func (m *Manager) onPositionUpdate(_ context.Context, _ string, body []byte) (wire.Message, error) {
	var update wire.PositionUpdate
	if err := wire.Unmarshal(body, &update); err != nil {
		return nil, err
	}
	m.handlePositionUpdate(update.Pos, update.Addr)
	return m.positionResponse(), nil
}

func (m *Manager) onPositionRequest(context.Context, string, []byte) (wire.Message, error) {
	return m.positionResponse(), nil
}

func (m *Manager) positionResponse() *wire.PositionResponse {
	pos, digest := m.opts.View.PositionAndDigest()
	return &wire.PositionResponse{
		Daemon: m.opts.Self, Started: m.opts.View.Started(), Pos: pos, Digest: digest,
		LogAge: m.LogAge(m.opts.Now()),
	}
}

func (m *Manager) onRecordsRequest(_ context.Context, _ string, body []byte) (wire.Message, error) {
	var req wire.RecordsRequest
	if err := wire.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	records, contiguous := m.recent.after(req.After, req.Started)
	return &wire.RecordsResponse{Records: records, Gap: !contiguous}, nil
}

func (m *Manager) onStateRequest(context.Context, string, []byte) (wire.Message, error) {
	s := m.opts.View.Snapshot()
	data, err := wire.EncodeState(s)
	if err != nil {
		return nil, err
	}
	return &wire.StateResponse{State: data, Digest: s.Digest()}, nil
}
