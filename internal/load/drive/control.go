package drive

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/front"
	"github.com/ragwortquay/ragwortquay/internal/load"
	"github.com/ragwortquay/ragwortquay/internal/standin/engine"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// controlClient sends requests other than the plan's own.
var controlClient = &fasthttp.Client{
	MaxIdemponentCallAttempts: 1,
	RetryIfErr:                neverRetry,
	ReadTimeout:               controlTimeout,
	WriteTimeout:              controlTimeout,
	NoDefaultUserAgentHeader:  true,
}

// neverRetry keeps the library from repeating a request.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// runEvents carries out the plan's events in order of time. One that fails is
// noted and does not end the run.
func (d *Driver) runEvents(ctx context.Context) error {
	events := slices.Clone(d.opts.Plan.Events)
	slices.SortStableFunc(events, func(a, b load.Event) int { return cmp.Compare(a.At, b.At) })
	for _, e := range events {
		if !d.waitUntil(ctx, time.Duration(e.At)) {
			return nil
		}
		r := load.EventResult{Name: e.Name, AtS: time.Since(d.start).Seconds()}
		var err error
		if r.Status, err = d.carryOut(e); err != nil {
			r.Error = err.Error()
		}
		d.mu.Lock()
		d.events = append(d.events, r)
		d.mu.Unlock()
		d.look()
	}
	return nil
}

func (d *Driver) carryOut(e load.Event) (int, error) {
	url, _ := d.server(e.Server) // New has checked it
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url + e.Path)
	req.Header.SetMethod(cmp.Or(e.Method, fasthttp.MethodPost))
	req.Header.SetContentType(cmp.Or(e.Type, "application/json"))
	if e.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+e.Token)
	}
	req.SetBodyString(e.Body)
	if err := controlClient.DoTimeout(req, resp, controlTimeout); err != nil {
		return 0, eris.Wrap(err, e.Name)
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return resp.StatusCode(), eris.Errorf("%s: %s", e.Name, resp.Body())
	}
	return resp.StatusCode(), nil
}

// sample looks at the groups now and then.
func (d *Driver) sample(ctx context.Context) error {
	return every(ctx, sampleInterval, d.look)
}

// look samples the groups; a look that fails leaves the last sample in force.
func (d *Driver) look() {
	if len(d.opts.Engines) == 0 {
		return
	}
	if vms, err := d.sampleAll(); err == nil {
		d.meter.Add(time.Since(d.start), vms)
	}
}

func (d *Driver) sampleAll() ([]load.VMSample, error) {
	var out []load.VMSample
	for _, url := range d.opts.Engines {
		status, body, err := controlClient.GetTimeout(nil, url+"/v1/faults", controlTimeout)
		if err != nil || status != fasthttp.StatusOK {
			return nil, eris.Errorf("%s: status %d: %v", url, status, err)
		}
		var vms []machines.Status[engine.Behaviour]
		if err := json.Unmarshal(body, &vms); err != nil {
			return nil, eris.Wrap(err, url)
		}
		for _, v := range vms {
			alive := v.Answering && !v.Dead
			ready := alive && v.State == string(target.EngineReady)
			out = append(out, load.VMSample{VM: v.VM, Fence: v.Fence, Ready: ready, Alive: alive})
		}
	}
	return out, nil
}

// balancer hands out daemons in turn, as the platform's balancer does.
type balancer struct {
	daemons []*daemon
	watch   bool
	turn    atomic.Uint64
}

type daemon struct {
	addr  string
	http  *fasthttp.HostClient
	ready atomic.Bool
}

func newBalancer(addrs []string, watch bool) *balancer {
	b := &balancer{watch: watch}
	for _, a := range addrs {
		d := &daemon{addr: a, http: callerClient(a)}
		d.ready.Store(!watch)
		b.daemons = append(b.daemons, d)
	}
	return b
}

// next returns the daemons in the order in which a request tries them: the
// ready ones, beginning with the one whose turn it is.
func (b *balancer) next() []*daemon {
	n := len(b.daemons)
	first := int(b.turn.Add(1) % uint64(n))
	out := make([]*daemon, 0, n)
	for i := range n {
		if d := b.daemons[(first+i)%n]; d.ready.Load() {
			out = append(out, d)
		}
	}
	return out
}

func (b *balancer) run(ctx context.Context) error {
	if !b.watch {
		return nil
	}
	return every(ctx, readyInterval, func() { b.look(ctx) })
}

// look asks all daemons whether they are ready.
func (b *balancer) look(ctx context.Context) {
	if !b.watch || ctx.Err() != nil {
		return
	}
	var g errgroup.Group
	for _, d := range b.daemons {
		g.Go(func() error {
			status, _, err := controlClient.GetTimeout(nil, "http://"+d.addr+front.PathReady, controlTimeout)
			d.ready.Store(err == nil && status == fasthttp.StatusOK)
			return nil
		})
	}
	_ = g.Wait() // the functions never fail
}
