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
	// GoCold makes it cold without a word.
	GoCold()
	// Behave replaces its lasting faults.
	Behave(B)
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
	// Cold makes the VM cold without a word.
	Cold Action = "cold"
	// Silence makes existing connections swallow everything for good.
	Silence Action = "silence"
	// CutConns resets existing connections.
	CutConns Action = "cut"
)

// FaultRequest is the body of POST /v1/faults. It selects VMs by id and by
// domain: all, if no selector is given.
type FaultRequest[B any] struct {
	VMs           []string `json:"vms,omitempty"`
	FailureDomain string   `json:"failure_domain,omitempty"`
	FabricDomain  string   `json:"fabric_domain,omitempty"`
	Action        Action   `json:"action,omitempty"`
	// Set replaces the lasting faults of the selected VMs.
	Set *B `json:"set,omitempty"`
}

// Status is the true state of one VM.
type Status[B any] struct {
	VM        string `json:"vm"`
	Addr      string `json:"addr"`
	BootID    string `json:"boot_id"`
	State     string `json:"state"`
	Fence     uint64 `json:"fence"`
	Dead      bool   `json:"dead"`
	Answering bool   `json:"answering"`
	Behaviour B      `json:"behaviour"`
}

// Set is the VMs of one process.
type Set[B any] struct {
	control  *host.Host
	journal  *journal.Journal
	machines []Machine[B]
}

// New starts all VMs and the control server on addr.
func New[B any](addr string, j *journal.Journal, ms []Machine[B]) (*Set[B], error) {
	control, err := host.New(addr)
	if err != nil {
		return nil, err
	}
	s := &Set[B]{control: control, journal: j, machines: ms}
	for _, m := range ms {
		m.Host().Start(m.Handle)
	}
	control.Start(s.handle)
	return s, nil
}

// Addr returns the control server's host:port.
func (s *Set[B]) Addr() string { return s.control.Addr() }

// URL returns the control server's base URL.
func (s *Set[B]) URL() string { return "http://" + s.Addr() }

// VMs returns the machines with their bound addresses.
func (s *Set[B]) VMs() []platform.VM {
	out := make([]platform.VM, 0, len(s.machines))
	for _, m := range s.machines {
		out = append(out, m.Info())
	}
	return out
}

// Journal returns what really happened.
func (s *Set[B]) Journal() *journal.Journal { return s.journal }

// Run serves until ctx ends.
func (s *Set[B]) Run(ctx context.Context) error {
	<-ctx.Done()
	Stop(s.machines)
	s.control.Stop()
	return nil
}

// Stop ends machines for good.
func Stop[B any](ms []Machine[B]) {
	for _, m := range ms {
		m.Power().Kill()
		m.Host().Stop()
	}
}

// Status returns the true state of all VMs.
func (s *Set[B]) Status() []Status[B] {
	out := make([]Status[B], 0, len(s.machines))
	for _, m := range s.machines {
		out = append(out, m.Status())
	}
	return out
}

// Fault carries out r; it returns the number of VMs that were selected.
func (s *Set[B]) Fault(r FaultRequest[B]) (int, error) {
	n := 0
	for _, m := range s.machines {
		if !r.selects(m.Info()) {
			continue
		}
		n++
		if r.Set != nil {
			m.Behave(*r.Set)
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
	case Cold:
		m.GoCold()
	case Silence:
		m.Host().Silence()
	case CutConns:
		m.Host().CutAll()
	default:
		return eris.Errorf("unknown action %q", a)
	}
	return nil
}

func (s *Set[B]) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/v1/journal":
		after := ctx.QueryArgs().GetUintOrZero("after")
		host.Reply(ctx, fasthttp.StatusOK, s.journal.Since(uint64(max(after, 0))))
	case path == "/v1/vms":
		host.Reply(ctx, fasthttp.StatusOK, platform.VMListResponse{VMs: s.VMs()})
	case path == "/v1/faults" && ctx.IsPost():
		s.handleFault(ctx)
	case path == "/v1/faults":
		host.Reply(ctx, fasthttp.StatusOK, s.Status())
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (s *Set[B]) handleFault(ctx *fasthttp.RequestCtx) {
	var r FaultRequest[B]
	if !host.Parse(ctx, &r) {
		return
	}
	n, err := s.Fault(r)
	switch {
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	case n == 0:
		ctx.Error("no such VM", fasthttp.StatusNotFound)
	default:
		host.Reply(ctx, fasthttp.StatusOK, s.Status())
	}
}
