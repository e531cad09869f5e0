package suspect

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/retry"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// counter numbers things from 1.
type counter struct{ n atomic.Int64 }

func (c *counter) next() int64 { return c.n.Add(1) }

// Exposure is an attempt that ended with the incarnation of its engine before it had
// an answer. Its request may be what ended the engine.
type Exposure struct {
	Engine string
	// StartMS is the start of the incarnation in Unix milliseconds.
	StartMS  int64
	Identity Identity
	// SentAt is when the attempt was sent, EndedAt when its end was seen.
	SentAt, EndedAt time.Time
}

func (e *Exposure) crash() *retry.Crash {
	return &retry.Crash{Replica: e.Engine, Incarnation: strconv.FormatInt(e.StartMS, 10), At: e.EndedAt}
}

// Change is a change of the verdict on a fingerprint.
type Change struct {
	Fingerprint retry.Fingerprint
	From, To    retry.Verdict
	History     retry.CrashHistory
}

// Options configure a Watch. All fields are required.
type Options struct {
	// OnChange is called after a verdict has changed.
	OnChange func(Change)
	// Publish is called when News has something that other daemons need now.
	Publish func()
	// PassesOn reports whether this daemon passes the news of others on, and tells
	// all of them of the requests in quarantine.
	PassesOn func() bool
	// Now is the clock.
	Now func() time.Time
}

// Watch follows the attempts of this daemon and the crashes that all daemons have
// seen, and returns the verdict on a request. It is safe for concurrent use.
type Watch struct {
	opts   Options
	ledger *Ledger
	// attempts holds the attempts under way.
	attempts  *shard.Map[*Attempt]
	attemptNo counter
	outbox    *outbox
}

// NewWatch returns a Watch without histories.
func NewWatch(o Options) *Watch {
	return &Watch{opts: o, ledger: NewLedger(), attempts: shard.NewMap[*Attempt](), outbox: newOutbox()}
}

// Verdict is how a request is handled, with the history that decides it.
type Verdict struct {
	retry.Verdict
	Fingerprint retry.Fingerprint
	History     retry.CrashHistory
}

// Crashes returns the incarnations that ended under the request, each as engine@start.
func (v *Verdict) Crashes() []string {
	out := make([]string, len(v.History.Crashes))
	for i, c := range v.History.Crashes {
		out[i] = c.Replica + "@" + c.Incarnation
	}
	return out
}

// Verdict returns the strictest verdict on a request.
func (w *Watch) Verdict(id Identity) Verdict {
	now := w.opts.Now()
	worst := Verdict{}
	for _, f := range id.fingerprints() {
		history, ok := w.ledger.History(f)
		if !ok {
			continue
		}
		if v := history.Verdict(now); v > worst.Verdict || (v == worst.Verdict && len(history.Crashes) > len(worst.History.Crashes)) {
			worst = Verdict{v, f, history}
		}
	}
	return worst
}

// Attempt is an attempt under way.
type Attempt struct {
	watch    *Watch
	key      string
	id       Identity
	cancel   func()
	answered atomic.Bool
}

// Begin registers an attempt that is about to be sent. cancel gives it up; it is
// called if the request is quarantined before it has an answer, since it would end
// another engine.
func (w *Watch) Begin(id Identity, cancel func()) *Attempt {
	a := &Attempt{watch: w, key: strconv.FormatInt(w.attemptNo.next(), 36), id: id, cancel: cancel}
	w.attempts.Set(a.key, a)
	a.cancelIfRefused()
	return a
}

func (a *Attempt) cancelIfRefused() {
	if a.answered.Load() {
		return
	}
	if v := a.watch.Verdict(a.id); v.Verdict == retry.Refused {
		a.cancel()
	}
}

// Answered records that the attempt has an answer, or the first part of one, so that
// its request does not end engines.
func (a *Attempt) Answered() {
	if a.answered.Swap(true) {
		return
	}
	for _, f := range a.id.fingerprints() {
		a.watch.answer(f, true)
	}
}

// HasAnswer reports whether Answered was called.
func (a *Attempt) HasAnswer() bool { return a.answered.Load() }

// End removes the attempt.
func (a *Attempt) End() { a.watch.attempts.Delete(a.key) }

// EngineEnded records that an engine has ended under an attempt of this daemon.
func (w *Watch) EngineEnded(e Exposure) {
	w.expose(&e)
	w.outbox.addExposure(e, w.opts.Now())
	w.opts.Publish()
}

// expose adds an exposure to the history of its request.
func (w *Watch) expose(e *Exposure) {
	now := w.opts.Now()
	for _, f := range e.Identity.fingerprints() {
		before, after := w.ledger.AddCrash(now, f, e.crash(), retry.CrashContext{Shared: true, SentAt: e.SentAt})
		w.changed(now, f, before, after)
	}
}

// answer records an answer to a request with the fingerprint. own is set if this
// daemon has seen it.
func (w *Watch) answer(f retry.Fingerprint, own bool) {
	before, after := w.ledger.Answer(f)
	if len(before.Crashes) == 0 {
		return
	}
	now := w.opts.Now()
	w.changed(now, f, before, after)
	if own || w.opts.PassesOn() {
		w.outbox.addAnswer(f, now)
	}
}

// changed reports a change of the verdict on a fingerprint, and gives up the attempts
// of a request that is now refused.
func (w *Watch) changed(now time.Time, f retry.Fingerprint, before, after retry.CrashHistory) {
	from, to := before.Verdict(now), after.Verdict(now)
	if from == to {
		return
	}
	w.opts.OnChange(Change{f, from, to, after})
	if to != retry.Refused {
		return
	}
	w.attempts.Range(func(_ string, a *Attempt) bool {
		a.cancelIfRefused()
		return true
	})
}
