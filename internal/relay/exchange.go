package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// attemptTimeoutTargetFraction is the fraction of the route's target latency
	// after which an attempt is abandoned in favour of another engine, if the
	// request may be sent again.
	attemptTimeoutTargetFraction = 0.8
	// attemptTimeoutPredictedFactor sets the same timeout as a multiple of the
	// predicted time to the first event; the longer of the two applies.
	attemptTimeoutPredictedFactor = 4
)

// bufferedResponse is an engine's response with its complete body.
type bufferedResponse struct {
	status int
	header map[string][]string
	body   []byte
}

// serveBuffered serves a request whose response is one body. It reads the body to
// its end before it writes anything to the client, so that a broken response can
// still be retried.
func (j *job) serveBuffered() {
	var serverError *bufferedResponse
	for {
		choice, refusal := j.chooseForTrial(j.chooseEngine)
		if refusal != nil {
			j.deliverOrRefuse(serverError, *refusal)
			return
		}
		out, err := j.attemptBuffered(choice)
		switch {
		case j.ctx.Err() != nil:
			return
		case err == nil && out.status < http.StatusInternalServerError:
			j.deliver(out)
			return
		case err == nil:
			// The engine failed after it had begun to run the request.
			if j.reserveRetry(true, "engine answered with a server error") {
				serverError = out
				continue
			}
			j.deliver(out)
			return
		}
		mayHaveRun := fault.As(err).Outcome != fault.NotRun
		if refusal := j.stopAfterBreak(mayHaveRun); refusal != nil {
			j.deliverOrRefuse(serverError, *refusal)
			return
		}
		if !j.reserveRetry(mayHaveRun, err.Error()) {
			j.deliverOrRefuse(serverError, j.refusalFor(err, mayHaveRun))
			return
		}
	}
}

// refusalFor returns the refusal for the error of the last attempt.
func (j *job) refusalFor(err error, mayHaveRun bool) Refusal {
	if !mayHaveRun {
		return Refusal{Cause: NoEngine, RetryAfter: j.retryAfter(time.Until(j.deadline)), Reason: err.Error()}
	}
	if fault.Is(err, fault.Timeout) {
		return Refusal{Cause: TimedOut, Reason: err.Error()}
	}
	return Refusal{Cause: Failed, Reason: err.Error()}
}

// deliverOrRefuse delivers the 5xx response of an earlier attempt if there is one,
// and refuses the request otherwise.
func (j *job) deliverOrRefuse(serverError *bufferedResponse, r Refusal) {
	if serverError != nil {
		j.deliver(serverError)
		return
	}
	j.refuseAfterAttempts(r)
}

// deliver writes a buffered response to the client.
func (j *job) deliver(out *bufferedResponse) {
	j.summary.TimeToFirst = time.Since(j.req.Arrived)
	j.summary.Outcome = "answered"
	if err := j.w.WriteHeader(out.status, out.header, len(out.body)); err != nil {
		j.summary.Outcome = "client_gone"
		return
	}
	if _, err := j.w.Write(out.body); err != nil {
		j.summary.Outcome = "client_gone"
	}
}

// attemptBuffered sends the request once and reads the complete response.
func (j *job) attemptBuffered(c balance.Choice) (*bufferedResponse, error) {
	e := c.Candidate.Head
	ctx, cancel := j.attemptContext(j.attemptDeadline(c))
	defer cancel()
	j.begin(cancel)
	defer j.end()
	start := time.Now()
	resp, err := j.send(ctx, c, "")
	defer j.opts.Tracker.End(e)
	if err != nil {
		j.examineBreak(ctx, e, start, err)
		err = j.asTimeout(ctx, err)
		j.opts.Tracker.RecordOutcome(e, false, time.Since(start), nil, time.Now())
		return nil, err
	}
	defer resp.Close()
	if resp.NotRun() {
		j.opts.Tracker.RecordOutcome(e, false, time.Since(start), resp.Load(), time.Now())
		return nil, fault.Refuse(fault.Overload, "use another engine", "engine %s rejected the request with status %d", e.ID, resp.Status())
	}
	if err := unprovenPromise(e, resp); err != nil {
		j.opts.Tracker.RecordOutcome(e, false, time.Since(start), resp.Load(), time.Now())
		return nil, err
	}
	body, err := j.readBody(resp)
	ok := err == nil && resp.Status() < http.StatusInternalServerError
	if err == nil && resp.Status() < http.StatusBadRequest {
		j.recordAnswer()
	}
	j.opts.Tracker.RecordOutcome(e, ok, time.Since(start), resp.Load(), time.Now())
	if err != nil {
		j.examineBreak(ctx, e, start, err)
		return nil, j.asTimeout(ctx, fault.Wrap(fault.Interrupted, err, "check the engine", "read the response of engine %s", e.ID))
	}
	return &bufferedResponse{resp.Status(), resp.Header(), body}, nil
}

// unprovenPromise returns an error for a response whose status tells clients that the
// request has not run, although the engine does not state it.
func unprovenPromise(e *catalog.Engine, resp Response) error {
	switch resp.Status() {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fault.New(fault.Interrupted, "check the engine", "engine %s answered with status %d without stating that the request has not run", e.ID, resp.Status())
	default:
		return nil
	}
}

// attemptDeadline returns the deadline of an attempt: that of the request, or an
// earlier one if the request may still be sent to another engine.
func (j *job) attemptDeadline(c balance.Choice) time.Time {
	if j.route.Kind != catalog.Idempotent || j.possibleRuns+1 >= j.route.MaxAttempts || j.trial.Exclusive {
		return j.deadline
	}
	wait := max(time.Duration(attemptTimeoutTargetFraction*float64(j.route.TargetLatency)), attemptTimeoutPredictedFactor*c.Predicted.FirstEvent)
	abandonAt := time.Now().Add(wait)
	if abandonAt.After(j.deadline) {
		return j.deadline
	}
	return abandonAt
}

// asTimeout converts err into a timeout if ctx ended by its deadline.
func (j *job) asTimeout(ctx context.Context, err error) error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return err
	}
	return fault.Wrap(fault.Timeout, err, "check the engine", "attempt timed out").WithOutcome(fault.As(err).Outcome)
}
