package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
	"github.com/ragwortquay/ragwortquay/internal/standin/engine"
	"github.com/ragwortquay/ragwortquay/internal/standin/service"
	"github.com/ragwortquay/ragwortquay/internal/standin/vmlist"
)

// fleetFlags configure the VMs that the stand-in simulates.
type fleetFlags struct {
	Control    string `long:"control" default:"127.0.0.1:0" description:"host:port of the control server (journal, faults)"`
	Host       string `long:"host" default:"127.0.0.1" description:"IP address that the VMs listen on"`
	BasePort   int    `long:"base-port" description:"port of the first VM, followed by those of the others; 0 uses free ports"`
	Count      int    `long:"count" default:"4" description:"number of VMs"`
	Prefix     string `long:"prefix" default:"vm" description:"prefix of the VM names, followed by a number"`
	Domains    string `long:"domains" default:"local" description:"failure domains, separated by commas"`
	FabricSize int    `long:"fabric-size" description:"VMs per fabric domain; 0 makes each failure domain one fabric domain"`
	VMList     string `long:"vmlist" description:"URL of the VM list stand-in to register the VMs with"`
}

// capacityFlags configure how many requests a target can take.
type capacityFlags struct {
	ColdLimit     int     `long:"cold-limit" description:"maximum concurrent requests right after a start"`
	WarmLimit     int     `long:"warm-limit" description:"maximum concurrent requests once the target is warm"`
	GrowPerDone   float64 `long:"grow-per-done" default:"1" description:"growth of the limit per completed request"`
	GrowPerSecond float64 `long:"grow-per-second" description:"growth of the limit per second after the first completed request"`
	QueueLength   int     `long:"queue" default:"256" description:"maximum number of queued requests once the target is warm"`
}

// withDefaults returns the settings, with limits that are not set taken from d.
func (f capacityFlags) withDefaults(d capacity.Settings) capacity.Settings {
	out := capacity.Settings{ColdLimit: f.ColdLimit, WarmLimit: f.WarmLimit, GrowthPerRequest: f.GrowPerDone, GrowthPerSecond: f.GrowPerSecond, QueueLimit: f.QueueLength}
	if out.ColdLimit <= 0 {
		out.ColdLimit = d.ColdLimit
	}
	if out.WarmLimit <= 0 {
		out.WarmLimit = d.WarmLimit
	}
	return out
}

// layoutVMs returns the VMs, divided into consecutive blocks per failure domain and
// within these into consecutive blocks per fabric domain.
func (f fleetFlags) layoutVMs() ([]platform.VM, error) {
	if f.Count <= 0 {
		return nil, fault.Invalid("count", "give at least 1", "number of VMs is %d", f.Count)
	}
	domains := strings.Split(f.Domains, ",")
	perDomain := (f.Count + len(domains) - 1) / len(domains)
	out := make([]platform.VM, 0, f.Count)
	for i := range f.Count {
		domain, within := domains[i/perDomain], i%perDomain
		fabric := domain
		if f.FabricSize > 0 {
			fabric = fmt.Sprintf("%s-f%d", domain, within/f.FabricSize)
		}
		out = append(out, platform.VM{
			ID: fmt.Sprintf("%s-%d", f.Prefix, i), Addr: f.addr(i), FailureDomain: domain, FabricDomain: fabric,
		})
	}
	return out, nil
}

func (f fleetFlags) addr(i int) string {
	if f.BasePort == 0 {
		return f.Host + ":0"
	}
	return fmt.Sprintf("%s:%d", f.Host, f.BasePort+i)
}

func (f fleetFlags) register(vms []platform.VM) error {
	if f.VMList == "" {
		return nil
	}
	return vmlist.Register(f.VMList, vms)
}

