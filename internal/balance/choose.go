package balance

import (
	"math/rand/v2"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

const (
	// nearEnough is, for each daemon, the relative difference of predicted times
	// below which two engines are taken as equal, and nearMost its bound: daemons
	// choose from the same knowledge, and all would choose the same engine
	// otherwise. In a large fleet reports are rarer and older.
	nearEnough = 0.01
	nearMost   = 0.8
	// failurePenalty multiplies the predicted time of an engine by its share of
	// recent failures.
	failurePenalty = 12
	// farPenalty prefers engines of the own zone among equals; it stands for the
	// price of bytes between zones, not for the delay of a millisecond.
	farPenalty = 1.05
)

// Candidate is an engine, or a group by its head, that may take a request.
type Candidate struct {
	// Head takes the request.
	Head *catalog.Engine
	// Service is the engine's service; Pace is its model's, 1 for plain ones.
	Service *catalog.Service
	Pace    float64
}

// Choice is the engine chosen and what is expected of it.
type Choice struct {
	Candidate Candidate
	Predicted Prediction
	Load      Load
}

// Choose returns the candidate with the shortest predicted time to the first
// event, those of the daemon's zone among equals. Engines under suspicion are
// used only if there is no other, and cold ones only within their allowance. It
// returns false if none may be used.
func Choose(cands []Candidate, t *Tracker, w Work, zone string, now time.Time) (Choice, bool) {
	best, found := pick(cands, t, w, zone, now, false)
	if !found {
		best, found = pick(cands, t, w, zone, now, true)
	}
	return best, found
}

func pick(cands []Candidate, t *Tracker, w Work, zone string, now time.Time, doubtful bool) (Choice, bool) {
	var best Choice
	var bestScore float64
	found := false
	near := t.near()
	for _, c := range cands {
		st := t.Status(c.Head, c.Service.ColdRequestsPerSecond, now)
		if st.Suspected != doubtful {
			continue
		}
		if c.Head.ColdRemainingAt(now) > 0 && c.Service.ColdRequestsPerSecond > 0 && !st.ColdAllowed {
			continue
		}
		pred := c.predict(st, w)
		score := float64(pred.FirstEvent) * (1 + failurePenalty*st.FailureRate)
		if c.Head.Zone != zone {
			score *= farPenalty
		}
		score *= 1 + near*rand.Float64()
		if !found || score < bestScore {
			best, bestScore, found = Choice{c, pred, st.Load}, score, true
		}
	}
	return best, found
}

// predict returns the expected course at the candidate.
func (c *Candidate) predict(st Status, w Work) Prediction {
	if spec := c.Service.Engine; spec != nil {
		return Predict(spec, c.Pace, st.Load, w)
	}
	mean := max(st.MeanAnswerTime, defaultAnswer)
	slots := max(1, c.Head.Slots)
	wait := time.Duration(0)
	if over := st.Load.InFlight + 1 - slots; over > 0 {
		wait = mean * time.Duration(over) / time.Duration(slots)
	}
	// An engine that is nearly full is slower, so load counts below the limit too.
	busy := 1 + float64(st.Load.InFlight)/float64(slots)/2
	return Prediction{FirstEvent: wait + time.Duration(float64(mean)*busy), SlotWait: wait}
}
