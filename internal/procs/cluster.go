package procs

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/ragwortquay/ragwortquay/internal/faultproxy"
	"github.com/ragwortquay/ragwortquay/internal/platform"
)

// Standin is a running stand-in process.
type Standin struct {
	*Proc
	// Addr is the host:port of the service, or of the control server of stand-in
	// targets.
	Addr string `json:"addr"`
	// VMs are the VMs of stand-in targets.
	VMs []platform.VM `json:"vms"`
}

// URL returns the stand-in's base URL.
func (s *Standin) URL() string { return "http://" + s.Addr }

// Cluster is a set of daemons, stand-ins and proxies on loopback.
type Cluster struct {
	opts     Options
	Log      *Standin
	VMs      *Standin
	Weights  *Standin
	Engines  []*Standin
	Services []*Standin
	Daemons  []*Daemon

	mu    sync.Mutex
	procs []*Proc
	links []*faultproxy.Link
}

// Start starts the platform's stand-ins, the targets and the daemons, and waits
// until the daemons are ready. The caller must Close the cluster, even after an
// error.
func Start(o Options) (*Cluster, error) {
	if len(o.FailureDomains) == 0 {
		o.FailureDomains = []string{"plateau", "almadies", "rufisque"}
	}
	c := &Cluster{opts: o}
	if err := c.writeSecrets(); err != nil {
		return c, err
	}
	if err := c.startPlatform(); err != nil {
		return c, err
	}
	if err := c.startTargets(); err != nil {
		return c, err
	}
	for range o.Daemons {
		if _, err := c.AddDaemon(); err != nil {
			return c, err
		}
	}
	return c, c.WaitReady()
}

func (c *Cluster) startPlatform() (err error) {
	if c.Log, err = c.startStandin("log", c.opts.Log...); err != nil {
		return err
	}
	if c.VMs, err = c.startStandin("vms", append(Args{"--lag", "100ms"}, c.opts.VMs...)...); err != nil {
		return err
	}
	c.Weights, err = c.startStandin("weights", append(Args{"--load", "300ms"}, c.opts.Weights...)...)
	return err
}

func (c *Cluster) startTargets() error {
	common := Args{"--domains", strings.Join(c.opts.FailureDomains, ","), "--vmlist", c.VMs.URL()}
	for _, args := range c.opts.Engines {
		s, err := c.startStandin("engines", append(append(Args{"--weights", c.Weights.URL()}, common...), args...)...)
		if err != nil {
			return err
		}
		c.Engines = append(c.Engines, s)
	}
	for _, args := range c.opts.Services {
		s, err := c.startStandin("service", append(append(Args{}, common...), args...)...)
		if err != nil {
			return err
		}
		c.Services = append(c.Services, s)
	}
	return nil
}

// startStandin starts a stand-in of the given kind and waits for its address.
func (c *Cluster) startStandin(kind string, args ...string) (*Standin, error) {
	s := &Standin{}
	name := fmt.Sprintf("%s-%d", kind, len(c.procs))
	p, err := startProc(c.opts.Binary, c.opts.Dir, name, s, append([]string{"standin", kind}, args...)...)
	if err != nil {
		return nil, err
	}
	s.Proc = p
	c.trackProc(p)
	return s, nil
}

func (c *Cluster) trackProc(p *Proc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.procs = append(c.procs, p)
}

// Close kills all processes of the cluster and closes its proxies.
func (c *Cluster) Close() {
	c.mu.Lock()
	procs, links := c.procs, c.links
	c.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	for _, l := range links {
		l.Close()
	}
}

func (c *Cluster) path(name string) string { return filepath.Join(c.opts.Dir, name) }

// writeSecrets writes the cluster key and the tokens of the operator and callers.
func (c *Cluster) writeSecrets() error {
	if err := os.WriteFile(c.path("cluster.key"), []byte(clusterKey+"\n"), 0o600); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[[operator]]\nname = \"awa\"\ntoken = %q\n", OperatorToken)
	for _, w := range c.opts.Workspaces {
		fmt.Fprintf(&b, "[[caller]]\nworkspace = %q\ntoken = %q\n", w, callerToken(w))
	}
	return os.WriteFile(c.path("tokens.toml"), []byte(b.String()), 0o600)
}
