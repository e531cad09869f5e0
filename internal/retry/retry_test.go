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
