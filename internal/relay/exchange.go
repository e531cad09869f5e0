package relay

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/handover"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
)

// exchange serves one request by attempts. handover decides when another one begins, and
// which one the answer comes from; this goroutine carries it out, and it alone writes to the
// client and changes the job.
type exchange struct {
	*job
	// underWay are the attempts under way, reading is the one that the client's last
	// events came from.
	underWay []*attempt
	reading  *attempt
	// reports carries what the attempts bring until done is closed.
	reports chan report
	done    chan struct{}
	timer   *time.Timer
	// trials are the permissions of the attempts under way, as long as none of them has
	// an answer.
	trials []Trial
	// stopAsking ends the request for a permission, which permits carries. It is nil if
	// there is none.
	stopAsking context.CancelFunc
	permits    chan permit

	// seq is what the client has of a stream. headerSent is set if that includes the head
	// of the response; mediaType is that of the stream then.
	seq        handover.Sequence
	headerSent bool
	mediaType  string
	// serverError is the last response with a server error. keptBytes is what such
	// responses have taken from the bufferQuota.
	serverError *bufferedResponse
	keptBytes   int
	// last is how the last attempt ended.
	last attemptEnd
	// refusal is why no engine could be chosen, the first time at refusedFirst and the
	// last time at refusedLast. changed is closed when the engines have changed since.
	refusal                   *Refusal
	refusedFirst, refusedLast time.Time
	changed                   <-chan struct{}
	denied                    bool
	// decide is set when something has happened that handover must decide about,
	// finished when the client has all that it will get.
	decide, finished bool
}

// attemptEnd is how an attempt ended without an answer. The zero value stands for none.
type attemptEnd struct {
	err        error
	mayHaveRun bool
	// engineEnded and unresolved are those of the attempt.
	engineEnded, unresolved bool
}

// report is what an attempt brings: a part of a stream, or the end of the attempt.
type report struct {
	from *attempt
	// part is a part of the body of the stream resp.
	resp Response
	part []byte
	// ended is set at the end of the attempt: with a whole response in out, at the end of
	// a stream, or by err.
	ended bool
	out   *bufferedResponse
	err   error
}

func newExchange(j *job) *exchange {
	x := &exchange{job: j, reports: make(chan report), done: make(chan struct{}), permits: make(chan permit, 1), timer: time.NewTimer(0)}
	x.timer.Stop()
	x.resumeAt(j.req.LastEventID)
	return x
}

// run serves the request. It returns when the client has all that it will get.
func (x *exchange) run() {
	defer x.close()
	for !x.finished {
		now := time.Now()
		switch step := x.evidence(now).Next(); step.Action {
		case handover.Send:
			x.send()
		case handover.Fail:
			x.fail()
		default:
			x.await(step.After)
		}
	}
}

// close ends the attempts under way and returns what the exchange holds.
func (x *exchange) close() {
	x.timer.Stop()
	if x.stopAsking != nil {
		x.stopAsking()
		go x.releasePermit()
	}
	for _, a := range x.underWay {
		x.last.unresolved = x.last.unresolved || unanswered(a)
		a.cancel(context.Canceled)
		a.dropEvent()
	}
	x.buffers.give(x.keptBytes)
	x.endTrials()
	close(x.done)
}

// evidence returns what decides about the next step.
func (x *exchange) evidence(now time.Time) *handover.Evidence {
	e := &handover.Evidence{
		Over:   x.ctx.Err() != nil || x.stopped.Err() != nil || !now.Before(x.deadline),
		Asking: x.stopAsking != nil, Repeatable: x.route.Repeatable(), PartSent: x.headerSent, Resumable: x.seq.Resumable(),
		Sends: x.sends, MaxSends: x.route.MaxAttempts + maxRejections, Runs: x.possibleRuns, MaxRuns: x.route.MaxAttempts,
		Rejected: x.last.err != nil && !x.last.mayHaveRun,
	}
	for _, a := range x.underWay {
		e.UnderWay = append(e.UnderWay, a.silence(now))
	}
	if x.refusal != nil {
		e.Refused = &handover.Refusal{Temporary: x.refusal.Cause == NoEngine && !x.denied, SinceFirst: now.Sub(x.refusedFirst), SinceLast: now.Sub(x.refusedLast)}
	}
	// The rest is looked up only where it decides.
	if wait, ok := handover.UntilAllOverdue(e.UnderWay); e.Over || x.sends == 0 || wait > 0 || !ok {
		return e
	}
	x.suspectSilent(e.UnderWay, now)
	e.Alternative = len(x.underWay) > 0 && x.hasAlternative(now)
	e.Budget = x.opts.RetryBudget.Available(x.service, now)
	e.Barred = x.opts.Watch.Verdict(x.identity).Verdict == suspect.Refused || x.endsUsedUp(x.last.engineEnded)
	e.Exclusive = slices.ContainsFunc(x.underWay, unanswered) && slices.ContainsFunc(x.trials, func(t Trial) bool { return t.Exclusive })
	return e
}

