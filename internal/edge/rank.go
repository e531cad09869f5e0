package edge

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/mesh"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/storepace"
)

const (
	// rankedDaemons is the number of daemons of a large fleet that let all others know
	// that they are alive. It exceeds the number of candidates for the planners'
	// lease, so that the next ones are known when some fail.
	rankedDaemons = 8
	// rankTTL is how long the cached view of the fleet is valid. It is short compared
	// with the report interval.
	rankTTL = 50 * time.Millisecond
	// discoveryPeriod is the time after the start in which this daemon learns of
	// the other daemons.
	discoveryPeriod = 500 * time.Millisecond
	// soloDiscoveryPeriod is the same for a daemon that has heard no other one although the
	// store names some. Without it, all daemons of a large fleet read the store once more.
	soloDiscoveryPeriod = 2 * discoveryPeriod
	// discoveryPerDaemon is the additional time per daemon after which this daemon may
	// compete for the planners' lease. A candidacy is never given up, so the daemons
	// that rank first must be known by then.
	discoveryPerDaemon = 5 * time.Millisecond
)

// rankHashPrefix separates the ranking of daemons from other uses of the hash.
const rankHashPrefix = "rank/"

// rankedDaemon is a daemon in the ranking that decides which daemons read the store
// and plan on behalf of all.
type rankedDaemon struct {
	name     string
	capacity float64
}

// ranksBefore reports whether r ranks before o: by larger capacity, and for equal
// capacities by a hash of the name. The hash spreads the work over the zones
// without communication between the daemons.
func (r rankedDaemon) ranksBefore(o rankedDaemon) bool {
	if r.capacity > o.capacity {
		return true
	}
	if r.capacity < o.capacity {
		return false
	}
	return shard.Hash(rankHashPrefix+r.name) < shard.Hash(rankHashPrefix+o.name)
}

// isRanked reports whether the other daemons need to know whether this one is alive.
func (g *meshAdapter) isRanked() bool {
	return g.d.planner.HoldsLease() || g.ranksWithin(rankedDaemons)
}

// isStoreReader reports whether this daemon reads the store and collects loads on behalf
// of the others. It is needed for each report received.
func (g *meshAdapter) isStoreReader() bool { return g.fleet().Role == storepace.Reading }

// fleet returns what this daemon knows of the fleet, by which its calls of the store are
// paced. It is cached for rankTTL.
func (g *meshAdapter) fleet() storepace.Fleet {
	if f := g.cachedFleet.Load(); f != nil && boottime.Now() < f.expiry {
		return f.Fleet
	}
	return g.refreshFleet()
}

// refreshFleet chooses this daemon's role anew. In the discoveryPeriod it cannot know its
// rank, and its first read of each topic is recent. A change of the role is sent to the
// others at once.
func (g *meshAdapter) refreshFleet() storepace.Fleet {
	g.fleetMu.Lock()
	defer g.fleetMu.Unlock()
	now := boottime.Now()
	trusted := storepace.TrustedAge(g.d.settings.ConfigBound)
	f := cachedFleet{expiry: now + rankTTL}
	var was storepace.Fleet
	if old := g.cachedFleet.Load(); old != nil {
		was = old.Fleet
	}
	f.Size, f.PeersHeardAt = g.d.fleetSize(), was.PeersHeardAt
	own, anyFresh := g.ownRank(), false
	var peers []storepace.PeerState
	for _, p := range g.d.mesh.LivePeers() {
		if g.lagsBehind(p.Era) {
			continue
		}
		state := storepace.PeerState{Before: (rankedDaemon{p.Name, p.Capacity}).ranksBefore(own), Reader: p.Collector, Age: p.ConfigAge, Since: p.ReportAge}
		peers = append(peers, state)
		fresh := state.Fresh(trusted)
		anyFresh = anyFresh || fresh
		f.FreshReader = f.FreshReader || fresh && state.Reader
	}
	if len(peers) > 0 {
		f.PeersHeardAt = now
	}
	if anyFresh {
		f.FreshPeerSince = cmp.Or(was.FreshPeerSince, now)
	}
	discovered := now-g.startedAt >= discoveryPeriod && (len(peers) > 0 || f.Size <= 1 || now-g.startedAt >= soloDiscoveryPeriod)
	if discovered {
		path := g.d.directory.StorePath()
		f.Role = storepace.ChooseRole(now, g.d.directory.ConfigAge(), trusted, &path, peers)
	}
	g.cachedFleet.Store(&f)
	if f.Role != was.Role {
		klog.InfoS("role in reading the store", "role", f.Role.String(), "was", was.Role.String(), "peers", len(peers))
		g.d.mesh.SendNow()
	}
	return f.Fleet
}

