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

// fleetFlags describe the VMs of one process.
type fleetFlags struct {
	Control    string `long:"control" default:"127.0.0.1:0" description:"host:port of the control server (journal, faults)"`
	Host       string `long:"host" default:"127.0.0.1" description:"IP address that the VMs listen on"`
	BasePort   int    `long:"base-port" description:"port of the first VM, the others follow; 0 takes free ports"`
	Count      int    `long:"count" default:"4" description:"number of VMs"`
	Prefix     string `long:"prefix" default:"vm" description:"start of the VM names; a number follows"`
	Domains    string `long:"domains" default:"local" description:"failure domains, separated by commas"`
	FabricSize int    `long:"fabric-size" description:"VMs per fabric domain; 0 makes one per failure domain"`
	VMList     string `long:"vmlist" description:"URL of the VM list stand-in to register in"`
}

// capacityFlags describe what one target bears.
type capacityFlags struct {
	Cold      int     `long:"cold-limit" description:"concurrent requests borne right after a start"`
	Warm      int     `long:"warm-limit" description:"concurrent requests borne once warm"`
	PerDone   float64 `long:"grow-per-done" default:"1" description:"growth of the limit per completed request"`
	PerSecond float64 `long:"grow-per-second" description:"growth of the limit per second after the first completed request"`
	Queue     int     `long:"queue" default:"256" description:"requests that wait once the target is warm"`
}

// settings fills what the flags leave out from d.
func (f capacityFlags) settings(d capacity.Settings) capacity.Settings {
	out := capacity.Settings{ColdLimit: f.Cold, WarmLimit: f.Warm, GrowthPerRequest: f.PerDone, GrowthPerSecond: f.PerSecond, QueueLimit: f.Queue}
	if out.ColdLimit <= 0 {
		out.ColdLimit = d.ColdLimit
	}
	if out.WarmLimit <= 0 {
		out.WarmLimit = d.WarmLimit
	}
	return out
}

// vms lays the VMs out: consecutive blocks per failure domain, and within one
// consecutive blocks per fabric domain.
func (f fleetFlags) vms() ([]platform.VM, error) {
	if f.Count <= 0 {
		return nil, fault.Invalid("count", "give at least 1", "%d VMs", f.Count)
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
	Weights       string        `long:"weights" description:"URL of the weight store; without one a timer loads"`
	Load          time.Duration `long:"load" default:"500ms" description:"time of a load without a weight store"`
	Reload        time.Duration `long:"reload" default:"50ms" description:"time of a load of cached weights"`
	Step          time.Duration `long:"step" default:"10ms" description:"time between tokens with one request"`
	StepPer       time.Duration `long:"step-per" default:"200us" description:"its growth per further request"`
	Prefill       time.Duration `long:"prefill" default:"30ms" description:"time before the first step"`
	PrefillHit    time.Duration `long:"prefill-hit" default:"5ms" description:"the same for a cached prefix"`
	Boot          time.Duration `long:"boot" default:"200ms" description:"time to come back after falling over"`
	Check         time.Duration `long:"check" default:"100ms" description:"interval at which a leader looks at its members"`
	LoadLag       time.Duration `long:"load-lag" default:"100ms" description:"age that reported load may have"`
	StateLag      time.Duration `long:"state-lag" description:"age that the rest of a report may have"`
	IgnoreFencing bool          `long:"ignore-fencing" description:"take orders with old fencing numbers"`
	CutOnMissing  bool          `long:"cut-on-missing" description:"reset the streams of an incomplete group instead of holding them"`
	Prefixes      int           `long:"prefixes" default:"64" description:"prompt prefixes that are cached"`
}

func standinEnginesEntry(e env) entry {
	return entry{
		name:  "engines",
		short: "Run model engines",
		long:  "Plays VMs with model engines. Control server: GET /v1/journal, POST /v1/faults.",
		cmd:   &standinEnginesCommand{env: e},
	}
}

// Execute serves until a signal.
func (c *standinEnginesCommand) Execute([]string) error {
	vms, err := c.Fleet.vms()
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
		Capacity: c.Capacity.settings(engine.DefaultCapacity()),
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
	Work     time.Duration `long:"work" default:"5ms" description:"time of one request"`
	Boot     time.Duration `long:"boot" default:"200ms" description:"time to come back after falling over"`
}

func standinServiceEntry(e env) entry {
	return entry{
		name:  "service",
		short: "Run plain services",
		long:  "Plays VMs with a plain service. Control server: GET /v1/journal, POST /v1/faults.",
		cmd:   &standinServiceCommand{env: e},
	}
}

// Execute serves until a signal.
func (c *standinServiceCommand) Execute([]string) error {
	vms, err := c.Fleet.vms()
	if err != nil {
		return err
	}
	f, err := service.New(service.Options{
		Control: c.Fleet.Control, VMs: vms, WorkTime: c.Work, BootTime: c.Boot,
		Capacity: c.Capacity.settings(service.DefaultCapacity()),
	})
	if err != nil {
		return err
	}
	if err := c.Fleet.register(f.VMs()); err != nil {
		return err
	}
	return serveStandin(c.env.out, f, f.VMs())
}
