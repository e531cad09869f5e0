package suspect

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// newsTTL is how long an item of news is sent. It covers the loss of a datagram
	// and a whole round to all daemons of a large fleet.
	newsTTL = 600 * time.Millisecond
	// answerNewsTTL is the same for an answer that may clear a quarantine. A daemon that
	// missed it would go on refusing.
	answerNewsTTL = 3 * time.Second
	// newsRetention is how long an item is recognised when it arrives again.
	newsRetention = 10 * time.Second
	// standingInterval is the interval at which all daemons are told of the requests in
	// quarantine and the strongest suspects, for those that have just started or were cut
	// off.
	standingInterval = time.Second
	// standingTTL is how long they are sent each time: a round to all daemons.
	standingTTL = 300 * time.Millisecond
	// maxQuarantineNews bounds the requests in quarantine that are sent.
	maxQuarantineNews = 64
	// standingSilence is how long nobody must have told of a quarantine or a suspect until
	// daemons do that do not pass news on: the others may have lost their memory.
	standingSilence = 2 * standingInterval
)

// News is what daemons tell each other: exposures and answers that were seen lately,
// and requests in quarantine.
type News struct {
	Exposures   []Exposure
	Answers     []Fingerprint
	Quarantines []Quarantine
	// Hints are suspects that were in flight at several engines that ended. A daemon asks
	// the arbiter before it tries one, whether or not it has heard of the ends.
	Hints []Fingerprint
}

// Quarantine is a request in quarantine, with the crashes that led to it.
type Quarantine struct {
	Fingerprint Fingerprint
	Crashes     []Incarnation
	LastCrashAt time.Time
	ExpiresAt   time.Time
	// Rivals are the parts that may have caused the crashes instead.
	Rivals []Fingerprint
}

// outbox holds the news that this daemon sends. It keeps them for newsRetention, so
// that each is passed on once.
type outbox struct {
	exposures *shard.Map[queued[Exposure]]
	answers   *shard.Map[queued[Fingerprint]]
	hints     *shard.Map[queued[Fingerprint]]

	mu sync.Mutex
	// standingAt is when the requests in quarantine were last begun to be sent.
	standingAt time.Time
}

// queued is an item of news with the time at which it was queued, and until when it is
// sent.
type queued[T any] struct {
	item      T
	at, until time.Time
}

func newOutbox() *outbox {
	return &outbox{exposures: shard.NewMap[queued[Exposure]](), answers: shard.NewMap[queued[Fingerprint]](), hints: shard.NewMap[queued[Fingerprint]]()}
}

// addExposure queues an exposure and reports whether it was not known.
func (o *outbox) addExposure(e Exposure, now time.Time) bool {
	key := e.Engine + "/" + strconv.FormatInt(e.StartMS, 10) + "/" + Text(e.Identity.Request)
	return addNew(o.exposures, key, e, now, newsTTL)
}

// addAnswer queues an answer.
func (o *outbox) addAnswer(f Fingerprint, now time.Time, ttl time.Duration) {
	o.answers.Set(Text(f), queued[Fingerprint]{f, now, now.Add(ttl)})
}

// addNew queues an item that has not been queued within newsRetention, and reports whether
// it did.
func addNew[T any](m *shard.Map[queued[T]], key string, item T, now time.Time, ttl time.Duration) bool {
	isNew := false
	m.Update(key, func(old queued[T], known bool) (queued[T], bool) {
		isNew = !known
		if known {
			return old, true
		}
		return queued[T]{item, now, now.Add(ttl)}, true
	})
	return isNew
}

// due returns the items that are to be sent and deletes those that are older than
// newsRetention.
func due[T any](m *shard.Map[queued[T]], now time.Time) []T {
	m.DeleteFunc(func(_ string, q queued[T]) bool { return now.Sub(q.at) > newsRetention })
	var out []T
	m.Range(func(_ string, q queued[T]) bool {
		if !now.After(q.until) {
			out = append(out, q.item)
		}
		return true
	})
	return out
}

// standingDue reports whether the requests in quarantine and the strongest suspects are to be sent.
func (o *outbox) standingDue(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.standingAt) >= standingInterval {
		o.standingAt = now
	}
	return now.Sub(o.standingAt) <= standingTTL
}

// startStanding makes the requests in quarantine and the strongest suspects be sent from now on.
func (o *outbox) startStanding(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.standingAt = now
}

