package balance

import (
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// failurePenalty, times an engine's recent failure rate, is the relative increase of its
// predicted time.
const failurePenalty = 12

// Candidate is an engine, or a group represented by its head, to which a request
// may be sent.
type Candidate struct {
	// Head is the engine that receives the request.
	Head *catalog.Engine
	// Service is the engine's service. TimeFactor is that of the group's model, 1
	// for plain services.
	Service    *catalog.Service
	TimeFactor float64
	// Late is set if the request is late: its engine starts new requests first.
	Late bool
}

// Choice is the chosen engine, with the prediction and the load it was chosen by.
type Choice struct {
	Candidate Candidate
	Predicted Prediction
	Load      Load
	// Crossing is the reason why the engine is in another zone than the daemon.
	Crossing Crossing
}

// Choose returns one of the candidates with the shortest predicted times to the first
// event, and prefers the daemon's zone by the given rule. Suspected engines are used
// only if there is no other, and cold engines only within their rate limit. It
// returns false if no candidate may be used.
//
// If target is positive, the candidates that Admit accepts for that target latency are
// preferred. So a request leaves its zone whatever the charge if no engine of the zone
// admits it and one of another zone does.
func Choose(cands []Candidate, t *Tracker, w Work, zone ZoneRule, target time.Duration, now time.Time) (Choice, bool) {
	list := usable(cands, t, w, now, false)
	if len(list) == 0 {
		list = usable(cands, t, w, now, true)
	}
	if len(list) == 0 {
		return Choice{}, false
	}
	all := list
	if target > 0 {
		admitted := slices.DeleteFunc(slices.Clone(list), func(s scored) bool { return !Admit(s.choice, target) })
		if len(admitted) > 0 {
			list = admitted
		}
	}
	return zone.choose(list, all, t.reportAge()), true
}

// usable returns the candidates that may be used now, with their scores, of those that
// are suspected or of those that are not.
func usable(cands []Candidate, t *Tracker, w Work, now time.Time, suspected bool) []scored {
	list := make([]scored, 0, len(cands))
	for _, c := range cands {
		st := t.Status(c.Head, c.Service.ColdRequestsPerSecond, now)
		if st.Suspected != suspected || now.Before(st.UnavailableUntil) {
			continue
		}
		if c.Head.ColdRemainingAt(now) > 0 && c.Service.ColdRequestsPerSecond > 0 && !st.ColdAllowed {
			continue
		}
		list = append(list, c.score(st, w))
	}
	return list
}

// score predicts a request's course at the candidate, and how much one more such
// request would change it.
func (c *Candidate) score(st Status, w Work) scored {
	pred := c.predict(st, w)
	more := st
	more.Load.InFlight++
	more.Load.PendingTokens += w.PromptTokens
	return scored{
		choice:    Choice{Candidate: *c, Predicted: pred, Load: st.Load},
		score:     float64(pred.FirstEvent) * (1 + failurePenalty*st.FailureRate),
		added:     float64(c.predict(more, w).FirstEvent - pred.FirstEvent),
		residence: pred.Residence,
	}
}

// predict returns the expected course of a request at the candidate.
func (c *Candidate) predict(st Status, w Work) Prediction {
	if spec := c.Service.Engine; spec != nil {
		return Predict(spec, c.TimeFactor, st.loadAhead(spec.Slots, c.Late), w)
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
	answer := time.Duration(float64(mean) * busy)
	return Prediction{FirstEvent: wait + answer, SlotWait: wait, Residence: answer}
}
