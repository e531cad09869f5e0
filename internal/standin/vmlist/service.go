// Package vmlist is a stand-in for the platform's list of VMs. It shows edits
// only after a lag, as the platform's own list does.
package vmlist

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/host"
)

// Options set up the list.
type Options struct {
	// Addr is the host:port to listen on.
	Addr string
	// Lag is the time until an edit shows.
	Lag time.Duration
	// VMs are listed from the start.
	VMs []platform.VM
}

// Edit is the body of POST /v1/vms: it adds or replaces rows, and removes some.
type Edit struct {
	Set []platform.VM `json:"set,omitempty"`
	// StateChanges changes only the state of listed VMs.
	StateChanges []StateChange `json:"state,omitempty"`
	Remove       []string      `json:"remove,omitempty"`
}

// StateChange changes the state of one VM.
type StateChange struct {
	ID    string           `json:"id"`
	State platform.VMState `json:"state"`
}

// Faults are the switchable faults.
type Faults struct {
	// Refuse answers 503.
	Refuse bool `json:"refuse,omitempty"`
	// Hang never answers.
	Hang bool `json:"hang,omitempty"`
	// LagMS replaces the lag if it is not null.
	LagMS *int `json:"lag_ms,omitempty"`
}

type version struct {
	at  time.Time
	vms []platform.VM
}

// Service is the running stand-in.
type Service struct {
	host *host.Host

	mu       sync.Mutex
	lag      time.Duration
	faults   Faults
	versions []version // oldest first; the last one is the truth
}

// New starts to listen; requests are served until Run ends.
func New(o Options) (*Service, error) {
	s := &Service{lag: o.Lag, versions: []version{{vms: slices.Clone(o.VMs)}}}
	h, err := host.New(o.Addr)
	if err != nil {
		return nil, err
	}
	s.host = h
	h.Start(s.handle)
	return s, nil
}

// Addr returns the bound host:port.
func (s *Service) Addr() string { return s.host.Addr() }

// URL returns the base URL for clients.
func (s *Service) URL() string { return "http://" + s.Addr() }

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) error { return s.host.Run(ctx) }

// Apply carries out an edit; it shows after the lag.
func (s *Service) Apply(e Edit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := slices.Clone(s.versions[len(s.versions)-1].vms)
	for _, v := range e.Set {
		vms = put(vms, v)
	}
	for _, c := range e.StateChanges {
		if i := index(vms, c.ID); i >= 0 {
			vms[i].State = c.State
		}
	}
	vms = slices.DeleteFunc(vms, func(v platform.VM) bool { return slices.Contains(e.Remove, v.ID) })
	s.versions = append(s.versions, version{at: time.Now(), vms: vms})
}

func put(vms []platform.VM, v platform.VM) []platform.VM {
	if v.State == "" {
		v.State = platform.VMLive
	}
	if i := index(vms, v.ID); i >= 0 {
		vms[i] = v
		return vms
	}
	return append(vms, v)
}

func index(vms []platform.VM, id string) int {
	return slices.IndexFunc(vms, func(v platform.VM) bool { return v.ID == id })
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.LagMS != nil {
		s.lag = time.Duration(*f.LagMS) * time.Millisecond
	}
}

// visible returns the newest version that is old enough to show, and forgets
// the ones before it.
func (s *Service) visible(now time.Time) ([]platform.VM, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.versions) > 1 && now.Sub(s.versions[1].at) >= s.lag {
		s.versions = s.versions[1:]
	}
	return s.versions[0].vms, s.faults
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/v1/vms" && ctx.IsGet():
		s.list(ctx)
	case path == "/v1/vms" && ctx.IsPost():
		var e Edit
		if host.ParseJSON(ctx, &e) {
			s.Apply(e)
			host.ReplyJSON(ctx, fasthttp.StatusOK, e)
		}
	case path == "/v1/faults" && ctx.IsPost():
		var f Faults
		if host.ParseJSON(ctx, &f) {
			s.SetFaults(f)
			host.ReplyJSON(ctx, fasthttp.StatusOK, f)
		}
	case path == "/v1/faults":
		_, f := s.visible(time.Now())
		host.ReplyJSON(ctx, fasthttp.StatusOK, f)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (s *Service) list(ctx *fasthttp.RequestCtx) {
	vms, f := s.visible(time.Now())
	switch {
	case f.Hang:
		host.HangUntilClosed(ctx)
	case f.Refuse:
		ctx.Error("refused", fasthttp.StatusServiceUnavailable)
	default:
		host.ReplyJSON(ctx, fasthttp.StatusOK, platform.VMListResponse{VMs: vms})
	}
}
