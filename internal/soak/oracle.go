package soak

import (
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// revokeSlack is the time that a request may take from its check to the engine.
	revokeSlack = 200 * time.Millisecond
	// stopMargin is the age from which a request counts as under way at a stop:
	// before that it may still have been in a socket.
	stopMargin = 100 * time.Millisecond
)

// Observation is one request as its client saw it.
type Observation struct {
	Request    site.Request
	Response site.Response
	Err     error
	// Daemon is the number of the daemon that was asked.
	Daemon       int
	StartedAt, EndedAt time.Time
}

// GracefulStop is an orderly stop of a daemon.
type GracefulStop struct {
	Daemon int
	At     time.Time
	// Exited tells whether the process ended by itself, within its grace time.
	Exited bool
	// Disturbed tells that another fault hit the process meanwhile.
	Disturbed bool
}

// Evidence is all that is known of a run from outside the daemons.
type Evidence struct {
	Observations []Observation
	Executions []site.Execution
	// DisruptiveJoins are members taken from groups that served.
	DisruptiveJoins []string
	// RevokedAt tells when keys were taken away.
	RevokedAt map[string]time.Time
	Stops   []GracefulStop
	// EventsPerStream is the length of a stream, RevokeBound the bound in force.
	EventsPerStream      int
	RevokeBound time.Duration
}

// Check returns what breaks a promise, one line each.
func Check(e *Evidence) []string {
	runs := map[string][]site.Execution{}
	for _, r := range e.Executions {
		runs[r.RequestID] = append(runs[r.RequestID], r)
	}
	var broken []string
	for i := range e.Observations {
		if what := e.checkRequest(&e.Observations[i], runs[e.Observations[i].Request.ID]); what != "" {
			broken = append(broken, fmt.Sprintf("request %s (%s): %s", e.Observations[i].Request.ID, e.Observations[i].Request.Path, what))
		}
	}
	for _, t := range e.DisruptiveJoins {
		broken = append(broken, "member taken: "+t)
	}
	for _, s := range e.Stops {
		if !s.Exited && !s.Disturbed {
			broken = append(broken, fmt.Sprintf("daemon %d did not end within its grace time", s.Daemon))
		}
	}
	return broken
}

// checkRequest checks one request against its runs at engines.
func (e *Evidence) checkRequest(s *Observation, runs []site.Execution) string {
	o := &s.Response
	if s.Request.Path == site.NonIdempotentPath && len(runs) > 1 {
		return fmt.Sprintf("ran %d times, at %s and %s", len(runs), runs[0].EngineID, runs[1].EngineID)
	}
	if o.NotExecuted && len(runs) > 0 {
		return "was said not to have run, and ran at " + runs[0].EngineID
	}
	if o.Status == 200 && len(runs) == 0 {
		return "was answered, and no engine ran it"
	}
	if s.Request.Path == site.StreamPath && o.Status == 200 && o.BodyComplete {
		if err := site.CheckStream(o.Body, e.EventsPerStream); err != nil {
			return "a stream that ended properly: " + err.Error()
		}
	}
	if at, ok := e.RevokedAt[s.Request.APIKey]; ok {
		for _, r := range runs {
			if late := r.At.Sub(at); late > e.RevokeBound+revokeSlack && s.StartedAt.After(at) {
				return fmt.Sprintf("ran %d ms after its key was revoked", late.Milliseconds())
			}
		}
	}
	return e.checkStop(s)
}

// checkStop returns a finding if the request was under way at an orderly stop
// and got no answer.
func (e *Evidence) checkStop(s *Observation) string {
	if s.Err == nil {
		return ""
	}
	for _, stop := range e.Stops {
		under := s.Daemon == stop.Daemon && s.StartedAt.Before(stop.At.Add(-stopMargin)) && s.EndedAt.After(stop.At)
		if under && !stop.Disturbed {
			return fmt.Sprintf("got no answer from a daemon that was stopped in order: %v", s.Err)
		}
	}
	return ""
}
