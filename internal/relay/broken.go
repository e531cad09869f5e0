package relay

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
)

// EngineEnd is how an attempt was broken off.
type EngineEnd struct {
	// Ended is set if the incarnation of the engine that the attempt was sent to has
	// ended without having announced that it leaves.
	Ended bool
	// Evidence is what shows whether it has.
	Evidence string
}

// examineBreak finds out whether an attempt that failed with err was broken off by
// the end of its engine before it had an answer, and logs it. ctx is the context of
// the attempt: an attempt that this daemon gave up itself was not broken off.
func (j *job) examineBreak(ctx context.Context, e *catalog.Engine, sentAt time.Time, answered bool, err error) bool {
	if answered || ctx.Err() != nil || fault.As(err).Outcome == fault.NotRun {
		return false
	}
	end := j.opts.EngineEnd(j.ctx, e)
	j.logDecision("attempt broken off", "engine", e.ID, "start_ms", e.StartUnixMS, "engine_ended", end.Ended, "evidence", end.Evidence,
		"fingerprint", suspect.Text(j.identity.Request), "after_ms", time.Since(sentAt).Milliseconds())
	if end.Ended {
		j.summary.EnginesEnded++
	}
	return end.Ended
}
