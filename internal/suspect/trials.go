package suspect

import (
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// maxTrial bounds a trial whose end is not reported.
	maxTrial = 10 * time.Second
	// maxTrials bounds the trials under way. None begins while there are more.
	maxTrials = 16384
	// weakEngines is the largest number of engines that have ended under a weak suspect.
	weakEngines = 1
)

// Trials lets one attempt of a suspect run at a time: one that ends its engines then
// ends a single one with each run, and an outage also ends engines that do not run it.
// One daemon, the arbiter, keeps the trials of all. It is safe for concurrent use.
type Trials struct {
	running *shard.Map[trial]
}

// trial is an attempt of a suspect under way.
type trial struct {
	holder string
	until  time.Time
}

// NewTrials returns Trials without any under way.
func NewTrials() *Trials { return &Trials{running: shard.NewMap[trial]()} }

// begin begins a trial of all suspects, or of none if one of them is being tried by
// another holder. The trial ends at until unless end is called before.
func (t *Trials) begin(now time.Time, holder string, suspects []Fingerprint, until time.Time) bool {
	if until.After(now.Add(maxTrial)) {
		until = now.Add(maxTrial)
	}
	if t.running.Len() >= maxTrials {
		t.running.DeleteFunc(func(_ string, o trial) bool { return !now.Before(o.until) })
	}
	if t.running.Len() >= maxTrials {
		return false
	}
	for i, f := range suspects {
		taken := false
		t.running.Update(Text(f), func(o trial, known bool) (trial, bool) {
			if taken = !known || o.holder == holder || !now.Before(o.until); taken {
				o = trial{holder, until}
			}
			return o, true
		})
		if !taken {
			t.end(now, holder, suspects[:i], now)
			return false
		}
	}
	return true
}

// end lets the holder's trial of suspects end at until, or now if that has passed.
func (t *Trials) end(now time.Time, holder string, suspects []Fingerprint, until time.Time) {
	for _, f := range suspects {
		t.running.Update(Text(f), func(o trial, known bool) (trial, bool) {
			if known && o.holder == holder {
				o.until = until
			}
			return o, known && now.Before(o.until)
		})
	}
}

// Suspects is what of a request is under suspicion.
type Suspects struct {
	// Fingerprints are those of the request and of parts of its prompt under which
	// engines have ended.
	Fingerprints []Fingerprint
	// Engines is the largest number of engines that ended under one of them.
	Engines int
}

// Suspects returns what of a request is under suspicion.
func (w *Watch) Suspects(id Identity) Suspects {
	now := w.opts.Now()
	var s Suspects
	for _, f := range id.fingerprints() {
		if w.ledger.answeredLately(now, f) {
			continue
		}
		engines := 0
		if history, known := w.ledger.History(f); known && history.Verdict(now) != Clear {
			engines = history.Engines()
		} else if w.isHinted(now, f) {
			engines = strongSuspect
		}
		if engines > 0 {
			s.Fingerprints = append(s.Fingerprints, f)
			s.Engines = max(s.Engines, engines)
		}
	}
	slices.Sort(s.Fingerprints)
	return s
}

// Weak reports whether a request with the suspects may run although no daemon tells
// whether it is being tried elsewhere, or another engine may still run it. Most requests
// under which one engine ended are sound; copies of one that ended several must not run
// together again.
func (s *Suspects) Weak() bool { return s.Engines <= weakEngines }

// TrialRuling is the arbiter's answer to a daemon that is about to try suspects.
type TrialRuling struct {
	Granted bool
	// Answered are those of the suspects that have been answered.
	Answered []Fingerprint
}

// BeginTrial begins a trial of suspects for a holder, as the arbiter. Asking again under
// the same name changes nothing.
func (w *Watch) BeginTrial(holder string, suspects []Fingerprint, until time.Time) TrialRuling {
	now := w.opts.Now()
	var r TrialRuling
	var open []Fingerprint
	for _, f := range suspects {
		history, known := w.ledger.History(f)
		switch {
		case w.ledger.answeredLately(now, f) || known && len(history.Answered) > 0 && history.Verdict(now) == Clear:
			r.Answered = append(r.Answered, f)
		case known && history.Verdict(now) == Refused && len(w.ledger.rivals(now, f, &history)) == 0:
			w.outbox.startStanding(now)
			w.opts.Publish()
			return r
		default:
			open = append(open, f)
		}
	}
	r.Granted = w.trials.begin(now, holder, open, until)
	return r
}

// ProlongTrial lets a holder's trial of suspects end after d, as the arbiter.
func (w *Watch) ProlongTrial(holder string, suspects []Fingerprint, d time.Duration) {
	now := w.opts.Now()
	w.trials.end(now, holder, suspects, now.Add(d))
}

// ApplyTrialRuling applies what the arbiter says of suspects.
func (w *Watch) ApplyTrialRuling(r *TrialRuling) {
	now := w.opts.Now()
	for _, f := range r.Answered {
		w.hinted.Delete(Text(f))
		w.ledger.rememberAnswer(now, f)
		w.answer(f, false)
	}
}
