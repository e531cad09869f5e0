package limit

import "time"

// Bounds of the cold ramp.
const (
	// slowFactor is how far above its own baseline a first token must come to
	// count as slow.
	slowFactor = 4
	// slowFloor keeps fast targets from being called slow for noise.
	slowFloor = 100 * time.Millisecond
	// slowRun is the number of slow answers in a row that mean a cold target.
	slowRun = 3
	// baselineWeight is the weight of history in the baseline.
	baselineWeight = 16
)

// ramp is the concurrency that a replica has shown it can bear in its present
// incarnation. It grows on evidence only: as many whole answers as the level,
// each of which ran while the replica was full.
type ramp struct {
	incarnation string
	level       int
	proven      int
	slow        int
	baseline    time.Duration
}

// begin sets the ramp to the cold limit for an incarnation.
func (r *ramp) begin(incarnation string, cold int) {
	*r = ramp{incarnation: incarnation, level: cold}
}

// chill returns to the cold limit within one incarnation. The baseline stays:
// answers are evidence again once they are as fast as before.
func (r *ramp) chill(cold int) {
	r.level, r.proven, r.slow = min(r.level, cold), 0, 0
}

// clamp keeps the level within the pool's limits after an edit.
func (r *ramp) clamp(c Config) {
	r.level = max(min(r.level, c.Limit), min(c.ColdLimit, c.Limit))
}

// record takes the result of an attempt. full says that the replica was at
// its level while the attempt ran, and that the level is still the same.
func (r *ramp) record(res Result, full bool, c Config) {
	switch res.Outcome {
	case Crashed, Overloaded:
		r.chill(c.ColdLimit)
	case OK:
		r.recordOK(res, full, c)
	case Failed, Cancelled:
	}
}

func (r *ramp) recordOK(res Result, full bool, c Config) {
	if r.isSlow(res.FirstToken) {
		r.slow++
		r.learn(res.FirstToken)
		if r.slow >= slowRun {
			r.chill(c.ColdLimit)
		}
		return
	}
	r.slow = 0
	r.learn(res.FirstToken)
	if !full || r.level >= c.Limit {
		return
	}
	r.proven++
	if r.proven >= r.level {
		r.level = min(c.Limit, r.level+max(1, r.level/2))
		r.proven = 0
	}
}

func (r *ramp) isSlow(first time.Duration) bool {
	return r.baseline > 0 && first > slowFloor && first > slowFactor*r.baseline
}

func (r *ramp) learn(first time.Duration) {
	if first <= 0 {
		return
	}
	if r.baseline == 0 {
		r.baseline = first
		return
	}
	r.baseline += (first - r.baseline) / baselineWeight
}
