package control

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// announce tells the peers that the stream's tail has moved.
func (m *Manager) announce(pos state.Position) {
	if m.opts.Announcer != nil {
		m.opts.Announcer.Announce(pos)
		return
	}
	select {
	case m.moved <- struct{}{}:
	default: // an announcement is due already, and it names the latest position
	}
}

// announceLoop sends announcements, one round at a time: what is due during a
// round goes out in the next one.
func (m *Manager) announceLoop(ctx context.Context) error {
	if m.opts.Peers == nil {
		return nil
	}
	for {
		select {
		case <-m.moved:
			m.nudgePeers(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (m *Manager) nudgePeers(ctx context.Context) {
	nudge := &wire.PositionUpdate{Pos: m.opts.View.Position(), Addr: m.opts.Addr}
	var g errgroup.Group
	g.SetLimit(parallelCalls)
	for _, addr := range m.opts.Peers.Peers() {
		g.Go(func() error {
			// A nudge that is lost costs the peer one read interval, no more.
			_ = m.call(ctx, addr, nudge, &wire.PositionResponse{})
			return nil
		})
	}
	_ = g.Wait()
}
