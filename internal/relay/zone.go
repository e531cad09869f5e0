package relay

import (
	"github.com/ragwortquay/ragwortquay/internal/admission"
	"github.com/ragwortquay/ragwortquay/internal/balance"
)

// addedHeadBytes is about what the headers that the daemon sets add to a request.
const addedHeadBytes = 200

// zoneRule returns the rule by which the request may leave the zone.
func (j *job) zoneRule() balance.ZoneRule {
	rule := balance.ZoneRule{Zone: j.opts.Zone, Target: j.route.TargetLatency}
	if j.standing == admission.Late {
		rule.Target = 0 // it can't be met anywhere
	}
	if j.opts.ZoneCost > 0 {
		bytes := float64(requestBytes(j.req)) + j.opts.AnswerSizes.Expected(j.answerKey())
		rule.Charge = balance.ZoneCharge(bytes, j.opts.ZoneCost)
	}
	return rule
}

// requestBytes returns about how many bytes the request takes on its way to an engine.
func requestBytes(r *Request) int {
	n := addedHeadBytes + len(r.Method) + len(r.Target) + len(r.Host) + len(r.ID) + len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// answerKey names the requests whose answers are of similar size: those for one model, or
// of one route if the service has no such model.
func (j *job) answerKey() string {
	if j.summary.Model != "" {
		return "model/" + j.summary.Service + "/" + j.summary.Model
	}
	return "route/" + j.route.Name
}

// recordAnswerSize records the size of a complete answer. The bytes of several attempts
// can't be told apart.
func (j *job) recordAnswerSize() {
	if j.opts.ZoneCost > 0 && j.sends == 1 && j.summary.Outcome == "answered" {
		j.opts.AnswerSizes.Record(j.answerKey(), int(j.received.Load()))
	}
}
