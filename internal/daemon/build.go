package daemon

import (
	"context"
	"net"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/admin"
	"github.com/ragwortquay/ragwortquay/internal/config"
	"github.com/ragwortquay/ragwortquay/internal/control"
	"github.com/ragwortquay/ragwortquay/internal/dispatch"
	"github.com/ragwortquay/ragwortquay/internal/fleet"
	"github.com/ragwortquay/ragwortquay/internal/front"
	"github.com/ragwortquay/ragwortquay/internal/gossip"
	"github.com/ragwortquay/ragwortquay/internal/grant"
	"github.com/ragwortquay/ragwortquay/internal/group"
	"github.com/ragwortquay/ragwortquay/internal/keyed"
	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/peer"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/quarantine"
	"github.com/ragwortquay/ragwortquay/internal/quorum"
	"github.com/ragwortquay/ragwortquay/internal/target"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// build creates the components in the order of their dependencies.
func (d *Daemon) build() error {
	log, err := platform.NewLog(d.platformOptions(d.settings.Platform.LogURL))
	if err != nil {
		return err
	}
	if err := d.buildPeers(); err != nil {
		return err
	}
	d.buildControl(log)
	if err := d.buildFleet(); err != nil {
		return err
	}
	d.buildGrants()
	if err := d.buildKeyed(log); err != nil {
		return err
	}
	d.quarantine = quarantine.New(d.members, d.client)
	d.buildFront()
	d.buildAdmin()
	d.registerHandlers()
	return nil
}

func (d *Daemon) buildPeers() (err error) {
	s := d.settings
	d.client = peer.NewClient(peer.ClientOptions{ID: s.Daemon.ID, Keys: d.clusterKeys, LocalIP: d.peersIP()})
	d.server = peer.NewServer(peer.ServerOptions{Listener: d.sockets.peers, ID: s.Daemon.ID, Keys: d.clusterKeys})
	d.members, err = gossip.New(gossip.Options{
		ID:       s.Daemon.ID,
		BootID:   d.bootID,
		Addr:     d.advertisedAddr(),
		Conn:     d.sockets.gossip,
		Keys:     d.clusterKeys,
		Seeds:    s.Members.Seeds,
		Interval: time.Duration(s.Members.ProbeInterval),
	})
	return err
}

func (d *Daemon) peersIP() net.IP {
	return d.sockets.peers.Addr().(*net.TCPAddr).IP
}

// advertisedAddr returns the address at which other daemons reach this one.
func (d *Daemon) advertisedAddr() string {
	if a := d.settings.Listen.AdvertisePeers; a != "" {
		return a
	}
	return d.PeersAddr()
}

func (d *Daemon) buildControl(log platform.Log) {
	s := d.settings
	diverged := d.metrics.Scope().Counter("state_divergences_total")
	d.control = control.New(control.Options{
		Self:          s.Daemon.ID,
		Addr:          d.advertisedAddr(),
		FailureDomain: s.Daemon.FailureDomain,
		BootID:        d.bootID,
		Log:           log,
		View:          d.view,
		Peers:         &livePeers{members: d.members, client: d.client},
		LiveIDs:       d.members.Live,
		Reports:       func() []quorum.Report { return quorumReports(d.members) },
		OnDiverged:    func() { diverged.Inc(1) },
		Limits: quorum.Limits{
			MaxLogAge: time.Duration(s.Members.IsolatedAfter),
			MaxLag:    time.Duration(s.Members.IsolatedAfter),
		},
		Snapshots: control.SnapshotSettings{
			Records:   uint64(s.Platform.SnapshotRecords),
			Retention: time.Duration(s.Platform.LogRetention),
		},
		LeaveAfter: time.Duration(s.Members.LeaveAfter),
	})
}

// repairStrategies maps the values of the setting groups.repair to strategies.
var repairStrategies = map[string]group.RepairStrategy{
	config.RepairScored:      group.SpareOrMerge,
	config.RepairOwnMember:   group.OwnMember,
	config.RepairSpareAtOnce: group.SpareAtOnce,
}

func (d *Daemon) buildFleet() error {
	vms, err := platform.NewVMLister(d.platformOptions(d.settings.Platform.VMListURL))
	if err != nil {
		return err
	}
	weights, err := platform.NewWeightStore(d.platformOptions(d.settings.Platform.WeightsURL))
	if err != nil {
		return err
	}
	policy := group.DefaultPolicy()
	policy.UnresponsiveGrace = time.Duration(d.settings.Groups.WaitBeforeReplace)
	policy.Repair = repairStrategies[d.settings.Groups.Repair]
	var members fleet.Members = d.members
	if d.settings.Limits.LocalOnly {
		members = localOwner{d.members}
	}
	d.fleet = fleet.New(fleet.Options{
		View:           d.view,
		Members:        members,
		VMs:            vms,
		WeightStore:    weights,
		Submitter:      d.control,
		Engines:        target.NewControlClient(),
		Policy:         policy,
		ReportInterval: time.Duration(d.settings.Targets.ReportInterval),
	})
	return nil
}

func (d *Daemon) buildGrants() {
	d.servingStatus = &servingStatus{control: d.control, members: d.members, view: d.view, lifecycle: d.lifecycle}
	d.grants = grant.New(grant.Options{
		Members:     d.members,
		Caller:      d.client,
		Pools:       d.view,
		Replicas:    d.fleet,
		Visibility:  d.servingStatus,
		Daemons:     d.view,
		LocalLimits: d.settings.Limits.LocalOnly,
		BootID:      d.bootID,
	})
}

func (d *Daemon) buildKeyed(log platform.Log) (err error) {
	s := d.settings
	d.keyed, err = keyed.New(keyed.Options{
		Members:   d.members,
		Caller:    d.client,
		Log:       log,
		BootID:    d.bootID,
		Shards:    s.Once.Shards,
		Limits:    once.Limits{MaxKeyAge: time.Duration(s.Once.MaxKeyAge), MaxSkew: once.DefaultMaxSkew},
		Retention: time.Duration(s.Platform.LogRetention),
		LogAge:    func() time.Duration { return d.control.LogAge(time.Now()) },
	})
	return err
}

func (d *Daemon) buildFront() {
	s := d.settings
	d.targets = target.New(target.Options{
		DialTimeout:      time.Duration(s.Targets.DialTimeout),
		FirstByteTimeout: time.Duration(s.Targets.FirstByteTimeout),
		SilenceTimeout:   time.Duration(s.Targets.SilenceTimeout),
		MaxResponseBytes: s.Targets.MaxResponseBytes,
	})
	d.front = front.New(front.Options{
		Listener: d.sockets.callers,
		Dispatcher: newMeteredDispatcher(dispatch.New(dispatch.Options{
			Tables: d.view, Grants: d.grants.Client, Targets: d.targets, IdempotencyKeys: d.keyed.Client, ServingStatus: d.servingStatus,
			Quarantine: d.quarantine,
		}), d.metrics.Scope()),
		Auth:           d.tokens,
		Readiness:      d.servingStatus,
		MaxBodyBytes:   s.Limits.MaxBodyBytes,
		MaxHeaderBytes: s.Limits.MaxHeaderBytes,
		MaxConnections: s.Limits.MaxConnections,
		IdleTimeout:    time.Duration(s.Limits.IdleTimeout),
		ReadTimeout:    time.Duration(s.Limits.ReadTimeout),
	})
}

func (d *Daemon) buildAdmin() {
	d.operate = operate.New(operate.Options{
		Self:        d.settings.Daemon.ID,
		View:        d.view,
		Control:     d.control,
		Readiness:   d.servingStatus,
		LiveDaemons: d.members.Live,
		Replicas:    d.fleet.Replicas,
		Call: func(ctx context.Context, daemon string, req, resp wire.Message) error {
			return d.client.Call(ctx, d.members.Addr(daemon), req, resp)
		},
	})
	d.admin = admin.New(admin.Options{
		Listener: d.sockets.operators,
		Auth:     d.tokens,
		Metrics:  d.metrics.Serve,
		Service:  d.operate,
	})
}

// registerHandlers registers the handlers for calls of other daemons.
func (d *Daemon) registerHandlers() {
	d.server.HandleAll(d.control.Handlers())
	d.server.HandleAll(d.operate.Handlers())
	d.server.HandleAll(d.keyed.Handlers())
	d.server.HandleAll(d.grants.Handlers())
	d.server.Handle(wire.TypeCrashReport, d.quarantine.Handle)
}