type standinEnginesCommand struct {
	env           env
	Fleet         fleetFlags    `group:"VMs"`
	Capacity      capacityFlags `group:"Capacity"`
	Weights       string        `long:"weights" description:"URL of the weight store; without one, loads take the time of --load"`
	Load          time.Duration `long:"load" default:"500ms" description:"duration of a load without a weight store"`
	Reload        time.Duration `long:"reload" default:"50ms" description:"duration of a load of cached weights"`
	Step          time.Duration `long:"step" default:"10ms" description:"time between tokens with one concurrent request"`
	StepPer       time.Duration `long:"step-per" default:"200us" description:"increase of --step per further concurrent request"`
	Prefill       time.Duration `long:"prefill" default:"30ms" description:"prefill time of a prompt"`
	PrefillHit    time.Duration `long:"prefill-hit" default:"5ms" description:"prefill time of a prompt with a cached prefix"`
	Boot          time.Duration `long:"boot" default:"200ms" description:"restart time after a crash"`
	Check         time.Duration `long:"check" default:"100ms" description:"interval at which a leader checks its members"`
	LoadLag       time.Duration `long:"load-lag" default:"100ms" description:"maximum age of the load in a report"`
	StateLag      time.Duration `long:"state-lag" description:"maximum age of the other fields of a report"`
	IgnoreFencing bool          `long:"ignore-fencing" description:"accept orders with old fencing tokens"`
	CutOnMissing  bool          `long:"cut-on-missing" description:"reset the streams of an incomplete group instead of holding them"`
	Prefixes      int           `long:"prefixes" default:"64" description:"number of cached prompt prefixes"`
}

func newStandinEnginesCommand(e env) subcommand {
	return subcommand{
		name:  "engines",
		short: "Run model engines",
		long:  "Simulates VMs with model engines. Control server: GET /v1/journal, POST /v1/faults.",
		cmd:   &standinEnginesCommand{env: e},
	}
}

// Execute serves until SIGTERM or SIGINT.
func (c *standinEnginesCommand) Execute([]string) error {
	vms, err := c.Fleet.layoutVMs()
	if err != nil {
		return err
	}
	f, err := engine.New(c.options(vms))
	if err != nil {
		return err
	}
	if err := c.Fleet.register(f.VMs()); err != nil {
		return err
	}
	return serveStandin(c.env.out, f, f.VMs())
}

func (c *standinEnginesCommand) options(vms []platform.VM) engine.Options {
	o := engine.Options{
		Control: c.Fleet.Control, VMs: vms, WeightsURL: c.Weights, IgnoreFencing: c.IgnoreFencing, PrefixCacheSize: c.Prefixes,
		Capacity: c.Capacity.withDefaults(engine.DefaultCapacity()),
		Timing: engine.Timing{
			Step: c.Step, StepPerRequest: c.StepPer, Prefill: c.Prefill, PrefillHit: c.PrefillHit, Load: c.Load,
			CachedLoad: c.Reload, Boot: c.Boot, MemberCheckInterval: c.Check, LoadReportLag: c.LoadLag, StateReportLag: c.StateLag,
		},
	}
	if c.CutOnMissing {
		o.OnMissingMember = engine.ResetStreams
	}
	return o
}

type standinServiceCommand struct {
	env      env
	Fleet    fleetFlags    `group:"VMs"`
	Capacity capacityFlags `group:"Capacity"`
	Work     time.Duration `long:"work" default:"5ms" description:"duration of one request"`
	Boot     time.Duration `long:"boot" default:"200ms" description:"restart time after a crash"`
}

func newStandinServiceCommand(e env) subcommand {
	return subcommand{
		name:  "service",
		short: "Run plain services",
		long:  "Simulates VMs with a plain service. Control server: GET /v1/journal, POST /v1/faults.",
		cmd:   &standinServiceCommand{env: e},
	}
}

// Execute serves until SIGTERM or SIGINT.
func (c *standinServiceCommand) Execute([]string) error {
	vms, err := c.Fleet.layoutVMs()
	if err != nil {
		return err
	}
	f, err := service.New(service.Options{
		Control: c.Fleet.Control, VMs: vms, WorkTime: c.Work, BootTime: c.Boot,
		Capacity: c.Capacity.withDefaults(service.DefaultCapacity()),
	})
	if err != nil {
		return err
	}
	if err := c.Fleet.register(f.VMs()); err != nil {
		return err
	}
	return serveStandin(c.env.out, f, f.VMs())
}
