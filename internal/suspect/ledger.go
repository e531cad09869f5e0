package suspect

import (
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/retry"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// maxHistories bounds the histories of a ledger. Crashes of further requests are
	// not recorded until older histories have expired.
	maxHistories = 4096
	// crashesPerSweep is the number of added crashes between two removals of expired
	// histories.
	crashesPerSweep = 64
	// maxExposedParts bounds the parts that are recorded for one crash.
	maxExposedParts = 256
)

// Ledger holds the crash histories of requests, in shards. It is safe for concurrent
// use.
type Ledger struct {
	histories *shard.Map[retry.CrashHistory]
	// exposed holds the parts of the prompts that were in flight at each crash.
	exposed   *shard.Map[exposedParts]
	additions counter
}

// exposedParts are the parts of the prompts that were in flight at a crash.
type exposedParts struct {
	parts []retry.Fingerprint
	at    time.Time
}

// NewLedger returns a ledger without histories.
func NewLedger() *Ledger {
	return &Ledger{histories: shard.NewMap[retry.CrashHistory](), exposed: shard.NewMap[exposedParts]()}
}

// Verdict returns the strictest verdict on any of the fingerprints.
func (l *Ledger) Verdict(now time.Time, fingerprints []retry.Fingerprint) retry.Verdict {
	worst := retry.Clear
	for _, f := range fingerprints {
		if history, ok := l.History(f); ok {
			worst = max(worst, history.Verdict(now))
		}
	}
	return worst
}

// History returns the history of a fingerprint.
func (l *Ledger) History(f retry.Fingerprint) (retry.CrashHistory, bool) {
	return l.histories.Get(Text(f))
}

// AddCrash adds a crash to the history of a fingerprint. It returns the history
// before and after it.
func (l *Ledger) AddCrash(now time.Time, f retry.Fingerprint, c *retry.Crash, ctx retry.CrashContext) (before, after retry.CrashHistory) {
	if l.additions.next()%crashesPerSweep == 0 || l.histories.Len() >= maxHistories {
		l.sweep(now)
	}
	full := l.histories.Len() >= maxHistories
	l.histories.Update(Text(f), func(history retry.CrashHistory, known bool) (retry.CrashHistory, bool) {
		before, after = history, history
		if known || !full {
			after = history.WithCrash(now, c, ctx)
		}
		return after, known || !full
	})
	return before, after
}

// addExposed records that parts of a prompt were in flight at a crash, and reports
// whether the crash was not known.
func (l *Ledger) addExposed(now time.Time, c retry.ReplicaIncarnation, parts []retry.Fingerprint) (isNew bool) {
	full := l.exposed.Len() >= maxHistories
	l.exposed.Update(incarnationText(c), func(e exposedParts, known bool) (exposedParts, bool) {
		if isNew = !known; isNew {
			e.at = now
		}
		e.parts = slices.Clone(e.parts)
		for _, f := range parts {
			if len(e.parts) < maxExposedParts && !slices.Contains(e.parts, f) {
				e.parts = append(e.parts, f)
			}
		}
		return e, known || !full
	})
	return isNew
}

// rivals returns the suspected parts that were in flight at all crashes of a part's
// history, each of which may have caused them instead.
func (l *Ledger) rivals(now time.Time, f retry.Fingerprint, h *retry.CrashHistory) []retry.Fingerprint {
	told := min(h.RivalCrashes, len(h.Crashes))
	rivals, known := h.Rivals, told > 0
	for _, c := range h.Crashes[told:] {
		e, ok := l.exposed.Get(incarnationText(c))
		switch {
		case !ok:
		case !known:
			rivals, known = e.parts, true
		default:
			rivals = slices.DeleteFunc(slices.Clone(rivals), func(g retry.Fingerprint) bool { return !slices.Contains(e.parts, g) })
		}
	}
	return slices.DeleteFunc(slices.Clone(rivals), func(g retry.Fingerprint) bool {
		rival, ok := l.History(g)
		if !ok { // this daemon has not heard of it
			return !slices.Contains(h.Rivals, g)
		}
		return g == f || rival.Verdict(now) == retry.Clear
	})
}

// refuses reports whether a request is refused for one of its parts, which is in
// quarantine. If another part may have caused the crashes as well, only a request that
// has both is refused: one that has a single one of them shows which it is.
func (l *Ledger) refuses(now time.Time, f retry.Fingerprint, h *retry.CrashHistory, id *Identity) bool {
	rivals := l.rivals(now, f, h)
	return len(rivals) == 0 || slices.ContainsFunc(rivals, func(g retry.Fingerprint) bool { return slices.Contains(id.Parts, g) })
}

func incarnationText(c retry.ReplicaIncarnation) string { return c.Replica + "@" + c.Incarnation }

// Answer records that a request with the fingerprint has been answered, and returns
// the history before and after it.
func (l *Ledger) Answer(f retry.Fingerprint) (before, after retry.CrashHistory) {
	if history, ok := l.History(f); !ok || len(history.Crashes) == 0 {
		return history, history
	}
	l.histories.Update(Text(f), func(history retry.CrashHistory, known bool) (retry.CrashHistory, bool) {
		before, after = history, history.WithAnswer()
		return after, known
	})
	return before, after
}

// sweep deletes expired histories, but for those whose quarantine is followed by a
// probation.
func (l *Ledger) sweep(now time.Time) {
	l.histories.DeleteFunc(func(_ string, h retry.CrashHistory) bool {
		return !now.Before(h.ExpiresAt) && (!h.Quarantined || !now.Before(h.ExpiresAt.Add(retry.QuarantineTTL)))
	})
	l.exposed.DeleteFunc(func(_ string, e exposedParts) bool { return now.Sub(e.at) > retry.QuarantineTTL })
}
