package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/admission"
	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/handover"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
)

// errSuperseded ends an attempt when the answer goes on at another engine.
var errSuperseded = errors.New("the answer goes on at another engine")

// attempt is one send of a request to an engine, until that has ended; Attempt is what the
// EngineSender gets of it. Its goroutine, run, sends the request and reports what comes; the
// exchange that began it decides what becomes of that. The goroutine reads only what of the
// job stays as it is after the admission.
type attempt struct {
	*job
	// number is the number of the attempt from 1.
	number int
	engine *catalog.Engine
	// lastEventID is the id of the event after which the engine is to continue.
	lastEventID string
	// ctx is that of the attempt; cancel ends it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	sentAt time.Time
	watch  *suspect.Attempt

	// These fields belong to the exchange. lastNew is when the attempt last brought
	// something new, or sentAt. limit and busyLimit are those of handover.Attempt; limit
	// is gapLimit once a stream has begun.
	lastNew                    time.Time
	limit, gapLimit, busyLimit time.Duration
	filter                     *eventFilter
	// eventBytes is what filter has taken from the bufferQuota.
	eventBytes int
	// consumed receives the verdict on each part that was reported; its bytes are not
	// used any more then.
	consumed chan error

	// releasePrompt takes the prompt of the request back from the load of the engine, at
	// the first event or at the end.
	releasePrompt func()
	// slow is set once the engine was charged with a failure because it was silent.
	slow atomic.Bool
	// stream is the response of a stream that has begun.
	stream Response
	// bodyBytes is what a body that is read has taken from the bufferQuota. It belongs to
	// the exchange when the attempt has ended.
	bodyBytes int
	// engineEnded is set if the engine ended before it had an answer, unresolved if the
	// attempt has ended with neither an answer nor the end of its engine, which may run
	// it on. They are valid when the attempt has ended.
	engineEnded, unresolved bool
}

// newAttempt begins an attempt at the chosen engine: it is counted as sent from now on. The
// caller must start run.
func (j *job) newAttempt(c balance.Choice, seq *handover.Sequence) *attempt {
	e, now := c.Candidate.Head, time.Now()
	j.summary.Engine, j.summary.PredictedFirstEvent, j.summary.EngineLoad = e.ID, c.Predicted.FirstEvent, c.Load.InFlight
	j.summary.Crossing = c.Crossing
	if j.sends == 0 {
		j.opts.RetryBudget.Deposit(j.service, now)
	}
	j.sends++
	j.triedEngines[e.ID] = true
	a := &attempt{job: j, number: j.sends, engine: e, lastEventID: lastEventID(seq), sentAt: now, lastNew: now, filter: newEventFilter(seq), consumed: make(chan error, 1)}
	a.setLimits(c)
	a.ctx, a.cancel = j.attemptContext()
	a.watch = j.opts.Watch.Begin(j.identity, func() { a.cancel(context.Canceled) })
	j.opts.Tracker.Begin(e, j.req.Work, now)
	a.releasePrompt = sync.OnceFunc(a.beginLate())
	return a
}

// setLimits sets how long the attempt may be silent until another engine is asked as well.
func (a *attempt) setLimits(c balance.Choice) {
	switch a.route.Kind {
	case catalog.Stream:
		a.limit, a.gapLimit = a.streamLimits(c)
		a.busyLimit = busyStallTimeout
	case catalog.Idempotent:
		a.limit = a.answerLimit(c)
		a.busyLimit = a.limit
	}
}

// attemptContext returns the context of an attempt. It ends at the deadline, with the
// client, and by GiveUp.
func (j *job) attemptContext() (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(j.ctx)
	ctx, cancelTimer := context.WithDeadline(ctx, j.deadline)
	release := context.AfterFunc(j.stopped, cancelTimer)
	return ctx, func(cause error) {
		release()
		cancel(cause)
		cancelTimer()
	}
}

// beginLate records a late request at the engine, and returns the function that takes its
// prompt back. Requests without a stream have no first event that would show that they run,
// so they always count in full.
func (a *attempt) beginLate() (release func()) {
	late := a.standing == admission.Late && a.route.Kind == catalog.Stream
	if late {
		a.opts.Tracker.BeginLate(a.engine, a.req.Work)
	}
	return func() {
		a.opts.Tracker.FirstEvent(a.engine, a.req.Work)
		if late {
			a.opts.Tracker.EndLate(a.engine, a.req.Work)
		}
	}
}

