package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// deadlyBody is the body of a request that ends the engines that run it.
	// deadlyPart is a part of prompts that does so whatever else they hold.
	deadlyBody = "deadly"
	deadlyPart = "dead01:100"
	// firstPart begins the prompts with deadlyPart, and those of sound requests.
	firstPart = "f1:40"
	// endsByRequest and endsByPart are the numbers of ends after which a deadly request,
	// or requests with a deadly part, must not reach engines any more but for
	// lateDeadlySends, sent by daemons that were undisturbed for deadlyBound, later than
	// that.
	endsByRequest   = 3
	endsByPart      = 5
	lateDeadlySends = 3
	deadlyBound     = 3 * time.Second
)

// ProcessHistory holds the times of a daemon's starts and of the signals to it.
type ProcessHistory struct {
	Starts, Signals []time.Time
	// PeakRSSBytes is the largest resident set that was seen.
	PeakRSSBytes int64
}

// undisturbed reports whether the process ran without a start or a signal for
// deadlyBound before t.
func (p *ProcessHistory) undisturbed(t time.Time) bool {
	recent := func(at time.Time) bool { return at.Before(t) && t.Sub(at) < deadlyBound }
	return !slices.ContainsFunc(p.Starts, recent) && !slices.ContainsFunc(p.Signals, recent)
}

// isDeadly reports whether a request with the given body and parts of a prompt ends the
// engine that runs it.
func isDeadly(body string, parts []string) bool {
	return body == deadlyBody || slices.Contains(parts, deadlyPart)
}

// makeDeadly returns a request that ends engines: the same one each time, or one of
// those that have deadlyPart in their prompts.
func makeDeadly(request site.Request, rng *rand.Rand) site.Request {
	if rng.IntN(2) == 0 {
		request.Path, request.Body = site.IdempotentPath, deadlyBody
		return request
	}
	request.Path, request.Model = site.StreamPath, site.SmallModel
	request.Body = ownPart(rng)
	request.Parts = []string{firstPart, deadlyPart, ownPart(rng)}
	return request
}

// ownPart returns a part of a prompt that no other request has.
func ownPart(rng *rand.Rand) string { return fmt.Sprintf("%x:200", rng.Uint64()) }

// deadlyKind returns what makes a request deadly, or "".
func deadlyKind(r *site.Request) string {
	switch {
	case !isDeadly(r.Body, r.Parts):
		return ""
	case r.Body == deadlyBody:
		return "request"
	default:
		return "part"
	}
}

// checkDeadly returns the violations of the limits for deadly requests, and the sound
// requests that were refused as such.
func (e *Evidence) checkDeadly() []string {
	var violations []string
	observations := map[string]*Observation{}
	for i := range e.Observations {
		o := &e.Observations[i]
		observations[o.Request.ID] = o
		if deadlyKind(&o.Request) == "" && o.Response.Status == http.StatusUnprocessableEntity {
			violations = append(violations, fmt.Sprintf("sound request %s (%s) was refused as one that ends engines: %s", o.Request.ID, o.Request.Path, o.Response.Body))
		}
	}
	runs := map[string][]site.Execution{}
	for _, r := range e.Executions {
		if o := observations[r.RequestID]; o != nil && deadlyKind(&o.Request) != "" {
			kind := deadlyKind(&o.Request)
			runs[kind] = append(runs[kind], r)
		}
	}
	for kind, ends := range map[string]int{"request": endsByRequest, "part": endsByPart} {
		if late := e.lateDeadlyRuns(runs[kind], ends, observations); len(late) > lateDeadlySends {
			violations = append(violations, fmt.Sprintf("deadly %s ran %d times more than %s after it had ended %d engines: %s",
				kind, len(late), deadlyBound, ends, strings.Join(late, ", ")))
		}
	}
	return violations
}

// lateDeadlyRuns returns the ids of the requests among runs, ordered by time, that were
// sent by an undisturbed daemon later than deadlyBound after the given number of ends.
// The count begins anew when no daemon has kept its memory.
func (e *Evidence) lateDeadlyRuns(runs []site.Execution, ends int, observations map[string]*Observation) []string {
	var late []string
	var counted []time.Time
	for _, r := range runs {
		if lost, ok := e.memoryLostAt(r.At); ok && len(counted) > 0 && counted[0].Before(lost) {
			counted, late = nil, nil
		}
		process := &e.Processes[observations[r.RequestID].Daemon]
		if len(counted) >= ends && r.At.Sub(counted[ends-1]) > deadlyBound && process.undisturbed(r.At) {
			late = append(late, r.RequestID)
		}
		counted = append(counted, r.At)
	}
	return late
}

// memoryLostAt returns the last time before t at which every daemon had been started
// within deadlyBound, so that none could tell another what it knew.
func (e *Evidence) memoryLostAt(t time.Time) (at time.Time, ok bool) {
	for _, p := range e.Processes {
		for _, start := range p.Starts {
			young := !slices.ContainsFunc(e.Processes, func(o ProcessHistory) bool {
				return !slices.ContainsFunc(o.Starts, func(s time.Time) bool { return start.Sub(s).Abs() < deadlyBound })
			})
			if young && start.Before(t) && start.After(at) {
				at, ok = start, true
			}
		}
	}
	return at, ok
}
