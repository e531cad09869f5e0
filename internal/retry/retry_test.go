package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDecide(t *testing.T) {
	cut := fault.New(fault.Interrupted, "", "cut")
	refused := fault.Refuse(fault.Unavailable, "", "no connection")
	full := fault.Refuse(fault.Overload, "", "full").WithRetryAfter(300 * time.Millisecond)
	bad := fault.Invalid("body", "", "no JSON")
	plain := RequestState{Idempotent: true, Resumable: true, MaxRetries: 2, Deadline: start.Add(time.Minute), Replica: "a"}
	with := func(edit func(*RequestState)) RequestState { s := plain; edit(&s); return s }
	cases := []struct {
		name     string
		state    RequestState
		err      error
		noBudget bool
		action   Action
		after    time.Duration
		kind     fault.Kind
		outcome  fault.Outcome
	}{
		{"interrupted idempotent request is repeated without delay", plain, cut, false, Repeat, 0, 0, 0},
		{"unavailable target is retried", plain, refused, false, Repeat, 0, 0, 0},
		{"overload is retried after RetryAfter", plain, full, false, Repeat, 300 * time.Millisecond, 0, 0},
		{"bad input is not retried", plain, bad, false, Fail, 0, fault.BadInput, fault.NotRun},
		{"retries of the route are used up", with(func(s *RequestState) { s.RetriesMade = 2 }), cut, false, Fail, 0, fault.Interrupted, fault.Unknown},
		{"retry budget is exhausted", plain, cut, true, Fail, 0, fault.Interrupted, fault.Unknown},
		{"deadline has passed", with(func(s *RequestState) { s.Deadline = start }), refused, false, Fail, 0, fault.Unavailable, fault.NotRun},
		{"backoff ends after the deadline", with(func(s *RequestState) { s.Deadline = start.Add(200 * time.Millisecond) }), full, false, Fail, 0, fault.Overload, fault.NotRun},
		{"non-idempotent request that did not run is repeated", with(func(s *RequestState) { s.Idempotent = false }), refused, false, Repeat, 0, 0, 0},
		{"non-idempotent request that may have run fails", with(func(s *RequestState) { s.Idempotent = false }), cut, false, Fail, 0, fault.Interrupted, fault.Unknown},
		{"non-idempotent request fails if an earlier attempt may have run", with(func(s *RequestState) { s.Idempotent, s.MayHaveRun = false, true }), refused, false, Fail, 0, fault.Unavailable, fault.Unknown},
		{"interrupted stream is resumed", with(func(s *RequestState) { s.DeliveredTokens = 7 }), cut, false, Resume, 0, 0, 0},
		{"interrupted stream fails if targets can't resume", with(func(s *RequestState) { s.DeliveredTokens, s.Resumable = 7, false }), cut, false, Fail, 0, fault.Interrupted, fault.Ran},
		{"interrupted stream fails when retries are used up", with(func(s *RequestState) { s.DeliveredTokens, s.RetriesMade = 7, 2 }), refused, false, Fail, 0, fault.Interrupted, fault.Ran},
		{"outcome is unknown if an earlier attempt may have run", with(func(s *RequestState) { s.MayHaveRun, s.RetriesMade = true, 2 }), refused, false, Fail, 0, fault.Unavailable, fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Decide(start, c.state, c.err, func() bool { return !c.noBudget })
			must.Eq(t, c.action, d.Action)
			must.Eq(t, c.after, d.Delay)
			if c.action == Fail {
				must.Eq(t, c.kind, d.Err.Kind)
				must.Eq(t, c.outcome, d.Err.Outcome)
				return
			}
			must.Eq(t, []string{"a"}, d.Exclude)
			if c.action == Resume {
				must.Eq(t, c.state.DeliveredTokens, d.ResumeFrom)
			}
		})
	}
}

func TestBudget(t *testing.T) {
	cases := []struct {
		name          string
		firstAttempts int
		ratio         float64
		elapsed       time.Duration
		want          int
	}{
		{"new budget holds one token", 0, 0.1, 0, 1},
		{"first attempts add the ratio", 50, 0.1, 0, 6},
		{"time adds the minimum rate", 0, 0.1, 3 * time.Second, 4},
		{"tokens are capped", 10_000, 0.1, time.Hour, int(maxTokens)},
		{"ratio zero adds no tokens", 100, 0, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bs := NewRouteBudgets()
			for range c.firstAttempts {
				bs.Deposit(start, "r", c.ratio)
			}
			bs.Deposit(start, "r", 0)
			now, got := start.Add(c.elapsed), 0
			for bs.TrySpend(now, "r") {
				got++
			}
			must.Eq(t, c.want, got)
		})
	}
}

