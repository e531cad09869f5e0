// Package machines is what the stand-in targets of one process share: a set of
// VMs, each with a server of its own, and one control server for faults and the
// journal. What a VM serves and how it breaks inside is for the target to say.
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

// Machine is one VM whose lasting faults are described by B.
type Machine[B any] interface {
	Info() platform.VM
	Host() *host.Host
	Power() *Power
	Handle(ctx *fasthttp.RequestCtx)
	// TurnCold makes it cold without a word.
	TurnCold()
	// SetFaults replaces its lasting faults.
	SetFaults(B)
	Status() Status[B]
}

// Action is a fault that happens once.
type Action string

// The actions.
const (
	// Kill closes the listener and cuts what runs; Revive boots the VM anew.
	Kill   Action = "kill"
	Revive Action = "revive"
	// Pause accepts connections but answers nothing until Resume.
	Pause  Action = "pause"
	Resume Action = "resume"
	// TurnCold makes the VM cold without a word.
	TurnCold Action = "cold"
	// BlackHoleConns makes existing connections swallow everything for good.
	BlackHoleConns Action = "silence"
	// ResetConns resets existing connections.
	ResetConns Action = "cut"
)

// FaultRequest is the body of POST /v1/faults. It selects VMs by id and by
// domain: all, if no selector is given.
type FaultRequest[B any] struct {
	VMs           []string `json:"vms,omitempty"`
	FailureDomain string   `json:"failure_domain,omitempty"`
	FabricDomain  string   `json:"fabric_domain,omitempty"`
	Action        Action   `json:"action,omitempty"`
	// Faults replaces the lasting faults of the selected VMs.
	Faults *B `json:"set,omitempty"`
}

// Status is the true state of one VM.
type Status[B any] struct {
	VM         string `json:"vm"`
	Addr       string `json:"addr"`
	BootID     string `json:"boot_id"`
	State      string `json:"state"`
	Fence      uint64 `json:"fence"`
	PoweredOff bool   `json:"dead"`
	Answering  bool   `json:"answering"`
	Faults     B      `json:"behaviour"`
}

// Fleet is the VMs of one process.
type Fleet[B any] struct {
	control  *host.Host
	journal  *journal.Journal
	machines []Machine[B]
}

// New starts all VMs and the control server on addr.
func New[B any](addr string, j *journal.Journal, ms []Machine[B]) (*Fleet[B], error) {
	control, err := host.New(addr)
	if err != nil {
		return nil, err
	}
	s := &Fleet[B]{control: control, journal: j, machines: ms}
	for _, m := range ms {
		m.Host().Start(m.Handle)
	}
	control.Start(s.handle)
	return s, nil
}

// Addr returns the control server's host:port.
func (s *Fleet[B]) Addr() string { return s.control.Addr() }

// URL returns the control server's base URL.
func (s *Fleet[B]) URL() string { return "http://" + s.Addr() }

// VMs returns the machines with their bound addresses.
func (s *Fleet[B]) VMs() []platform.VM {
	out := make([]platform.VM, 0, len(s.machines))
	for _, m := range s.machines {
		out = append(out, m.Info())
	}
	return out
}

// Journal returns what really happened.
func (s *Fleet[B]) Journal() *journal.Journal { return s.journal }

// Run serves until ctx ends.
func (s *Fleet[B]) Run(ctx context.Context) error {
	<-ctx.Done()
	StopAll(s.machines)
	s.control.Stop()
	return nil
}

// StopAll ends machines for good.
func StopAll[B any](ms []Machine[B]) {
	for _, m := range ms {
		m.Power().Kill()
		m.Host().Stop()
	}
}

// Status returns the true state of all VMs.
func (s *Fleet[B]) Status() []Status[B] {
	out := make([]Status[B], 0, len(s.machines))
	for _, m := range s.machines {
		out = append(out, m.Status())
	}
	return out
}

// InjectFault carries out r; it returns the number of VMs that were selected.
func (s *Fleet[B]) InjectFault(r FaultRequest[B]) (int, error) {
	n := 0
	for _, m := range s.machines {
		if !r.selects(m.Info()) {
			continue
		}
		n++
		if r.Faults != nil {
			m.SetFaults(*r.Faults)
		}
		if err := act(m, r.Action); err != nil {
			return n, err
		}
	}
	return n, nil
}

func (r FaultRequest[B]) selects(vm platform.VM) bool {
	if len(r.VMs) > 0 && !slices.Contains(r.VMs, vm.ID) {
		return false
	}
	if r.FailureDomain != "" && r.FailureDomain != vm.FailureDomain {
		return false
	}
	return r.FabricDomain == "" || r.FabricDomain == vm.FabricDomain
}

func act[B any](m Machine[B], a Action) error {
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
		return eris.Errorf("unknown action %q", a)
	}
	return nil
}

func (s *Fleet[B]) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/v1/journal":
		after := ctx.QueryArgs().GetUintOrZero("after")
		host.ReplyJSON(ctx, fasthttp.StatusOK, s.journal.Since(uint64(max(after, 0))))
	case path == "/v1/vms":
		host.ReplyJSON(ctx, fasthttp.StatusOK, platform.VMListResponse{VMs: s.VMs()})
	case path == "/v1/faults" && ctx.IsPost():
		s.handleFault(ctx)
	case path == "/v1/faults":
		host.ReplyJSON(ctx, fasthttp.StatusOK, s.Status())
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (s *Fleet[B]) handleFault(ctx *fasthttp.RequestCtx) {
	var r FaultRequest[B]
	if !host.ParseJSON(ctx, &r) {
		return
	}
	n, err := s.InjectFault(r)
	switch {
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	case n == 0:
		ctx.Error("no such VM", fasthttp.StatusNotFound)
	default:
		host.ReplyJSON(ctx, fasthttp.StatusOK, s.Status())
	}
}
