package relay

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
)

// chooseForTrial calls choose, which picks an engine for the next attempt. If engines have
// ended under the request, it waits before that until no other attempt of it is under way
// at any daemon, for up to the route's target latency.
func (j *job) chooseForTrial(choose func() (balance.Choice, *Refusal)) (balance.Choice, *Refusal) {
	now := time.Now()
	giveUp := now.Add(min(j.route.TargetLatency, j.deadline.Sub(now)))
	trial, ok := j.opts.Trials.Begin(j.ctx, j.identity, giveUp, j.deadline)
	if !ok {
		return balance.Choice{}, &Refusal{
			Cause: NoEngine, RetryAfter: j.retryAfter(time.Until(j.deadline)), Reason: "engines ended while they ran this request, and another attempt of it is under way",
		}
	}
	j.trial = trial
	choice, refusal := choose()
	if refusal != nil {
		j.trial.Release()
	}
	return choice, refusal
}

// begin registers an attempt that is about to be sent; cancel gives it up.
func (j *job) begin(cancel func()) {
	j.engineEnded, j.unresolved = false, false
	j.attempt = j.opts.Watch.Begin(j.identity, cancel)
}

// recordAnswer records that the attempt has an answer, or the first part of one.
func (j *job) recordAnswer() {
	if !j.attempt.HasAnswer() {
		j.attempt.Answered()
		j.trial.Release()
	}
}

// end removes the attempt when it is over. The trial of a request that must not run at two
// engines goes on for a while if the attempt has shown nothing: its engine may still run it.
func (j *job) end() {
	j.attempt.End()
	if j.trial.Exclusive && j.unresolved {
		j.logDecision("trial goes on", "fingerprint", suspect.Text(j.identity.Request))
		j.trial.Prolong(suspect.AbandonedTTL)
		return
	}
	j.trial.Release()
}
