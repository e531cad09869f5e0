package relay

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// sampleOneIn is how many successes stand behind one line of the log.
const sampleOneIn = 64

// RequestSummary is what is remembered of a request for logs and metrics.
type RequestSummary struct {
	// Outcome is "answered", "cut", "client_gone" or the name of a Cause.
	Outcome string
	Kind    string
	Engine  string
	Retries int
	Resumes int
	// PredictedFirstEvent is the expected time from the last send to the first event, Load
	// the requests that were under way at the engine.
	PredictedFirstEvent time.Duration
	EngineLoad          int
	// TimeToFirst is the time to the first event or the whole answer.
	TimeToFirst time.Duration
	TotalTime   time.Duration
	// Late means that the answer missed the route's aim or pause.
	Late bool
}

// Observer takes what is counted of requests.
type Observer interface {
	RecordRequest(RequestSummary)
}

// finish reports the request once.
func (j *job) finish() {
	if j.note.TotalTime != 0 {
		return
	}
	j.note.TotalTime = time.Since(j.req.Arrived)
	if j.route != nil {
		j.note.Kind = j.route.Kind.String()
		j.note.Late = j.note.Late || j.note.TimeToFirst > j.route.TargetLatency
	}
	if j.ctx.Err() != nil && j.note.Outcome == "" {
		j.note.Outcome = "client_gone"
	}
	j.o.Observer.RecordRequest(j.note)
	notable := j.note.Outcome != "answered" || j.note.Late || j.note.Retries > 0
	if notable || shard.Hash(j.req.ID)%sampleOneIn == 0 {
		klog.InfoS("request", "request", j.req.ID, "outcome", j.note.Outcome, "kind", j.note.Kind, "engine", j.note.Engine,
			"sends", j.sends, "resumes", j.note.Resumes, "late", j.note.Late,
			"predicted_ms", j.note.PredictedFirstEvent.Milliseconds(), "engine_load", j.note.EngineLoad,
			"first_ms", j.note.TimeToFirst.Milliseconds(), "total_ms", j.note.TotalTime.Milliseconds())
	}
}