// News returns what is to be sent to other daemons.
func (w *Watch) News() News {
	now := w.opts.Now()
	n := News{Exposures: due(w.outbox.exposures, now), Answers: due(w.outbox.answers, now), Hints: due(w.outbox.hints, now)}
	n.Hints = n.Hints[:min(len(n.Hints), maxHints)]
	if w.outbox.standingDue(now) {
		n.Quarantines = w.ledger.quarantines(now)
		standing := w.ledger.strongest(now, maxStandingHints)
		if !w.opts.PassesOn() {
			n.Quarantines = slices.DeleteFunc(n.Quarantines, func(q Quarantine) bool { return w.isTold(now, q.Fingerprint) })
			standing = slices.DeleteFunc(standing, func(f Fingerprint) bool { return w.isTold(now, f) })
		}
		n.Hints = append(n.Hints, standing...)
	}
	return n
}

// isTold reports whether another daemon has told of a quarantine or a suspect lately, or
// this one has just learned of it.
func (w *Watch) isTold(now time.Time, f Fingerprint) bool {
	at, ok := w.toldAt.Get(Text(f))
	if !ok {
		w.setTold(now, f)
		return true
	}
	return now.Sub(at) < standingSilence
}

func (w *Watch) setTold(now time.Time, f Fingerprint) {
	if w.toldAt.Len() >= maxHistories {
		w.toldAt.DeleteFunc(func(_ string, at time.Time) bool { return now.Sub(at) >= standingSilence })
	}
	if w.toldAt.Len() < maxHistories {
		w.toldAt.Set(Text(f), now)
	}
}

// Apply applies the news of another daemon.
func (w *Watch) Apply(n *News) {
	now := w.opts.Now()
	for i := range n.Exposures {
		w.expose(&n.Exposures[i])
		if w.opts.PassesOn() && w.isStrong(&n.Exposures[i].Identity) && w.outbox.addExposure(n.Exposures[i], now) {
			w.opts.Publish()
		}
	}
	for _, f := range n.Answers {
		w.hinted.Delete(Text(f))
		w.ledger.rememberAnswer(now, f)
		w.answer(f, false)
	}
	w.applyHints(now, n.Hints)
	for i := range n.Quarantines {
		w.setTold(now, n.Quarantines[i].Fingerprint)
		if f := n.Quarantines[i].Fingerprint; w.ledger.answeredLately(now, f) {
			w.tellAnswer(now, f) // the sender has not seen that
			continue
		}
		before, after := w.ledger.adopt(now, &n.Quarantines[i], !w.opts.PassesOn())
		w.changed(now, n.Quarantines[i].Fingerprint, before, after)
	}
}

// quarantines returns at most maxQuarantineNews requests in quarantine.
func (l *Ledger) quarantines(now time.Time) []Quarantine {
	var out []Quarantine
	refused := map[Fingerprint]History{}
	l.histories.Range(func(key string, h History) bool {
		f, err := strconv.ParseUint(key, 16, 64)
		if err == nil && h.Verdict(now) == Refused {
			refused[Fingerprint(f)] = h
		}
		return len(refused) < maxQuarantineNews
	})
	for f, h := range refused {
		rivals := l.rivals(now, f, &h)
		out = append(out, Quarantine{f, h.Crashes, h.LastCrashAt, h.ExpiresAt, rivals[:min(len(rivals), maxParts)]})
	}
	return out
}

// adopt quarantines a request that another daemon has in quarantine, unless it has
// been answered since. informed is set if the other daemon knows more of the crashes
// than this one, so that its rivals replace those found here. It returns the history
// before and after it.
func (l *Ledger) adopt(now time.Time, q *Quarantine, informed bool) (before, after History) {
	full := l.histories.Len() >= maxHistories
	l.histories.Update(Text(q.Fingerprint), func(history History, known bool) (History, bool) {
		before, after = history, history
		refused := history.Verdict(now) == Refused
		if !now.Before(q.ExpiresAt) || history.AnsweredSince(q.Crashes) || (full && !known) || (refused && !informed) {
			return history, known
		}
		after.Ends, after.Told, after.Crashes, after.Rivals = nil, q.Crashes, q.Crashes, q.Rivals
		after.LastCrashAt, after.ExpiresAt, after.Quarantined = q.LastCrashAt, q.ExpiresAt, true
		return after, true
	})
	return before, after
}
