package suspect

import "time"

const (
	// maxHints bounds the hints that are sent at a time, so that they fit in one datagram.
	maxHints = 100
	// hintTTL is how long a daemon asks about a suspect after a hint.
	hintTTL = time.Minute
)

// addHint queues a hint.
func (o *outbox) addHint(f Fingerprint, now time.Time) {
	o.hints.Set(Text(f), queued[Fingerprint]{f, now, now.Add(newsTTL)})
}

// isHinted reports whether the arbiter is to be asked about a fingerprint.
func (w *Watch) isHinted(now time.Time, f Fingerprint) bool {
	until, ok := w.hinted.Get(Text(f))
	return ok && now.Before(until)
}

// applyHints remembers hints, but for those that this daemon knows better.
func (w *Watch) applyHints(now time.Time, hints []Fingerprint) {
	for _, f := range hints {
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
