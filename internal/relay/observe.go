package relay

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// logSampleInterval is the number of successful requests per logged one.
const logSampleInterval = 64

// RequestSummary is the outcome of a request for logs and metrics.
type RequestSummary struct {
	// Outcome is "answered", "cut", "client_gone" or the name of a Cause.
	Outcome string
	// Kind is the route's kind; empty if no route matched.
	Kind string
	// Service and Model name the model that was requested; empty if the service has
	// no such model.
	Service, Model string
	// Standing is how the request was judged for admission, and Verdict the last
	// verdict, "admitted" or "refused"; both are empty if it was not judged.
	Standing, Verdict string
	// Share is how the request relates to the share of its tenant; empty where capacity
	// is not divided.
	Share string
	// Engine is the id of the engine that the answer came from, or of the last attempt.
	Engine string
	// Retries counts all attempts after the first. Resumes counts those of them
	// that continued a stream of which the client already had events.
	Retries int
	Resumes int
	// Takeovers counts the silent attempts whose answer went on at an engine that was
	// asked beside them, Recoveries those that went on themselves meanwhile.
	Takeovers, Recoveries int
	// PredictedFirstEvent is the predicted time from the last send to the first
	// event. EngineLoad is the number of requests in flight at the engine at that
	// send.
	PredictedFirstEvent time.Duration
	EngineLoad          int
	// TimeToFirst is the time from arrival to the first event or to the complete
	// buffered response.
	TimeToFirst time.Duration
	TotalTime   time.Duration
	// LeaveNotices counts the engines that were first heard to leave in a response to
	// the request, EngineWaits those that asked for a wait.
	LeaveNotices int
	EngineWaits  int
	// EnginesEnded counts the attempts that ended with their engines before they had an
	// answer.
	EnginesEnded int
	// Crossing is the reason why the last attempt was sent to another zone.
	Crossing balance.Crossing
	// Late is set if the response missed the route's target latency.
	Late bool
}

// Observer records the outcomes of requests.
type Observer interface {
	RecordRequest(RequestSummary)
}

// report records and logs the outcome of the request. It does nothing if called
// again.
func (j *job) report() {
	if j.summary.TotalTime != 0 {
		return
	}
	j.summary.TotalTime = time.Since(j.req.Arrived)
	if j.route != nil {
		j.summary.Kind = j.route.Kind.String()
		j.summary.Late = j.summary.Late || j.summary.TimeToFirst > j.route.TargetLatency
	}
	if j.ctx.Err() != nil && j.summary.Outcome == "" {
		j.summary.Outcome = "client_gone"
	}
	j.summary.LeaveNotices, j.summary.EngineWaits, j.summary.EnginesEnded = int(j.leaveNotices.Load()), int(j.engineWaits.Load()), int(j.enginesEnded.Load())
	j.recordAnswerSize()
	j.opts.Observer.RecordRequest(j.summary)
	notable := j.summary.Outcome != "answered" || j.summary.Late || j.summary.Retries > 0
	if notable || shard.Hash(j.req.ID)%logSampleInterval == 0 {
		klog.InfoS("request", "request", j.req.ID, "config_version", j.configVersion(), "outcome", j.summary.Outcome, "kind", j.summary.Kind, "engine", j.summary.Engine,
			"sends", j.sends, "resumes", j.summary.Resumes, "late", j.summary.Late, "standing", j.summary.Standing,
			"predicted_ms", j.summary.PredictedFirstEvent.Milliseconds(), "engine_load", j.summary.EngineLoad, "crossing", j.summary.Crossing,
			"first_ms", j.summary.TimeToFirst.Milliseconds(), "total_ms", j.summary.TotalTime.Milliseconds())
	}
}
