// Package drive carries out a load plan: it sends the plan's requests at their
// times, whatever became of earlier ones, carries out its events, samples the
// groups, and hands what it sees to package load. It never repeats a request
// that may have run.
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
	// DefaultMaxInflight bounds the requests under way.
	DefaultMaxInflight = 20_000
	// progressInterval is the time between two lines of progress.
	progressInterval = 2 * time.Second
	// sampleInterval is the time between two looks at the groups.
	sampleInterval = 100 * time.Millisecond
	// readyInterval is the time between two looks at a daemon's readiness.
	readyInterval = 200 * time.Millisecond
	// controlTimeout bounds requests other than the plan's own.
	controlTimeout = 5 * time.Second
	// statusTimeout bounds a look at a daemon's status.
	statusTimeout = time.Second
)

// Server is a named base URL that events refer to.
type Server struct {
	Name string
	URL  string
}

// Options say where the load goes.
type Options struct {
	Plan load.Plan
	// DaemonAddrs are the host:port of the callers' front doors.
	DaemonAddrs []string
	// OnlyReady sends only to daemons that answer that they are ready, as the
	// platform's balancer does.
	OnlyReady bool
	Servers []Server
	// OperatorURLs are the base URLs of the daemons' operators' servers, for the
	// plan's moves and the daemons' status.
	OperatorURLs     []string
	OperatorToken string
	// EngineURLs are control servers of stand-in engines to sample groups from.
	EngineURLs []string
	// Progress gets lines for people; nil is none.
	Progress io.Writer
	// MaxInflight bounds the requests under way; DefaultMaxInflight if zero.
	MaxInflight int
}

// Driver carries out one plan.
type Driver struct {
	opts     Options
	sender   *sender
	recorder *load.Recorder
	meter    *load.GroupMeter // by the engines' own state
	reported *load.GroupMeter // by the daemons' status
	start    time.Time
	slots    chan struct{} // one token per request under way
	sent     atomic.Int64

	mu     sync.Mutex
	events []load.EventResult
}

// New returns a driver for one run.
func New(o Options) (*Driver, error) {
	if len(o.DaemonAddrs) == 0 {
		return nil, fault.Invalid("daemon", "name at least one front door", "no daemons")
	}
	if o.MaxInflight <= 0 {
		o.MaxInflight = DefaultMaxInflight
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	d := &Driver{
		opts: o, recorder: load.NewRecorder(&o.Plan), meter: load.NewGroupMeter(o.Plan.Groups), reported: load.NewGroupMeter(o.Plan.Groups),
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
				return fault.Invalid("operators", "name the daemons' operators' servers", "event %q is an operator's move", e.Name)
			}
			continue
		}
		if _, ok := d.server(e.Server); !ok {
			return fault.Invalid("server", "give "+e.Server+"=URL on the command line", "event %q needs server %q", e.Name, e.Server)
		}
	}
	return nil
}

func (d *Driver) server(name string) (string, bool) {
	for _, s := range d.opts.Servers {
		if s.Name == name {
			return s.URL, true
		}
	}
	return "", false
}

// Run carries out the plan and waits for the last answer. When ctx ends early,
// the result covers what was sent until then.
func (d *Driver) Run(ctx context.Context) (load.Result, error) {
	side, stop := context.WithCancel(ctx)
	defer stop()
	balance := newBalancer(d.opts.DaemonAddrs, d.opts.OnlyReady)
	balance.look(side)
	d.start = time.Now()
	d.sender = &sender{start: d.start, balancer: balance}
	d.look()
	var background errgroup.Group
	background.Go(func() error { return balance.run(side) })
	background.Go(func() error { return d.sample(side) })
	background.Go(func() error { return d.report(side) })
	var events errgroup.Group
	events.Go(func() error { return d.runEvents(ctx) })

	d.sendAll(ctx)
	if err := events.Wait(); err != nil {
		return load.Result{}, err
	}
	stop()
	if err := background.Wait(); err != nil {
		return load.Result{}, err
	}
	d.look()
	return d.result(), nil
}

func (d *Driver) result() load.Result {
	r := d.recorder.Result()
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Events = append([]load.EventResult{}, d.events...)
	if len(d.opts.EngineURLs) > 0 {
		g := d.meter.Result()
		r.Groups = &g
	}
	if len(d.opts.OperatorURLs) > 0 {
		g := d.reported.Result()
		r.ReportedGroups = &g
	}
	return r
}

// sendAll sends each request at its time and waits for all answers.
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
		d.sent.Add(1)
		wg.Go(func() {
			d.recorder.Record(d.sender.send(a))
			<-d.slots
		})
	}
}

// waitUntil waits until at after the start; false if ctx ended.
func (d *Driver) waitUntil(ctx context.Context, at time.Duration) bool {
	return pause.For(ctx, time.Until(d.start.Add(at)))
}

// report writes a line of progress now and then.
func (d *Driver) report(ctx context.Context) error {
	return every(ctx, progressInterval, func() {
		inTime, late, notRun, unknown, failures := d.totals()
		fmt.Fprintf(d.opts.Progress, "%5.0f s: sent %d, under way %d, in time %d, late %d, not run %d, unknown %d, other failures %d\n",
			time.Since(d.start).Seconds(), d.sent.Load(), len(d.slots), inTime, late, notRun, unknown, failures)
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

// every calls fn at the interval until ctx ends.
func every(ctx context.Context, interval time.Duration, fn func()) error {
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
