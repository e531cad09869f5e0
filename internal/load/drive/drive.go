// Package drive executes a load plan in an open loop: it sends each request at its
// planned time, whatever the outcome of earlier ones. It also runs the plan's events,
// samples the groups, and records the outcomes with package load. It never sends a
// request again that may have run.
package drive

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/load"
	"github.com/ragwortquay/ragwortquay/internal/pause"
)

const (
	// DefaultMaxInflight is the default limit for requests in flight.
	DefaultMaxInflight = 20_000
	// progressInterval is the time between two progress lines.
	progressInterval = 2 * time.Second
	// sampleInterval is the time between two samples of the groups.
	sampleInterval = 100 * time.Millisecond
	// readyInterval is the time between two readiness probes of a daemon.
	readyInterval = 200 * time.Millisecond
	// controlTimeout bounds requests that are not part of the plan's load.
	controlTimeout = 5 * time.Second
	// statusTimeout bounds a request for a daemon's status.
	statusTimeout = time.Second
)

// Server is a named base URL that events refer to.
type Server struct {
	Name string
	URL  string
}

// Options configures a run.
type Options struct {
	Plan load.Plan
	// DaemonAddrs are the addresses (host:port) on which the daemons serve callers.
	DaemonAddrs []string
	// OnlyReady restricts requests to daemons that report to be ready, as the
	// platform's load balancer does.
	OnlyReady bool
	Servers   []Server
	// OperatorURLs are the base URLs on which the daemons serve operators. They are used
	// for the plan's edits and for the daemons' status.
	OperatorURLs  []string
	OperatorToken string
	// EngineURLs are the base URLs of control servers of stand-in engines, from which
	// groups are sampled.
	EngineURLs []string
	// Progress receives progress lines for people; nil disables them.
	Progress io.Writer
	// MaxInflight limits the requests in flight; 0 means DefaultMaxInflight.
	MaxInflight int
}

// Driver executes one plan.
type Driver struct {
	opts         Options
	sender       *sender
	recorder     *load.Recorder
	engineGroups *load.GroupMeter // from the state of the stand-in engines
	daemonGroups *load.GroupMeter // from the status that the daemons report
	start        time.Time
	slots        chan struct{} // holds one element for each request in flight
	sentCount    atomic.Int64

	mu     sync.Mutex
	events []load.EventResult
}

// New returns a driver for one run.
func New(o Options) (*Driver, error) {
	if len(o.DaemonAddrs) == 0 {
		return nil, fault.Invalid("daemon", "give the address of at least one daemon", "no daemons to send requests to")
	}
	if o.MaxInflight <= 0 {
		o.MaxInflight = DefaultMaxInflight
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	d := &Driver{
		opts: o, recorder: load.NewRecorder(&o.Plan), engineGroups: load.NewGroupMeter(o.Plan.Groups), daemonGroups: load.NewGroupMeter(o.Plan.Groups),
		slots: make(chan struct{}, o.MaxInflight),
	}
	if err := d.checkServers(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Driver) checkServers() error {
	for _, e := range d.opts.Plan.Events {
		if e.IsEdit() {
			if len(d.opts.OperatorURLs) == 0 {
				return fault.Invalid("operators", "give the URLs of the daemons' operators' servers", "event %q is an edit by an operator and needs an operators' server", e.Name)
			}
			continue
		}
		if _, ok := d.serverURL(e.Server); !ok {
			return fault.Invalid("server", "give "+e.Server+"=URL on the command line", "event %q needs server %q", e.Name, e.Server)
		}
	}
	return nil
}

func (d *Driver) serverURL(name string) (string, bool) {
	for _, s := range d.opts.Servers {
		if s.Name == name {
			return s.URL, true
		}
	}
	return "", false
}

// Run executes the plan and waits for the last response. If ctx ends early, the result
// covers the requests sent until then.
func (d *Driver) Run(ctx context.Context) (load.Result, error) {
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	defer stopBackground()
	bal := newBalancer(d.opts.DaemonAddrs, d.opts.OnlyReady)
	bal.probeReadiness(backgroundCtx)
	d.start = time.Now()
	d.sender = &sender{start: d.start, balancer: bal}
	d.sampleGroups()
	var background errgroup.Group
	background.Go(func() error { return bal.run(backgroundCtx) })
	background.Go(func() error { return d.sampleLoop(backgroundCtx) })
	background.Go(func() error { return d.reportProgress(backgroundCtx) })
	var events errgroup.Group
	events.Go(func() error { return d.runEvents(ctx) })

	d.sendAll(ctx)
	if err := events.Wait(); err != nil {
		return load.Result{}, err
	}
	stopBackground()
	if err := background.Wait(); err != nil {
		return load.Result{}, err
	}
	d.sampleGroups()
	return d.result(), nil
}

func (d *Driver) result() load.Result {
	r := d.recorder.Result()
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Events = append([]load.EventResult{}, d.events...)
	if len(d.opts.EngineURLs) > 0 {
		g := d.engineGroups.Result()
		r.Groups = &g
	}
	if len(d.opts.OperatorURLs) > 0 {
		g := d.daemonGroups.Result()
		r.ReportedGroups = &g
	}
	return r
}

// sendAll sends each request at its planned time and waits for all responses.
func (d *Driver) sendAll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for a := range d.opts.Plan.Arrivals() {
		if !d.waitUntil(ctx, a.At) {
			return
		}
		select {
		case d.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		d.sentCount.Add(1)
		wg.Go(func() {
			d.recorder.Record(d.sender.send(a))
			<-d.slots
		})
	}
}

// waitUntil waits until the time at, relative to the start of the run. It returns false
// if ctx ended first.
func (d *Driver) waitUntil(ctx context.Context, at time.Duration) bool {
	return pause.For(ctx, time.Until(d.start.Add(at)))
}

// reportProgress writes a progress line every progressInterval until ctx ends.
func (d *Driver) reportProgress(ctx context.Context) error {
	return runEvery(ctx, progressInterval, func() {
		inTime, late, notRun, unknown, failures := d.totals()
		fmt.Fprintf(d.opts.Progress, "%5.0f s: sent %d, in flight %d, in time %d, late %d, not run %d, unknown %d, other failures %d\n",
			time.Since(d.start).Seconds(), d.sentCount.Load(), len(d.slots), inTime, late, notRun, unknown, failures)
	})
}

func (d *Driver) totals() (inTime, late, notRun, unknown, failures int64) {
	for _, s := range d.recorder.Timeline() {
		inTime += s.InTime
		late += s.Late
		notRun += s.NotRun
		unknown += s.Unknown
		failures += s.Failures
	}
	return inTime, late, notRun, unknown, failures
}

// runEvery calls fn at each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, fn func()) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			fn()
		case <-ctx.Done():
			return nil
		}
	}
}
