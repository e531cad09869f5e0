package suspect

import (
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// strongSuspect is the number of ends from which a daemon that passes news on tells all
// others of a suspect. Most requests that were in flight at one end are sound, and their
// news would be more than a large fleet's links bear when a failure domain is lost.
const strongSuspect = 2

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
	// Announced is set if the engine had announced that it leaves, or had left the list.
	Announced bool
}

func (e *Exposure) incarnation() Incarnation {
	return Incarnation{Replica: e.Engine, Incarnation: strconv.FormatInt(e.StartMS, 10)}
}

func (e *Exposure) crash() *Crash {
	return &Crash{Replica: e.Engine, Incarnation: strconv.FormatInt(e.StartMS, 10), At: e.EndedAt}
}

// Change is a change of the verdict on a fingerprint.
type Change struct {
	Fingerprint Fingerprint
	From, To    Verdict
	History     History
	// Rivals are the parts that may have caused the crashes instead.
	Rivals []Fingerprint
}

// Options configure a Watch. All fields are required.
type Options struct {
	// OnEnd is called once for each incarnation of an engine that has ended, by its
	// start in Unix milliseconds.
	OnEnd func(engine string, startMS int64)
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
	// abandoned holds attempts of this daemon that were given up lately without an answer,
	// by the incarnation of their engine.
	abandoned    *shard.Map[[]Exposure]
	abandonments counter
	// hinted holds, by the fingerprint, until when others are asked about a suspect whose
	// history this daemon does not know.
	hinted *shard.Map[time.Time]
	// toldAt holds when another daemon last told of a quarantine or a suspect, by the
	// fingerprint.
	toldAt *shard.Map[time.Time]
	// trials are those that this daemon arbitrates.
	trials *Trials
}

// NewWatch returns a Watch without histories.
func NewWatch(o Options) *Watch {
	return &Watch{
		opts: o, ledger: NewLedger(), attempts: shard.NewMap[*Attempt](), outbox: newOutbox(),
		abandoned: shard.NewMap[[]Exposure](), hinted: shard.NewMap[time.Time](), toldAt: shard.NewMap[time.Time](), trials: NewTrials(),
	}
}

// Ruling is how a request is handled, with the history that decides it.
type Ruling struct {
	Verdict
	Fingerprint Fingerprint
	// Part is the index in Identity.Parts of the part that decides it, or -1 if the
	// request itself does.
	Part    int
	History History
}

// Crashes returns the incarnations that ended under the request, each as engine@start.
func (v *Ruling) Crashes() []string { return incarnationTexts(v.History.Crashes) }

func incarnationTexts(crashes []Incarnation) []string {
	out := make([]string, len(crashes))
	for i, c := range crashes {
		out[i] = incarnationText(c)
	}
	return out
}

// Verdict returns the strictest verdict on a request.
func (w *Watch) Verdict(id Identity) Ruling {
	now := w.opts.Now()
	worst := Ruling{Part: -1}
	for i, f := range id.fingerprints() {
		history, ok := w.ledger.History(f)
		if !ok {
			continue
		}
		part := i - 1 // the first fingerprint is that of the request
		v := history.Verdict(now)
		if v == Refused && part >= 0 && !w.ledger.refuses(now, f, &history, &id) {
			v = Suspected
		}
		if v > worst.Verdict {
			worst = Ruling{v, f, part, history}
		}
	}
	return worst
}

// Ends returns the engines that have ended under the request itself.
func (w *Watch) Ends(id Identity) []string {
	history, _ := w.ledger.History(id.Request)
	return incarnationTexts(history.Crashes)
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
	if v := a.watch.Verdict(a.id); v.Verdict == Refused {
		a.cancel()
	}
}

// Answered records that the attempt has an answer, or the first part of one, so that
// its request does not end engines. An error does not show that, whosever it is: an engine
// may answer with one before it runs the request.
func (a *Attempt) Answered() {
	if a.answered.Swap(true) {
		return
	}
	now := a.watch.opts.Now()
	for _, f := range a.id.fingerprints() {
		a.watch.ledger.rememberAnswer(now, f)
		a.watch.answer(f, true)
	}
}

