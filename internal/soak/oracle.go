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

// Seen is one request as its client saw it.
type Seen struct {
	Call    site.Request
	Outcome site.Response
	Err     error
	// Daemon is the number of the daemon that was asked.
	Daemon       int
	Began, Ended time.Time
}

// Stop is an orderly stop of a daemon.
type Stop struct {
	Daemon int
	At     time.Time
	// Exited tells whether the process ended by itself, within its grace time.
	Exited bool
	// Disturbed tells that another fault hit the process meanwhile.
	Disturbed bool
}

// Evidence is all that is known of a run from outside the daemons.
type Evidence struct {
	Seen []Seen
	Runs []site.Execution
	// Taken are members taken from groups that served.
	Taken []string
	// Revoked tells when keys were taken away.
	Revoked map[string]time.Time
	Stops   []Stop
	// Events is the length of a stream, RevokeBound the bound in force.
	Events      int
	RevokeBound time.Duration
}

// Check returns what breaks a promise, one line each.
func Check(e *Evidence) []string {
	runs := map[string][]site.Execution{}
	for _, r := range e.Runs {
		runs[r.RequestID] = append(runs[r.RequestID], r)
	}
	var broken []string
	for i := range e.Seen {
		if what := e.checkRequest(&e.Seen[i], runs[e.Seen[i].Call.ID]); what != "" {
			broken = append(broken, fmt.Sprintf("request %s (%s): %s", e.Seen[i].Call.ID, e.Seen[i].Call.Path, what))
		}
	}
	for _, t := range e.Taken {
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
func (e *Evidence) checkRequest(s *Seen, runs []site.Execution) string {
	o := &s.Outcome
	if s.Call.Path == site.NonIdempotentPath && len(runs) > 1 {
		return fmt.Sprintf("ran %d times, at %s and %s", len(runs), runs[0].EngineID, runs[1].EngineID)
	}
	if o.NotExecuted && len(runs) > 0 {
		return "was said not to have run, and ran at " + runs[0].EngineID
	}
	if o.Status == 200 && len(runs) == 0 {
		return "was answered, and no engine ran it"
	}
	if s.Call.Path == site.StreamPath && o.Status == 200 && o.BodyComplete {
		if err := site.CheckStream(o.Body, e.Events); err != nil {
			return "a stream that ended properly: " + err.Error()
		}
	}
	if at, ok := e.Revoked[s.Call.APIKey]; ok {
		for _, r := range runs {
			if late := r.At.Sub(at); late > e.RevokeBound+revokeSlack && s.Began.After(at) {
				return fmt.Sprintf("ran %d ms after its key was revoked", late.Milliseconds())
			}
		}
	}
	return e.checkStop(s)
}

// checkStop returns a finding if the request was under way at an orderly stop
// and got no answer.
func (e *Evidence) checkStop(s *Seen) string {
	if s.Err == nil {
		return ""
	}
	for _, stop := range e.Stops {
		under := s.Daemon == stop.Daemon && s.Began.Before(stop.At.Add(-stopMargin)) && s.Ended.After(stop.At)
		if under && !stop.Disturbed {
			return fmt.Sprintf("got no answer from a daemon that was stopped in order: %v", s.Err)
		}
	}
	return ""
}
