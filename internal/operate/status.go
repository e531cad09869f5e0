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

// Status is the status of the system as seen by one daemon.
type Status struct {
	Daemon   string    `json:"daemon"`
	At       time.Time `json:"at"`
	Position string    `json:"position"`
	Digest   string    `json:"digest"`
	// LogAge is the time since the last read that reached the log's end. It is 0
	// if LogEverRead is false.
	LogAge        tomlfile.Duration `json:"log_age"`
	LogEverRead   bool              `json:"log_read"`
	ServingStatus ServingStatus     `json:"standing"`
	// NotReady is the reason why the daemon is not ready for requests; empty if it
	// is ready.
	NotReady string   `json:"not_ready,omitempty"`
	Members  []Member `json:"members"`
	Pools    []Pool   `json:"pools"`
	Homes    []Home   `json:"homes"`
}

// ServingStatus is the JSON form of quorum.ServingStatus: whether the daemon may
// serve, and why.
type ServingStatus struct {
	Mode       string `json:"mode"`
	Reason     string `json:"reason"`
	Majority   bool   `json:"majority"`
	MayUseCold bool   `json:"may_use_cold"`
}

// Member is a daemon that has joined or is live.
type Member struct {
	ID            string `json:"id"`
	Addr          string `json:"addr,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	BootID        string `json:"boot_id,omitempty"`
	Joined        bool   `json:"joined"`
	Live          bool   `json:"live"`
	// Position, Digest and LogAge are as the member reported them; empty if it did
	// not respond or has no state yet.
	Position string            `json:"position,omitempty"`
	Digest   string            `json:"digest,omitempty"`
	LogAge   tomlfile.Duration `json:"log_age,omitempty"`
}

// Pool is the status of a pool.
type Pool struct {
	Name      string   `json:"name"`
	Kind      string   `json:"kind"`
	Model     string   `json:"model,omitempty"`
	Version   string   `json:"version,omitempty"`
	Revision  uint64   `json:"revision"`
	VMs       int      `json:"vms"`
	Withdrawn []string `json:"withdrawn,omitempty"`
	// Home is the live daemon that owns the pool's key, as chosen by ids.Owner. It
	// monitors the pool's VMs and decides on the grants for its replicas.
	Home     string    `json:"home"`
	Groups   []Group   `json:"groups,omitempty"`
	Replicas []Replica `json:"replicas,omitempty"`
	// AwaitingRelease lists VMs of ended groups that are not released yet.
	AwaitingRelease []string `json:"awaiting_release,omitempty"`
}

// Group is an active replica group.
type Group struct {
	FencingToken string    `json:"fence"`
	Members      []string  `json:"members"`
	Version      string    `json:"version"`
	Author       string    `json:"author"`
	At           time.Time `json:"at"`
}

// Replica is the status of a replica, the unit that requests are sent to: a group
// or a single VM.
type Replica struct {
	ID            string `json:"id"`
	Leader        string `json:"leader"`
	Addr          string `json:"addr"`
	FailureDomain string `json:"failure_domain"`
	Status        string `json:"status"`
	Reason        string `json:"reason,omitempty"`
	Inflight      int    `json:"inflight"`
}

// Home is the daemon that owns a key, as chosen by ids.Owner, and holds its soft
// state.
type Home struct {
	Key    string `json:"key"`
	Daemon string `json:"daemon"`
}

// Status returns the status of the system as seen by this daemon. The replicas of
// each pool are as seen by the pool's home.
func (s *Service) Status(ctx context.Context) Status {
	now := s.opts.Now()
	pos, digest := s.opts.View.PositionAndDigest()
	age := s.opts.Control.LogAge(now)
	out := Status{
		Daemon: s.opts.Self, At: now.UTC(), Position: pos.String(), Digest: formatHex(digest),
		LogEverRead: age < neverReadAge, ServingStatus: servingStatusOf(s.opts.Control.ServingStatus()),
		Members: s.members(ctx, pos, digest, age),
		Homes:   []Home{{Key: "snapshot", Daemon: s.homeOf("snapshot")}},
	}
	if out.LogEverRead {
		out.LogAge = tomlfile.Duration(age.Round(time.Millisecond))
	}
	if err := s.Ready(); err != nil {
		out.NotReady = err.Error()
	}
	for _, row := range s.opts.View.Pools() {
		p := s.poolStatus(row)
		out.Pools = append(out.Pools, p)
		out.Homes = append(out.Homes, Home{Key: "pool/" + p.Name, Daemon: p.Home})
	}
	s.fillReplicas(ctx, out.Pools)
	return out
}

// neverReadAge is an upper bound of LogAge; a greater age means that the log was
// never read.
const neverReadAge = 10 * 365 * 24 * time.Hour

// Ready returns nil if the daemon is ready for requests, else the reason why it is
// not.
func (s *Service) Ready() error {
	serving := s.opts.Control.ServingStatus()
	if !serving.MayServe() {
		return fault.Refuse(fault.Isolated, "see the status for the members and the log's age", "%s", serving.Reason)
	}
	if s.opts.Readiness != nil {
		return s.opts.Readiness.Ready()
	}
	return nil
}

func servingStatusOf(q quorum.ServingStatus) ServingStatus {
	return ServingStatus{Mode: q.Mode.String(), Reason: q.Reason, Majority: q.Majority, MayUseCold: q.MayUseCold}
}

// members returns the joined and the live daemons with their reports. The
// arguments are this daemon's own report.
func (s *Service) members(ctx context.Context, pos state.Position, digest uint64, age time.Duration) []Member {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
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
		out[i].fillFromReports(reports)
	}
	return out
}

// fillFromReports fills in what the member has reported.
func (m *Member) fillFromReports(reports []quorum.Report) {
	for _, r := range reports {
		if r.Daemon != m.ID || !r.Started {
			continue
		}
		m.Position, m.Digest = r.Pos.String(), formatHex(r.Digest)
		if r.LogAge < neverReadAge {
			m.LogAge = tomlfile.Duration(r.LogAge.Round(time.Millisecond))
		}
	}
}

// poolStatus returns the status of the pool without its replicas.
func (s *Service) poolStatus(row state.PoolRow) Pool {
	p := row.Pool
	out := Pool{
		Name: p.Name, Kind: string(p.Kind), Model: p.Model, Version: p.Version, Revision: row.Stamp.Revision,
		VMs: len(p.VMs), Withdrawn: p.Withdrawn, Home: s.homeOf("pool/" + p.Name),
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

func formatHex(v uint64) string { return strconv.FormatUint(v, 16) }
