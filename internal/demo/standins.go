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
	loopback   = "127.0.0.1:0"
	engineVMs  = 4
	loadTime   = 300 * time.Millisecond
	drainTime  = 2 * time.Second
	probeEvery = 200 * time.Millisecond
	workspace  = "counter"
)

var domains = []string{"plateau", "almadies", "rufisque"}

// world are the stand-ins around the daemons.
type world struct {
	log     *logsvc.Service
	vms     *vmlist.Service
	weights *weights.Service
	engines *engine.Fleet
}

func newWorld() (w *world, err error) {
	w = &world{}
	if w.log, err = logsvc.New(logsvc.Options{Addr: loopback}); err != nil {
		return nil, err
	}
	if w.weights, err = weights.New(weights.Options{Addr: loopback, MaxConcurrentFetches: engineVMs, FetchTime: loadTime}); err != nil {
		return nil, err
	}
	if w.engines, err = engine.New(engine.Options{Control: loopback, VMs: machines(), WeightsURL: w.weights.URL()}); err != nil {
		return nil, err
	}
	w.vms, err = vmlist.New(vmlist.Options{Addr: loopback, VMs: w.engines.VMs()})
	return w, err
}

// machines lists the engines' VMs, two to a fabric domain.
func machines() []platform.VM {
	var out []platform.VM
	for i := range engineVMs {
		place := domains[i/2]
		out = append(out, platform.VM{
			ID: fmt.Sprintf("vm-%d", i+1), FailureDomain: place, FabricDomain: place + "-a", State: platform.VMLive,
		})
	}
	return out
}

func (w *world) runners() []func(context.Context) error {
	return []func(context.Context) error{w.log.Run, w.vms.Run, w.weights.Run, w.engines.Run}
}

// startDaemons makes the daemons; each one knows the address of the first.
func (d *Demo) startDaemons() error {
	callerToken, operatorToken := ids.New(), ids.New()
	if err := d.writeSecrets(callerToken, operatorToken); err != nil {
		return err
	}
	d.token = callerToken
	var seeds []string
	for i := range daemons {
		one, err := daemon.New(d.settings(i, seeds))
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, one)
		seeds = []string{d.daemons[0].PeersAddr()}
	}
	client, err := admin.NewClient("http://"+d.daemons[0].OperatorsAddr(), operatorToken)
	d.operator = client
	return err
}

func (d *Demo) writeSecrets(caller, operator string) error {
	tokens := fmt.Sprintf("[[caller]]\nworkspace = %q\ntoken = %q\n[[operator]]\nname = \"awa\"\ntoken = %q\n", workspace, caller, operator)
	if err := os.WriteFile(d.path("tokens.toml"), []byte(tokens), 0o600); err != nil {
		return err
	}
	return os.WriteFile(d.path("cluster.key"), []byte(ids.New()+"\n"), 0o600)
}

func (d *Demo) path(name string) string { return filepath.Join(d.dir, name) }

func (d *Demo) settings(i int, seeds []string) config.Settings {
	s := config.Default()
	s.Daemon = config.Daemon{ID: fmt.Sprintf("entry-%d", i+1), FailureDomain: domains[i]}
	s.Listen = config.Listen{Callers: loopback, Operators: loopback, Peers: loopback}
	s.Secrets = config.Secrets{ClusterKeyFile: d.path("cluster.key"), TokensFile: d.path("tokens.toml")}
	s.Platform.LogURL, s.Platform.VMListURL, s.Platform.WeightsURL = d.world.log.URL(), d.world.vms.URL(), d.world.weights.URL()
	s.Members.Seeds = seeds
	s.Members.ProbeInterval = tomlfile.Duration(probeEvery)
	s.Shutdown = config.Shutdown{UnreadyDelay: tomlfile.Duration(probeEvery), DrainTimeout: tomlfile.Duration(drainTime)}
	return s
}
