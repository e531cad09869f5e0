package grant

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// minWitnessedSweep is the number of witnessed grants below which there is no
// sweep for expired ones.
const minWitnessedSweep = 256

// recordWitnessed adds and removes witnessed grants for their home. It reports
// false if a later tenure is known, whose home was not told of these grants.
func (hs *holderState) recordWitnessed(now time.Time, m *wire.WitnessUpdate) bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if m.Term < hs.term {
		return false
	}
	hs.advanceTerm(m.Home, m.Term)
	for i := range m.Grants {
		hs.witnessed[m.Grants[i].ID] = m.Grants[i]
	}
	for _, id := range m.Ended {
		delete(hs.witnessed, id)
	}
	hs.sweepWitnessed(now)
	return true
}

// sweepWitnessed removes grants whose requests must have ended.
func (hs *holderState) sweepWitnessed(now time.Time) {
	if len(hs.witnessed) < hs.sweepAt {
		return
	}
	for id, g := range hs.witnessed {
		if g.Deadline.Add(limit.GrantTTL).Before(now) {
			delete(hs.witnessed, id)
		}
	}
	hs.sweepAt = max(minWitnessedSweep, 2*len(hs.witnessed))
}
