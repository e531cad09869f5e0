package balance

import (
	"math/rand/v2"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

const (
	// tieMarginPerDaemon, times the number of daemons but at most maxTieMargin, is
	// the relative difference of predicted times below which two engines count as
	// equal. All daemons choose from the same reports, and without a random choice
	// among equals all would choose the same engine. The margin grows with the
	// fleet, because reports are rarer and older in a large one.
	tieMarginPerDaemon = 0.01
	maxTieMargin       = 0.8
	// failurePenalty, times an engine's recent failure rate, is the relative
	// increase of its predicted time.
	failurePenalty = 12
	// otherZonePenalty multiplies the predicted time of engines in other zones, so
	// that the daemon's own zone is preferred among equals. It represents the cost
	// of traffic between zones, not for the added latency of a millisecond.
	otherZonePenalty = 1.05
)

// Candidate is an engine, or a group represented by its head, to which a request
// may be sent.
type Candidate struct {
	// Head is the engine that receives the request.
	Head *catalog.Engine
	// Service is the engine's service. TimeFactor is that of the group's model, 1
	// for plain services.
	Service    *catalog.Service
	TimeFactor float64
}

// Choice is the chosen engine, with the prediction and the load it was chosen by.
type Choice struct {
	Candidate Candidate
	Predicted Prediction
	Load      Load
}

// Choose returns the candidate with the shortest predicted time to the first
// event, and prefers the daemon's zone among equals. Suspected engines are used
// only if there is no other, and cold engines only within their rate limit. It
// returns false if no candidate may be used.
func Choose(cands []Candidate, t *Tracker, w Work, zone string, now time.Time) (Choice, bool) {
	best, found := chooseAmong(cands, t, w, zone, now, false)
	if !found {
		best, found = chooseAmong(cands, t, w, zone, now, true)
	}
	return best, found
}

// chooseAmong is Choose among the candidates that are suspected, or among those
// that are not.
func chooseAmong(cands []Candidate, t *Tracker, w Work, zone string, now time.Time, suspected bool) (Choice, bool) {
	var best Choice
	var bestScore float64
	found := false
	margin := t.tieMargin()
	for _, c := range cands {
		st := t.Status(c.Head, c.Service.ColdRequestsPerSecond, now)
		if st.Suspected != suspected || now.Before(st.UnavailableUntil) {
			continue
		}
		if c.Head.ColdRemainingAt(now) > 0 && c.Service.ColdRequestsPerSecond > 0 && !st.ColdAllowed {
			continue
		}
		pred := c.predict(st, w)
		score := float64(pred.FirstEvent) * (1 + failurePenalty*st.FailureRate)
		if c.Head.Zone != zone {
			score *= otherZonePenalty
		}
		score *= 1 + margin*rand.Float64()
		if !found || score < bestScore {
			best, bestScore, found = Choice{c, pred, st.Load}, score, true
		}
	}
	return best, found
}

// predict returns the expected course of a request at the candidate.
func (c *Candidate) predict(st Status, w Work) Prediction {
	if spec := c.Service.Engine; spec != nil {
		return Predict(spec, c.TimeFactor, st.Load, w)
	}
	mean := max(st.MeanAnswerTime, defaultAnswerTime)
	slots := max(1, c.Head.Slots)
	wait := time.Duration(0)
	if over := st.Load.InFlight + 1 - slots; over > 0 {
		wait = mean * time.Duration(over) / time.Duration(slots)
	}
	// A plain engine slows down as its slots fill, so load below the limit counts
	// too.
	busy := 1 + float64(st.Load.InFlight)/float64(slots)/2
	return Prediction{FirstEvent: wait + time.Duration(float64(mean)*busy), SlotWait: wait}
}
