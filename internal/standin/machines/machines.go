// Package machines is the part that stand-in targets share: the VMs of one
// process, each with its own server, and one control server for faults and the
// journal. Implementations of Machine define the protocol that a VM serves and
// the persistent faults that it knows.
package machines

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/host"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
)

// Machine is one simulated VM. F is the type of its persistent faults, which stay
// until they are replaced.
type Machine[F any] interface {
	Info() platform.VM
	Host() *host.Host
	Power() *Power
	Handle(ctx *fasthttp.RequestCtx)
	// TurnCold resets the VM's concurrency limit to that of a cold start. The VM
	// doesn't report it.
	TurnCold()
	// SetFaults replaces the persistent faults.
	SetFaults(F)
	Status() Status[F]
}

// Action is a one-time fault.
type Action string

// One-time faults.
const (
	// Kill closes the listener and aborts all requests; Revive boots the VM again.
	Kill   Action = "kill"
	Revive Action = "revive"
	// Pause makes the VM accept connections without responding until Resume.
	Pause  Action = "pause"
	Resume Action = "resume"
	// TurnCold makes the VM cold without a reboot or a report.
	TurnCold Action = "cold"
	// BlackHoleConns turns existing connections into black holes.
	BlackHoleConns Action = "silence"
	// ResetConns closes existing connections with a TCP reset.
	ResetConns Action = "cut"
)

// FaultRequest is the body of POST /v1/faults. It selects the VMs that match all
// given ids and domains; without any, it selects all VMs.
type FaultRequest[F any] struct {
	VMs           []string `json:"vms,omitempty"`
	FailureDomain string   `json:"failure_domain,omitempty"`
	FabricDomain  string   `json:"fabric_domain,omitempty"`
	Action        Action   `json:"action,omitempty"`
	// Faults, if given, replaces the persistent faults of the selected VMs.
	Faults *F `json:"set,omitempty"`
}

// Status is the actual state of one VM, which its report may lag behind.
type Status[F any] struct {
	VM           string `json:"vm"`
	Addr         string `json:"addr"`
	BootID       string `json:"boot_id"`
	State        string `json:"state"`
	FencingToken uint64 `json:"fence"`
	PoweredOff   bool   `json:"dead"`
	Reachable    bool   `json:"answering"`
	Faults       F      `json:"behaviour"`
}

// Fleet is the VMs of one process with their control server.
type Fleet[F any] struct {
	control  *host.Host
	journal  *journal.Journal
	machines []Machine[F]
}

// New starts to serve all VMs, and the control server on addr.
func New[F any](addr string, j *journal.Journal, vms []Machine[F]) (*Fleet[F], error) {
	control, err := host.New(addr)
	if err != nil {
		return nil, err
	}
	f := &Fleet[F]{control: control, journal: j, machines: vms}
	for _, m := range vms {
		m.Host().Start(m.Handle)
	}
	control.Start(f.handleControl)
	return f, nil
}

// Addr returns the host:port of the control server.
func (f *Fleet[F]) Addr() string { return f.control.Addr() }

// URL returns the base URL of the control server.
func (f *Fleet[F]) URL() string { return "http://" + f.Addr() }

// VMs returns the VMs with the addresses that they listen on.
func (f *Fleet[F]) VMs() []platform.VM {
	out := make([]platform.VM, 0, len(f.machines))
	for _, m := range f.machines {
		out = append(out, m.Info())
	}
	return out
}

// Journal returns the journal of all VMs.
func (f *Fleet[F]) Journal() *journal.Journal { return f.journal }

// Run serves until ctx ends, then stops all VMs and the control server.
func (f *Fleet[F]) Run(ctx context.Context) error {
	<-ctx.Done()
	StopAll(f.machines)
	f.control.Stop()
	return nil
}

// StopAll powers off VMs and stops their servers.
func StopAll[F any](vms []Machine[F]) {
	for _, m := range vms {
		m.Power().Kill()
		m.Host().Stop()
	}
}

// Status returns the actual state of all VMs.
func (f *Fleet[F]) Status() []Status[F] {
	out := make([]Status[F], 0, len(f.machines))
	for _, m := range f.machines {
		out = append(out, m.Status())
	}
	return out
}

// InjectFault applies r to the selected VMs and returns their number. It stops at
// the first VM whose action fails.
func (f *Fleet[F]) InjectFault(r FaultRequest[F]) (int, error) {
	n := 0
	for _, m := range f.machines {
		if !r.selects(m.Info()) {
			continue
		}
		n++
		if r.Faults != nil {
			m.SetFaults(*r.Faults)
		}
		if err := applyAction(m, r.Action); err != nil {
			return n, err
		}
	}
	return n, nil
}

func (r FaultRequest[F]) selects(vm platform.VM) bool {
	if len(r.VMs) > 0 && !slices.Contains(r.VMs, vm.ID) {
		return false
	}
	if r.FailureDomain != "" && r.FailureDomain != vm.FailureDomain {
		return false
	}
	return r.FabricDomain == "" || r.FabricDomain == vm.FabricDomain
}

func applyAction[F any](m Machine[F], a Action) error {
	switch a {
	case "":
	case Kill:
		m.Power().Kill()
	case Revive:
		return m.Power().Revive()
	case Pause:
		m.Host().Pause()
	case Resume:
		m.Host().Resume()
	case TurnCold:
		m.TurnCold()
	case BlackHoleConns:
		m.Host().BlackHoleConns()
	case ResetConns:
		m.Host().ResetConns()
	default:
		return eris.Errorf("unknown fault action %q", a)
	}
	return nil
}

func (f *Fleet[F]) handleControl(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/v1/journal":
		after := ctx.QueryArgs().GetUintOrZero("after")
		host.ReplyJSON(ctx, fasthttp.StatusOK, f.journal.Since(uint64(max(after, 0))))
	case path == "/v1/vms":
		host.ReplyJSON(ctx, fasthttp.StatusOK, platform.VMListResponse{VMs: f.VMs()})
	case path == "/v1/faults" && ctx.IsPost():
		f.handleFault(ctx)
	case path == "/v1/faults":
		host.ReplyJSON(ctx, fasthttp.StatusOK, f.Status())
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (f *Fleet[F]) handleFault(ctx *fasthttp.RequestCtx) {
	var r FaultRequest[F]
	if !host.ParseJSON(ctx, &r) {
		return
	}
	n, err := f.InjectFault(r)
	switch {
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	case n == 0:
		ctx.Error("no VM matches the fault request", fasthttp.StatusNotFound)
	default:
		host.ReplyJSON(ctx, fasthttp.StatusOK, f.Status())
	}
}