// ownRank returns this daemon's place in the ranking.
func (g *meshAdapter) ownRank() rankedDaemon {
	return rankedDaemon{g.d.settings.Node, g.d.settings.capacity()}
}

// ranksWithin reports whether fewer than n live daemons rank before this one.
func (g *meshAdapter) ranksWithin(n int) bool { return g.rank() < n }

// rank returns the number of live daemons that rank before this one. Those that lately
// were up to date rank before those that were not, so that the daemons that the store
// serves take part.
func (g *meshAdapter) rank() (before int) {
	own, upToDate := g.ownRank(), mesh.UpToDate(g.d.directory.ConfigAge())
	for _, p := range g.d.mesh.LivePeers() {
		peerUpToDate := p.UpToDate && !g.lagsBehind(p.Era)
		if peerUpToDate && !upToDate || peerUpToDate == upToDate && (rankedDaemon{p.Name, p.Capacity}).ranksBefore(own) {
			before++
		}
	}
	return before
}

// arbiter returns the daemon that arbitrates trials.
func (g *meshAdapter) arbiter(without map[string]bool) (name string, ok bool) {
	self := mesh.Peer{Name: g.d.settings.Node, Capacity: g.d.settings.capacity(), Collector: g.isStoreReader()}
	return chooseArbiter(append(g.d.mesh.LivePeers(), self), without)
}

// chooseArbiter returns the daemon that ranks first among the collectors, or among all
// where no collector is known yet, but for those in without.
func chooseArbiter(daemons []mesh.Peer, without map[string]bool) (name string, ok bool) {
	anyCollector := slices.ContainsFunc(daemons, func(p mesh.Peer) bool { return p.Collector })
	var first rankedDaemon
	for _, p := range daemons {
		d := rankedDaemon{p.Name, p.Capacity}
		if p.Collector == anyCollector && !without[p.Name] && (!ok || d.ranksBefore(first)) {
			first, ok = d, true
		}
	}
	return first.name, ok
}

// isPlannerCandidate reports whether this daemon should try to become a candidate for the
// planners' lease, where it last failed to do so at boot time failedAt, as package
// storepace decides.
func (g *meshAdapter) isPlannerCandidate(failedAt time.Duration) bool {
	now := boottime.Now()
	if now-g.startedAt < candidateDelay(g.d.directory.DaemonCount()) {
		return false
	}
	c := storepace.Candidacy{Now: now, Rank: g.rank(), Size: g.d.fleetSize(), PlannerAt: g.lastPlannedAt(now), FailedAt: failedAt}
	if c.Rank >= rankedDaemons {
		// In a large fleet only the daemons that rank first are heard by all; the others
		// follow in an order of their names.
		own := shard.Hash(rankHashPrefix + g.d.settings.Node)
		c.Rank = rankedDaemons
		for name := range g.d.directory.Daemons() {
			if shard.Hash(rankHashPrefix+name) < own {
				c.Rank++
			}
		}
	}
	return c.Allowed()
}

// candidateDelay returns the time after its start from which a daemon may compete for
// the planners' lease, in a fleet of the given size.
func candidateDelay(daemons int) time.Duration {
	return discoveryPeriod + time.Duration(daemons)*discoveryPerDaemon
}

// lastPlannedAt returns when another daemon was last known to hold the planner
// lease, by its own report or that of a third daemon. If none has been seen, it is
// the end of the discovery period.
func (g *meshAdapter) lastPlannedAt(now time.Duration) time.Duration {
	last := max(g.lastPlanned.Load(), int64(g.startedAt+candidateDelay(g.d.directory.DaemonCount())))
	for _, p := range g.d.mesh.LivePeers() {
		if p.Planning || p.PlannerKnown {
			last = int64(now)
		}
	}
	g.lastPlanned.Store(last)
	return time.Duration(last)
}
