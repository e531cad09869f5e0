package relay

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
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

// examineBreak finds out whether an attempt that failed with err was broken off by
// the end of its engine before it had an answer, and records it. ctx is the context of
// the attempt: one that this daemon gave up itself was not broken off, but its engine may
// run it on.
func (j *job) examineBreak(ctx context.Context, e *catalog.Engine, sentAt time.Time, err error) {
	if j.attempt.HasAnswer() {
		return
	}
	if fault.As(err).Outcome == fault.NotRun {
		j.examineAbandoned(e)
		return
	}
	j.unresolved = true
	x := suspect.Exposure{Engine: e.ID, StartMS: e.StartUnixMS, Identity: j.identity, SentAt: sentAt, EndedAt: time.Now()}
	if ctx.Err() != nil {
		j.opts.Watch.Abandoned(x)
		return
	}
	j.examineEnd(e, x)
}

// examineEnd finds out whether the engine has ended.
func (j *job) examineEnd(e *catalog.Engine, x suspect.Exposure) {
	end := j.opts.EngineEnd(j.ctx, e)
	j.logDecision("attempt broken off", "engine", e.ID, "start_ms", e.StartUnixMS, "engine_ended", end.Ended, "announced", end.Announced, "evidence", end.Evidence,
		"fingerprint", suspect.Text(j.identity.Request), "after_ms", x.EndedAt.Sub(x.SentAt).Milliseconds())
	switch {
	case end.Ended:
		j.engineEnded, j.unresolved = true, false
		j.summary.EnginesEnded++
		x.Announced = end.Announced
		j.recordEnd(x)
	case end.Undecided:
		j.opts.OnUndecided(e, x)
	}
}

// examineAbandoned finds out whether an engine that cannot be reached has ended after an
// attempt there was given up.
func (j *job) examineAbandoned(e *catalog.Engine) {
	x, ok := j.opts.Watch.LastAbandoned(e.ID, e.StartUnixMS)
	if !ok {
		return
	}
	if end := j.opts.EngineEnd(j.ctx, e); end.Ended {
		x.EndedAt, x.Announced = time.Now(), end.Announced
		j.recordEnd(x)
	}
}

// recordEnd records that an engine has ended under a request.
func (j *job) recordEnd(x suspect.Exposure) {
	before, after := j.opts.Watch.EngineEnded(x)
	fields := []any{
		"engine", x.Engine, "fingerprint", suspect.Text(x.Identity.Request), "counted", len(after.Crashes) > len(before.Crashes),
		"counted_ends", len(after.Crashes), "engines", after.Engines(),
	}
	if !before.LastCrashAt.IsZero() {
		fields = append(fields, "sent_after_last_counted_ms", x.SentAt.Sub(before.LastCrashAt).Milliseconds())
	}
	j.logDecision("end recorded", fields...)
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

// stopAfterBreak returns the refusal of a request whose last attempt failed and that
// this daemon must not send again, or nil.
func (j *job) stopAfterBreak(mayHaveRun bool) *Refusal {
	refusal := cmp.Or(j.stopping(), j.quarantined(mayHaveRun || j.possibleRuns > 0))
	if ends := j.opts.Watch.Ends(j.identity); refusal == nil && j.engineEnded && len(ends) >= maxOwnEnds {
		j.logDecision("not sent again", "fingerprint", suspect.Text(j.identity.Request), "engines", ends)
		refusal = &Refusal{Cause: Failed, Reason: fmt.Sprintf("%d engines ended while they ran this request", len(ends))}
	}
	if refusal != nil && mayHaveRun {
		j.possibleRuns++
	}
	return refusal
}
