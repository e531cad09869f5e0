package soak

import (
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// revokeSlack is the time that a request may take between the check of its key and
	// its start at the engine.
	revokeSlack = 200 * time.Millisecond
	// stopInFlightMargin is the age from which a request counts as in flight at a stop:
	// a younger one may still be in a socket buffer, unread by the daemon.
	stopInFlightMargin = 100 * time.Millisecond
	// memoryBytes is the memory of a daemon's machine, as in its settings.
	memoryBytes = 206 << 20
)

// Observation is one request and its response, as the client saw it.
type Observation struct {
	Request  site.Request
	Response site.Response
	Err      error
	// Daemon is the number of the daemon that the request was sent to.
	Daemon             int
	StartedAt, EndedAt time.Time
}

// GracefulStop is a stop of a daemon by SIGTERM.
type GracefulStop struct {
	Daemon int
	At     time.Time
	// Exited reports whether the process exited by itself within its grace period.
	Exited bool
	// Disturbed reports whether another fault hit the process during the stop.
	Disturbed bool
}

// Evidence is what clients, engines and the fault injector recorded of a run. Nothing
// in it comes from the daemons.
type Evidence struct {
	Observations []Observation
	Executions   []site.Execution
	// DisruptiveJoins describes the joins to a group that took an engine from another
	// group while that group was serving.
	DisruptiveJoins []string
	// RevokedAt maps each revoked key to the time of its revocation.
	RevokedAt map[string]time.Time
	Stops     []GracefulStop
	// EventsPerStream is the number of events in a complete stream. RevokeBound is the
	// longest time for which a daemon may accept a revoked key.
	EventsPerStream int
	RevokeBound     time.Duration
	// Processes holds the history of each daemon's process, by its number.
	Processes []ProcessHistory
}

// Check returns the violated guarantees, one line each.
func Check(e *Evidence) []string {
	executions := map[string][]site.Execution{}
	for _, r := range e.Executions {
		executions[r.RequestID] = append(executions[r.RequestID], r)
	}
	var violations []string
	for i := range e.Observations {
		if violation := e.checkRequest(&e.Observations[i], executions[e.Observations[i].Request.ID]); violation != "" {
			violations = append(violations, fmt.Sprintf("request %s (%s): %s", e.Observations[i].Request.ID, e.Observations[i].Request.Path, violation))
		}
	}
	violations = append(violations, e.checkDeadly()...)
	for n, p := range e.Processes {
		if p.PeakRSSBytes > memoryBytes {
			violations = append(violations, fmt.Sprintf("daemon %d took %d MB of memory", n, p.PeakRSSBytes>>20))
		}
	}
	for _, join := range e.DisruptiveJoins {
		violations = append(violations, "disruptive join of a member of a serving group: "+join)
	}
	for _, s := range e.Stops {
		if !s.Exited && !s.Disturbed {
			violations = append(violations, fmt.Sprintf("daemon %d did not exit within its grace period after SIGTERM", s.Daemon))
		}
	}
	return violations
}

// checkRequest checks one request against its executions at engines. It returns the
// violation, or "".
func (e *Evidence) checkRequest(o *Observation, executions []site.Execution) string {
	resp := &o.Response
	if o.Request.Path == site.NonIdempotentPath && len(executions) > 1 {
		return fmt.Sprintf("non-idempotent request executed %d times, at %s and %s", len(executions), executions[0].EngineID, executions[1].EngineID)
	}
	if resp.NotExecuted && len(executions) > 0 {
		return "response says not executed, but it was executed at " + executions[0].EngineID
	}
	if resp.Status == 200 && len(executions) == 0 {
		return "response has status 200, but no engine executed the request"
	}
	if o.Request.Path == site.StreamPath && resp.Status == 200 && resp.BodyComplete {
		if err := site.CheckStream(resp.Body, e.EventsPerStream); err != nil {
			return "stream is marked complete, but: " + err.Error()
		}
	}
	if at, ok := e.RevokedAt[o.Request.APIKey]; ok {
		for n, r := range executions {
			// The platform's bound counts from the sending of a request. A stream that was
			// sent and begun within it may be resumed at another engine later, and an attempt
			// whose request was answered within it may be held on its way to the engine.
			answered := !o.EndedAt.After(at.Add(e.RevokeBound))
			resumed := n > 0 && o.Request.Path == site.StreamPath && !o.StartedAt.After(at.Add(e.RevokeBound))
			if delay := r.At.Sub(at); delay > e.RevokeBound+revokeSlack && o.StartedAt.After(at) && !resumed && !answered {
				return fmt.Sprintf("executed %d ms after its key was revoked", delay.Milliseconds())
			}
		}
	}
	return e.checkStop(o)
}

// checkStop returns a violation if the request was in flight at a graceful stop and got
// no response. Stops that another fault disturbed are excluded.
func (e *Evidence) checkStop(o *Observation) string {
	if o.Err == nil {
		return ""
	}
	for _, stop := range e.Stops {
		inFlight := o.Daemon == stop.Daemon && o.StartedAt.Before(stop.At.Add(-stopInFlightMargin)) && o.EndedAt.After(stop.At)
		if inFlight && !stop.Disturbed {
			return fmt.Sprintf("got no response from a daemon that was stopped gracefully: %v", o.Err)
		}
	}
	return ""
}
