package suspect

import (
	"slices"
	"strconv"
	"time"
)

const (
	// maxHints bounds the hints that are sent at a time, so that they fit in one datagram.
	maxHints = 100
	// maxStandingHints bounds the suspects that are named to all each standingInterval.
	maxStandingHints = 32
	// hintTTL is how long a daemon asks about a suspect after a hint.
	hintTTL = 10 * standingInterval
)

// addHint queues a hint.
func (o *outbox) addHint(f Fingerprint, now time.Time) {
	o.hints.Set(Text(f), queued[Fingerprint]{f, now, now.Add(newsTTL)})
}

// strongest returns the suspects under which several engines have ended, at most n of
// them: those of the latest ends.
func (l *Ledger) strongest(now time.Time, n int) []Fingerprint {
	type suspect struct {
		fingerprint Fingerprint
		endedAt     time.Time
	}
	var found []suspect
	l.histories.Range(func(key string, h History) bool {
		f, err := strconv.ParseUint(key, 16, 64)
		if err == nil && h.Verdict(now) == Suspected && h.Engines() >= strongSuspect && len(h.Ends) > 0 && !l.answeredLately(now, Fingerprint(f)) {
			found = append(found, suspect{Fingerprint(f), h.Ends[len(h.Ends)-1].EndedAt})
		}
		return true
	})
	slices.SortFunc(found, func(a, b suspect) int { return b.endedAt.Compare(a.endedAt) })
	out := make([]Fingerprint, 0, n)
	for _, s := range found[:min(len(found), n)] {
		out = append(out, s.fingerprint)
	}
	return out
}

// isHinted reports whether the arbiter is to be asked about a fingerprint.
func (w *Watch) isHinted(now time.Time, f Fingerprint) bool {
	until, ok := w.hinted.Get(Text(f))
	return ok && now.Before(until)
}

// applyHints remembers hints, but for those that this daemon knows better.
func (w *Watch) applyHints(now time.Time, hints []Fingerprint) {
	for _, f := range hints {
		w.setTold(now, f)
		if history, known := w.ledger.History(f); w.ledger.answeredLately(now, f) || known && history.Verdict(now) != Clear {
			continue
		}
		if w.hinted.Len() >= maxHistories {
			w.hinted.DeleteFunc(func(_ string, until time.Time) bool { return !now.Before(until) })
		}
		if w.hinted.Len() < maxHistories {
			w.hinted.Set(Text(f), now.Add(hintTTL))
		}
	}
}
