package relay

import (
	"context"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/handover"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
)

// permit is the answer to the question whether an attempt may begin beside others.
type permit struct {
	trial Trial
	ok    bool
}

// mayTry reports whether an attempt may begin without asking: an attempt under way without
// an answer has the permission to try the request, which covers all of this exchange.
func (x *exchange) mayTry() bool {
	return slices.ContainsFunc(x.trials, func(t Trial) bool { return t.Suspected })
}

// beginTrial waits, if engines have ended under the request, until no other attempt of it
// is under way at any daemon, for up to the route's target latency.
func (j *job) beginTrial(ctx context.Context) (Trial, bool) {
	now := time.Now()
	giveUp := now.Add(min(j.route.TargetLatency, j.deadline.Sub(now)))
	return j.opts.Trials.Begin(ctx, j.identity, giveUp, j.deadline)
}

// trialRefusal returns the refusal of a request that may not be tried.
func (j *job) trialRefusal() *Refusal {
	return &Refusal{
		Cause: NoEngine, RetryAfter: j.retryAfter(time.Until(j.deadline)), Reason: "engines ended while they ran this request, and another attempt of it is under way",
	}
}

// askBeside asks for permission to begin an attempt while others go on.
func (x *exchange) askBeside() {
	ctx, cancel := context.WithCancel(x.ctx)
	x.stopAsking = cancel
	go func() {
		trial, ok := x.beginTrial(ctx)
		if ok && ctx.Err() != nil {
			trial.Release()
			ok = false
		}
		x.permits <- permit{trial, ok}
	}()
}

// usePermit begins an attempt if it was permitted and is still of use.
func (x *exchange) usePermit(p permit) {
	x.stopAsking()
	x.stopAsking = nil
	x.decide = true
	held := x.trials
	if p.ok {
		x.trials = append(x.trials, p.trial)
		if x.evidence(time.Now()).Next().Action == handover.Send {
			x.beginAttempt()
			return
		}
		p.trial.Release()
	}
	x.trials, x.denied = held, true
	x.setRefusal(x.trialRefusal())
}

// releasePermit gives back a permission that was still being asked for at the end of the
// exchange.
func (x *exchange) releasePermit() {
	if p := <-x.permits; p.ok {
		p.trial.Release()
	}
}

// endTrials ends the permissions of the attempts. Those of a request that must not run at
// two engines go on for a while if an attempt has shown nothing: its engine may still run
// it.
func (x *exchange) endTrials() {
	for _, t := range x.trials {
		if t.Exclusive && x.last.unresolved {
			x.logDecision("trial goes on", "fingerprint", suspect.Text(x.identity.Request))
			t.Prolong(suspect.AbandonedTTL)
			continue
		}
		t.Release()
	}
	x.trials, x.last.unresolved = nil, false
}
