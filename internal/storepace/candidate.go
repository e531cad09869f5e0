package storepace

import "time"

const (
	// candidates is the number of daemons that are always candidates for the planners'
	// lease.
	candidates = 4
	// maxPlannerAbsence is how long no daemon must have held the planners' lease before
	// others become candidates: two lease terms, within which a candidate that reaches
	// the store takes over.
	maxPlannerAbsence = 2400 * time.Millisecond
	// candidateInterval is the interval at which the next four of the ranking try after
	// that. The first four renew their candidacy ten times a second together, so four
	// tries a second keep the calls within 1.5 times those.
	candidateInterval = time.Second
)

// Candidacy is what the decision rests on whether a daemon tries to become a candidate
// for the planners' lease.
type Candidacy struct {
	Now time.Duration
	// Rank is the number of live daemons that rank before this one, and Size the number
	// of daemons.
	Rank, Size int
	// PlannerAt is when a daemon was last known to hold the lease.
	PlannerAt time.Duration
	// FailedAt is when this daemon last failed to become a candidate; 0 for never.
	FailedAt time.Duration
}

// Allowed reports whether the daemon may try now. It addresses a store that is away for
// longer than the lease: without it all daemons of the fleet tried, and none ever stopped.
// The first four always may. The others follow in the order of the ranking, four at a
// time, and each tries once in a turn.
func (c *Candidacy) Allowed() bool {
	if c.Rank < candidates {
		return true
	}
	rounds := time.Duration(c.Rank/candidates - 1)
	at := c.PlannerAt + maxPlannerAbsence + rounds*candidateInterval
	if c.FailedAt > c.PlannerAt {
		size := max(c.Size, 2*candidates)
		at = max(at, c.FailedAt+time.Duration(size)*candidateInterval/candidates)
	}
	return c.Now > at
}
