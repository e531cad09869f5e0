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

// build makes the parts in the order in which they depend on each other.
func (d *Daemon) build() error {
	log, err := platform.NewLog(d.platformOptions(d.settings.Platform.Log))
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
	if err := d.buildKeys(log); err != nil {
		return err
	}
	d.quarantine = quarantine.New(d.members, d.client)
	d.buildFront()
	d.buildAdmin()
	d.handle()
	return nil
}

func (d *Daemon) buildPeers() (err error) {
	s := d.settings
	d.client = peer.NewClient(peer.ClientOptions{ID: s.Daemon.ID, Keys: d.keys, LocalIP: d.peersIP()})
	d.server = peer.NewServer(peer.ServerOptions{Listener: d.sockets.peers, ID: s.Daemon.ID, Keys: d.keys})
	d.members, err = gossip.New(gossip.Options{
		ID:       s.Daemon.ID,
		Boot:     d.boot,
		Addr:     d.advertised(),
		Conn:     d.sockets.gossip,
		Keys:     d.keys,
		Seeds:    s.Members.Seeds,
		Interval: time.Duration(s.Members.Interval),
	})
	return err
}

func (d *Daemon) peersIP() net.IP {
	return d.sockets.peers.Addr().(*net.TCPAddr).IP
}

// advertised is the address that other daemons use for this one.
func (d *Daemon) advertised() string {
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
		Addr:          d.advertised(),
		FailureDomain: s.Daemon.FailureDomain,
		BootID:        d.boot,
		Log:           log,
		View:          d.view,
		Peers:         &peers{members: d.members, client: d.client},
		LiveIDs:       d.members.Live,
		Reports:       func() []quorum.Report { return reports(d.members) },
		OnDiverged:    func() { diverged.Inc(1) },
		Limits: quorum.Limits{
			MaxLogAge: time.Duration(s.Members.IsolatedAfter),
			MaxLag:    time.Duration(s.Members.IsolatedAfter),
		},
		Snapshots: control.SnapshotSettings{
			Records:   uint64(s.Platform.SnapshotRecords),
			Retention: time.Duration(s.Platform.Retention),
		},
		LeaveAfter: time.Duration(s.Members.LeaveAfter),
	})
}

// repairs maps the setting to the policy.
var repairs = map[string]group.RepairStrategy{
	config.RepairScored:      group.SpareOrMerge,
	config.RepairOwnMember:   group.OwnMember,
	config.RepairSpareAtOnce: group.SpareAtOnce,
}

func (d *Daemon) buildFleet() error {
	vms, err := platform.NewVMLister(d.platformOptions(d.settings.Platform.VMs))
	if err != nil {
		return err
	}
	weights, err := platform.NewWeightStore(d.platformOptions(d.settings.Platform.Weights))
	if err != nil {
		return err
	}
	policy := group.DefaultPolicy()
	policy.UnresponsiveGrace = time.Duration(d.settings.Groups.Wait)
	policy.Repair = repairs[d.settings.Groups.Repair]
	var members fleet.Members = d.members
	if d.settings.Limits.Local {
		members = alone{d.members}
	}
	d.fleet = fleet.New(fleet.Options{
		View:        d.view,
		Members:     members,
		VMs:         vms,
		Store:       weights,
		Submit:      d.control,
		Engines:     target.NewControl(),
		Policy:      policy,
		ReportEvery: time.Duration(d.settings.Targets.ReportInterval),
	})
	return nil
}

func (d *Daemon) buildGrants() {
	d.standing = &standing{control: d.control, members: d.members, view: d.view, life: d.life}
	d.grants = grant.New(grant.Options{
		Members:     d.members,
		Caller:      d.client,
		Pools:       d.view,
		Replicas:    d.fleet,
		Visibility:  d.standing,
		Daemons:     d.view,
		LocalLimits: d.settings.Limits.Local,
		Boot:        d.boot,
	})
}

func (d *Daemon) buildKeys(log platform.Log) (err error) {
	s := d.settings
	d.keyed, err = keyed.New(keyed.Options{
		Members:   d.members,
		Caller:    d.client,
		Log:       log,
		Boot:      d.boot,
		Shards:    s.Once.Shards,
		Limits:    once.Limits{MaxKeyAge: time.Duration(s.Once.MaxKeyAge), MaxSkew: once.DefaultMaxSkew},
		Retention: time.Duration(s.Platform.Retention),
		LogAge:    func() time.Duration { return d.control.LogAge(time.Now()) },
	})
	return err
}

func (d *Daemon) buildFront() {
	s := d.settings
	d.targets = target.New(target.Options{
		DialTimeout:    time.Duration(s.Targets.DialTimeout),
		FirstByte:      time.Duration(s.Targets.FirstByte),
		Silence:        time.Duration(s.Targets.Silence),
		MaxAnswerBytes: s.Targets.MaxAnswerBytes,
	})
	d.front = front.New(front.Options{
		Listener: d.sockets.callers,
		Dispatcher: newRequests(dispatch.New(dispatch.Options{
			Tables: d.view, Grants: d.grants.Client, Targets: d.targets, IdempotencyKeys: d.keyed.Client, ServingStatus: d.standing,
			Quarantine: d.quarantine,
		}), d.metrics.Scope()),
		Auth:           d.tokens,
		Readiness:      d.standing,
		MaxBodyBytes:   s.Limits.MaxBodyBytes,
		MaxHeaderBytes: s.Limits.MaxHeaderBytes,
		MaxConnections: s.Limits.MaxConnections,
		IdleTimeout:    time.Duration(s.Limits.IdleTimeout),
		ReadTimeout:    time.Duration(s.Limits.ReadTimeout),
	})
}

func (d *Daemon) buildAdmin() {
	d.operate = operate.New(operate.Options{
		Self:      d.settings.Daemon.ID,
		View:      d.view,
		Control:   d.control,
		Readiness: d.standing,
		Live:      d.members.Live,
		Replicas:  d.fleet.Replicas,
		Ask: func(ctx context.Context, daemon string, req, resp wire.Message) error {
			return d.client.Call(ctx, d.members.Addr(daemon), req, resp)
		},
	})
	d.admin = admin.New(admin.Options{
		Listener: d.sockets.operators,
		Auth:     d.tokens,
		Metrics:  d.metrics.Page,
		Service:  d.operate,
	})
}

// handle registers the answers to other daemons' questions.
func (d *Daemon) handle() {
	d.server.HandleAll(d.control.Handlers())
	d.server.HandleAll(d.operate.Handlers())
	d.server.HandleAll(d.keyed.Handlers())
	d.server.HandleAll(d.grants.Handlers())
	d.server.Handle(wire.TypeQuarantine, d.quarantine.Handle)
}
