// Package vmlist is a stand-in for the platform's list of VMs. Like the platform's
// own list it shows edits only after a lag.
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

// Options configure the list.
type Options struct {
	// Addr is the host:port to listen on.
	Addr string
	// Lag is the time until an edit becomes visible.
	Lag time.Duration
	// VMs is the initial list.
	VMs []platform.VM
}

// Edit is the body of POST /v1/vms.
type Edit struct {
	// Set adds VMs or replaces those with the same id.
	Set []platform.VM `json:"set,omitempty"`
	// StateChanges changes only the state of VMs; unlisted ids are ignored.
	StateChanges []StateChange `json:"state,omitempty"`
	// Remove removes the VMs with these ids.
	Remove []string `json:"remove,omitempty"`
}

// StateChange changes the state of one VM.
type StateChange struct {
	ID    string           `json:"id"`
	State platform.VMState `json:"state"`
}

// Faults are the faults that can be switched on and off.
type Faults struct {
	// Refuse responds to list requests with status 503.
	Refuse bool `json:"refuse,omitempty"`
	// Hang leaves list requests without a response.
	Hang bool `json:"hang,omitempty"`
	// LagMS replaces the lag if it isn't null. The replacement stays when later
	// faults omit it.
	LagMS *int `json:"lag_ms,omitempty"`
}

// version is the list after one edit.
type version struct {
	editedAt time.Time
	vms      []platform.VM
}

// Service is a running VM list.
type Service struct {
	host *host.Host

	mu       sync.Mutex
	lag      time.Duration
	faults   Faults
	versions []version // oldest first; the last one has all edits
}

// New starts the service. It serves requests until Run ends.
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

// Apply applies an edit, which becomes visible after the lag.
func (s *Service) Apply(e Edit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := slices.Clone(s.versions[len(s.versions)-1].vms)
	for _, v := range e.Set {
		vms = upsert(vms, v)
	}
	for _, c := range e.StateChanges {
		if i := indexByID(vms, c.ID); i >= 0 {
			vms[i].State = c.State
		}
	}
	vms = slices.DeleteFunc(vms, func(v platform.VM) bool { return slices.Contains(e.Remove, v.ID) })
	s.versions = append(s.versions, version{editedAt: time.Now(), vms: vms})
}

// upsert adds v, or replaces the VM with the same id. A VM without a state is
// live.
func upsert(vms []platform.VM, v platform.VM) []platform.VM {
	if v.State == "" {
		v.State = platform.VMLive
	}
	if i := indexByID(vms, v.ID); i >= 0 {
		vms[i] = v
		return vms
	}
	return append(vms, v)
}

func indexByID(vms []platform.VM, id string) int {
	return slices.IndexFunc(vms, func(v platform.VM) bool { return v.ID == id })
}

// SetFaults replaces the active faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.LagMS != nil {
		s.lag = time.Duration(*f.LagMS) * time.Millisecond
	}
}

// visibleVMs returns the newest version of the list that is older than the lag,
// and the active faults. It drops the versions before that one.
func (s *Service) visibleVMs(now time.Time) ([]platform.VM, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.versions) > 1 && now.Sub(s.versions[1].editedAt) >= s.lag {
		s.versions = s.versions[1:]
	}
	return s.versions[0].vms, s.faults
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/v1/vms" && ctx.IsGet():
		s.handleList(ctx)
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
		_, f := s.visibleVMs(time.Now())
		host.ReplyJSON(ctx, fasthttp.StatusOK, f)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (s *Service) handleList(ctx *fasthttp.RequestCtx) {
	vms, f := s.visibleVMs(time.Now())
	switch {
	case f.Hang:
		host.HangUntilClosed(ctx)
	case f.Refuse:
		ctx.Error("refused by an injected fault", fasthttp.StatusServiceUnavailable)
	default:
		host.ReplyJSON(ctx, fasthttp.StatusOK, platform.VMListResponse{VMs: vms})
	}
}