// run exchanges the attempt with its engine. It reports parts of a stream as they come, and
// the end of the attempt.
func (a *attempt) run(reports chan<- report, done <-chan struct{}) {
	defer a.cancel(context.Canceled)
	out, err := a.receive(reports)
	if err != nil {
		err = a.asTimeout(err)
	}
	a.watch.End()
	a.releasePrompt()
	a.opts.Tracker.End(a.engine)
	select {
	case reports <- report{from: a, ended: true, resp: a.stream, out: out, err: err}:
	case <-done:
		a.buffers.give(a.bodyBytes)
	}
}

// receive sends the request and reads the answer. It returns a response that was read
// whole, or nil at the end of a stream.
func (a *attempt) receive(reports chan<- report) (*bufferedResponse, error) {
	resp, err := a.send()
	if err != nil {
		a.examineBreak(err)
		a.recordOutcome(false, nil)
		return nil, err
	}
	defer resp.Close()
	switch {
	case resp.NotRun():
		a.recordOutcome(false, resp)
		return nil, fault.Refuse(fault.Overload, "use another engine", "engine %s rejected the request with status %d", a.engine.ID, resp.Status())
	case a.route.Kind == catalog.Stream && resp.Status() == http.StatusOK:
		return nil, a.receiveStream(resp, reports)
	default:
		return a.receiveBody(resp)
	}
}

// send sends the request to the engine.
func (a *attempt) send() (Response, error) {
	resp, err := a.opts.Sender.Send(a.ctx, &Attempt{
		Request: a.req, Engine: a.engine, Tenant: a.tenant, Priority: admission.EnginePriority(a.priority, a.standing),
		Remaining: a.deadline.Sub(a.sentAt), LastEventID: a.lastEventID, AtMostOnce: !a.route.Repeatable(),
		OnTransfer: a.transferTo(a.engine),
	})
	if err == nil {
		a.recordNotices(resp)
	}
	return resp, err
}

// receiveStream reads a stream of events and reports what was read.
func (a *attempt) receiveStream(resp Response, reports chan<- report) error {
	a.stream = resp
	err := a.reportParts(resp, reports)
	a.recordOutcome(err == nil, resp)
	if err == nil {
		return nil
	}
	a.examineBreak(err)
	return fault.Wrap(fault.Interrupted, err, "check the engine", "read the stream of engine %s", a.engine.ID)
}

// receiveBody reads the whole body of a response.
func (a *attempt) receiveBody(resp Response) (*bufferedResponse, error) {
	err := unprovenPromise(a.engine, resp)
	if err != nil {
		a.recordOutcome(false, resp)
		return nil, err
	}
	body, err := a.readBody(resp)
	a.recordOutcome(err == nil && resp.Status() < http.StatusInternalServerError && a.route.Kind != catalog.Stream, resp)
	if err != nil {
		a.examineBreak(err)
		return nil, fault.Wrap(fault.Interrupted, err, "check the engine", "read the response of engine %s", a.engine.ID)
	}
	return &bufferedResponse{resp.Status(), resp.Header(), body}, nil
}

// recordOutcome records how the attempt ended at its engine. An attempt that was ended in
// favour of another one shows nothing, and one failure is recorded for each attempt.
func (a *attempt) recordOutcome(ok bool, resp Response) {
	if context.Cause(a.ctx) == errSuperseded || (!ok && a.slow.Load()) { //nolint:errorlint // the cause is this very error
		return
	}
	var load *balance.Load
	if resp != nil {
		load = resp.Load()
	}
	a.opts.Tracker.RecordOutcome(a.engine, ok, time.Since(a.sentAt), load, time.Now())
}

// recordSlow charges the engine with a failure, once, because another one is asked while
// it is silent.
func (a *attempt) recordSlow() {
	if !a.slow.Swap(true) {
		a.opts.Tracker.RecordOutcome(a.engine, false, time.Since(a.sentAt), nil, time.Now())
	}
}

// asTimeout converts err into a timeout if the attempt ended by its deadline.
func (a *attempt) asTimeout(err error) error {
	if !errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		return err
	}
	return fault.Wrap(fault.Timeout, err, "check the engine", "attempt timed out").WithOutcome(fault.As(err).Outcome)
}

// silence returns for how long the attempt has been silent.
func (a *attempt) silence(now time.Time) handover.Attempt {
	return handover.Attempt{
		Silent: now.Sub(a.lastNew), Limit: a.limit, BusyLimit: a.busyLimit,
		EngineSilent: now.Sub(a.opts.Tracker.LastProgress(a.engine)),
	}
}

// logDecision logs a decision about the attempt.
func (a *attempt) logDecision(event string, fields ...any) { a.logAfter(a.number, event, fields...) }
