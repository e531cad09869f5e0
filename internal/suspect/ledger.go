package suspect

import (
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
)

// Ledger holds the crash histories of requests, in shards. It is safe for concurrent
// use.
type Ledger struct {
	histories *shard.Map[retry.CrashHistory]
	additions counter
}

// NewLedger returns a ledger without histories.
func NewLedger() *Ledger { return &Ledger{histories: shard.NewMap[retry.CrashHistory]()} }

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
}