func TestCrashHistory(t *testing.T) {
	crash := func(replica string) *Crash {
		return &Crash{Replica: replica, Incarnation: "i1", FailureDomain: "f1", At: start}
	}
	type step struct {
		replica string
		with    CrashContext
	}
	cases := []struct {
		name  string
		steps []step
		after time.Duration
		want  Verdict
	}{
		{"no crash is clear", nil, 0, Clear},
		{"one crash makes a suspect", []step{{"a", CrashContext{}}}, 0, Suspected},
		{"one crash reported by two daemons counts once", []step{{"a", CrashContext{}}, {"a", CrashContext{}}}, 0, Suspected},
		{"two crashes quarantine the request", []step{{"a", CrashContext{}}, {"b", CrashContext{}}}, 0, Refused},
		{"second crash beside another suspect does not quarantine", []step{{"a", CrashContext{}}, {"b", CrashContext{OtherSuspects: 1}}}, 0, Suspected},
		{"third crash without another suspect quarantines", []step{{"a", CrashContext{}}, {"b", CrashContext{OtherSuspects: 1}}, {"c", CrashContext{}}}, 0, Refused},
		{"second crash in an outage does not quarantine", []step{{"a", CrashContext{}}, {"b", CrashContext{Outage: true}}}, 0, Suspected},
		{"suspicion expires", []step{{"a", CrashContext{}}}, SuspectTTL, Clear},
		{"quarantine expires", []step{{"a", CrashContext{}}, {"b", CrashContext{}}}, QuarantineTTL, Clear},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r CrashHistory
			for _, s := range c.steps {
				r = r.WithCrash(start, crash(s.replica), s.with)
			}
			must.Eq(t, c.want, r.Verdict(start.Add(c.after)))
		})
	}
}

func TestIsOutage(t *testing.T) {
	mine := []Fingerprint{1}
	c := &Crash{Replica: "a", FailureDomain: "f1", At: start, Running: [][]Fingerprint{mine}}
	cases := []struct {
		name string
		o    Crash
		want bool
	}{
		{"other replica did not run the request", Crash{Replica: "b", FailureDomain: "f1", At: start.Add(time.Second)}, true},
		{"other replica ran the request", Crash{Replica: "b", FailureDomain: "f1", At: start, Running: [][]Fingerprint{mine}}, false},
		{"other failure domain", Crash{Replica: "b", FailureDomain: "f2", At: start}, false},
		{"outside the outage window", Crash{Replica: "b", FailureDomain: "f1", At: start.Add(-time.Minute)}, false},
		{"same replica", Crash{Replica: "a", FailureDomain: "f1", At: start}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.want, IsOutage(c, []Crash{tc.o}, mine))
		})
	}
}

// Where suspects run beside other requests, the third crash quarantines, unless the
// crashes have one cause or the request has been answered.
func TestCrashesBesideOtherRequests(t *testing.T) {
	const sentBefore, sentAfter = -2 * time.Second, -time.Millisecond
	type step struct {
		engine string
		sent   time.Duration // before the crash, one second after the step before
		answer bool
		wait   time.Duration
	}
	crash := func(engine string, sent time.Duration) step { return step{engine: engine, sent: sent} }
	cases := []struct {
		name  string
		steps []step
		want  Verdict
	}{
		{"one", []step{crash("a", sentAfter)}, Suspected},
		{"two", []step{crash("a", sentAfter), crash("b", sentAfter)}, Suspected},
		{"three", []step{crash("a", sentAfter), crash("b", sentAfter), crash("c", sentAfter)}, Refused},
		{"one crash reported three times", []step{crash("a", sentAfter), crash("a", sentAfter), crash("a", sentAfter)}, Suspected},
		{"sent before the first was seen", []step{crash("a", sentAfter), crash("b", sentBefore), crash("c", sentBefore)}, Suspected},
		{"answered in between", []step{crash("a", sentAfter), crash("b", sentAfter), {answer: true}, crash("c", sentAfter)}, Suspected},
		{"reported late, after an answer", []step{crash("a", sentAfter), crash("b", sentAfter), {answer: true}, crash("b", sentAfter)}, Clear},
		{"answered in quarantine", []step{crash("a", sentAfter), crash("b", sentAfter), crash("c", sentAfter), {answer: true}}, Clear},
		{"expired", []step{crash("a", sentAfter), crash("b", sentAfter), crash("c", sentAfter), {wait: QuarantineTTL}}, Clear},
		{"expired, then one more", []step{crash("a", sentAfter), crash("b", sentAfter), crash("c", sentAfter), {wait: QuarantineTTL}, crash("d", sentAfter)}, Refused},
		{"expired, answered, then one more", []step{crash("a", sentAfter), crash("b", sentAfter), crash("c", sentAfter), {wait: QuarantineTTL}, crash("d", sentAfter), {answer: true}, crash("e", sentAfter)}, Suspected},
		{"suspicion expired", []step{crash("a", sentAfter), crash("b", sentAfter), {wait: SuspectTTL}, crash("c", sentAfter)}, Suspected},
	}
	for _, c := range cases {
		now := time.Unix(0, 0)
		history := CrashHistory{}
		for _, s := range c.steps {
			now = now.Add(time.Second + s.wait)
			switch {
			case s.answer:
				history = history.WithAnswer()
			case s.engine != "":
				history = history.WithCrash(now, &Crash{Replica: s.engine, At: now}, CrashContext{Shared: true, SentAt: now.Add(s.sent)})
			}
		}
		must.Eq(t, c.want, history.Verdict(now), must.Sprint(c.name))
	}
}
