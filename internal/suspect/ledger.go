package suspect

import (
	"slices"
	"time"

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
	// maxAnswers is the number of fingerprints whose answers are remembered from which the
	// older half is deleted, and answersPerSweep the number of answers between two checks.
	maxAnswers      = 16384
	answersPerSweep = 256
	// requestAnswerTTL is how long the answer to a request speaks for the same request. It
	// is short, since a request may become deadly with the data that it reads.
	requestAnswerTTL = time.Minute
)

// Ledger holds the crash histories of requests, in shards. It is safe for concurrent
// use.
type Ledger struct {
	histories *shard.Map[History]
	// exposed holds the parts of the prompts that were in flight at each crash.
	exposed   *shard.Map[exposedParts]
	additions counter
	// answered holds when requests were last answered, by their fingerprints. It outlives
	// the histories.
	answered *shard.Map[time.Time]
	answers  counter
}

// exposedParts are the parts of the prompts that were in flight at a crash.
type exposedParts struct {
	parts []Fingerprint
	at    time.Time
}

// NewLedger returns a ledger without histories.
func NewLedger() *Ledger {
	return &Ledger{histories: shard.NewMap[History](), exposed: shard.NewMap[exposedParts](), answered: shard.NewMap[time.Time]()}
}

// Verdict returns the strictest verdict on any of the fingerprints.
func (l *Ledger) Verdict(now time.Time, fingerprints []Fingerprint) Verdict {
	worst := Clear
	for _, f := range fingerprints {
		if history, ok := l.History(f); ok {
			worst = max(worst, history.Verdict(now))
		}
	}
	return worst
}

// History returns the history of a fingerprint.
func (l *Ledger) History(f Fingerprint) (History, bool) {
	return l.histories.Get(Text(f))
}

// AddCrash adds a crash to the history of a fingerprint. It returns the history
// before and after it.
func (l *Ledger) AddCrash(now time.Time, f Fingerprint, c *Crash, ctx Context) (before, after History) {
	if l.additions.next()%crashesPerSweep == 0 || l.histories.Len() >= maxHistories {
		l.sweep(now)
	}
	full := l.histories.Len() >= maxHistories
	l.histories.Update(Text(f), func(history History, known bool) (History, bool) {
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
func (l *Ledger) addExposed(now time.Time, c Incarnation, parts []Fingerprint) (isNew bool) {
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
// history, each of which may have caused them instead. Of the crashes that a verdict
// needs, one may lack a rival: the exposure of the request that has it may be missing.
func (l *Ledger) rivals(now time.Time, f Fingerprint, h *History) []Fingerprint {
	told := len(h.Told)
	seen, ends := map[Fingerprint]int{}, 0
	if told > 0 {
		ends = 1 // the told rivals were at all of them
		for _, g := range h.Rivals {
			seen[g] = 1
		}
	}
	for _, c := range h.Crashes[told:] {
		e, ok := l.exposed.Get(incarnationText(c))
		if !ok {
			continue
		}
		ends++
		for _, g := range e.parts {
			seen[g]++
		}
	}
	needed := ends
	if told == 0 && len(h.Crashes) <= SharedCrashes && ends == len(h.Crashes) {
		needed = max(1, ends-1)
	}
	var rivals []Fingerprint
	for g, n := range seen {
		if n >= needed && g != f && l.isSuspected(now, g, h) {
			rivals = append(rivals, g)
		}
	}
	slices.Sort(rivals)
	return rivals
}

// isSuspected reports whether a part may have caused the crashes of a history.
func (l *Ledger) isSuspected(now time.Time, g Fingerprint, h *History) bool {
	if l.answeredLately(now, g) {
		return false
	}
	history, ok := l.History(g)
	if !ok { // this daemon has not heard of it
		return slices.Contains(h.Rivals, g)
	}
	return history.Verdict(now) != Clear
}

// rememberAnswer records that a request with the fingerprint was answered.
func (l *Ledger) rememberAnswer(now time.Time, f Fingerprint) {
	l.answered.Set(Text(f), now)
	if l.answers.next()%answersPerSweep != 0 || l.answered.Len() <= maxAnswers {
		return
	}
	for age := QuarantineTTL; age > 0 && l.answered.Len() > maxAnswers/2; age /= 2 {
		l.answered.DeleteFunc(func(_ string, at time.Time) bool { return now.Sub(at) >= age })
	}
}

// answeredLately reports whether a request with the fingerprint has been answered lately.
// One that ends the engines that run it, or write on it, never is.
func (l *Ledger) answeredLately(now time.Time, f Fingerprint) bool {
	at, ok := l.answered.Get(Text(f))
	return ok && now.Sub(at) < answerTTL(f)
}

// answerTTL returns how long an answer speaks for a fingerprint.
func answerTTL(f Fingerprint) time.Duration {
	if f.isPart() {
		return QuarantineTTL
	}
	return requestAnswerTTL
}

// refuses reports whether a request is refused for one of its parts, which is in
// quarantine. If other parts may have caused the crashes as well, only a request that
// has all of them is refused: one that has some shows whether it is one of those.
func (l *Ledger) refuses(now time.Time, f Fingerprint, h *History, id *Identity) bool {
	return !slices.ContainsFunc(l.rivals(now, f, h), func(g Fingerprint) bool { return !slices.Contains(id.Parts, g) })
}

func incarnationText(c Incarnation) string { return c.Replica + "@" + c.Incarnation }

// Answer records that a request with the fingerprint has been answered, and returns
// the history before and after it.
func (l *Ledger) Answer(f Fingerprint) (before, after History) {
	if history, ok := l.History(f); !ok || len(history.Crashes) == 0 {
		return history, history
	}
	l.histories.Update(Text(f), func(history History, known bool) (History, bool) {
		before, after = history, history.WithAnswer()
		return after, known
	})
	return before, after
}

// sweep deletes expired histories, but for those whose quarantine is followed by a
// probation.
func (l *Ledger) sweep(now time.Time) {
	l.histories.DeleteFunc(func(_ string, h History) bool {
		return !now.Before(h.ExpiresAt) && (!h.Quarantined || !now.Before(h.ExpiresAt.Add(QuarantineTTL)))
	})
	l.exposed.DeleteFunc(func(_ string, e exposedParts) bool { return now.Sub(e.at) > QuarantineTTL })
}
