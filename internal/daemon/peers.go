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

// peers gives package control the live daemons' addresses and calls to them.
type peers struct {
	members *gossip.Manager
	client  *peer.Client
}

// Peers returns the addresses of the live daemons, without this one.
func (p *peers) Peers() []string {
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

// Call asks the peer at addr.
func (p *peers) Call(ctx context.Context, addr string, req, resp wire.Message) error {
	return p.client.Call(ctx, addr, req, resp)
}

// reports turns what the members say of themselves into the form that the
// decision on who may serve takes.
func reports(m *gossip.Manager) []quorum.Report {
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

// follow keeps the members told of this daemon's position, and the membership
// of daemons that joined by record.
func (d *Daemon) follow(ctx context.Context) error {
	ticker := time.NewTicker(time.Duration(d.settings.Members.ProbeInterval))
	defer ticker.Stop()
	named := make(map[string]string)
	for {
		changed := d.view.Changed()
		d.tell()
		named = d.name(named)
		select {
		case <-changed:
		case <-ticker.C: // the log's age grows without a change
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Daemon) tell() {
	pos, digest := d.view.PositionAndDigest()
	d.members.SetMeta(gossip.Meta{
		Epoch: pos.Epoch, Offset: pos.Offset, Digest: digest, LogAge: d.control.LogAge(time.Now()),
	})
}

// name tells the failure detector of daemons that have joined by record, and
// takes back those that have left. It returns the addresses now named, by id.
func (d *Daemon) name(before map[string]string) map[string]string {
	now := make(map[string]string)
	for _, j := range d.view.Daemons() {
		now[j.ID] = j.Addr
		if before[j.ID] != j.Addr {
			d.members.AddPeer(j.ID, j.Addr)
		}
	}
	for id, addr := range before {
		if now[id] != addr {
			d.members.RemovePeer(addr)
		}
	}
	return now
}
