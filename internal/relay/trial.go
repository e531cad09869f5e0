package relay

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/balance"
)

// chooseForTrial calls choose, which picks an engine for the next attempt. If engines have
// ended under the request, it waits before that until no other attempt of it is under way
// at any daemon, for up to the route's target latency.
func (j *job) chooseForTrial(choose func() (balance.Choice, *Refusal)) (balance.Choice, *Refusal) {
	j.endTrial()
	now := time.Now()
	release, ok := j.opts.Trials.Begin(j.ctx, j.identity, now.Add(min(j.route.TargetLatency, j.deadline.Sub(now))), j.deadline)
	if !ok {
		return balance.Choice{}, &Refusal{
			Cause: NoEngine, RetryAfter: j.retryAfter(time.Until(j.deadline)), Reason: "engines ended while they ran this request, and another attempt of it is under way",
		}
	}
	j.releaseTrial = release
	choice, refusal := choose()
	if refusal != nil {
		j.endTrial()
	}
	return choice, refusal
}

// endTrial ends the trial of the current attempt, if it has not ended yet.
func (j *job) endTrial() {
	if j.releaseTrial != nil {
		j.releaseTrial()
		j.releaseTrial = nil
	}
}

// begin registers an attempt that is about to be sent; cancel gives it up.
func (j *job) begin(cancel func()) {
	j.engineEnded = false
	j.attempt = j.opts.Watch.Begin(j.identity, cancel)
}

// recordAnswer records that the attempt has an answer, or the first part of one.
func (j *job) recordAnswer() {
	if !j.attempt.HasAnswer() {
		j.attempt.Answered()
		j.endTrial()
	}
}

// end removes the attempt when it is over.
func (j *job) end() {
	j.attempt.End()
	j.endTrial()
}
