package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// deadlyBody is the body of a request that ends the engines that run it.
	// deadlyPart is a part of prompts that does so whatever else they hold.
	deadlyBody = "deadly"
	deadlyPart = "dead01:100"
	// batchBody and batchPart are the same for requests in batches.
	batchBody = "deadly in batches"
	batchPart = "dead02:100"
	// copiesPerDaemon is the number of requests of each cause in a batch at each daemon.
	copiesPerDaemon = 3
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
func isDeadly(body string, parts []string) bool { return deadlyCause(body, parts) != "" }

// deadlyCause returns what ends the engines that run a request, or "".
func deadlyCause(body string, parts []string) string {
	switch {
	case body == deadlyBody:
		return "request"
	case body == batchBody:
		return "request in batches"
	case slices.Contains(parts, deadlyPart):
		return "part"
	case slices.Contains(parts, batchPart):
		return "part in batches"
	default:
		return ""
	}
}

// sendBatch sends copies of a deadly request, and requests with a deadly part, to all
// daemons at the same moment, and waits for their answers.
func (c *clientPool) sendBatch(daemons []*daemon, seed int) {
	rng := rand.New(rand.NewPCG(uint64(seed), 0))
	var wg sync.WaitGroup
	for _, d := range daemons {
		for range copiesPerDaemon {
			base := site.Request{APIKey: c.keys.current(), Method: http.MethodPost}
			byBody, byPart := base, base
			byBody.Path, byBody.Body = site.IdempotentPath, batchBody
			byPart.Path, byPart.Model, byPart.Body = site.StreamPath, site.SmallModel, ownPart(rng)
			byPart.Parts = []string{firstPart, batchPart, ownPart(rng)}
			for _, request := range []site.Request{byBody, byPart} {
				request.ID = fmt.Sprintf("request-%d", c.requestSeq.Add(1))
				wg.Go(func() {
					client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
					c.send(client, d, request)
				})
			}
		}
	}
	wg.Wait()
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
func deadlyKind(r *site.Request) string { return deadlyCause(r.Body, r.Parts) }

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
	for _, kind := range slices.Sorted(maps.Keys(runs)) {
		ends := endsByRequest
		if strings.HasPrefix(kind, "part") {
			ends = endsByPart
		}
		if late := e.lateDeadlyRuns(runs[kind], ends, observations); len(late) > lateDeadlySends {
			violations = append(violations, fmt.Sprintf("deadly %s ran %d times more than %s after it had ended %d engines: %s",
				kind, len(late), deadlyBound, ends, strings.Join(late, ", ")))
		}
	}
	return violations
}

// lateDeadlyRuns returns the ids of the requests among runs, ordered by time, that were
// sent by an undisturbed daemon later than deadlyBound after the given number of engines
// had run them. The count begins anew when no daemon has kept its memory.
func (e *Evidence) lateDeadlyRuns(runs []site.Execution, ends int, observations map[string]*Observation) []string {
	var late []string
	// firstRuns holds the time of the first run at each engine, in order.
	var firstRuns []time.Time
	engines := map[string]bool{}
	for _, r := range runs {
		if lost, ok := e.memoryLostAt(r.At); ok && len(firstRuns) > 0 && firstRuns[0].Before(lost) {
			firstRuns, late, engines = nil, nil, map[string]bool{}
		}
		process := &e.Processes[observations[r.RequestID].Daemon]
		if len(firstRuns) >= ends && r.At.Sub(firstRuns[ends-1]) > deadlyBound && process.undisturbed(r.At) {
			late = append(late, r.RequestID)
		}
		if !engines[r.EngineID] {
			engines[r.EngineID] = true
			firstRuns = append(firstRuns, r.At)
		}
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
