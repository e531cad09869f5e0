package daemon

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/gossip"
	"github.com/ragwortquay/ragwortquay/internal/peer"
	"github.com/ragwortquay/ragwortquay/internal/quorum"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// livePeers implements control.Peers by the membership and the peer client.
type livePeers struct {
	members *gossip.Manager
	client  *peer.Client
}

// Peers returns the addresses of the live daemons except this one.
func (p *livePeers) Peers() []string {
	var out []string
	for _, id := range p.members.Live() {
		if id == p.members.Self() {
			continue
		}
		if addr := p.members.Addr(id); addr != "" {
			out = append(out, addr)
		}
	}
	return out
}

// Call calls the peer at addr.
func (p *livePeers) Call(ctx context.Context, addr string, req, resp wire.Message) error {
	return p.client.Call(ctx, addr, req, resp)
}

// quorumReports converts the metadata that members announce by gossip into the
// input of the serving decision. It adds to the age of a member's log the time
// since the announcement.
func quorumReports(m *gossip.Manager) []quorum.Report {
	metas := m.Metas()
	out := make([]quorum.Report, 0, len(metas))
	now := time.Now()
	for id, meta := range metas {
		pos := state.Position{Epoch: meta.Epoch, Offset: meta.Offset}
		out = append(out, quorum.Report{
			Daemon: id, Started: pos != state.Position{}, Pos: pos, Digest: meta.Digest,
			LogAge: meta.LogAge + max(0, now.Sub(meta.UpdatedAt)),
		})
	}
	return out
}

// syncMembership announces this daemon's position to the members and adds the
// daemons that have a join record to the membership. It repeats both on each
// change of the view and in each interval.
func (d *Daemon) syncMembership(ctx context.Context) error {
	ticker := time.NewTicker(time.Duration(d.settings.Members.ProbeInterval))
	defer ticker.Stop()
	addrs := make(map[string]string)
	for {
		changed := d.view.Changed()
		d.publishMeta()
		addrs = d.syncJoined(addrs)
		select {
		case <-changed:
		case <-ticker.C: // the announced log age increases without a change of the view
		case <-ctx.Done():
			return nil
		}
	}
}

// publishMeta announces this daemon's log position, digest and log age by gossip.
func (d *Daemon) publishMeta() {
	pos, digest := d.view.PositionAndDigest()
	d.members.SetMeta(gossip.Meta{
		Epoch: pos.Epoch, Offset: pos.Offset, Digest: digest, LogAge: d.control.LogAge(time.Now()),
	})
}

// syncJoined adds the daemons that have a join record to the failure detector and
// removes those that have left. previous contains the addresses by daemon ID that
// the last call returned; syncJoined returns the current ones.
func (d *Daemon) syncJoined(previous map[string]string) map[string]string {
	current := make(map[string]string)
	for _, j := range d.view.Daemons() {
		current[j.ID] = j.Addr
		if previous[j.ID] != j.Addr {
			d.members.AddPeer(j.ID, j.Addr)
		}
	}
	for id, addr := range previous {
		if current[id] != addr {
			d.members.RemovePeer(addr)
		}
	}
	return current
}
