package relay

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// sampleOneIn is how many successes stand behind one line of the log.
const sampleOneIn = 64

// Note is what is remembered of a request for logs and metrics.
type Note struct {
	// Outcome is "answered", "cut", "client_gone" or the name of a Cause.
	Outcome string
	Kind    string
	Engine  string
	Repeats int
	Resumes int
	// Predicted is the expected time from the last send to the first event, Load
	// the requests that were under way at the engine.
	Predicted time.Duration
	Load      int
	// First is the time to the first event or the whole answer.
	First time.Duration
	Total time.Duration
	// Late means that the answer missed the route's aim or pause.
	Late bool
}

// Observer takes what is counted of requests.
type Observer interface {
	Request(Note)
}

// finish reports the request once.
func (j *job) finish() {
	if j.note.Total != 0 {
		return
	}
	j.note.Total = time.Since(j.req.Arrived)
	if j.route != nil {
		j.note.Kind = j.route.Kind.String()
		j.note.Late = j.note.Late || j.note.First > j.route.TargetLatency
	}
	if j.ctx.Err() != nil && j.note.Outcome == "" {
		j.note.Outcome = "client_gone"
	}
	j.o.Observer.Request(j.note)
	notable := j.note.Outcome != "answered" || j.note.Late || j.note.Repeats > 0
	if notable || shard.Hash(j.req.ID)%sampleOneIn == 0 {
		klog.InfoS("request", "request", j.req.ID, "outcome", j.note.Outcome, "kind", j.note.Kind, "engine", j.note.Engine,
			"sends", j.sends, "resumes", j.note.Resumes, "late", j.note.Late,
			"predicted_ms", j.note.Predicted.Milliseconds(), "engine_load", j.note.Load,
			"first_ms", j.note.First.Milliseconds(), "total_ms", j.note.Total.Milliseconds())
	}
}
