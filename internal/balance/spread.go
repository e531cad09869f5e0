package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// scored is a candidate with its score: the predicted time to the first event in
// nanoseconds, raised by penalties. added is by how much one more such request
// raises it, and residence is how long a request stays at the engine.
type scored struct {
	choice    Choice
	score     float64
	added     float64
	residence time.Duration
}

// expectedArrivals returns the number of requests that all daemons together have sent
// to the candidates within the age of the loads that this daemon knows. By Little's
// law their rate is the number in flight divided by the time that each stays.
func expectedArrivals(list []scored, age time.Duration) float64 {
	rate := 0.0
	for _, c := range list {
		if c.residence > 0 {
			rate += float64(c.choice.Load.InFlight) / c.residence.Seconds()
		}
	}
	return rate * age.Seconds()
}

// pick returns one of the candidates at random. All daemons choose from the same
// loads, which are some hundred milliseconds old in a large fleet; if each took the
// best candidate, that would get everything until the next report. Instead the
// arrivals expected within the age of the loads are divided so that they raise the
// lowest scores to one level, and a candidate's probability is its part of them.
func pick(list []scored, arrivals float64) Choice {
	weights := arrivalWeights(list, arrivals)
	total := 0.0
	for _, w := range weights {
		total += w
	}
	point := rand.Float64() * total
	for i, w := range weights {
		if point -= w; point < 0 {
			return list[i].choice
		}
	}
	return slices.MinFunc(list, func(a, b scored) int { return cmp.Compare(a.score, b.score) }).choice
}

// arrivalWeights returns the parts of the arrivals that the candidates get, in the time by
// which they raise the scores.
func arrivalWeights(list []scored, arrivals float64) []float64 {
	added := 0.0
	weights := make([]float64, len(list))
	for i, c := range list {
		weights[i] = c.score
		added += c.added / float64(len(list))
	}
	level := fillLevel(weights, max(1, arrivals)*added)
	for i, score := range weights {
		weights[i] = max(0, level-score)
	}
	return weights
}

// fillLevel returns the level to which an amount raises the lowest of the scores.
func fillLevel(scores []float64, amount float64) float64 {
	sorted := slices.Sorted(slices.Values(scores))
	sum := 0.0
	for i, s := range sorted {
		sum += s
		level := (sum + amount) / float64(i+1)
		if i+1 == len(sorted) || level <= sorted[i+1] {
			return level
		}
	}
	return 0
}
