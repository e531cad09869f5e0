package limit

import "time"

// Bounds of the cold ramp.
const (
	// slowFactor is how far above its own baseline a first token must come to
	// count as slow.
	slowFactor = 4
	// firstFloor and stepFloor keep fast targets from being called slow for
	// noise.
	firstFloor = 100 * time.Millisecond
	stepFloor  = 50 * time.Millisecond
	// slowRun is the number of slow answers in a row that mean a cold target.
	slowRun = 3
	// baselineWeight is the weight of history in the baseline.
	baselineWeight = 16
)

// ramp is the concurrency that a replica has shown it can bear in its present
// incarnation. It grows on evidence only: as many whole answers as the level,
// each of which ran while the replica was full, prove the level, and one more
// request is then tried. A larger step would push work that no answer speaks
// for onto a target of unknown strength.
type ramp struct {
	incarnation string
	level       int
	// since is when the level was last learned; zero for a new incarnation.
	since  time.Time
	proven int
	slow   int
	// first and step are the replica's own times when it was not slow.
	first gauge
	step  gauge
}

// begin sets the ramp to the cold limit for an incarnation.
func (r *ramp) begin(incarnation string, cold int) {
	*r = ramp{incarnation: incarnation, level: cold}
}

// chill returns to the cold limit within one incarnation. The baseline stays:
// answers are evidence again once they are as fast as before.
func (r *ramp) chill(now time.Time, cold int) {
	r.level, r.proven, r.slow, r.since = min(r.level, cold), 0, 0, now
}

// recall takes a level that another daemon remembers, unless a newer one is
// known.
func (r *ramp) recall(m ReplicaLevel, c Config) {
	if m.ObservedAt.After(r.since) {
		r.level, r.since = m.Level, m.ObservedAt
		r.clamp(c)
	}
}

// clamp keeps the level within the pool's limits after an edit.
func (r *ramp) clamp(c Config) {
	r.level = max(min(r.level, c.Limit), min(c.ColdLimit, c.Limit))
}

// record takes the result of an attempt. full says that the replica was at
// its level while the attempt ran, and that the level is still the same.
func (r *ramp) record(now time.Time, res Result, full bool, c Config) {
	switch res.Outcome {
	case Crashed, Overloaded:
		r.chill(now, c.ColdLimit)
	case OK:
		r.recordOK(now, res, full, c)
	case Failed, Cancelled:
	}
}

func (r *ramp) recordOK(now time.Time, res Result, full bool, c Config) {
	slow := r.first.isSlow(res.FirstToken, firstFloor) || r.step.isSlow(res.TokenInterval, stepFloor)
	r.first.learn(res.FirstToken)
	r.step.learn(res.TokenInterval)
	if slow {
		r.slow++
		if r.slow >= slowRun {
			r.chill(now, c.ColdLimit)
		}
		return
	}
	r.slow = 0
	if !full || r.level >= c.Limit {
		return
	}
	r.proven++
	if r.proven >= r.level {
		r.level = min(c.Limit, r.level+1)
		r.proven, r.since = 0, now
	}
}

// gauge is a slowly moving mean. A lasting change becomes the new baseline.
type gauge struct{ mean time.Duration }

func (g *gauge) isSlow(d, floor time.Duration) bool {
	return g.mean > 0 && d > floor && d > slowFactor*g.mean
}

func (g *gauge) learn(d time.Duration) {
	switch {
	case d <= 0:
	case g.mean == 0:
		g.mean = d
	default:
		g.mean += (d - g.mean) / baselineWeight
	}
}
