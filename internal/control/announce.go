package control

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// announce tells the peers that the stream has reached pos, through the
// Announcer if there is one.
func (m *Manager) announce(pos state.Position) {
	if m.opts.Announcer != nil {
		m.opts.Announcer.Announce(pos)
		return
	}
	select {
	case m.updatesDue <- struct{}{}:
	default: // an update is already due, and it will carry the latest position
	}
}

// announceLoop sends position updates to all peers, one round at a time. Updates
// that become due during a round are combined into the next one.
func (m *Manager) announceLoop(ctx context.Context) error {
	if m.opts.Peers == nil {
		return nil
	}
	for {
		select {
		case <-m.updatesDue:
			m.sendPositionUpdates(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (m *Manager) sendPositionUpdates(ctx context.Context) {
	update := &wire.PositionUpdate{Pos: m.opts.View.Position(), Addr: m.opts.Addr}
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for _, addr := range m.opts.Peers.Peers() {
		g.Go(func() error {
			// A lost update delays the peer by at most one read interval.
			_ = m.call(ctx, addr, update, &wire.PositionResponse{})
			return nil
		})
	}
	_ = g.Wait()
}
