// Package soak runs the real daemons as processes on one machine against the
// stand-in of the platform, injects faults from outside by a seeded schedule, and
// checks what clients and engines saw. It knows nothing of the daemons' insides:
// a log is only kept for people to read.
//
// Not covered: datagrams between daemons are disturbed only by pauses and ends of
// processes, and clocks are not changed.
package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// startWithin and recoverWithin bound how long the daemons may take to serve
	// all kinds of requests; they only end a run that hangs.
	startWithin   = 30 * time.Second
	recoverWithin = 60 * time.Second
)

// Options configure a run.
type Options struct {
	// Binary is the program under test, Dir takes settings and logs.
	Binary, Dir string
	Seed        uint64
	// FaultsFor is how long faults are injected.
	FaultsFor time.Duration
	// Log takes one line for each fault; it must be set.
	Log func(format string, args ...any)
}

// Result is what a run found.
type Result struct {
	Seed     uint64
	Requests int
	Answered int
	Executions     int
	Faults   int
	// Violations are the broken promises, one line each.
	Violations []string
}

// Run plays one seed. An error says that the run itself could not be made.
func Run(ctx context.Context, o Options) (Result, error) {
	c, err := newCluster(o.Binary, o.Dir)
	defer c.close()
	if err != nil {
		return Result{}, err
	}
	k := newAPIKeys(c.store)
	people := &clientPool{keys: k}
	if err := everyDaemonServes(ctx, people, c, startWithin); err != nil {
		return Result{}, fault.Wrap(fault.Unavailable, err, "read the daemons' logs in "+o.Dir, "the system did not start")
	}
	busy, calm := context.WithCancel(ctx)
	for _, d := range c.daemons {
		people.startClients(busy, o.Seed, d)
	}
	faults := Schedule(o.Seed, o.FaultsFor)
	in := &injector{c: c, log: o.Log, keys: k}
	in.play(ctx, faults)
	recovered := everyDaemonServes(ctx, people, c, recoverWithin)
	calm()
	people.wg.Wait()
	e := &Evidence{
		Observations: people.observations, Executions: c.store.Executions(), DisruptiveJoins: c.store.DisruptiveJoins(), RevokedAt: k.revocations(), Stops: in.stops,
		EventsPerStream: eventsPerStream, RevokeBound: revokeMS * time.Millisecond,
	}
	r := Result{Seed: o.Seed, Requests: len(e.Observations), Executions: len(e.Executions), Faults: len(faults), Violations: Check(e)}
	if recovered != nil {
		r.Violations = append(r.Violations, "not recovered after the last fault: "+recovered.Error())
	}
	for i := range e.Observations {
		if e.Observations[i].Response.Status == 200 {
			r.Answered++
		}
	}
	return r, ctx.Err()
}

func everyDaemonServes(ctx context.Context, people *clientPool, c *cluster, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for _, d := range c.daemons {
		if err := people.waitUntilServing(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

// String returns the result as one line, and one more for each broken promise.
func (r *Result) String() string {
	s := fmt.Sprintf("seed %d: %d faults, %d requests, %d answered, %d runs at engines, %d broken promises",
		r.Seed, r.Faults, r.Requests, r.Answered, r.Executions, len(r.Violations))
	for _, b := range r.Violations {
		s += "\n  " + b
	}
	return s
}