// suspectSilent marks the engines of overdue attempts as suspected if they are silent to
// all requests.
func (x *exchange) suspectSilent(silences []handover.Attempt, now time.Time) {
	for i, a := range x.underWay {
		group := a.engine.Membership.Group
		if x.route.Kind != catalog.Stream || !silences[i].EngineOverdue() || !x.opts.Tracker.Suspect(a.engine.ID, group, now) {
			continue
		}
		a.logDecision("engine suspected", "engine", a.engine.ID, "group", group.Name, "silent_ms", silences[i].Silent.Milliseconds(), "limit_ms", silences[i].Limit.Milliseconds())
		x.opts.OnSuspect(a.engine.ID, group)
	}
}

// hasAlternative reports whether an engine that the request was not sent to may take
// it, and is not suspected itself.
func (x *exchange) hasAlternative(now time.Time) bool {
	return slices.ContainsFunc(x.candidates(x.triedEngines), func(c balance.Candidate) bool {
		st := x.opts.Tracker.Status(c.Head, c.Service.ColdRequestsPerSecond, now)
		return !st.Suspected && !now.Before(st.UnavailableUntil)
	})
}

// send begins another attempt, if engines have ended under the request after permission to
// try it.
func (x *exchange) send() {
	if x.mayTry() {
		x.beginAttempt()
		return
	}
	if len(x.underWay) > 0 {
		x.askBeside()
		return
	}
	if trial, ok := x.beginTrial(x.ctx); ok {
		x.trials = append(x.trials, trial)
		x.beginAttempt()
		return
	}
	x.denied = true
	x.setRefusal(x.trialRefusal())
}

// beginAttempt chooses an engine and begins an attempt there.
func (x *exchange) beginAttempt() {
	x.changed = x.opts.Directory.Changed()
	choice, refusal := x.chooseEngine()
	switch {
	case refusal != nil:
		x.setRefusal(refusal)
	case x.sends > 0 && !x.opts.RetryBudget.TrySpend(x.service, time.Now()):
		x.refusal = nil
		x.logDecision("retry refused by the budget", "why", x.why())
	default:
		x.refusal = nil
		x.recordRetry(choice)
		a := x.newAttempt(choice, &x.seq)
		x.underWay = append(x.underWay, a)
		go a.run(x.reports, x.done)
		return
	}
	if !slices.ContainsFunc(x.underWay, unanswered) {
		x.endTrials()
	}
}

// unanswered reports whether an attempt has no answer yet.
func unanswered(a *attempt) bool { return !a.watch.HasAnswer() }

// recordRetry records that another attempt begins, and charges the engines that are silent
// meanwhile.
func (x *exchange) recordRetry(c balance.Choice) {
	if x.sends == 0 {
		return
	}
	x.summary.Retries++
	if x.headerSent {
		x.summary.Resumes++
	}
	var silent []string
	for _, a := range x.underWay {
		a.recordSlow()
		silent = append(silent, a.engine.ID)
	}
	x.logDecision("retry", "why", x.why(), "silent", silent, "engine", c.Candidate.Head.ID, "budget_left", x.opts.RetryBudget.Remaining(x.service))
}

// why returns the reason for another attempt.
func (x *exchange) why() string {
	if x.last.err != nil {
		return x.last.err.Error()
	}
	return "engine is silent"
}

func (x *exchange) setRefusal(r *Refusal) {
	x.refusedLast = time.Now()
	if x.refusal == nil {
		x.refusedFirst = x.refusedLast
	}
	x.refusal = r
}

// await handles what arrives until handover must decide again: after the given time, if it
// is not 0, or earlier.
func (x *exchange) await(after time.Duration) {
	x.timer.Stop()
	if after > 0 {
		x.timer.Reset(min(after, max(0, time.Until(x.deadline))))
	}
	// The attempts under way end with the client.
	var gone, changed <-chan struct{}
	if len(x.underWay) == 0 {
		gone = x.ctx.Done()
		if x.refusal != nil {
			changed = x.changed
		}
	}
	for x.decide = false; !x.decide && !x.finished; {
		select {
		case r := <-x.reports:
			x.handle(r)
		case p := <-x.permits:
			x.usePermit(p)
		case <-x.timer.C:
			return
		case <-gone:
			return
		case <-changed:
			x.refusedLast = time.Time{}
			return
		}
	}
}

// handle handles a report.
func (x *exchange) handle(r report) {
	switch {
	case r.ended:
		x.takeEnd(&r)
		x.buffers.give(r.from.bodyBytes)
	case !slices.Contains(x.underWay, r.from):
		r.from.consumed <- errSuperseded
	default:
		r.from.consumed <- x.takePart(&r)
	}
}

