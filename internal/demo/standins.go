package demo

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/admin"
	"github.com/ragwortquay/ragwortquay/internal/config"
	"github.com/ragwortquay/ragwortquay/internal/daemon"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/engine"
	"github.com/ragwortquay/ragwortquay/internal/standin/logsvc"
	"github.com/ragwortquay/ragwortquay/internal/standin/vmlist"
	"github.com/ragwortquay/ragwortquay/internal/standin/weights"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

const (
	loopback        = "127.0.0.1:0"
	engineVMs       = 4
	weightFetchTime = 300 * time.Millisecond
	drainTimeout    = 2 * time.Second
	probeInterval   = 200 * time.Millisecond
	workspace       = "counter"
)

var failureDomains = []string{"plateau", "almadies", "rufisque"}

// standins are the stand-ins of the platform's services and of the engines.
type standins struct {
	log     *logsvc.Service
	vms     *vmlist.Service
	weights *weights.Service
	engines *engine.Fleet
}

func newStandins() (s *standins, err error) {
	s = &standins{}
	if s.log, err = logsvc.New(logsvc.Options{Addr: loopback}); err != nil {
		return nil, err
	}
	if s.weights, err = weights.New(weights.Options{Addr: loopback, MaxConcurrentFetches: engineVMs, FetchTime: weightFetchTime}); err != nil {
		return nil, err
	}
	if s.engines, err = engine.New(engine.Options{Control: loopback, VMs: engineVMList(), WeightsURL: s.weights.URL()}); err != nil {
		return nil, err
	}
	s.vms, err = vmlist.New(vmlist.Options{Addr: loopback, VMs: s.engines.VMs()})
	return s, err
}

// engineVMList returns the engines' VMs, two per fabric domain.
func engineVMList() []platform.VM {
	var out []platform.VM
	for i := range engineVMs {
		domain := failureDomains[i/2]
		out = append(out, platform.VM{
			ID: fmt.Sprintf("vm-%d", i+1), FailureDomain: domain, FabricDomain: domain + "-a", State: platform.VMLive,
		})
	}
	return out
}

// runners returns the functions that run the stand-ins until their context is done.
func (s *standins) runners() []func(context.Context) error {
	return []func(context.Context) error{s.log.Run, s.vms.Run, s.weights.Run, s.engines.Run}
}

// startDaemons creates the daemons, with the first as seed of the others, and the
// operator's client.
func (d *Demo) startDaemons() error {
	callerToken, operatorToken := ids.New(), ids.New()
	if err := d.writeSecrets(callerToken, operatorToken); err != nil {
		return err
	}
	d.callerToken = callerToken
	var seeds []string
	for i := range daemonCount {
		dm, err := daemon.New(d.settings(i, seeds))
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, dm)
		seeds = []string{d.daemons[0].PeersAddr()}
	}
	client, err := admin.NewClient("http://"+d.daemons[0].OperatorsAddr(), operatorToken)
	d.operator = client
	return err
}

// writeSecrets writes the tokens and a random cluster key.
func (d *Demo) writeSecrets(caller, operator string) error {
	tokens := fmt.Sprintf("[[caller]]\nworkspace = %q\ntoken = %q\n[[operator]]\nname = \"awa\"\ntoken = %q\n", workspace, caller, operator)
	if err := os.WriteFile(d.path("tokens.toml"), []byte(tokens), 0o600); err != nil {
		return err
	}
	return os.WriteFile(d.path("cluster.key"), []byte(ids.New()+"\n"), 0o600)
}

func (d *Demo) path(name string) string { return filepath.Join(d.dir, name) }

// settings returns the settings of the daemon with index i.
func (d *Demo) settings(i int, seeds []string) config.Settings {
	s := config.Default()
	s.Daemon = config.Daemon{ID: fmt.Sprintf("entry-%d", i+1), FailureDomain: failureDomains[i]}
	s.Listen = config.Listen{Callers: loopback, Operators: loopback, Peers: loopback}
	s.Secrets = config.Secrets{ClusterKeyFile: d.path("cluster.key"), TokensFile: d.path("tokens.toml")}
	s.Platform.LogURL, s.Platform.VMListURL, s.Platform.WeightsURL = d.standins.log.URL(), d.standins.vms.URL(), d.standins.weights.URL()
	s.Members.Seeds = seeds
	s.Members.ProbeInterval = tomlfile.Duration(probeInterval)
	s.Shutdown = config.Shutdown{UnreadyDelay: tomlfile.Duration(probeInterval), DrainTimeout: tomlfile.Duration(drainTimeout)}
	return s
}
