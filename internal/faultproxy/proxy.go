package faultproxy

import (
	"cmp"
	"context"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/standin/host"
)

// Proxy is a set of links with an HTTP control server:
//
//	GET  /v1/links  -> []LinkStatus
//	POST /v1/links  LinkOptions -> LinkStatus
//	POST /v1/faults FaultRequest -> []LinkStatus
type Proxy struct {
	control *host.Host
	links   *shard.Map[*Link]
}

// Action is an operation that is applied once, to the connections and faults at
// that time.
type Action string

// The actions.
const (
	// ActionReset resets the open connections.
	ActionReset Action = "cut"
	// ActionBlackHole permanently blocks all traffic of the open connections.
	ActionBlackHole Action = "silence"
	// ActionHeal clears all faults.
	ActionHeal Action = "heal"
)

// FaultRequest is the body of POST /v1/faults.
type FaultRequest struct {
	// Links names the links to change; empty means all.
	Links []string `json:"links,omitempty"`
	// Faults, if set, replaces the current faults. It is applied before Action.
	Faults *Faults `json:"set,omitempty"`
	Action Action  `json:"action,omitempty"`
}

// LinkStatus is the state of one link.
type LinkStatus struct {
	LinkOptions
	Addr   string `json:"addr"`
	Faults Faults `json:"faults"`
}

// New binds the control server to addr and starts it.
func New(addr string) (*Proxy, error) {
	control, err := host.New(addr)
	if err != nil {
		return nil, err
	}
	p := &Proxy{control: control, links: shard.NewMap[*Link]()}
	control.Start(p.handle)
	return p, nil
}

// Addr returns the control server's host:port.
func (p *Proxy) Addr() string { return p.control.Addr() }

// Run blocks until ctx is done, then stops the control server and closes all links.
func (p *Proxy) Run(ctx context.Context) error {
	<-ctx.Done()
	p.control.Stop()
	p.links.Range(func(_ string, l *Link) bool {
		l.Close()
		return true
	})
	return nil
}

// AddLink starts a link. It fails if a link of that name exists.
func (p *Proxy) AddLink(o LinkOptions) (*Link, error) {
	l, err := NewLink(o)
	if err != nil {
		return nil, err
	}
	added := false
	p.links.Update(o.Name, func(v *Link, ok bool) (*Link, bool) {
		if ok {
			return v, true
		}
		added = true
		return l, true
	})
	if !added {
		l.Close()
		return nil, eris.Errorf("link %q exists already", o.Name)
	}
	return l, nil
}

// Link returns the link of that name.
func (p *Proxy) Link(name string) (*Link, bool) { return p.links.Get(name) }

// Status returns the state of all links, sorted by name.
func (p *Proxy) Status() []LinkStatus {
	out := []LinkStatus{}
	p.links.Range(func(_ string, l *Link) bool {
		out = append(out, l.status())
		return true
	})
	slices.SortFunc(out, func(a, b LinkStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (l *Link) status() LinkStatus {
	return LinkStatus{LinkOptions: l.opts, Addr: l.addr, Faults: l.Faults()}
}

// ApplyFaults applies r to the links that it selects and stops at the first error.
func (p *Proxy) ApplyFaults(r FaultRequest) error {
	for _, s := range p.Status() {
		if len(r.Links) > 0 && !slices.Contains(r.Links, s.Name) {
			continue
		}
		l, ok := p.Link(s.Name)
		if !ok {
			continue
		}
		if err := l.apply(r); err != nil {
			return err
		}
	}
	return nil
}

// apply sets the faults of r, if any, and then performs its action.
func (l *Link) apply(r FaultRequest) error {
	if r.Faults != nil {
		if err := l.SetFaults(*r.Faults); err != nil {
			return err
		}
	}
	switch r.Action {
	case "":
	case ActionReset:
		l.ResetConnections()
	case ActionBlackHole:
		l.BlackHoleConnections()
	case ActionHeal:
		return l.Heal()
	default:
		return eris.Errorf("unknown action %q", r.Action)
	}
	return nil
}

func (p *Proxy) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/v1/links" && ctx.IsPost():
		p.handleAdd(ctx)
	case path == "/v1/links":
		host.ReplyJSON(ctx, fasthttp.StatusOK, p.Status())
	case path == "/v1/faults" && ctx.IsPost():
		p.handleFaults(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (p *Proxy) handleAdd(ctx *fasthttp.RequestCtx) {
	var o LinkOptions
	if !host.ParseJSON(ctx, &o) {
		return
	}
	l, err := p.AddLink(o)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	host.ReplyJSON(ctx, fasthttp.StatusOK, l.status())
}

func (p *Proxy) handleFaults(ctx *fasthttp.RequestCtx) {
	var r FaultRequest
	if !host.ParseJSON(ctx, &r) {
		return
	}
	if err := p.ApplyFaults(r); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	host.ReplyJSON(ctx, fasthttp.StatusOK, p.Status())
}
