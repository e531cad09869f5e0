package relay

import (
	"net/http"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// answerTargetFraction is the fraction of the route's target latency after which
	// another engine is asked beside one that has not answered.
	answerTargetFraction = 0.8
	// answerPredictedFactor sets the same time as a multiple of the predicted time to the
	// first event; the longer of the two applies.
	answerPredictedFactor = 4
)

// bufferedResponse is an engine's response with its complete body. It is read to its end
// before anything is written to the client, so that a broken one can be replaced.
type bufferedResponse struct {
	status int
	header map[string][]string
	body   []byte
}

// answerLimit returns how long an engine may take for a whole answer until another one is
// asked as well.
func (j *job) answerLimit(c balance.Choice) time.Duration {
	return max(time.Duration(answerTargetFraction*float64(j.route.TargetLatency)), answerPredictedFactor*c.Predicted.FirstEvent)
}

// unprovenPromise returns an error for a response whose status tells clients that the
// request has not run, although the engine does not state it.
func unprovenPromise(e *catalog.Engine, resp Response) error {
	switch resp.Status() {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fault.New(fault.Interrupted, "check the engine", "engine %s answered with status %d without stating that the request has not run", e.ID, resp.Status())
	default:
		return nil
	}
}

// deliver writes a response that was read whole to the client.
func (x *exchange) deliver(out *bufferedResponse) {
	x.finished = true
	x.summary.TimeToFirst = time.Since(x.req.Arrived)
	x.summary.Outcome = "answered"
	if err := x.w.WriteHeader(out.status, out.header, len(out.body)); err != nil {
		x.summary.Outcome = "client_gone"
		return
	}
	if _, err := x.w.Write(out.body); err != nil {
		x.summary.Outcome = "client_gone"
	}
}
