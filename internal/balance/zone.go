package balance

import (
	"cmp"
	"slices"
	"time"
)

// DefaultZoneCost is the default cost of traffic between zones, in milliseconds per MB.
// A typical request and its answer take 4 to 6 KB, heads included, so they are charged 8
// to 12 ms: more than equally loaded groups differ by, and little of a target latency of
// 200 to 800 ms.
const DefaultZoneCost = 2000

const (
	// maxZoneCharge bounds the charge, so that sums of charges and times do not overflow.
	maxZoneCharge = time.Hour
	// calmShare is the share of the target latency within which the engines of a zone must
	// be predicted to send the first event for it to keep all its requests. Predictions
	// are for the mean; the rest of the target is for requests and moments above it.
	calmShare = 0.35
)

// ZoneCharge returns the charge for bytes that would cross zones at the given cost in
// milliseconds per MB.
func ZoneCharge(bytes, costPerMB float64) time.Duration {
	return fromMS(min(max(0, bytes*costPerMB/1e6), float64(maxZoneCharge.Milliseconds())))
}

// ZoneRule decides whether a request leaves the zone of its daemon. It addresses a zone
// that is short of capacity or without an engine for a model, and traffic that crosses
// zones although both could serve it.
//
// While the engines of the zone serve requests well within their target latency, they stay
// there: time that is saved within the target is worth nothing to callers, and bytes cost.
// Beyond that all candidates are compared, those of other zones by their predicted time and
// the charge, and the arrivals within the age of the loads are divided among them so that
// the last request sent away gains as much as the first one kept. All daemons of a zone
// decide by the same loads and at random, so that load does not oscillate.
type ZoneRule struct {
	// Zone is the zone of the daemon.
	Zone string
	// Charge is the time by which a candidate in another zone must be better.
	Charge time.Duration
	// Target is the target latency of the request; 0 if it has none.
	Target time.Duration
}

// Crossing is the reason why a request is sent to another zone.
type Crossing string

// The reasons.
const (
	// NotCrossed means that the request stays in the zone.
	NotCrossed Crossing = ""
	// CrossedWithoutEngine means that no engine of the zone may be used.
	CrossedWithoutEngine Crossing = "no_engine"
	// CrossedBusy means that no engine of the zone admits the request.
	CrossedBusy Crossing = "busy"
	// CrossedLate means that the engines of the zone miss the target latency, and others
	// meet it.
	CrossedLate Crossing = "late"
	// CrossedForLoad means that another zone is better by more than the charge.
	CrossedForLoad Crossing = "load"
)

// choose returns one of the candidates in list. usable are those that may be used, which
// include those of list. age is that of the known loads.
func (z ZoneRule) choose(list, usable []scored, age time.Duration) Choice {
	own, others := z.split(list)
	home, _ := z.split(usable)
	switch {
	case len(others) == 0 || z.calm(own, age):
		return pick(own, expectedArrivals(own, age))
	case len(home) == 0:
		return cross(others, CrossedWithoutEngine, age)
	case len(own) == 0:
		return cross(others, CrossedBusy, age)
	}
	if inTime := slices.DeleteFunc(slices.Clone(others), z.misses); len(inTime) > 0 && !slices.ContainsFunc(own, z.meets) {
		return cross(inTime, CrossedLate, age)
	}
	for i := range others {
		others[i].score += float64(z.Charge)
		others[i].choice.Crossing = CrossedForLoad
	}
	list = append(own, others...)
	return pick(list, expectedArrivals(list, age))
}

// cross returns one of the candidates in other zones.
func cross(others []scored, reason Crossing, age time.Duration) Choice {
	choice := pick(others, expectedArrivals(others, age))
	choice.Crossing = reason
	return choice
}

// calm reports whether the zone keeps all its requests.
func (z ZoneRule) calm(own []scored, age time.Duration) bool {
	if len(own) == 0 || z.Charge <= 0 || z.Target <= 0 {
		return false
	}
	first := func(s scored) float64 { return float64(s.choice.Predicted.FirstEvent) }
	return meanOfArrivals(own, age, first) <= calmShare*float64(z.Target)
}

// misses reports whether a candidate is predicted to miss the target latency, and meets
// whether it is predicted to meet one that there is.
func (z ZoneRule) misses(s scored) bool {
	return z.Target <= 0 || s.choice.Predicted.FirstEvent > z.Target
}
func (z ZoneRule) meets(s scored) bool { return !z.misses(s) }

// split returns the candidates in the daemon's zone and those in others.
func (z ZoneRule) split(list []scored) (own, others []scored) {
	for _, s := range list {
		if s.choice.Candidate.Head.Zone == z.Zone {
			own = append(own, s)
		} else {
			others = append(others, s)
		}
	}
	return own, others
}

// meanOfArrivals returns the mean of a value over the candidates as the arrivals within
// the age of the loads are divided among them.
func meanOfArrivals(list []scored, age time.Duration, value func(scored) float64) float64 {
	weights := arrivalWeights(list, expectedArrivals(list, age))
	sum, total := 0.0, 0.0
	for i, s := range list {
		sum += weights[i] * value(s)
		total += weights[i]
	}
	if total <= 0 {
		return value(slices.MinFunc(list, func(a, b scored) int { return cmp.Compare(a.score, b.score) }))
	}
	return sum / total
}
