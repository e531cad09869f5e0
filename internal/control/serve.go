package control

import (
	"context"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Handlers returns the answers to peers' questions, for the peer server.
func (m *Manager) Handlers() wire.Handlers {
	return wire.Handlers{
		wire.TypePositionUpdate:  m.onNudge,
		wire.TypePositionRequest: m.onPositionAsk,
		wire.TypeRecordsRequest:  m.onRecordsAsk,
		wire.TypeStateRequest:    m.onStateAsk,
	}
}

func (m *Manager) onNudge(_ context.Context, _ string, body []byte) (wire.Message, error) {
	var n wire.PositionUpdate
	if err := wire.Unmarshal(body, &n); err != nil {
		return nil, err
	}
	m.nudgeFrom(n.Pos, n.Addr)
	return m.position(), nil
}

func (m *Manager) onPositionAsk(context.Context, string, []byte) (wire.Message, error) {
	return m.position(), nil
}

func (m *Manager) position() *wire.PositionResponse {
	pos, digest := m.opts.View.PositionAndDigest()
	return &wire.PositionResponse{
		Daemon: m.opts.Self, Started: m.opts.View.Started(), Pos: pos, Digest: digest,
		LogAge: m.LogAge(m.opts.Now()),
	}
}

func (m *Manager) onRecordsAsk(_ context.Context, _ string, body []byte) (wire.Message, error) {
	var ask wire.RecordsRequest
	if err := wire.Unmarshal(body, &ask); err != nil {
		return nil, err
	}
	records, whole := m.tail.after(ask.After, ask.Started)
	return &wire.RecordsResponse{Records: records, Gap: !whole}, nil
}

func (m *Manager) onStateAsk(context.Context, string, []byte) (wire.Message, error) {
	s := m.opts.View.Snapshot()
	data, err := wire.EncodeState(s)
	if err != nil {
		return nil, err
	}
	return &wire.StateResponse{State: data, Digest: s.Digest()}, nil
}
