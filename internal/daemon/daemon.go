// Package daemon creates the components of a daemon, connects them, and runs
// them. It stops them in an order that lets requests in flight finish.
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

// Daemon is a daemon with all its components.
type Daemon struct {
	settings    config.Settings
	bootID      string
	sockets     sockets
	tokens      *auth.Tokens
	clusterKeys *auth.ClusterKeys
	metrics     *metrics.Registry

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

	lifecycle     *lifecycle
	servingStatus *servingStatus
}

// sockets are the daemon's sockets. New binds them, so that a port in use is an
// error before any component runs.
type sockets struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
	gossip    net.PacketConn
}

// New reads the daemon's secrets, binds its addresses and creates its
// components. The components do not run until Run is called.
func New(s config.Settings) (*Daemon, error) {
	d := &Daemon{settings: s, bootID: ids.New(), metrics: metrics.New(), view: view.New(), lifecycle: newLifecycle()}
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
	d.clusterKeys, err = auth.OpenClusterKeys(d.settings.Secrets.ClusterKeyFile)
	return err
}

// CallersAddr returns the bound address of the callers' server.
func (d *Daemon) CallersAddr() string { return d.sockets.callers.Addr().String() }

// OperatorsAddr returns the bound address of the operators' server.
func (d *Daemon) OperatorsAddr() string { return d.sockets.operators.Addr().String() }

// PeersAddr returns the bound address of the peers' server.
func (d *Daemon) PeersAddr() string { return d.sockets.peers.Addr().String() }

// Run serves until ctx is cancelled or a component fails. When ctx is cancelled
// it drains the daemon first: the components that requests depend on run until
// the requests in flight have finished or the drain has timed out.
func (d *Daemon) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	for _, run := range d.components() {
		g.Go(func() error { return run(runCtx) })
	}
	gossipCtx, leave := context.WithCancel(runCtx)
	defer leave()
	g.Go(func() error { return d.members.Run(gossipCtx) })
	klog.InfoS("daemon started", "daemon", d.settings.Daemon.ID, "boot", d.bootID,
		"callers", d.CallersAddr(), "operators", d.OperatorsAddr(), "peers", d.PeersAddr())
	select {
	case <-ctx.Done():
		d.drain(leave)
		stop()
	case <-runCtx.Done(): // a component failed
	}
	err := g.Wait()
	d.client.Close()
	return firstError(err, d.metrics.Close())
}

// components returns the functions that run the daemon's components, except for
// gossip, which stops before them.
func (d *Daemon) components() []func(context.Context) error {
	return []func(context.Context) error{
		d.server.Run,
		d.control.Run,
		d.fleet.Run,
		d.grants.Run,
		d.keyed.Run,
		d.front.Run,
		d.admin.Run,
		d.syncMembership,
		d.updateTrafficGauges,
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
	return platform.Options{URL: url, Timeout: time.Duration(d.settings.Platform.Timeout), ClientID: d.settings.Daemon.ID}
}
