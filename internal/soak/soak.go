// Package soak runs the real daemons as processes on one machine against a stand-in of
// the platform, injects faults from outside by a seeded schedule, and checks what
// clients and engines observed. It relies on no internals of the daemons: their logs
// are kept for people and are not evaluated.
//
// Some requests end the engines that run them, and some responses do not end.
//
// Not covered: packet loss between daemons (their datagrams are disturbed only when a
// process is paused or ends) and clock changes.
package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// startTimeout and recoveryTimeout bound how long the daemons may take to serve all
	// kinds of requests. They end a run that hangs and are not performance limits.
	startTimeout    = 30 * time.Second
	recoveryTimeout = 60 * time.Second
)

// Options configures a run.
type Options struct {
	// Binary is the program under test. Dir is the directory for settings and logs.
	Binary, Dir string
	Seed        uint64
	// FaultsFor is how long faults are injected.
	FaultsFor time.Duration
	// Log receives a line for each fault, and for each failure to set, clear or undo one.
	// It must be set.
	Log func(format string, args ...any)
}

// Result summarizes a run.
type Result struct {
	Seed       uint64
	Requests   int // sent by clients
	Answered   int // requests that got a response with status 200
	Executions int // at engines
	Faults     int // in the schedule
	// PeakRSSBytes is the largest resident set of a daemon that was seen.
	PeakRSSBytes int64
	// Violations are the violated guarantees, one line each.
	Violations []string
}

// Run runs the schedule of one seed. It returns an error if the run could not be
// carried out; violations are reported in the result.
func Run(ctx context.Context, o Options) (Result, error) {
	c, err := newCluster(o.Binary, o.Dir)
	defer c.close()
	if err != nil {
		return Result{}, err
	}
	keys := newAPIKeys(c.store)
	clients := &clientPool{keys: keys}
	if err := waitUntilAllServing(ctx, clients, c, startTimeout); err != nil {
		return Result{}, fault.Wrap(fault.Unavailable, err, "read the daemons' logs in "+o.Dir, "the daemons did not serve all kinds of requests within %s of the start", startTimeout)
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	go c.watchMemory(clientCtx)
	for _, d := range c.daemons {
		clients.startClients(clientCtx, o.Seed, d)
	}
	faults := Schedule(o.Seed, o.FaultsFor)
	inj := &injector{cluster: c, log: o.Log, keys: keys, clients: clients}
	inj.run(ctx, faults)
	recoveryErr := waitUntilAllServing(ctx, clients, c, recoveryTimeout)
	stopClients()
	clients.wg.Wait()
	e := &Evidence{
		Observations: clients.observations, Executions: c.store.Executions(), DisruptiveJoins: c.store.DisruptiveJoins(), RevokedAt: keys.revocations(), Stops: inj.stops,
		EventsPerStream: eventsPerStream, RevokeBound: revokeMS * time.Millisecond,
	}
	for _, d := range c.daemons {
		e.Processes = append(e.Processes, d.history())
	}
	r := Result{Seed: o.Seed, Requests: len(e.Observations), Executions: len(e.Executions), Faults: len(faults), Violations: Check(e)}
	for _, p := range e.Processes {
		r.PeakRSSBytes = max(r.PeakRSSBytes, p.PeakRSSBytes)
	}
	if recoveryErr != nil {
		r.Violations = append(r.Violations, "daemons do not serve all kinds of requests after the last fault: "+recoveryErr.Error())
	}
	for i := range e.Observations {
		if e.Observations[i].Response.Status == 200 {
			r.Answered++
		}
	}
	return r, ctx.Err()
}

func waitUntilAllServing(ctx context.Context, clients *clientPool, c *cluster, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, d := range c.daemons {
		if err := clients.waitUntilServing(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

// String returns the result as one line, followed by one line for each violation.
func (r *Result) String() string {
	s := fmt.Sprintf("seed %d: %d faults, %d requests, %d answered, %d executions at engines, at most %d MB a daemon, %d violations of guarantees",
		r.Seed, r.Faults, r.Requests, r.Answered, r.Executions, r.PeakRSSBytes>>20, len(r.Violations))
	for _, v := range r.Violations {
		s += "\n  " + v
	}
	return s
}
