package edge

import (
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// tellFor is how long a suspicion is told to the others; it covers the loss
	// of a few datagrams.
	tellFor = time.Second
)

// gossip connects the mesh with what this daemon knows. It implements
// mesh.Source and mesh.Sink.
type gossip struct {
	d        *Daemon
	tracker  *balance.Tracker
	suspects *shard.Map[suspicion]
}

type suspicion struct {
	engine string
	group  catalog.GroupID
	until  time.Time
}

// Peers returns the daemons' addresses.
func (g *gossip) Peers() map[string]string { return g.d.directory.Daemons() }

// Fill adds loads, suspicions and the age of the configuration.
func (g *gossip) Fill(r *wire.LoadReport) {
	if cfg := g.d.directory.Config(); cfg != nil {
		r.Version = cfg.Version
		r.ConfirmedNS = int64(g.d.directory.ConfigAge())
	} else {
		r.ConfirmedNS = -1
	}
	r.Serving = g.d.stats.serving()
	for id, l := range g.tracker.Own() {
		r.Loads = append(r.Loads, wire.EngineLoad{Engine: id, InFlight: l.InFlight, Pending: l.Pending})
	}
	slices.SortFunc(r.Loads, func(a, b wire.EngineLoad) int { return b.InFlight - a.InFlight })
	now := time.Now()
	g.suspects.Range(func(_ string, s suspicion) bool {
		if now.Before(s.until) {
			r.Suspects = append(r.Suspects, wire.Suspect{Engine: s.engine, Group: s.group.Name, Epoch: s.group.Epoch})
		}
		return true
	})
}

// Heard takes another daemon's report.
func (g *gossip) Heard(r *wire.LoadReport) {
	now := time.Now()
	keep := time.Duration(r.EveryMS) * time.Millisecond * 4
	g.tracker.RemoteAll(r.From, loads(r), now.Add(keep), now)
	for _, s := range r.Suspects {
		group := catalog.GroupID{Name: s.Group, Epoch: s.Epoch}
		if g.tracker.Suspect(s.Engine, group, now) {
			g.d.planner.Suspect(s.Engine)
		}
	}
	if r.Serving {
		g.d.planner.Serving()
	}
	if r.ConfirmedNS >= 0 && r.EchoNS > 0 {
		// The sender had the echoed report before it stated the age, so the
		// configuration was the newest at the echoed time less that age.
		g.d.directory.Confirm(r.Version, boottime.Now(), time.Duration(r.EchoNS)-time.Duration(r.ConfirmedNS))
	}
}

func loads(r *wire.LoadReport) map[string]balance.Load {
	out := make(map[string]balance.Load, len(r.Loads))
	for _, l := range r.Loads {
		out[l.Engine] = balance.Load{InFlight: l.InFlight, Pending: l.Pending}
	}
	return out
}

// suspect notes a suspicion of this daemon and tells the others.
func (g *gossip) suspect(id string, group catalog.GroupID) {
	g.suspects.Set(id, suspicion{id, group, time.Now().Add(tellFor)})
	g.d.planner.Suspect(id)
	g.d.mesh.Wake()
}
