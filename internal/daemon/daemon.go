// Package daemon puts the parts of one daemon together, runs them, and ends
// them in an order that cuts off no request. It takes no decision of its own.
package daemon

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/admin"
	"github.com/ragwortquay/ragwortquay/internal/auth"
	"github.com/ragwortquay/ragwortquay/internal/config"
	"github.com/ragwortquay/ragwortquay/internal/control"
	"github.com/ragwortquay/ragwortquay/internal/fleet"
	"github.com/ragwortquay/ragwortquay/internal/front"
	"github.com/ragwortquay/ragwortquay/internal/gossip"
	"github.com/ragwortquay/ragwortquay/internal/grant"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/keyed"
	"github.com/ragwortquay/ragwortquay/internal/metrics"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/peer"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/quarantine"
	"github.com/ragwortquay/ragwortquay/internal/target"
	"github.com/ragwortquay/ragwortquay/internal/view"
)

// Daemon is one process of the system.
type Daemon struct {
	settings config.Settings
	boot     string
	sockets  sockets
	tokens   *auth.Tokens
	keys     *auth.ClusterKeys
	metrics  *metrics.Registry

	view       *view.View
	control    *control.Manager
	members    *gossip.Manager
	server     *peer.Server
	client     *peer.Client
	fleet      *fleet.Manager
	grants     *grant.Manager
	keyed      *keyed.Manager
	quarantine *quarantine.Manager
	targets    *target.Client
	front      *front.Server
	operate    *operate.Service
	admin      *admin.Server

	life     *life
	standing *standing
}

// sockets are bound before anything runs, so that a busy port is found at start.
type sockets struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
	gossip    net.PacketConn
}

// New binds the daemon's addresses, reads its secrets and puts its parts
// together. Nothing runs before Run.
func New(s config.Settings) (*Daemon, error) {
	d := &Daemon{settings: s, boot: ids.New(), metrics: metrics.New(), view: view.New(), life: newLife()}
	if err := d.openSecrets(); err != nil {
		return nil, err
	}
	if err := d.bind(); err != nil {
		return nil, err
	}
	if err := d.build(); err != nil {
		d.sockets.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) openSecrets() (err error) {
	if d.tokens, err = auth.OpenTokens(d.settings.Secrets.TokensFile); err != nil {
		return err
	}
	d.keys, err = auth.OpenClusterKeys(d.settings.Secrets.ClusterKeyFile)
	return err
}

// CallersAddr returns the bound address of the callers' server.
func (d *Daemon) CallersAddr() string { return d.sockets.callers.Addr().String() }

// OperatorsAddr returns the bound address of the operators' server.
func (d *Daemon) OperatorsAddr() string { return d.sockets.operators.Addr().String() }

// PeersAddr returns the bound address of the peers' server.
func (d *Daemon) PeersAddr() string { return d.sockets.peers.Addr().String() }

// Run serves until ctx ends, then drains: the parts that requests depend on
// run until the last one is finished.
func (d *Daemon) Run(ctx context.Context) error {
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, parts := errgroup.WithContext(parts)
	for _, run := range d.runners() {
		g.Go(func() error { return run(parts) })
	}
	membership, leave := context.WithCancel(parts)
	defer leave()
	g.Go(func() error { return d.members.Run(membership) })
	klog.InfoS("Daemon started", "daemon", d.settings.Daemon.ID, "boot", d.boot,
		"callers", d.CallersAddr(), "operators", d.OperatorsAddr(), "peers", d.PeersAddr())
	select {
	case <-ctx.Done():
		d.drain(leave)
		stop()
	case <-parts.Done(): // a part failed
	}
	err := g.Wait()
	d.client.Close()
	return firstError(err, d.metrics.Close())
}

func (d *Daemon) runners() []func(context.Context) error {
	return []func(context.Context) error{
		d.server.Run,
		d.control.Run,
		d.fleet.Run,
		d.grants.Run,
		d.keyed.Run,
		d.front.Run,
		d.admin.Run,
		d.follow,
		d.showTraffic,
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) platformOptions(url string) platform.Options {
	return platform.Options{URL: url, Timeout: time.Duration(d.settings.Platform.Timeout), Client: d.settings.Daemon.ID}
}