// settleOn lets the answer go on at the attempt, which has taken it further, and ends all
// others.
func (x *exchange) settleOn(a *attempt) {
	for _, o := range x.underWay {
		if o == a {
			continue
		}
		o.cancel(errSuperseded)
		o.dropEvent()
		x.possibleRuns++ // its engine may have begun
		event := "engine goes on"
		if o.number < a.number {
			event = "another engine goes on"
			x.summary.Takeovers++
		} else {
			x.summary.Recoveries++
		}
		x.logDecision(event, "engine", a.engine.ID, "attempt", a.number, "ended_engine", o.engine.ID, "ended_attempt", o.number,
			"silent_ms", time.Since(o.lastNew).Milliseconds(), "after_event", lastEventID(&x.seq))
	}
	if x.stopAsking != nil {
		x.stopAsking()
	}
	x.underWay = slices.DeleteFunc(x.underWay, func(o *attempt) bool { return o != a })
	x.reading, x.summary.Engine = a, a.engine.ID
}

// recordAnswer records that an attempt has an answer, or the first part of one.
func (x *exchange) recordAnswer(a *attempt) {
	if !a.watch.HasAnswer() {
		a.watch.Answered()
		x.last.unresolved = false
		x.endTrials()
	}
}

// takeEnd handles the end of an attempt: of a stream, by a whole response, or by an error.
// What does not end the request becomes the error of the last attempt.
func (x *exchange) takeEnd(r *report) {
	if !slices.Contains(x.underWay, r.from) {
		return // it was superseded
	}
	defer r.from.dropEvent()
	x.underWay = slices.DeleteFunc(x.underWay, func(o *attempt) bool { return o == r.from })
	x.decide = true
	x.refusal, x.denied = nil, false
	switch {
	case r.err == nil && r.out == nil:
		r.err = x.completeStream(r)
	case r.err == nil && x.headerSent:
		r.err = fault.New(fault.Interrupted, "check the engine", "engine %s answered a stream with status %d", r.from.engine.ID, r.out.status)
	case r.err == nil && r.out.status < http.StatusInternalServerError:
		if r.out.status < http.StatusBadRequest {
			x.recordAnswer(r.from)
		}
		x.settleOn(r.from)
		x.deliver(r.out)
	case r.err == nil:
		// The engine failed after it had begun to run the request.
		x.serverError = r.out
		x.keptBytes, r.from.bodyBytes = x.keptBytes+r.from.bodyBytes, 0
		r.err = fault.New(fault.Interrupted, "check the engine", "engine %s answered with status %d", r.from.engine.ID, r.out.status)
	}
	if x.finished {
		return
	}
	x.last = attemptEnd{err: r.err, mayHaveRun: fault.As(r.err).Outcome != fault.NotRun, engineEnded: r.from.engineEnded, unresolved: r.from.unresolved || x.last.unresolved}
	if x.last.mayHaveRun {
		x.possibleRuns++
	}
	if len(x.underWay) == 0 {
		x.endTrials()
		return
	}
	x.logDecision("attempt ended beside others", "engine", r.from.engine.ID, "attempt", r.from.number, "may_have_run", x.last.mayHaveRun, "why", r.err.Error())
}

// fail ends the request without a complete answer.
func (x *exchange) fail() {
	x.finished = true
	if x.ctx.Err() != nil {
		return
	}
	refusal := *cmp.Or(x.stopping(), x.quarantined(x.possibleRuns > 0), x.refusalForEnds(), x.refusal, x.refusalForLast())
	switch {
	case x.headerSent:
		x.summary.Outcome = "cut"
		x.logDecision("stream cut", "cause", refusal.Cause.String(), "reason", refusal.Reason, "attempts_used_up", x.possibleRuns >= x.route.MaxAttempts, "resumable", x.seq.Resumable())
		x.w.Abort()
	case x.serverError != nil:
		x.deliver(x.serverError)
	default:
		x.refuseAfterAttempts(refusal)
	}
}

// refusalForEnds returns the refusal of a request under which too many engines have
// ended, or nil.
func (x *exchange) refusalForEnds() *Refusal {
	if !x.endsUsedUp(x.last.engineEnded) {
		return nil
	}
	return x.refuseForEnds()
}

// refusalForLast returns the refusal for how the last attempt ended.
func (x *exchange) refusalForLast() *Refusal {
	switch err := x.last.err; {
	case err == nil:
		return &Refusal{Cause: Expired, Reason: "too little time left before the deadline"}
	case !x.last.mayHaveRun:
		return &Refusal{Cause: NoEngine, RetryAfter: x.retryAfter(time.Until(x.deadline)), Reason: err.Error()}
	case fault.Is(err, fault.Timeout):
		return &Refusal{Cause: TimedOut, Reason: err.Error()}
	default:
		return &Refusal{Cause: Failed, Reason: err.Error()}
	}
}
