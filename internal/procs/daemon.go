package procs

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/faultproxy"
	"github.com/ragwortquay/ragwortquay/internal/pause"
)

// Daemon is one running daemon.
type Daemon struct {
	*Proc
	ID string
	// IP is the daemon's own loopback address.
	IP string
	// CallersAddr, OperatorsAddr and PeersAddr are the bound addresses; they outlive the
	// process, so that others may use them while it is restarted.
	CallersAddr, OperatorsAddr, PeersAddr string
	// LogLink is the daemon's way to the log, LinkTCP and LinkUDP the other
	// daemons' way to it; the last two are nil without Options.Partitions.
	LogLink                  *faultproxy.Link
	PeerTCPLink, PeerUDPLink *faultproxy.Link
	advertise                string
	config                   string
}

// AddDaemon starts a further daemon; it does not wait until it is ready.
func (c *Cluster) AddDaemon() (*Daemon, error) {
	n := len(c.Daemons)
	d := &Daemon{ID: fmt.Sprintf("entry-%02d", n+1), IP: LoopbackIP(os.Getpid(), n+1)}
	if err := c.link(d); err != nil {
		return nil, err
	}
	d.config = c.path(d.ID + ".toml")
	if err := os.WriteFile(d.config, []byte(c.settings(d, n)), 0o600); err != nil {
		return nil, err
	}
	if err := c.run(d); err != nil {
		return nil, err
	}
	c.Daemons = append(c.Daemons, d)
	return d, nil
}

// Restart starts a daemon that has ended again, with the same settings.
func (c *Cluster) Restart(d *Daemon) error { return c.run(d) }

// bound is the line that a daemon prints once its sockets are bound.
type bound struct{}

func (c *Cluster) run(d *Daemon) error {
	p, err := startProc(c.opts.Binary, c.opts.Dir, d.ID, &bound{}, "serve", "-c", d.config)
	if err != nil {
		return err
	}
	d.Proc = p
	c.track(p)
	return nil
}

// link makes the daemon's proxies. The peers' port is chosen here, because the
// proxy before it must exist first.
func (c *Cluster) link(d *Daemon) (err error) {
	if d.LogLink, err = c.proxy(d.ID+"-log", faultproxy.TCP, "127.0.0.1:0", c.Log.Addr); err != nil {
		return err
	}
	for _, addr := range []*string{&d.CallersAddr, &d.OperatorsAddr, &d.PeersAddr} {
		if *addr, err = freePort(d.IP); err != nil {
			return err
		}
	}
	d.advertise = d.PeersAddr
	if !c.opts.EnablePartitions {
		return nil
	}
	// One port serves both links, so it has to be free for both networks.
	if d.advertise, err = freePort(d.IP); err != nil {
		return err
	}
	if d.PeerTCPLink, err = c.proxy(d.ID+"-tcp", faultproxy.TCP, d.advertise, d.PeersAddr); err != nil {
		return err
	}
	d.PeerUDPLink, err = c.proxy(d.ID+"-udp", faultproxy.UDP, d.advertise, d.PeersAddr)
	return err
}

func (c *Cluster) proxy(name string, network faultproxy.Network, listen, target string) (*faultproxy.Link, error) {
	l, err := faultproxy.NewLink(faultproxy.LinkOptions{Name: name, Network: network, Listen: listen, Target: target})
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links = append(c.links, l)
	return l, nil
}

func (c *Cluster) settings(d *Daemon, n int) string {
	var seeds []string
	for _, o := range c.Daemons {
		seeds = append(seeds, fmt.Sprintf("%q", o.advertise))
	}
	return fmt.Sprintf(`[daemon]
id = %q
failure_domain = %q
[listen]
callers = %q
operators = %q
peers = %q
advertise_peers = %q
[secrets]
cluster_key_file = %q
tokens_file = %q
[platform]
log = "http://%s"
vms = %q
weights = %q
[members]
seeds = [%s]
%s
`, d.ID, c.opts.FailureDomains[n%len(c.opts.FailureDomains)], d.CallersAddr, d.OperatorsAddr, d.PeersAddr, d.advertise,
		c.path("cluster.key"), c.path("tokens.toml"),
		d.LogLink.Addr(), c.VMs.URL(), c.Weights.URL(), strings.Join(seeds, ", "), c.opts.ExtraSettings)
}

// WaitReady waits until every running daemon is ready.
func (c *Cluster) WaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range c.Daemons {
		if err := d.WaitReady(deadline); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until the daemon's readiness answer is good.
func (d *Daemon) WaitReady(deadline time.Time) error {
	for !d.Ready() {
		if !d.Running() {
			return fault.New(fault.Internal, "read its log", "%s has ended", d.ID)
		}
		if time.Now().After(deadline) {
			return fault.New(fault.Timeout, "read its log", "%s is not ready", d.ID)
		}
		pause.For(context.Background(), probeInterval)
	}
	return nil
}

// Ready asks the daemon whether the balancer should send work.
func (d *Daemon) Ready() bool {
	resp, err := probes.Get("http://" + d.CallersAddr + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
