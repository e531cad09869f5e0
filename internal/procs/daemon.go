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

// Daemon is a daemon process, running or ended.
type Daemon struct {
	*Proc
	ID string
	// IP is the daemon's own loopback address.
	IP string
	// CallersAddr, OperatorsAddr and PeersAddr are the host:ports that the daemon
	// listens on. They don't change when the daemon is restarted, so that others can
	// use them during a restart.
	CallersAddr, OperatorsAddr, PeersAddr string
	// LogLink proxies the daemon's connections to the log. PeerTCPLink and
	// PeerUDPLink proxy the traffic of other daemons to this one; they are nil
	// without Options.EnablePartitions.
	LogLink                  *faultproxy.Link
	PeerTCPLink, PeerUDPLink *faultproxy.Link
	advertiseAddr            string // address that other daemons are told
	settingsFile             string
}

// AddDaemon starts another daemon without waiting until it is ready.
func (c *Cluster) AddDaemon() (*Daemon, error) {
	n := len(c.Daemons)
	d := &Daemon{ID: fmt.Sprintf("entry-%02d", n+1), IP: LoopbackIP(os.Getpid(), n+1)}
	if err := c.createLinks(d); err != nil {
		return nil, err
	}
	d.settingsFile = c.path(d.ID + ".toml")
	if err := os.WriteFile(d.settingsFile, []byte(c.settingsTOML(d, n)), 0o600); err != nil {
		return nil, err
	}
	if err := c.startDaemon(d); err != nil {
		return nil, err
	}
	c.Daemons = append(c.Daemons, d)
	return d, nil
}

// Restart starts a daemon that has ended, with its previous settings.
func (c *Cluster) Restart(d *Daemon) error { return c.startDaemon(d) }

// startupLine is the JSON line that a daemon prints once its sockets are bound. Its
// fields are not needed, because the addresses are chosen here.
type startupLine struct{}

// startDaemon starts d's process and waits for its startup line.
func (c *Cluster) startDaemon(d *Daemon) error {
	p, err := startProc(c.opts.Binary, c.opts.Dir, d.ID, &startupLine{}, "serve", "-c", d.settingsFile)
	if err != nil {
		return err
	}
	d.Proc = p
	c.trackProc(p)
	return nil
}

// createLinks creates the daemon's proxies. The peers' port is chosen before the
// daemon starts, because the proxy that forwards to it must exist first.
func (c *Cluster) createLinks(d *Daemon) (err error) {
	if d.LogLink, err = c.newLink(d.ID+"-log", faultproxy.TCP, "127.0.0.1:0", c.Log.Addr); err != nil {
		return err
	}
	for _, addr := range []*string{&d.CallersAddr, &d.OperatorsAddr, &d.PeersAddr} {
		if *addr, err = freePort(d.IP); err != nil {
			return err
		}
	}
	d.advertiseAddr = d.PeersAddr
	if !c.opts.EnablePartitions {
		return nil
	}
	// Both links use the same port, so it has to be free for TCP and UDP.
	if d.advertiseAddr, err = freePort(d.IP); err != nil {
		return err
	}
	if d.PeerTCPLink, err = c.newLink(d.ID+"-tcp", faultproxy.TCP, d.advertiseAddr, d.PeersAddr); err != nil {
		return err
	}
	d.PeerUDPLink, err = c.newLink(d.ID+"-udp", faultproxy.UDP, d.advertiseAddr, d.PeersAddr)
	return err
}

// newLink starts a proxy link that Close closes.
func (c *Cluster) newLink(name string, network faultproxy.Network, listen, target string) (*faultproxy.Link, error) {
	l, err := faultproxy.NewLink(faultproxy.LinkOptions{Name: name, Network: network, Listen: listen, Target: target})
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links = append(c.links, l)
	return l, nil
}

// settingsTOML returns the settings file of d, the daemon with index n. Its seeds
// are the daemons that were added before.
func (c *Cluster) settingsTOML(d *Daemon, n int) string {
	var seeds []string
	for _, o := range c.Daemons {
		seeds = append(seeds, fmt.Sprintf("%q", o.advertiseAddr))
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
`, d.ID, c.opts.FailureDomains[n%len(c.opts.FailureDomains)], d.CallersAddr, d.OperatorsAddr, d.PeersAddr, d.advertiseAddr,
		c.path("cluster.key"), c.path("tokens.toml"),
		d.LogLink.Addr(), c.VMs.URL(), c.Weights.URL(), strings.Join(seeds, ", "), c.opts.ExtraSettings)
}

// WaitReady waits until all daemons are ready. It fails if one has ended.
func (c *Cluster) WaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range c.Daemons {
		if err := d.WaitReady(deadline); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until the daemon is ready. It fails after the deadline, or if the
// daemon has ended.
func (d *Daemon) WaitReady(deadline time.Time) error {
	for !d.Ready() {
		if !d.Running() {
			return fault.New(fault.Internal, "read its log", "daemon %s ended before it was ready", d.ID)
		}
		if time.Now().After(deadline) {
			return fault.New(fault.Timeout, "read its log", "daemon %s was not ready by the deadline", d.ID)
		}
		pause.For(context.Background(), probeInterval)
	}
	return nil
}

// Ready reports whether the daemon's readiness endpoint returns 200.
func (d *Daemon) Ready() bool {
	resp, err := probeClient.Get("http://" + d.CallersAddr + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
