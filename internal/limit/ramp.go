package limit

import "time"

// Parameters of the ramp from the cold limit to the full limit.
const (
	// slowResponseFactor is the multiple of the replica's baseline above which a
	// time counts as slow.
	slowResponseFactor = 4
	// minSlowFirstToken and minSlowTokenInterval keep noise on fast targets from
	// counting as slow.
	minSlowFirstToken    = 100 * time.Millisecond
	minSlowTokenInterval = 50 * time.Millisecond
	// slowResponsesUntilCold is the number of consecutive slow responses after
	// which a replica counts as cold.
	slowResponsesUntilCold = 3
	// baselineWindow is the number of responses that the baseline averages over.
	baselineWindow = 16
)

// ramp is the concurrency level that a replica is known to sustain in its present
// incarnation. Once as many complete responses as the level have each run while
// the replica was at its level, the level rises by one. A larger step would put
// load on a target of unknown capacity that no response has confirmed.
type ramp struct {
	incarnation string
	level       int
	// learnedAt is when the level last changed by observation; zero for a new
	// incarnation.
	learnedAt time.Time
	// atLevelResponses counts the responses at the present level, slowResponses
	// the consecutive slow ones.
	atLevelResponses int
	slowResponses    int
	// firstToken and tokenInterval are the replica's own baselines.
	firstToken    latencyBaseline
	tokenInterval latencyBaseline
}

// reset starts a new incarnation at the cold limit.
func (r *ramp) reset(incarnation string, cold int) {
	*r = ramp{incarnation: incarnation, level: cold}
}

// setCold returns to the cold limit within an incarnation. The baselines stay, so
// responses count again once they are as fast as before.
func (r *ramp) setCold(now time.Time, cold int) {
	r.level, r.atLevelResponses, r.slowResponses, r.learnedAt = min(r.level, cold), 0, 0, now
}

// restore takes a level that another daemon observed, unless a newer one is known.
func (r *ramp) restore(l ReplicaLevel, c Config) {
	if l.ObservedAt.After(r.learnedAt) {
		r.level, r.learnedAt = l.Level, l.ObservedAt
		r.clamp(c)
	}
}

// clamp keeps the level within the pool's limits after a configuration change.
func (r *ramp) clamp(c Config) {
	r.level = max(min(r.level, c.Limit), min(c.ColdLimit, c.Limit))
}

// record applies the result of an attempt. atLevel states that the replica ran
// as much work as its level during the attempt, and that the level is unchanged.
func (r *ramp) record(now time.Time, res Result, atLevel bool, c Config) {
	switch res.Outcome {
	case Crashed, Overloaded:
		r.setCold(now, c.ColdLimit)
	case OK:
		r.recordOK(now, res, atLevel, c)
	case Failed, Cancelled:
	}
}

func (r *ramp) recordOK(now time.Time, res Result, atLevel bool, c Config) {
	slow := r.firstToken.isSlow(res.FirstToken, minSlowFirstToken) || r.tokenInterval.isSlow(res.TokenInterval, minSlowTokenInterval)
	r.firstToken.record(res.FirstToken)
	r.tokenInterval.record(res.TokenInterval)
	if slow {
		r.slowResponses++
		if r.slowResponses >= slowResponsesUntilCold {
			r.setCold(now, c.ColdLimit)
		}
		return
	}
	r.slowResponses = 0
	if !atLevel || r.level >= c.Limit {
		return
	}
	r.atLevelResponses++
	if r.atLevelResponses >= r.level {
		r.level = min(c.Limit, r.level+1)
		r.atLevelResponses, r.learnedAt = 0, now
	}
}

// latencyBaseline is a slowly moving mean. A lasting change of latency becomes
// the new baseline.
type latencyBaseline struct{ mean time.Duration }

func (b *latencyBaseline) isSlow(d, floor time.Duration) bool {
	return b.mean > 0 && d > floor && d > slowResponseFactor*b.mean
}

func (b *latencyBaseline) record(d time.Duration) {
	switch {
	case d <= 0:
	case b.mean == 0:
		b.mean = d
	default:
		b.mean += (d - b.mean) / baselineWindow
	}
}