// HasAnswer reports whether Answered was called.
func (a *Attempt) HasAnswer() bool { return a.answered.Load() }

// End removes the attempt.
func (a *Attempt) End() { a.watch.attempts.Delete(a.key) }

// EngineEnded records that an engine has ended under an attempt of this daemon. It
// returns the history of the request itself before and after it.
func (w *Watch) EngineEnded(e Exposure) (before, after History) {
	before, after = w.expose(&e)
	w.outbox.addExposure(e, w.opts.Now())
	w.opts.Publish()
	return before, after
}

// expose adds an exposure to the histories of its request and the parts of its prompt. One
// that has been answered lately is not the cause; daemons that pass news on say so to
// those that have not seen it. It returns the history of the request itself before and
// after it.
func (w *Watch) expose(e *Exposure) (requestBefore, requestAfter History) {
	now := w.opts.Now()
	crash := e.crash()
	isNew := w.ledger.addExposed(now, e.incarnation(), e.Identity.Parts)
	if isNew {
		w.opts.OnEnd(e.Engine, e.StartMS)
	}
	for i, f := range e.Identity.fingerprints() {
		ctx := Context{Shared: true, SentAt: e.SentAt, Announced: e.Announced}
		if w.ledger.answeredLately(now, f) {
			if w.opts.PassesOn() {
				w.tellAnswer(now, f)
			}
			continue
		}
		if i > 0 {
			ctx.Request = e.Identity.Request
		}
		before, after := w.ledger.AddCrash(now, f, crash, ctx)
		if i == 0 {
			requestBefore, requestAfter = before, after
		}
		w.changed(now, f, before, after)
		if after.Engines() > before.Engines() && after.Engines() >= strongSuspect && w.opts.PassesOn() {
			w.outbox.addHint(f, now)
		}
	}
	if isNew {
		w.exposeAbandoned(e)
	}
	return requestBefore, requestAfter
}

// tellAnswer tells other daemons that a request with the part has been answered, unless
// it did so within newsRetention.
func (w *Watch) tellAnswer(now time.Time, f Fingerprint) {
	if addNew(w.outbox.answers, Text(f), f, now, answerNewsTTL) {
		w.opts.Publish()
	}
}

// answer records an answer to a request with the fingerprint. own is set if this
// daemon has seen it.
func (w *Watch) answer(f Fingerprint, own bool) {
	before, after := w.ledger.Answer(f)
	if len(before.Crashes) == 0 {
		return
	}
	now := w.opts.Now()
	w.changed(now, f, before, after)
	strong := len(before.Crashes) >= strongSuspect
	if !own && !(strong && w.opts.PassesOn()) {
		return
	}
	if !strong {
		w.outbox.addAnswer(f, now, newsTTL)
		return
	}
	w.outbox.addAnswer(f, now, answerNewsTTL)
	w.opts.Publish() // others may be about to refuse it
}

// isStrong reports whether a request, or a part of its prompt, is a strong suspect. A part
// may be in flight at all engines of a domain that is lost.
func (w *Watch) isStrong(id *Identity) bool {
	history, _ := w.ledger.History(id.Request)
	return history.Engines() >= strongSuspect || slices.ContainsFunc(id.Parts, func(f Fingerprint) bool {
		history, _ := w.ledger.History(f)
		return len(history.Crashes) >= strongSuspect
	})
}

// changed reports a change of the verdict on a fingerprint, and gives up the attempts
// of requests that are now refused.
func (w *Watch) changed(now time.Time, f Fingerprint, before, after History) {
	from, to := before.Verdict(now), after.Verdict(now)
	if from == to {
		return
	}
	w.opts.OnChange(Change{f, from, to, after, w.ledger.rivals(now, f, &after)})
	if to != Refused {
		return
	}
	if w.opts.PassesOn() {
		w.outbox.startStanding(now)
		w.opts.Publish()
	}
	w.attempts.Range(func(_ string, a *Attempt) bool {
		a.cancelIfRefused()
		return true
	})
}
