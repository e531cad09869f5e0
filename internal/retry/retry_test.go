package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestNext(t *testing.T) {
	cut := fault.New(fault.Interrupted, "", "cut")
	refused := fault.Refuse(fault.Unavailable, "", "no connection")
	full := fault.Refuse(fault.Overload, "", "full").WithRetryAfter(300 * time.Millisecond)
	bad := fault.Invalid("body", "", "no JSON")
	plain := RequestState{Idempotent: true, Resumable: true, MaxRetries: 2, Deadline: start.Add(time.Minute), Replica: "a"}
	with := func(edit func(*RequestState)) RequestState { s := plain; edit(&s); return s }
	cases := []struct {
		name   string
		state  RequestState
		err    error
		poor   bool
		action Action
		after  time.Duration
		kind   fault.Kind
		out    fault.Outcome
	}{
		{"a cut idempotent request is repeated at once", plain, cut, false, Repeat, 0, 0, 0},
		{"a refusal is repeated", plain, refused, false, Repeat, 0, 0, 0},
		{"an overload after the time it asks for", plain, full, false, Repeat, 300 * time.Millisecond, 0, 0},
		{"a mistake of the caller is not repeated", plain, bad, false, Fail, 0, fault.BadInput, fault.NotRun},
		{"not more often than the route allows", with(func(s *RequestState) { s.RetriesMade = 2 }), cut, false, Fail, 0, fault.Interrupted, fault.Unknown},
		{"not beyond the budget", plain, cut, true, Fail, 0, fault.Interrupted, fault.Unknown},
		{"not past the deadline", with(func(s *RequestState) { s.Deadline = start }), refused, false, Fail, 0, fault.Unavailable, fault.NotRun},
		{"not if the pause ends after it", with(func(s *RequestState) { s.Deadline = start.Add(200 * time.Millisecond) }), full, false, Fail, 0, fault.Overload, fault.NotRun},
		{"a request that must not run twice is repeated if it did not run", with(func(s *RequestState) { s.Idempotent = false }), refused, false, Repeat, 0, 0, 0},
		{"and not if it may have", with(func(s *RequestState) { s.Idempotent = false }), cut, false, Fail, 0, fault.Interrupted, fault.Unknown},
		{"nor if an earlier attempt may have", with(func(s *RequestState) { s.Idempotent, s.MayHaveRun = false, true }), refused, false, Fail, 0, fault.Unavailable, fault.Unknown},
		{"a cut stream goes on", with(func(s *RequestState) { s.DeliveredTokens = 7 }), cut, false, Resume, 0, 0, 0},
		{"unless targets can't", with(func(s *RequestState) { s.DeliveredTokens, s.Resumable = 7, false }), cut, false, Fail, 0, fault.Interrupted, fault.Ran},
		{"the end of retries cuts it for good", with(func(s *RequestState) { s.DeliveredTokens, s.RetriesMade = 7, 2 }), refused, false, Fail, 0, fault.Interrupted, fault.Ran},
		{"not run stays true only if no attempt may have run", with(func(s *RequestState) { s.MayHaveRun, s.RetriesMade = true, 2 }), refused, false, Fail, 0, fault.Unavailable, fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Decide(start, c.state, c.err, func() bool { return !c.poor })
			must.Eq(t, c.action, d.Action)
			must.Eq(t, c.after, d.Delay)
			if c.action == Fail {
				must.Eq(t, c.kind, d.Err.Kind)
				must.Eq(t, c.out, d.Err.Outcome)
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
		name   string
		firsts int
		ratio  float64
		pass   time.Duration
		want   int
	}{
		{"a quiet route may retry once", 0, 0.1, 0, 1},
		{"a tenth of the first attempts", 50, 0.1, 0, 6},
		{"time adds the floor", 0, 0.1, 3 * time.Second, 4},
		{"no more than can be saved", 10_000, 0.1, time.Hour, int(maxSaved)},
		{"none by ratio zero but the floor's", 100, 0, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bs := NewRouteBudgets()
			for range c.firsts {
				bs.Deposit(start, "r", c.ratio)
			}
			bs.Deposit(start, "r", 0)
			now, got := start.Add(c.pass), 0
			for bs.TrySpend(now, "r") {
				got++
			}
			must.Eq(t, c.want, got)
		})
	}
}

func TestBlame(t *testing.T) {
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
		{"no crash", nil, 0, Clear},
		{"one crash", []step{{"a", CrashContext{}}}, 0, Suspected},
		{"one crash that several daemons saw", []step{{"a", CrashContext{}}, {"a", CrashContext{}}}, 0, Suspected},
		{"two crashes", []step{{"a", CrashContext{}}, {"b", CrashContext{}}}, 0, Refused},
		{"two beside another suspect", []step{{"a", CrashContext{}}, {"b", CrashContext{OtherSuspects: 1}}}, 0, Suspected},
		{"a third without one", []step{{"a", CrashContext{}}, {"b", CrashContext{OtherSuspects: 1}}, {"c", CrashContext{}}}, 0, Refused},
		{"the second in an outage", []step{{"a", CrashContext{}}, {"b", CrashContext{Outage: true}}}, 0, Suspected},
		{"suspicion expires", []step{{"a", CrashContext{}}}, SuspectTTL, Clear},
		{"so does quarantine", []step{{"a", CrashContext{}}, {"b", CrashContext{}}}, QuarantineTTL, Clear},
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
		{"another replica without the request", Crash{Replica: "b", FailureDomain: "f1", At: start.Add(time.Second)}, true},
		{"another replica with it", Crash{Replica: "b", FailureDomain: "f1", At: start, Running: [][]Fingerprint{mine}}, false},
		{"another domain", Crash{Replica: "b", FailureDomain: "f2", At: start}, false},
		{"long before", Crash{Replica: "b", FailureDomain: "f1", At: start.Add(-time.Minute)}, false},
		{"the same crash", Crash{Replica: "a", FailureDomain: "f1", At: start}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.want, IsOutage(c, []Crash{tc.o}, mine))
		})
	}
}
