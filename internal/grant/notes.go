package grant

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// minSweep is the number of notes below which none is looked at for its age.
const minSweep = 256

// note remembers and forgets grants for their home. It reports false if a
// later tenure is known: its home was told without these grants.
func (l *line) note(now time.Time, m *wire.WitnessUpdate) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Term < l.term {
		return false
	}
	l.know(m.Home, m.Term)
	for i := range m.Grants {
		l.notes[m.Grants[i].ID] = m.Grants[i]
	}
	for _, id := range m.Ended {
		delete(l.notes, id)
	}
	l.sweepNotes(now)
	return true
}

// sweepNotes drops notes whose requests must have ended.
func (l *line) sweepNotes(now time.Time) {
	if len(l.notes) < l.sweep {
		return
	}
	for id, g := range l.notes {
		if g.Deadline.Add(limit.GrantTTL).Before(now) {
			delete(l.notes, id)
		}
	}
	l.sweep = max(minSweep, 2*len(l.notes))
}
