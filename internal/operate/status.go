package operate

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/quorum"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

// Status is the system as one daemon sees it.
type Status struct {
	Daemon   string    `json:"daemon"`
	At       time.Time `json:"at"`
	Position string    `json:"position"`
	Digest   string    `json:"digest"`
	// LogAge is the time since the log's tail was last reached; LogRead is
	// false if it never was.
	LogAge        tomlfile.Duration `json:"log_age"`
	LogEverRead   bool              `json:"log_read"`
	ServingStatus ServingStatus     `json:"standing"`
	// NotReady says why the daemon wants no work; empty if it does.
	NotReady string   `json:"not_ready,omitempty"`
	Members  []Member `json:"members"`
	Pools    []Pool   `json:"pools"`
	Homes    []Home   `json:"homes"`
}

// ServingStatus says whether the daemon may serve, and why.
type ServingStatus struct {
	Mode       string `json:"mode"`
	Reason     string `json:"reason"`
	Majority   bool   `json:"majority"`
	MayUseCold bool   `json:"may_use_cold"`
}

// Member is a joined or live daemon.
type Member struct {
	ID            string `json:"id"`
	Addr          string `json:"addr,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	BootID        string `json:"boot_id,omitempty"`
	Joined        bool   `json:"joined"`
	Live          bool   `json:"live"`
	// Position, Digest and LogAge are the member's answer; empty if it gave none.
	Position string            `json:"position,omitempty"`
	Digest   string            `json:"digest,omitempty"`
	LogAge   tomlfile.Duration `json:"log_age,omitempty"`
}

// Pool is a pool with its replicas.
type Pool struct {
	Name      string   `json:"name"`
	Kind      string   `json:"kind"`
	Model     string   `json:"model,omitempty"`
	Version   string   `json:"version,omitempty"`
	Revision  uint64   `json:"revision"`
	VMs       int      `json:"vms"`
	Withdrawn []string `json:"withdrawn,omitempty"`
	// Home is the daemon that watches the pool's VMs and places work.
	Home     string    `json:"home"`
	Groups   []Group   `json:"groups,omitempty"`
	Replicas []Replica `json:"replicas,omitempty"`
	// AwaitingRelease are VMs of ended groups that are not released yet.
	AwaitingRelease []string `json:"awaiting_release,omitempty"`
}

// Group is a replica group in force.
type Group struct {
	FencingToken string    `json:"fence"`
	Members      []string  `json:"members"`
	Version      string    `json:"version"`
	Author       string    `json:"author"`
	At           time.Time `json:"at"`
}

// Replica is one unit that can be sent work.
type Replica struct {
	ID            string `json:"id"`
	Leader        string `json:"leader"`
	Addr          string `json:"addr"`
	FailureDomain string `json:"failure_domain"`
	Status        string `json:"status"`
	Reason        string `json:"reason,omitempty"`
	Inflight      int    `json:"inflight"`
}

// Home is the daemon that a key's soft state lives at.
type Home struct {
	Key    string `json:"key"`
	Daemon string `json:"daemon"`
}

// Status returns the system as this daemon sees it, and the replicas as the
// homes of their pools do.
func (s *Service) Status(ctx context.Context) Status {
	now := s.opts.Now()
	pos, digest := s.opts.View.PositionAndDigest()
	age := s.opts.Control.LogAge(now)
	out := Status{
		Daemon: s.opts.Self, At: now.UTC(), Position: pos.String(), Digest: hex(digest),
		LogEverRead: age < maxAge, ServingStatus: standingOf(s.opts.Control.ServingStatus()),
		Members: s.members(ctx, pos, digest, age),
		Homes:   []Home{{Key: "snapshot", Daemon: s.home("snapshot")}},
	}
	if out.LogEverRead {
		out.LogAge = tomlfile.Duration(age.Round(time.Millisecond))
	}
	if err := s.Ready(); err != nil {
		out.NotReady = err.Error()
	}
	for _, row := range s.opts.View.Pools() {
		p := s.pool(row)
		out.Pools = append(out.Pools, p)
		out.Homes = append(out.Homes, Home{Key: "pool/" + p.Name, Daemon: p.Home})
	}
	s.fillReplicas(ctx, out.Pools)
	return out
}

// maxAge is above any age of a log that was ever read.
const maxAge = 10 * 365 * 24 * time.Hour

// Ready returns nil if the daemon wants work, or why it does not.
func (s *Service) Ready() error {
	standing := s.opts.Control.ServingStatus()
	if !standing.MayServe() {
		return fault.Refuse(fault.Isolated, "see the status for the members and the log's age", "%s", standing.Reason)
	}
	if s.opts.Readiness != nil {
		return s.opts.Readiness.Ready()
	}
	return nil
}

func standingOf(q quorum.ServingStatus) ServingStatus {
	return ServingStatus{Mode: q.Mode.String(), Reason: q.Reason, Majority: q.Majority, MayUseCold: q.MayUseCold}
}

func (s *Service) members(ctx context.Context, pos state.Position, digest uint64, age time.Duration) []Member {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reports := append(s.opts.Control.PeerReports(ctx), quorum.Report{
		Daemon: s.opts.Self, Started: s.opts.View.Started(), Pos: pos, Digest: digest, LogAge: age,
	})
	var out []Member
	for _, d := range s.opts.View.Daemons() {
		out = append(out, Member{ID: d.ID, Addr: d.Addr, FailureDomain: d.FailureDomain, BootID: d.BootID, Joined: true})
	}
	for _, id := range s.opts.LiveDaemons() {
		i := slices.IndexFunc(out, func(m Member) bool { return m.ID == id })
		if i < 0 {
			out = append(out, Member{ID: id})
			i = len(out) - 1
		}
		out[i].Live = true
	}
	for i := range out {
		out[i].say(reports)
	}
	return out
}

func (m *Member) say(reports []quorum.Report) {
	for _, r := range reports {
		if r.Daemon != m.ID || !r.Started {
			continue
		}
		m.Position, m.Digest = r.Pos.String(), hex(r.Digest)
		if r.LogAge < maxAge {
			m.LogAge = tomlfile.Duration(r.LogAge.Round(time.Millisecond))
		}
	}
}

func (s *Service) pool(row state.PoolRow) Pool {
	p := row.Pool
	out := Pool{
		Name: p.Name, Kind: string(p.Kind), Model: p.Model, Version: p.Version, Revision: row.Stamp.Revision,
		VMs: len(p.VMs), Withdrawn: p.Withdrawn, Home: s.home("pool/" + p.Name),
	}
	for _, g := range s.opts.View.Groups(p.Name) {
		out.Groups = append(out.Groups, groupOf(g))
	}
	for vm, r := range s.opts.View.Reservations(p.Name) {
		if r.Ended {
			out.AwaitingRelease = append(out.AwaitingRelease, vm)
		}
	}
	slices.Sort(out.AwaitingRelease)
	return out
}

func groupOf(g state.Group) Group {
	out := Group{FencingToken: strconv.FormatUint(g.ID, 10), Version: g.Version, Author: g.Author, At: g.At.UTC()}
	for _, m := range g.Members {
		out.Members = append(out.Members, m.VM)
	}
	return out
}

func replicaOf(r replica.Replica) Replica {
	return Replica{
		ID: r.ID, Leader: r.Leader, Addr: r.Addr, FailureDomain: r.FailureDomain,
		Status: r.Status.String(), Reason: r.Reason, Inflight: r.Inflight,
	}
}

func hex(v uint64) string { return strconv.FormatUint(v, 16) }
