package relay

import (
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
)

// maxOwnEnds is the number of engines that may end under a request before this daemon
// no longer sends it again by itself. Its client may, until it is quarantined.
const maxOwnEnds = 2

// EngineEnd is how an attempt was broken off.
type EngineEnd struct {
	// Ended is set if the incarnation of the engine that the attempt was sent to has
	// ended.
	Ended bool
	// Announced is set if it had announced that it leaves, or had left the list.
	Announced bool
	// Undecided is set if it may have ended: its host does not answer.
	Undecided bool
	// Evidence is what shows whether it has.
	Evidence string
}

// examineBreak finds out whether the attempt, which failed with err, was broken off by
// the end of its engine before it had an answer, and records it. One that this daemon gave
// up itself was not broken off, but its engine may run it on.
func (a *attempt) examineBreak(err error) {
	if a.watch.HasAnswer() {
		return
	}
	if fault.As(err).Outcome == fault.NotRun {
		a.examineAbandoned()
		return
	}
	a.unresolved = true
	x := suspect.Exposure{Engine: a.engine.ID, StartMS: a.engine.StartUnixMS, Identity: a.identity, SentAt: a.sentAt, EndedAt: time.Now()}
	if a.ctx.Err() != nil {
		a.opts.Watch.Abandoned(x)
		return
	}
	a.examineEnd(x)
}

// examineEnd finds out whether the engine has ended.
func (a *attempt) examineEnd(x suspect.Exposure) {
	e := a.engine
	end := a.opts.EngineEnd(a.job.ctx, e)
	a.logDecision("attempt broken off", "engine", e.ID, "start_ms", e.StartUnixMS, "engine_ended", end.Ended, "announced", end.Announced, "evidence", end.Evidence,
		"fingerprint", suspect.Text(a.identity.Request), "after_ms", x.EndedAt.Sub(x.SentAt).Milliseconds())
	switch {
	case end.Ended:
		a.engineEnded, a.unresolved = true, false
		a.enginesEnded.Add(1)
		x.Announced = end.Announced
		a.recordEnd(x)
	case end.Undecided:
		a.opts.OnUndecided(e, x)
	}
}

// examineAbandoned finds out whether the engine, which cannot be reached, has ended after
// an attempt there was given up.
func (a *attempt) examineAbandoned() {
	x, ok := a.opts.Watch.LastAbandoned(a.engine.ID, a.engine.StartUnixMS)
	if !ok {
		return
	}
	if end := a.opts.EngineEnd(a.job.ctx, a.engine); end.Ended {
		x.EndedAt, x.Announced = time.Now(), end.Announced
		a.recordEnd(x)
	}
}

// recordEnd records that an engine has ended under a request.
func (a *attempt) recordEnd(x suspect.Exposure) {
	before, after := a.opts.Watch.EngineEnded(x)
	fields := []any{
		"engine", x.Engine, "fingerprint", suspect.Text(x.Identity.Request), "counted", len(after.Crashes) > len(before.Crashes),
		"counted_ends", len(after.Crashes), "engines", after.Engines(),
	}
	if !before.LastCrashAt.IsZero() {
		fields = append(fields, "sent_after_last_counted_ms", x.SentAt.Sub(before.LastCrashAt).Milliseconds())
	}
	a.logDecision("end recorded", fields...)
}

// quarantined returns the refusal of a request that is in quarantine, or has a part of
// its prompt there, or nil. ran is set if an engine may have run it.
func (j *job) quarantined(ran bool) *Refusal {
	v := j.opts.Watch.Verdict(j.identity)
	if v.Verdict != suspect.Refused {
		return nil
	}
	what, part := "this request", ""
	if v.Part >= 0 {
		part = j.req.SharedParts[v.Part]
		what = "requests with part " + part + " in their prompts"
	}
	last := time.Since(v.History.LastCrashAt)
	j.logDecision("quarantined", "fingerprint", suspect.Text(v.Fingerprint), "part", part, "engines", v.Crashes(),
		"last_end_ms_ago", last.Milliseconds(), "expires", v.History.ExpiresAt)
	state := "it was not run"
	if ran {
		state = "it is not run again"
	}
	return &Refusal{Cause: Quarantined, Reason: fmt.Sprintf(
		"%d engines ended while they ran %s, the last one %s ago; %s; change it before sending it again", len(v.History.Crashes), what, last.Round(time.Second), state)}
}

// endsUsedUp reports whether so many engines have ended under the request that this
// daemon must not send it again. ended is set if that of its last attempt has.
func (j *job) endsUsedUp(ended bool) bool {
	return ended && len(j.opts.Watch.Ends(j.identity)) >= maxOwnEnds
}

// refuseForEnds returns the refusal of a request under which too many engines have ended.
func (j *job) refuseForEnds() *Refusal {
	ends := j.opts.Watch.Ends(j.identity)
	j.logDecision("not sent again", "fingerprint", suspect.Text(j.identity.Request), "engines", ends)
	return &Refusal{Cause: Failed, Reason: fmt.Sprintf("%d engines ended while they ran this request", len(ends))}
}
